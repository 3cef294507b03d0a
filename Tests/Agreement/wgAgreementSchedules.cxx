// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include <tclap/CmdLine.h>

#include "wgFakeCluster.h"

namespace {

constexpr int StepsPerSchedule = 600;
constexpr std::size_t SmallCluster = 3;
constexpr std::size_t LargeCluster = 5;

/** Sums the counts of all schedules across threads. */
class Totals
{
public:
  void Add(const wg::test::ScheduleCounts& counts)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sum_.acknowledged += counts.acknowledged;
    sum_.crashes += counts.crashes;
    sum_.wipes += counts.wipes;
    sum_.removed += counts.removed;
    sum_.voterChanges += counts.voterChanges;
    sum_.snapshots += counts.snapshots;
    sum_.elections += counts.elections;
    sum_.plannedEnds += counts.plannedEnds;
    sum_.handedOver += counts.handedOver;
    sum_.calmEnds += counts.calmEnds;
  }
  const wg::test::ScheduleCounts& Sum() const { return sum_; }

private:
  std::mutex mutex_;
  wg::test::ScheduleCounts sum_;
};

} // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine line("Seeded random schedules of the replicated log.");
  TCLAP::ValueArg<std::uint64_t> first("", "seed", "first seed", false, 1,
                                       "number", line);
  TCLAP::ValueArg<std::uint64_t> count("", "schedules", "how many", false,
                                       1000, "number", line);
  TCLAP::SwitchArg planned("", "planned-ends",
                           "boxes are also told to end, with a standby that "
                           "takes their votes",
                           line);
  line.parse(argc, argv);
  std::atomic<std::uint64_t> next{ first.getValue() };
  const std::uint64_t end = first.getValue() + count.getValue();
  std::atomic<int> failures{ 0 };
  std::mutex outputMutex;
  Totals totals;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed < end && failures < 5;
         seed = next++) {
      const bool plansEnds = planned.getValue();
      wg::test::FakeCluster cluster(
        seed, seed % 4 == 0 ? LargeCluster : SmallCluster,
        plansEnds ? 1 + seed % 2 : seed % 3, plansEnds);
      const std::string failure = cluster.Run(StepsPerSchedule);
      totals.Add(cluster.Counts());
      if (!failure.empty()) {
        ++failures;
        const std::lock_guard<std::mutex> lock(outputMutex);
        std::cout << "seed " << seed << ": " << failure << "\n";
      }
    }
  };
  std::vector<std::thread> threads(std::thread::hardware_concurrency());
  for (std::thread& thread : threads) {
    thread = std::thread(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const wg::test::ScheduleCounts& sum = totals.Sum();
  std::cout << count.getValue() << " schedules: " << sum.acknowledged
            << " acknowledged entries, " << sum.elections << " elections, "
            << sum.crashes << " crashes, " << sum.wipes << " lost disks, "
            << sum.removed << " lost boxes, " << sum.plannedEnds
            << " planned ends (" << sum.handedOver << " votes handed over, "
            << sum.calmEnds << " while nothing else happened), "
            << sum.voterChanges << " voter changes, " << sum.snapshots
            << " snapshots, " << failures << " failures\n";
  return failures == 0 ? 0 : 1;
}
