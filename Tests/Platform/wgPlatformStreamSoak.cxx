// SPDX-License-Identifier: Apache-2.0
// Streams that callers take up while endpoints of two versions serve, start
// again as the other version and are reset, and boxes are killed, stopped,
// suspended and cut off. The checker judges what callers hold.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <httplib.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformSoakCheck.h"
#include "wgPlatformStandin.h"
#include "wgSoakMain.h"

namespace {

using wg::test::Forwarder;
using wg::test::Local;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::Process;
using wg::test::SoakDisturbance;
using wg::test::SoakStream;
using wg::test::SoakStreams;
using wg::test::SoakStreamTry;
using Random = std::mt19937_64;

constexpr int Ok = 200;
constexpr int CallerThreads = 20;
constexpr int EnginesOfEach = 3; // one at a time starts again
constexpr int StreamLength = 4;
constexpr int EventMs = 120;
/** Most streams that run have begun before what is on its way to disks. */
constexpr int EventMsBesideKills = 500;
constexpr int MostTries = 4;
/** Where all processes may be down: until they have been back for long. */
constexpr int MostTriesBesideKills = 60;
constexpr absl::Duration Deadline = absl::Seconds(6);
constexpr absl::Duration DeadlineBesideKills = absl::Seconds(10);
constexpr int LongestPauseMs = 30;
constexpr int LongestPauseBesideKillsMs = 300;
/** Heartbeats of one endpoint after the other, each every 1.2 s. */
constexpr int HeartbeatGapMs = 200;
/** Of an answer, after which some callers' connections break. */
constexpr int MostBytes = 150;
constexpr absl::Duration RecoveryLimit = absl::Seconds(15);
const std::vector<std::string> Halls{ "h1", "h1", "h1", "h2", "h2" };

/** Whether all gateways, all control boxes and both are killed, too. */
bool KillsAll = false;

int Draw(Random& random, int least, int most)
{
  return std::uniform_int_distribution<int>(least, most)(random);
}

/** An endpoint behind a wire that can be reset. */
struct Engine
{
  Engine(const std::string& id, std::string startVersion, int port)
    : standin(id)
    , wire(port, standin.Port())
    , version(std::move(startVersion))
  {
    standin.AppearAt(Local(port));
    standin.SetVersion(version);
    standin.TellVersionInEvents();
    standin.SetEventMs(KillsAll ? EventMsBesideKills : EventMs);
    standin.FallsFor(0);
  }
  PlatformStandin standin;
  Forwarder wire;
  std::string version; // of the thread that starts engines again
};

struct Run
{
  Run(std::uint64_t seedOfRun, const std::string& daemon)
    : seed(seedOfRun)
    , cluster(static_cast<int>(Halls.size()), true, Halls, daemon)
  {
    for (const char* version : { "v1", "v2" }) {
      for (int i = 0; i < EnginesOfEach; ++i) {
        engines.push_back(std::make_unique<Engine>(
          absl::StrCat("i-", version, "-", i), version, cluster.FreePort()));
      }
    }
  }

  void NoteDisturbance(int box, absl::Time from, absl::Time until)
  {
    const std::lock_guard<std::mutex> lock(mutex);
    record.disturbances.push_back({ box, from, until });
  }

  std::uint64_t seed;
  PlatformCluster cluster;
  std::vector<std::unique_ptr<Engine>> engines;
  std::atomic<bool> stopping{ false };
  std::atomic<int> next{ 0 };
  std::mutex mutex;
  SoakStreams record;
};

void SendHeartbeats(Run& run)
{
  Random random(run.seed + 7);
  while (!run.stopping) {
    for (const auto& engine : run.engines) {
      for (int tries = 0; tries < 3 && engine->standin.Beats(); ++tries) {
        if (engine->standin.Register(run.cluster.Api(Draw(random, 0, 2)),
                                     "llm")) {
          break;
        }
      }
      if (KillsAll) {
        absl::SleepFor(absl::Milliseconds(HeartbeatGapMs));
      }
    }
    absl::SleepFor(absl::Milliseconds(KillsAll ? 0 : 100));
  }
}

/** Whole events alone: a caller does not use part of one. */
int TakeEvents(absl::string_view body, SoakStream& stream)
{
  int count = 0;
  std::size_t at = 0;
  for (std::size_t end = body.find("\n\n"); end != absl::string_view::npos;
       end = body.find("\n\n", at)) {
    for (absl::string_view line :
         absl::StrSplit(body.substr(at, end - at), '\n')) {
      int id = 0;
      if (absl::ConsumePrefix(&line, "id: ") && absl::SimpleAtoi(line, &id)) {
        stream.events.push_back(id);
        ++count;
      } else if (absl::ConsumePrefix(&line, "event: ")) {
        stream.versions.emplace(line);
      }
    }
    at = end + 2;
  }
  return count;
}

/** One try; what came of it is added to the stream.
 * \param mostBytes after which the caller's connection breaks; 0: it does not
 */
SoakStreamTry TryStream(Run& run, int box, absl::Time deadline,
                        SoakStream& stream, std::size_t mostBytes = 0)
{
  std::string& first = stream.id;
  SoakStreamTry one;
  one.box = box;
  one.sent = absl::Now();
  one.takesUp = !stream.events.empty();
  const std::string id = absl::StrCat(run.seed, "-", ++run.next);
  httplib::Headers headers{
    { "Host", "one.example" },
    { "X-Weirgate-Attempt-Id", id },
    { "X-Weirgate-Deadline-Ms",
      absl::StrCat(absl::ToInt64Milliseconds(deadline - one.sent)) },
    { "Authorization", "Token k1" },
    { "X-Weirgate-Token-Usage", "100,20" },
    { "X-Weirgate-Prompt-Prefix", absl::StrCat(id, ":60,bb:40") }
  };
  if (one.takesUp) {
    headers.emplace("Last-Event-Id", absl::StrCat(stream.events.back()));
    headers.emplace("Resumes", first);
  } else {
    first = id;
  }
  httplib::Client client("127.0.0.1", run.cluster.Listen(box));
  client.set_connection_timeout(1);
  client.set_read_timeout(3);
  httplib::Request request;
  request.method = "POST";
  request.path = "/r/x";
  request.headers = std::move(headers);
  request.body = "body";
  std::string body;
  int status = 0;
  request.response_handler = [&status](const httplib::Response& response) {
    status = response.status;
    return true;
  };
  request.content_receiver = [&body, mostBytes](const char* bytes,
                                                std::size_t size,
                                                std::uint64_t, std::uint64_t) {
    body.append(bytes, size);
    return mostBytes == 0 || body.size() < mostBytes;
  };
  httplib::Response response;
  auto error = httplib::Error::Success;
  const bool isWhole = client.send(request, response, error);
  one.status = status;
  if (status == Ok) {
    one.events = TakeEvents(body, stream);
    one.isWhole = isWhole;
  }
  return one;
}

/** Callers whose connection breaks come back at once, at any box. */
void SendStreams(Run& run, int thread)
{
  Random random(run.seed * 1000 + static_cast<std::uint64_t>(thread));
  const int boxes = run.cluster.Gateways();
  const int most = KillsAll ? MostTriesBesideKills : MostTries;
  const int pause = KillsAll ? LongestPauseBesideKillsMs : LongestPauseMs;
  while (!run.stopping) {
    SoakStream stream;
    stream.length = StreamLength;
    const absl::Time deadline =
      absl::Now() + (KillsAll ? DeadlineBesideKills : Deadline);
    for (int tries = 0; tries < most && absl::Now() < deadline; ++tries) {
      const int box = Draw(random, 0, boxes - 1);
      const bool breaks = Draw(random, 0, 3) == 0;
      const int bytes = breaks ? Draw(random, 1, MostBytes) : 0;
      stream.tries.push_back(TryStream(run, box, deadline, stream,
                                       static_cast<std::size_t>(bytes)));
      if (stream.tries.back().isWhole) {
        break;
      }
      absl::SleepFor(absl::Milliseconds(Draw(random, 2, pause)));
    }
    const std::lock_guard<std::mutex> lock(run.mutex);
    run.record.streams.push_back(std::move(stream));
  }
}

/** Two engines of each version serve at all times; the third of one ends and
 * is back as the other version, under another name at the same address.
 */
void StartEnginesAgain(Run& run)
{
  Random random(run.seed + 9);
  int starts = 0;
  std::map<std::string, int> counts{ { "v1", EnginesOfEach },
                                     { "v2", EnginesOfEach } };
  while (!run.stopping) {
    absl::SleepFor(absl::Milliseconds(Draw(random, 300, 1500)));
    const auto index = static_cast<std::size_t>(
      Draw(random, 0, static_cast<int>(run.engines.size()) - 1));
    Engine& engine = *run.engines[index];
    if (counts[engine.version] < EnginesOfEach) {
      continue;
    }
    --counts[engine.version];
    engine.version = engine.version == "v1" ? "v2" : "v1";
    engine.standin.StartAgainAs(absl::StrCat("i-again-", ++starts),
                                engine.version, Draw(random, 0, 300));
    (void)wg::test::WaitFor([&engine] { return engine.standin.IsUp(); });
    ++counts[engine.version];
  }
}

/** What disturbs boxes and connections; each is undone before the next but
 * one.
 */
class Faults
{
public:
  explicit Faults(Run& run)
    : run_(run)
    , random_(run.seed)
  {
  }

  void Go(absl::Duration time)
  {
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      if (KillsAll && Draw(random_, 0, 2) == 0) {
        KillAll();
        continue;
      }
      switch (Draw(random_, 0, 9)) {
        case 0:
        case 1:
        case 2:
          DisturbBoxes();
          break;
        case 3:
          CutControlLink();
          break;
        default:
          run_
            .engines[static_cast<std::size_t>(
              Draw(random_, 0, static_cast<int>(run_.engines.size()) - 1))]
            ->wire.Reset();
      }
      absl::SleepFor(absl::Milliseconds(Draw(random_, 50, 900)));
    }
  }

private:
  /** One box, or two at once. */
  void DisturbBoxes()
  {
    const int boxes = run_.cluster.Gateways();
    const int first = Draw(random_, 0, boxes - 1);
    std::set<int> chosen{ first };
    if (Draw(random_, 0, 2) == 0) {
      chosen.insert((first + Draw(random_, 1, boxes - 1)) % boxes);
    }
    const int kind = Draw(random_, 0, 2);
    const absl::Time from = absl::Now();
    for (const int box : chosen) {
      Process& process = run_.cluster.Gateway(box);
      process.Signal(kind == 0 ? SIGSTOP : kind == 1 ? SIGTERM : SIGKILL);
    }
    absl::SleepFor(absl::Milliseconds(Draw(random_, 100, 1500)));
    for (const int box : chosen) {
      if (kind == 0) {
        run_.cluster.Gateway(box).Signal(SIGCONT);
      } else {
        run_.cluster.Gateway(box).Kill(); // whatever of it is left
        run_.cluster.StartGateway(box);
      }
    }
    for (const int box : chosen) {
      run_.NoteDisturbance(box, from, absl::Now());
    }
  }

  /** All gateways, all control boxes, or both; their disks are kept. */
  void KillAll()
  {
    const int kind = Draw(random_, 0, 2);
    const int gateways = kind == 1 ? 0 : run_.cluster.Gateways();
    const int controls = kind == 0 ? 0 : PlatformCluster::Controls;
    const absl::Time from = absl::Now();
    for (int i = 0; i < controls; ++i) {
      run_.cluster.Control(i).Kill();
    }
    for (int i = 0; i < gateways; ++i) {
      run_.cluster.Gateway(i).Kill();
    }
    absl::SleepFor(absl::Milliseconds(Draw(random_, 50, 700)));
    for (int i = 0; i < controls; ++i) {
      run_.cluster.StartControl(i, false);
    }
    for (int i = 0; i < gateways; ++i) {
      run_.cluster.StartGateway(i);
    }
    run_.NoteDisturbance(SoakDisturbance::AllBoxes, from, absl::Now());
    // Boxes are in touch 3 s after.
    absl::SleepFor(absl::Milliseconds(Draw(random_, 3500, 6000)));
  }

  void CutControlLink()
  {
    Forwarder& link = run_.cluster.ControlLink(
      Draw(random_, 0, PlatformCluster::Controls - 1));
    const absl::Time from = absl::Now();
    link.Cut();
    absl::SleepFor(absl::Milliseconds(Draw(random_, 100, 1500)));
    link.Mend();
    run_.NoteDisturbance(SoakDisturbance::AllBoxes, from, absl::Now());
  }

  Run& run_;
  Random random_;
};

/** With everything whole each gateway must serve streams. */
int CountUnserved(Run& run)
{
  int unserved = 0;
  for (int box = 0; box < run.cluster.Gateways(); ++box) {
    const bool serves = wg::test::WaitFor(
      [&] {
        SoakStream stream;
        return TryStream(run, box, absl::Now() + absl::Seconds(6), stream)
          .isWhole;
      },
      RecoveryLimit);
    unserved += serves ? 0 : 1;
  }
  return unserved;
}

std::vector<std::string> RunSeed(std::uint64_t seed, int seconds,
                                 const std::string& daemon)
{
  Run run(seed, daemon);
  run.cluster.AwaitServing();
  std::thread heartbeats([&run] { SendHeartbeats(run); });
  std::vector<std::thread> threads;
  for (int i = 0; i < CallerThreads; ++i) {
    threads.emplace_back([&run, i] { SendStreams(run, i); });
  }
  threads.emplace_back([&run] { StartEnginesAgain(run); });
  Faults(run).Go(absl::Seconds(seconds));
  run.stopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  heartbeats.join();
  run.stopping = false;
  std::thread again([&run] { SendHeartbeats(run); });
  const int unserved = CountUnserved(run);
  run.stopping = true;
  again.join();
  int taken = 0;
  int wentOn = 0;
  int inTouch = 0;
  for (const SoakStream& stream : run.record.streams) {
    for (const SoakStreamTry& one : stream.tries) {
      taken += one.takesUp ? 1 : 0;
      wentOn += one.takesUp && one.events > 0 ? 1 : 0;
      const bool counts =
        one.takesUp && IsInTouch(run.record, one.box, one.sent);
      inTouch += counts ? 1 : 0;
    }
  }
  std::printf("seed %llu: %zu streams, taken up %d times, %d went on; %d at "
              "boxes in touch\n",
              static_cast<unsigned long long>(seed), run.record.streams.size(),
              taken, wentOn, inTouch);
  std::vector<std::string> findings = CheckStreams(run.record);
  if (unserved > 0) {
    findings.push_back(
      absl::StrCat("RECOVER: ", unserved, " gateways serve no stream."));
  }
  return findings;
}

} // namespace

int main(int argc, char** argv)
{
  return wg::test::RunSoak(
    argc, argv, "Soaks streams over endpoints of two versions.", &RunSeed,
    { { "kill-all",
        "All gateways, all control boxes and both are killed, too.",
        &KillsAll } });
}
