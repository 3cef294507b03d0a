// SPDX-License-Identifier: Apache-2.0
// A long run under load with random kills, freezes, cuts, wiped folders,
// failing endpoints and changes; the checker judges it from outside.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <mutex>
#include <random>
#include <thread>

#include <tclap/CmdLine.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgTestCluster.h"

namespace {

using wg::test::CallerRecord;
using wg::test::Observations;
using wg::test::TestCluster;
using wg::test::WaitFor;
using wg::wire::ChangeResult;

constexpr int Entries = 9;
constexpr int Controls = 3;
constexpr int CallerThreads = 12;
constexpr int StatusOk = 200;
constexpr absl::Duration ReportPeriod = absl::Seconds(30);

/** What all threads of the soak share. */
struct Soak
{
  explicit Soak(TestCluster& running)
    : cluster(running)
  {
  }
  TestCluster& cluster;
  std::atomic<bool> stopping{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> whole{ 0 };
  std::atomic<int> lost{ 0 };
  std::mutex mutex;
  Observations seen;
};

void Remember(Soak& soak, const CallerRecord& record)
{
  ++soak.sent;
  soak.whole += record.status == StatusOk ? 1 : 0;
  soak.lost += record.status == 0 ? 1 : 0;
  const std::lock_guard<std::mutex> lock(soak.mutex);
  soak.seen.callers.push_back(record);
}

void SendRequests(Soak& soak)
{
  static std::atomic<int> next{ 0 };
  while (!soak.stopping) {
    const int i = next++;
    const bool reminder = i % 2 == 0;
    const std::string key = reminder ? absl::StrCat("soak-", i) : "";
    const std::string input = absl::StrCat("予約", i, "番", i * 7919);
    const char* pipeline = reminder ? "remind" : "answer";
    const CallerRecord first =
      soak.cluster.Call(i % Entries, pipeline, input, key);
    Remember(soak, first);
    if (first.status == 0 && reminder) {
      Remember(soak,
               soak.cluster.Call((i + 4) % Entries, pipeline, input, key));
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
}

void MakeChanges(Soak& soak)
{
  double value = 1.0;
  while (!soak.stopping) {
    value += 1.0;
    const ChangeResult result = soak.cluster.SetWeight(value);
    if (result.verdict() == ChangeResult::ACCEPTED) {
      const std::lock_guard<std::mutex> lock(soak.mutex);
      soak.seen.acknowledged.push_back({ result.revision(), value });
    }
    absl::SleepFor(absl::Milliseconds(300));
  }
}

void WatchRevisions(Soak& soak)
{
  while (!soak.stopping) {
    for (int i = 0; i < Entries; ++i) {
      const std::uint64_t revision = soak.cluster.RevisionAtEntry(i);
      const std::lock_guard<std::mutex> lock(soak.mutex);
      if (revision != 0) {
        soak.seen.inForce.push_back({ absl::StrCat("entry-", i), revision });
      }
    }
    absl::SleepFor(absl::Milliseconds(200));
  }
}

/** Restarts count as new boxes: a restarted one may begin with less. */
void BreakSomething(Soak& soak, std::mt19937_64& random)
{
  TestCluster& cluster = soak.cluster;
  const int entry = static_cast<int>(random() % Entries);
  const int control = static_cast<int>(random() % Controls);
  switch (random() % 8) {
    case 0:
      std::printf("  kill entry %d\n", entry);
      cluster.Entry(entry).Kill();
      cluster.StartEntry(entry);
      break;
    case 1:
      std::printf("  kill control %d\n", control);
      cluster.Control(control).Kill();
      cluster.StartControl(control);
      break;
    case 2:
      std::printf("  freeze control %d for 3 s\n", control);
      cluster.Control(control).Signal(SIGSTOP);
      absl::SleepFor(absl::Seconds(3));
      cluster.Control(control).Signal(SIGCONT);
      break;
    case 3:
      std::printf("  cut control %d off for 4 s\n", control);
      cluster.ControlWire(control).Cut();
      absl::SleepFor(absl::Seconds(4));
      cluster.ControlWire(control).Mend();
      break;
    case 4:
      std::printf("  wipe control %d\n", control);
      cluster.Control(control).Kill();
      std::filesystem::remove_all(cluster.DataFolder(control));
      cluster.StartControl(control);
      break;
    case 5:
      std::printf("  freeze entry %d for 2 s\n", entry);
      cluster.Entry(entry).Signal(SIGSTOP);
      absl::SleepFor(absl::Seconds(2));
      cluster.Entry(entry).Signal(SIGCONT);
      break;
    case 6:
      std::printf("  faults at llm-1\n");
      cluster.Post(cluster.PortOf("llm-1"), "/v1/fault",
                   R"({"break_stream_next": 5, "fail_next": 5,
                       "hang_next": 1, "end_early_next": 3})");
      break;
    default:
      std::printf("  faults at encode-1 and sms-1\n");
      cluster.Post(cluster.PortOf("encode-1"), "/v1/fault",
                   R"({"wrong_echo_next": 5, "cut_answer_next": 5})");
      cluster.Post(cluster.PortOf("sms-1"), "/v1/fault",
                   R"({"fail_next": 2, "wrong_echo_next": 1})");
      break;
  }
  // A second disk must not go before the first is repaired.
  while (!WaitFor([&] { return cluster.AllVote(); })) {
    std::printf("  still waiting for three voters\n");
  }
}

void PrintLine(Soak& soak, absl::Time start)
{
  long entryMemory = 0;
  for (int i = 0; i < Entries; ++i) {
    entryMemory =
      std::max(entryMemory, soak.cluster.Entry(i).ResidentKilobytes());
  }
  long controlMemory = 0;
  for (int i = 0; i < Controls; ++i) {
    controlMemory =
      std::max(controlMemory, soak.cluster.Control(i).ResidentKilobytes());
  }
  const int sent = soak.sent;
  std::printf("%4.0f s: %d sent, attained %.4f, %d without an answer; largest "
              "entry %.1f MB, control %.1f MB\n",
              absl::ToDoubleSeconds(absl::Now() - start), sent,
              static_cast<double>(soak.whole) / std::max(1, sent),
              soak.lost.load(), static_cast<double>(entryMemory) / 1024.0,
              static_cast<double>(controlMemory) / 1024.0);
  std::fflush(stdout);
}

int Judge(Soak& soak)
{
  Observations& seen = soak.seen;
  const std::uint64_t last = seen.acknowledged.back().revision;
  const bool all = WaitFor([&] {
    for (int i = 0; i < Entries; ++i) {
      if (soak.cluster.RevisionAtEntry(i) < last) {
        return false;
      }
    }
    return true;
  });
  if (!all) {
    std::printf("not every entry has the last revision in force\n");
  }
  seen.finalRevision = soak.cluster.RevisionAtEntry(0);
  seen.valueAtRevision[last] = soak.cluster.WeightAtEntry(0);
  seen.onceRuns = soak.cluster.RunsOf(soak.cluster.EndpointsOf("sms"));
  seen.anyRuns = seen.onceRuns;
  for (const char* group : { "encode", "llm" }) {
    for (const auto& run :
         soak.cluster.RunsOf(soak.cluster.EndpointsOf(group))) {
      seen.anyRuns.push_back(run);
    }
  }
  const auto violations = wg::test::Check(seen);
  for (const std::string& violation : violations) {
    std::printf("VIOLATED: %s\n", violation.c_str());
  }
  std::printf("verdict: %zu callers' records, %zu acknowledged changes, %zu "
              "revisions seen in force, %zu violations\n",
              seen.callers.size(), seen.acknowledged.size(),
              seen.inForce.size(), violations.size());
  return violations.empty() && all ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine line("A soak under random faults, on loopback.");
  TCLAP::ValueArg<int> seconds("", "seconds", "how long", false, 600,
                               "seconds", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the faults", false, 1,
                                      "number", line);
  line.parse(argc, argv);
  wg::test::ClusterLayout layout;
  layout.entries = Entries;
  layout.lifetimeSeconds = seconds.getValue() + 300;
  layout.deadlineMs = 5000;
  TestCluster cluster(layout);
  Soak soak(cluster);
  std::mt19937_64 random(seed.getValue());
  std::vector<std::thread> threads;
  for (int i = 0; i < CallerThreads; ++i) {
    threads.emplace_back([&soak] { SendRequests(soak); });
  }
  threads.emplace_back([&soak] { MakeChanges(soak); });
  threads.emplace_back([&soak] { WatchRevisions(soak); });
  const absl::Time start = absl::Now();
  const absl::Time end = start + absl::Seconds(seconds.getValue());
  absl::Time report = start + ReportPeriod;
  while (absl::Now() < end) {
    BreakSomething(soak, random);
    absl::SleepFor(absl::Seconds(2));
    if (absl::Now() >= report) {
      PrintLine(soak, start);
      report = absl::Now() + ReportPeriod;
    }
  }
  soak.stopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  PrintLine(soak, start);
  return Judge(soak);
}
