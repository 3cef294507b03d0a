// SPDX-License-Identifier: Apache-2.0
// Streams whose engines pause or lose their connections while documents come,
// settings files change, and one box is stopped as another is killed or
// suspended. What a box has passed on must get a whole answer unless the box
// itself was disturbed without a plan.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <httplib.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"
#include "wgSoakMain.h"

namespace {

using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::Process;
using Random = std::mt19937_64;

constexpr int Ok = 200;
constexpr int CallerThreads = 12;
constexpr int EngineCount = 5;
constexpr int EventMs = 120;
constexpr absl::Duration Deadline = absl::Seconds(8);
/** Of their time, from which on requests are not counted as cut. */
constexpr double CountedFraction = 0.7;
const std::vector<std::string> Halls{ "h1", "h1", "h2" };

int Draw(Random& random, int least, int most)
{
  return std::uniform_int_distribution<int>(least, most)(random);
}

/** One request and what came of it. */
struct Call
{
  std::string id;
  int box = 0;
  absl::Time sent;
  absl::Time ended;
  bool isWhole = false;
};

/** A box that was killed or suspended. */
struct Disturbance
{
  int box = 0;
  absl::Time from;
  absl::Time until;
};

struct Run
{
  Run(std::uint64_t seedOfRun, const std::string& daemon)
    : seed(seedOfRun)
    , cluster(static_cast<int>(Halls.size()), false, Halls, daemon)
    , encoder("i-enc")
  {
    for (int i = 0; i < EngineCount; ++i) {
      engines.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("i-", i)));
      engines.back()->FetchesInputsFrom(encoder);
      engines.back()->SetEventMs(EventMs);
    }
    UseSettingsFile();
  }

  ~Run() { unsetenv("WEIRGATE_SETTINGS"); }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  /** Gateways alone read one; flags have named their control boxes. */
  void UseSettingsFile()
  {
    NameControls("");
    setenv("WEIRGATE_SETTINGS", SettingsFile().c_str(), 1);
    for (int box = 0; box < cluster.Gateways(); ++box) {
      cluster.StartGateway(box);
    }
  }

  std::string SettingsFile() const { return cluster.FileAt("settings"); }

  void NameControls(const std::string& controls) const
  {
    std::ofstream(SettingsFile()) << "controls=" << controls << "\n";
  }

  std::uint64_t seed;
  PlatformCluster cluster;
  PlatformStandin encoder;
  std::vector<std::unique_ptr<PlatformStandin>> engines;
  std::atomic<bool> stopping{ false };
  std::atomic<int> next{ 0 };
  std::mutex mutex;
  std::vector<Call> calls;
  std::vector<Disturbance> disturbances;
  std::array<std::mutex, 3> boxes; // held by what disturbs a box
  int stops = 0;
  int signals = 0;
  int documents = 1;
};

/** Streams run a stage; limits differ from one document to the next. */
std::string DocumentOf(int number)
{
  auto document =
    PlatformCluster::Json::parse(PlatformCluster::Document(number));
  for (auto& route : document["routes"]) {
    if (route["name"] == "resumable") {
      route["phases"] = { { { "service", "enc" },
                            { "afterRevision",
                              PlatformCluster::Json::array() },
                            { "sizeBytes", 1000 } } };
      route["timeoutMs"] = 12000 + 1000 * (number % 3);
    }
  }
  document["limits"] = { { "idleTimeoutMs", 5000 + 1000 * (number % 4) } };
  return document.dump();
}

void SendHeartbeats(Run& run)
{
  Random random(run.seed + 7);
  while (!run.stopping) {
    const auto beat = [&](PlatformStandin& standin, const char* service) {
      for (int tries = 0; tries < 3; ++tries) {
        if (standin.Register(run.cluster.Api(Draw(random, 0, 2)), service)) {
          return;
        }
      }
    };
    beat(run.encoder, "enc");
    for (const auto& engine : run.engines) {
      beat(*engine, "llm");
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
}

Call SendStream(Run& run, int box)
{
  Call call;
  call.box = box;
  call.sent = absl::Now();
  call.id = absl::StrCat(run.seed, "-", ++run.next);
  const httplib::Headers headers{
    { "Host", "one.example" },
    { "X-Weirgate-Attempt-Id", call.id },
    { "X-Weirgate-Deadline-Ms",
      absl::StrCat(absl::ToInt64Milliseconds(Deadline)) },
    { "Authorization", "Token k1" },
    { "X-Weirgate-Token-Usage", "100,20" },
    { "X-Weirgate-Prompt-Prefix", absl::StrCat(call.id, ":60,bb:40") },
    { "X-Weirgate-Chunk-Count", "1" },
    { "X-Weirgate-Chunk-Key", "file" }
  };
  httplib::Client client("127.0.0.1", run.cluster.Listen(box));
  client.set_connection_timeout(1);
  client.set_read_timeout(Deadline / absl::Seconds(1) + 1);
  call.isWhole =
    static_cast<bool>(client.Post("/r/x", headers, "body", "text/plain"));
  call.ended = absl::Now();
  return call;
}

void SendStreams(Run& run, int thread)
{
  Random random(run.seed * 1000 + static_cast<std::uint64_t>(thread));
  while (!run.stopping) {
    const int box = Draw(random, 0, run.cluster.Gateways() - 1);
    Call call = SendStream(run, box);
    {
      const std::lock_guard<std::mutex> lock(run.mutex);
      run.calls.push_back(std::move(call));
    }
    absl::SleepFor(absl::Milliseconds(Draw(random, 5, 60)));
  }
}

/** One, some or all engines pause, or one loses its streams. */
void SilenceEngines(Run& run)
{
  Random random(run.seed + 3);
  while (!run.stopping) {
    const int kind = Draw(random, 0, 3);
    const int ms = Draw(random, 200, 1500);
    const int chosen = Draw(random, 0, EngineCount - 1);
    for (int i = 0; i < EngineCount; ++i) {
      const bool pauses = (kind == 0 && i == chosen) ||
                          (kind == 1 && Draw(random, 0, 1) == 0) || kind == 2;
      if (pauses) {
        run.engines[i]->PauseFor(ms);
      }
    }
    if (kind == 3) {
      run.engines[chosen]->LoseStreams();
    }
    absl::SleepFor(absl::Milliseconds(ms + Draw(random, 100, 600)));
  }
}

void PublishDocuments(Run& run)
{
  Random random(run.seed + 5);
  while (!run.stopping) {
    const int burst = Draw(random, 1, 3);
    for (int i = 0; i < burst && !run.stopping; ++i) {
      (void)run.cluster.Publish(Draw(random, 0, 2),
                                DocumentOf(++run.documents));
    }
    absl::SleepFor(absl::Milliseconds(Draw(random, 150, 1200)));
  }
}

/** Kills or suspends boxes, and goes on beside what is planned at others. */
void DisturbBoxes(Run& run)
{
  Random random(run.seed);
  while (!run.stopping) {
    absl::SleepFor(absl::Milliseconds(Draw(random, 300, 1500)));
    const int box = Draw(random, 0, run.cluster.Gateways() - 1);
    const bool isKilled = Draw(random, 0, 1) == 0;
    const int ms = Draw(random, 50, 800);
    const std::unique_lock<std::mutex> only(run.boxes[box], std::try_to_lock);
    if (!only) {
      continue;
    }
    Process& process = run.cluster.Gateway(box);
    const absl::Time from = absl::Now();
    if (isKilled) {
      process.Kill();
      run.cluster.StartGateway(box);
    } else {
      process.Signal(SIGSTOP);
      absl::SleepFor(absl::Milliseconds(ms));
      process.Signal(SIGHUP);
      process.Signal(SIGCONT);
    }
    const std::lock_guard<std::mutex> lock(run.mutex);
    run.disturbances.push_back({ box, from, absl::Now() });
  }
}

/** Has a box read its settings again, in which the control boxes differ. */
void SendHangUps(Run& run, Process& process, Random& random)
{
  const int series = Draw(random, 1, 3);
  for (int i = 0; i < series; ++i) {
    run.NameControls(Draw(random, 0, 1) == 0 ? "" : "127.0.0.1:1");
    process.Signal(SIGHUP);
    ++run.signals;
    absl::SleepFor(absl::Milliseconds(Draw(random, 5, 200)));
  }
}

/** What a box has taken by a planned stop it answers. */
void StopBoxes(Run& run)
{
  Random random(run.seed + 11);
  while (!run.stopping) {
    absl::SleepFor(absl::Milliseconds(Draw(random, 100, 900)));
    const int box = Draw(random, 0, run.cluster.Gateways() - 1);
    const int kind = Draw(random, 0, 2);
    const std::unique_lock<std::mutex> only(run.boxes[box], std::try_to_lock);
    if (!only) {
      continue;
    }
    Process& process = run.cluster.Gateway(box);
    if (kind == 0) {
      SendHangUps(run, process, random);
      continue;
    }
    process.Signal(SIGTERM);
    ++run.stops;
    if (kind == 1) {
      SendHangUps(run, process, random);
    }
    process.Wait();
    run.cluster.StartGateway(box);
  }
}

bool WasDisturbed(const Run& run, const Call& call)
{
  return std::any_of(run.disturbances.begin(), run.disturbances.end(),
                     [&call](const Disturbance& d) {
                       return d.box == call.box && call.sent < d.until &&
                              d.from < call.ended;
                     });
}

/** What the box of a call has logged of it, a line each. */
std::string LogOf(const Run& run, const Call& call)
{
  std::ifstream log(run.cluster.FileAt(absl::StrCat("g", call.box, ".log")));
  const std::string named = absl::StrCat("\"", call.id, "\"");
  std::string lines;
  for (std::string line; std::getline(log, line);) {
    if (absl::StrContains(line, named)) {
      absl::StrAppend(&lines, "\n  ", line);
    }
  }
  return lines;
}

std::vector<std::string> FindLost(const Run& run)
{
  std::vector<std::string> lost;
  for (const Call& call : run.calls) {
    const bool wasPassedOn = std::any_of(
      run.engines.begin(), run.engines.end(),
      [&call](const auto& engine) { return engine->Runs(call.id) > 0; });
    const bool counts = call.ended - call.sent < CountedFraction * Deadline;
    if (!call.isWhole && wasPassedOn && counts && !WasDisturbed(run, call)) {
      lost.push_back(absl::StrCat(
        "LOST: ", call.id, " at box ", call.box, " had no whole answer after ",
        absl::ToInt64Milliseconds(call.ended - call.sent), " ms.",
        LogOf(run, call)));
    }
  }
  return lost;
}

int CountUnserved(Run& run)
{
  int unserved = 0;
  for (int box = 0; box < run.cluster.Gateways(); ++box) {
    unserved += wg::test::WaitFor([&] { return SendStream(run, box).isWhole; },
                                  absl::Seconds(15))
                  ? 0
                  : 1;
  }
  return unserved;
}

std::vector<std::string> RunSeed(std::uint64_t seed, int seconds,
                                 const std::string& daemon)
{
  Run run(seed, daemon);
  wg::test::Await("the first document", [&] {
    return run.cluster.Publish(0, DocumentOf(run.documents)) == Ok;
  });
  std::thread heartbeats([&run] { SendHeartbeats(run); });
  for (int box = 0; box < run.cluster.Gateways(); ++box) {
    (void)wg::test::WaitFor([&] { return SendStream(run, box).isWhole; });
  }
  std::vector<std::thread> threads;
  for (int i = 0; i < CallerThreads; ++i) {
    threads.emplace_back([&run, i] { SendStreams(run, i); });
  }
  threads.emplace_back([&run] { SilenceEngines(run); });
  threads.emplace_back([&run] { PublishDocuments(run); });
  threads.emplace_back([&run] { DisturbBoxes(run); });
  threads.emplace_back([&run] { StopBoxes(run); });
  absl::SleepFor(absl::Seconds(seconds));
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
  const auto whole =
    std::count_if(run.calls.begin(), run.calls.end(),
                  [](const Call& call) { return call.isWhole; });
  std::printf("seed %llu: %zu streams, %lld whole, %d documents, %zu "
              "disturbances, %d stops, %d hang-ups\n",
              static_cast<unsigned long long>(seed), run.calls.size(),
              static_cast<long long>(whole), run.documents,
              run.disturbances.size(), run.stops, run.signals);
  std::vector<std::string> findings = FindLost(run);
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
    argc, argv, "Soaks streams whose engines fall silent.", &RunSeed);
}
