// SPDX-License-Identifier: Apache-2.0
// Requests of which some have a part of their prompts that ends endpoints, in
// virtual time: how many endpoints end, and which sound parts are kept away.
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgCrashEvidence.h"

using wg::CrashEvidence;
using wg::CrashSuspect;
using wg::Elapsed;
using wg::IsQuarantined;
using wg::PartSuspect;

namespace {

constexpr std::size_t Boxes = 9;
constexpr int Engines = 18;
constexpr int Middles = 200; // parts that some requests share
constexpr double RequestsASecond = 20;
/** That all requests have. Of suspects with the same ends the first by name
 * would be taken, and it comes before the others.
 */
constexpr const char* SharedPart = "a part of all";
const Elapsed Start = absl::Hours(100);
const absl::Duration Step = absl::Milliseconds(10);
const absl::Duration CrashAfter = absl::Milliseconds(60);
const absl::Duration AnsweredAfter = absl::Milliseconds(250);
const absl::Duration DownFor = absl::Seconds(3);
/** Until all boxes know of an end. */
const absl::Duration ToldAfter = absl::Milliseconds(150);

/** The users allow three requests with a part that are sent later than this
 * after the fifth end under it.
 */
constexpr int EndsAllowed = 5;
constexpr int SendsAllowed = 3;
const absl::Duration ContactTime = absl::Seconds(3);

struct Scene
{
  std::vector<std::string> bad;
  double badShare = 0.04;
  double crashChance = 1.0;  // of a request with a bad part
  double killsASecond = 0.0; // of single engines, for other reasons
  absl::Duration rackAt = absl::InfiniteDuration(); // a third of them end
};

struct Run
{
  std::size_t box = 0;
  Elapsed began;
  std::vector<CrashSuspect> parts;
  std::string bad; // empty: sound
  bool isCrashing = false;
};

struct Engine
{
  int starts = 0;
  Elapsed upAt;
  std::vector<Run> runs;
};

/** A change of the evidence that one box tells the others. */
struct News
{
  std::size_t box = 0;
  wg::wire::Crash crash;
};

/** Boxes that tell each other of ends and of those that are outweighed; what
 * was answered each knows by itself.
 */
struct Simulation
{
  explicit Simulation(unsigned seed)
    : random(seed)
    , engines(Engines)
    , evidence(Boxes)
  {
    for (CrashEvidence& known : evidence) {
      known.boxes = Boxes;
    }
  }

  double Draw() { return std::uniform_real_distribution<>(0.0, 1.0)(random); }

  void End(std::size_t index)
  {
    Engine& engine = engines[index];
    for (const Run& run : engine.runs) {
      for (const CrashSuspect& part : run.parts) {
        wg::wire::Crash crash;
        crash.set_cause(part.cause);
        crash.set_request(part.name);
        crash.set_endpoint(absl::StrCat(index, "@", engine.starts));
        Tell(run.box, crash);
      }
    }
    engine.runs.clear();
    ++engine.starts;
    engine.upAt = now + DownFor;
  }

  void Tell(std::size_t box, const wg::wire::Crash& crash)
  {
    MergeCrash(evidence[box], crash, now);
    untold.emplace(now + ToldAfter, News{ box, crash });
  }

  void TellOutweighed(std::size_t box, std::uint64_t since)
  {
    for (const wg::wire::Crash& crash :
         CrashesSince(evidence[box], since, 100, now)) {
      untold.emplace(now + ToldAfter, News{ box, crash });
    }
  }

  bool IsHeld(std::size_t box, const CrashSuspect& part) const
  {
    return IsQuarantined(evidence[box], part);
  }

  /** Messages tell how long ago an end was noted. */
  void Hear(News news)
  {
    news.crash.set_age_ms(news.crash.age_ms() +
                          absl::ToInt64Milliseconds(ToldAfter));
    for (std::size_t box = 0; box < Boxes; ++box) {
      if (box != news.box) {
        MergeCrash(evidence[box], news.crash, now);
      }
    }
  }

  void Answer(const Run& run)
  {
    for (const CrashSuspect& part : run.parts) {
      const std::uint64_t since = evidence[run.box].revision;
      if (NotePartAnswered(evidence[run.box], part, Draw(), now)) {
        TellOutweighed(run.box, since);
      }
    }
  }

  void Send(const Scene& scene)
  {
    Run run;
    run.box = random() % Boxes;
    run.began = now;
    run.parts.push_back(PartSuspect(SharedPart));
    run.parts.push_back(
      PartSuspect(absl::StrCat("middle", random() % Middles)));
    if (Draw() < scene.badShare) {
      run.bad = scene.bad[random() % scene.bad.size()];
      run.isCrashing = Draw() < scene.crashChance;
      run.parts.push_back(PartSuspect(run.bad));
    }
    NotePartsArrived(evidence[run.box], run.parts, now);
    for (const CrashSuspect& part : run.parts) {
      if (IsHeld(run.box, part)) {
        heldSound += run.bad.empty() ? 1 : 0;
        return;
      }
    }
    sound += run.bad.empty() ? 1 : 0;
    Engine& engine = engines[random() % Engines];
    if (engine.upAt <= now) {
      const auto fifth = fifthEnd.find(run.bad);
      const bool isCounted =
        fifth != fifthEnd.end() && now - fifth->second > ContactTime;
      sentLate[run.bad] += isCounted ? 1 : 0;
      engine.runs.push_back(std::move(run));
    }
  }

  void Advance(const Scene& scene)
  {
    now += Step;
    for (; !untold.empty() && untold.begin()->first <= now;
         untold.erase(untold.begin())) {
      Hear(std::move(untold.begin()->second));
    }
    for (std::size_t i = 0; i < engines.size(); ++i) {
      bool isCrash =
        Draw() < scene.killsASecond / Engines * absl::ToDoubleSeconds(Step);
      auto& runs = engines[i].runs;
      for (auto it = runs.begin(); it != runs.end();) {
        if (it->isCrashing && now - it->began >= CrashAfter) {
          isCrash = true;
          if (++ends[it->bad] == EndsAllowed) {
            fifthEnd[it->bad] = now;
          }
        }
        if (!it->isCrashing && now - it->began >= AnsweredAfter) {
          Answer(*it);
          it = runs.erase(it);
        } else {
          ++it;
        }
      }
      const bool isRack = now - Start >= scene.rackAt &&
                          now - Start < scene.rackAt + Step &&
                          i < engines.size() / 3;
      if (isCrash || isRack) {
        End(i);
      }
    }
    if (Draw() < RequestsASecond * absl::ToDoubleSeconds(Step)) {
      Send(scene);
    }
  }

  std::mt19937 random;
  std::vector<Engine> engines;
  std::vector<CrashEvidence> evidence; // by box
  std::multimap<Elapsed, News> untold;
  Elapsed now = Start;
  std::map<std::string, int> ends;         // by bad part
  std::map<std::string, Elapsed> fifthEnd; // by bad part
  std::map<std::string, int> sentLate;     // by bad part, see ContactTime
  int sound = 0;                           // sound requests that were sent
  int heldSound = 0;                       // and that were kept away
};

constexpr unsigned Seeds = 300;
const absl::Duration Day = absl::Seconds(60);

/** Plays a minute with each of the seeds. */
void CheckScene(const Scene& scene, unsigned first = 1, unsigned last = Seeds)
{
  int held = 0;
  int sent = 0;
  int most = 0;
  for (unsigned seed = first; seed <= last; ++seed) {
    CAPTURE(seed, scene.bad.size(), scene.killsASecond);
    Simulation simulation(seed);
    while (simulation.now - Start < Day) {
      simulation.Advance(scene);
    }
    for (const std::string& bad : scene.bad) {
      CHECK(simulation.sentLate[bad] <= SendsAllowed);
      most = std::max(most, simulation.ends[bad]);
    }
    held += simulation.heldSound;
    sent += simulation.sound;
    for (std::size_t box = 0; box < Boxes; ++box) {
      CHECK_FALSE(simulation.IsHeld(box, PartSuspect(SharedPart)));
    }
  }
  // The stated aim: sound requests are served at .9 of what they were.
  CHECK(held <= 0.1 * (held + sent));
  UNSCOPED_INFO("sound requests held: " << held << " of " << held + sent
                                        << ", most ends: " << most);
  CHECK(sent > 0);
}

} // namespace

TEST_CASE("A bad part of prompts goes on to end endpoints", "[simulation]")
{
  const Scene scenes[] = {
    { { "bad" } },
    { { "bad-1", "bad-2" }, 0.08 },
    { { "bad" }, 0.04, 1.0, 0.2 },
    { { "bad" }, 0.04, 1.0, 0.0, absl::Seconds(20) },
    { { "bad" }, 0.15 },
  };
  for (const Scene& scene : scenes) {
    CheckScene(scene);
  }
}

// Five endpoints end within two seconds, before a box has seen as many
// answers.
TEST_CASE("The part of all requests is held for two bad ones", "[shared-part]")
{
  constexpr unsigned seed = 1457;
  CheckScene({ { "bad-1", "bad-2" }, 0.08 }, seed, seed);
}

TEST_CASE("A part that ends one endpoint of two goes on to end them", "[half]")
{
  CheckScene({ { "bad" }, 0.08, 0.5 });
  CheckScene({ { "bad-1", "bad-2" }, 0.08, 0.5 });
}

TEST_CASE("A part that ends one endpoint of two goes on beside kills",
          "[half-kills]")
{
  CheckScene({ { "bad" }, 0.08, 0.5, 0.2 });
}

TEST_CASE("A part that ends one endpoint of two is seldom held too late",
          "[half-seeds]")
{
  for (const unsigned seed : { 1271U, 1371U }) {
    CheckScene({ { "bad" }, 0.08, 0.5 }, seed, seed);
  }
  for (const unsigned seed : { 515U, 597U, 875U, 1271U }) {
    CheckScene({ { "bad" }, 0.08, 0.5, 0.2 }, seed, seed);
  }
}
