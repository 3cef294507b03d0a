// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <deque>
#include <vector>

#include <catch2/catch.hpp>

#include "wgPoolForecast.h"

namespace {

const wg::Elapsed Now = absl::Seconds(100);
constexpr double PiecesPerSecond =
  540.0; // four endpoints, each 50 pieces in .37 s
constexpr double PiecesOfWork = 6.0;

wg::PoolRate Rate(double free = 0.0)
{
  return { PiecesPerSecond, 50.0, free };
}

wg::PendingWork Work(double pieces, absl::Duration startBy, int rank = 0)
{
  wg::PendingWork work;
  work.pieces = pieces;
  work.rank = rank;
  work.earliest = Now;
  work.startBy = Now + startBy;
  work.order = work.startBy;
  return work;
}

/** A burst at a pool: admitted work arrives 0.3 s later and is served in order
 * of arrival.
 */
struct Burst
{
  int admitted = 0;
  int late = 0;
  double busySeconds = 0.0;
};

constexpr double BurstSeconds = 6.0;
constexpr double RequestsPerSecond =
  230.0; // 2.5 times the capacity of the pool
constexpr absl::Duration ArrivalDelay = absl::Milliseconds(300);
constexpr absl::Duration MaxWait = absl::Milliseconds(1900);

/** \param admit gets the pending work, the requested work and the time */
template <class Admit>
Burst SimulateBurst(Admit admit)
{
  Burst burst;
  std::vector<wg::PendingWork> admitted;
  double clock = 0.0; // when the pool has started all admitted work
  const int requested = static_cast<int>(BurstSeconds * RequestsPerSecond);
  std::deque<std::pair<double, wg::PendingWork>> open; // by start
  for (int i = 0; i < requested; ++i) {
    const double second = i / RequestsPerSecond;
    const wg::Elapsed now = Now + absl::Seconds(second);
    while (!open.empty() && open.front().first <= second) {
      open.pop_front();
    }
    wg::PendingWork work;
    work.pieces = PiecesOfWork;
    work.earliest = now + ArrivalDelay;
    work.startBy = now + MaxWait;
    work.order = work.startBy;
    std::vector<wg::PendingWork> pending;
    for (const auto& [start, each] : open) {
      pending.push_back(each);
    }
    if (!admit(pending, work, now)) {
      continue;
    }
    ++burst.admitted;
    const double arrives = absl::ToDoubleSeconds(work.earliest - Now);
    const double start = std::max(clock, arrives);
    clock = start + PiecesOfWork / PiecesPerSecond;
    // Work that is just starting is not pending, but still occupies the pool.
    const double allowed = 1.01 * PiecesOfWork / PiecesPerSecond;
    burst.late +=
      start > absl::ToDoubleSeconds(work.startBy - Now) + allowed ? 1 : 0;
    open.emplace_back(start, work);
  }
  burst.busySeconds = clock;
  return burst;
}

} // namespace

// Failure: boxes that admit by waits reported a second ago all use the same
// capacity, and most of the admitted work is late.
TEST_CASE("A burst is admitted up to the capacity that serves it in time")
{
  wg::PoolRate rate = Rate();
  rate.piecesPerCall = PiecesOfWork; // no two requests share a call
  const auto byForecast = [&rate](const auto& pending, const auto& work,
                                  wg::Elapsed now) {
    return wg::ForecastWork(rate, pending, work, now).isInTime;
  };
  const Burst reserved = SimulateBurst(byForecast);
  const double maxAdmitted = PiecesPerSecond / PiecesOfWork *
                             (BurstSeconds + absl::ToDoubleSeconds(MaxWait));
  CHECK(reserved.late == 0);
  CHECK(reserved.admitted > 0.9 * maxAdmitted);

  wg::Elapsed reported = Now - absl::Seconds(1);
  double reportedWait = 0.0;
  const Burst byReported =
    SimulateBurst([&](const auto& pending, const auto& work, wg::Elapsed now) {
      if (now - reported >= absl::Seconds(1)) {
        reported = now;
        double arrived = 0.0; // work on its way is not reported
        for (const auto& each : pending) {
          arrived += each.earliest <= now ? each.pieces : 0.0;
        }
        reportedWait = arrived / PiecesPerSecond;
      }
      return now + absl::Seconds(reportedWait) <= work.startBy;
    });
  CHECK(byReported.late > byReported.admitted / 4);
}

TEST_CASE("Work waits only for work that is served before it")
{
  const std::vector<wg::PendingWork> pending{ Work(540, absl::Seconds(1)),
                                              Work(540, absl::Seconds(3)) };
  const auto forecast =
    wg::ForecastWork(Rate(), pending, Work(50, absl::Seconds(2)), Now);
  CHECK(absl::ToDoubleSeconds(forecast.wait) == Approx(1.0));
  CHECK(forecast.isInTime);
  CHECK_FALSE(
    wg::ForecastWork(Rate(), pending, Work(50, absl::Milliseconds(3500)), Now)
      .isInTime == false);
}

TEST_CASE(
  "Work waits for pending work that is still to arrive, unless it must start "
  "before")
{
  std::vector<wg::PendingWork> pending{ Work(540, absl::Seconds(1)) };
  pending.front().earliest = Now + absl::Milliseconds(600);
  wg::PendingWork requested = Work(50, absl::Seconds(2));
  CHECK(absl::ToDoubleSeconds(
          wg::ForecastWork(Rate(), pending, requested, Now).wait) ==
        Approx(1.6));
  // Work that arrives after the latest start is not ahead.
  requested.startBy = Now + absl::Milliseconds(500);
  CHECK(wg::ForecastWork(Rate(), pending, requested, Now).wait ==
        absl::ZeroDuration());
}

TEST_CASE("Work that fits into a call shares it with the work ahead")
{
  const std::vector<wg::PendingWork> pending{ Work(40, absl::Seconds(1)) };
  const auto forecast =
    wg::ForecastWork(Rate(0.1), pending, Work(10, absl::Seconds(2)), Now);
  CHECK(absl::ToDoubleSeconds(forecast.wait) == Approx(0.1));
}

// Failure: work with an earlier deadline is admitted and makes work late that
// was granted before.
TEST_CASE(
  "Work that makes granted work of the same or a more urgent rank late "
  "is detected")
{
  const std::vector<wg::PendingWork> pending{
    Work(540, absl::Milliseconds(500)), Work(54, absl::Milliseconds(1050), 1)
  };
  wg::PendingWork requested = Work(108, absl::Milliseconds(1040), 1);
  requested.order = Now + absl::Milliseconds(1000);
  CHECK(wg::ForecastWork(Rate(), pending, requested, Now).delaysOthers);
  requested.rank = 0;
  CHECK_FALSE(wg::ForecastWork(Rate(), pending, requested, Now).delaysOthers);
}

TEST_CASE("A pool whose endpoints accept no calls grants work that can wait")
{
  const wg::PoolRate closed{ 0.0, 50.0, 1.0 };
  CHECK(wg::ForecastWork(closed, {}, Work(1, absl::Seconds(2)), Now).isInTime);
  CHECK_FALSE(
    wg::ForecastWork(closed, {}, Work(1, absl::Seconds(1)), Now).isInTime);
}

// Failure: a less urgent rank fills the pool, and more urgent work that
// arrives a moment later is refused or late.
TEST_CASE("The recent demand of more urgent ranks is reserved for them")
{
  wg::RankDemand demand;
  for (int i = 0; i < 300; ++i) {
    wg::NoteDemand(demand, 1, 1.0, Now + absl::Milliseconds(10 * i));
  }
  const wg::Elapsed now = Now + absl::Seconds(3);
  CHECK(wg::UrgentDemand(demand, 2, now) == Approx(95.0).margin(6.0));
  CHECK(wg::UrgentDemand(demand, 1, now) == 0.0);
  CHECK(wg::RemainingRate(Rate(), demand, 2, now).piecesPerSecond ==
        Approx(445.0).margin(6.0));
  CHECK(wg::UrgentDemand(demand, 2, now + absl::Seconds(5)) < 1.0);
  for (int i = 0; i < 2000; ++i) {
    wg::NoteDemand(demand, 0, 1.0, now);
  }
  CHECK(wg::RemainingRate(Rate(), demand, 2, now).piecesPerSecond ==
        Approx(0.1 * PiecesPerSecond));
}

// Failure: full result buffers keep calls small, and work is admitted as if
// calls were full.
TEST_CASE("A pool that was busy has its measured rate")
{
  wg::BusyRate busy;
  wg::NoteBusy(busy, true, Now);
  for (int i = 1; i <= 40; ++i) {
    wg::NoteStarted(busy, 13.5);
    wg::NoteBusy(busy, true, Now + absl::Milliseconds(50 * i));
  }
  CHECK(wg::ObservedRate(Rate(), busy).piecesPerSecond ==
        Approx(270.0).epsilon(0.05));
  wg::NoteBusy(busy, false, Now + absl::Seconds(2));
  wg::NoteBusy(busy, false, Now + absl::Seconds(5));
  CHECK(wg::ObservedRate(Rate(), busy).piecesPerSecond == PiecesPerSecond);
}

TEST_CASE(
  "A busy pool that started nothing keeps a quarter of its expected rate")
{
  wg::BusyRate busy;
  wg::NoteBusy(busy, true, Now);
  wg::NoteBusy(busy, true, Now + absl::Seconds(2));
  CHECK(wg::ObservedRate(Rate(), busy).piecesPerSecond ==
        Approx(0.25 * PiecesPerSecond));
}

// Failure: all callers of a burst get the same delay and retry as another
// burst.
TEST_CASE("Retries of refused callers are spread")
{
  wg::ScheduledRetries promised;
  const std::vector<wg::PendingWork> pending{ Work(540, absl::Seconds(1)) };
  std::vector<double> delays;
  for (int i = 0; i < 90; ++i) {
    delays.push_back(absl::ToDoubleSeconds(
      wg::ScheduleRetry(promised, Rate(), pending, PiecesOfWork, Now)));
  }
  CHECK(delays.front() == Approx(1.0));
  CHECK(delays.back() == Approx(2.0).margin(0.02));
  CHECK(std::is_sorted(delays.begin(), delays.end()));
  const wg::Elapsed later = Now + absl::Seconds(3);
  CHECK(absl::ToDoubleSeconds(
          wg::ScheduleRetry(promised, Rate(), {}, PiecesOfWork, later)) ==
        Approx(0.0).margin(0.01));
}
