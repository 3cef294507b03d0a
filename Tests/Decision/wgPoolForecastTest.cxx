// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <deque>
#include <vector>

#include <catch2/catch.hpp>

#include "wgPoolForecast.h"

namespace {

const wg::Elapsed Now = absl::Seconds(100);
constexpr double PiecesPerSecond = 540.0; // four endpoints, 50 pieces in .37 s
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

/** A burst at a pool: works that are admitted arrive 0.3 s later and are
 * served in their order of arrival.
 */
struct Burst
{
  int admitted = 0;
  int late = 0;
  double busySeconds = 0.0;
};

constexpr double BurstSeconds = 6.0;
constexpr double AskedPerSecond = 230.0; // 2.5 times what the pool bears
constexpr absl::Duration Travel = absl::Milliseconds(300);
constexpr absl::Duration MayWait = absl::Milliseconds(1900);

/** \param admit gets the works that have not started and when it is asked */
template <class Admit>
Burst PlayBurst(Admit admit)
{
  Burst burst;
  std::vector<wg::PendingWork> admitted;
  double clock = 0.0; // when the pool has started all that was admitted
  const int asked = static_cast<int>(BurstSeconds * AskedPerSecond);
  std::deque<std::pair<double, wg::PendingWork>> open; // by start
  for (int i = 0; i < asked; ++i) {
    const double second = i / AskedPerSecond;
    const wg::Elapsed now = Now + absl::Seconds(second);
    while (!open.empty() && open.front().first <= second) {
      open.pop_front();
    }
    wg::PendingWork work;
    work.pieces = PiecesOfWork;
    work.earliest = now + Travel;
    work.startBy = now + MayWait;
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
    // The work that is being started is not among those that have not.
    const double allowed = 1.01 * PiecesOfWork / PiecesPerSecond;
    burst.late +=
      start > absl::ToDoubleSeconds(work.startBy - Now) + allowed ? 1 : 0;
    open.emplace_back(start, work);
  }
  burst.busySeconds = clock;
  return burst;
}

} // namespace

// Failure: boxes that judge by the waits they were told a second ago all admit
// to the same capacity, and most of what they admit ends late.
TEST_CASE("A burst is admitted as far as the pool serves it in time")
{
  wg::PoolRate rate = Rate();
  rate.piecesPerCall = PiecesOfWork; // the burst is served work by work
  const auto byForecast = [&rate](const auto& pending, const auto& work,
                                  wg::Elapsed now) {
    return wg::ForecastWork(rate, pending, work, now).isInTime;
  };
  const Burst reserved = PlayBurst(byForecast);
  const double most = PiecesPerSecond / PiecesOfWork *
                      (BurstSeconds + absl::ToDoubleSeconds(MayWait));
  CHECK(reserved.late == 0);
  CHECK(reserved.admitted > 0.9 * most);

  wg::Elapsed told = Now - absl::Seconds(1);
  double toldWait = 0.0;
  const Burst byTold =
    PlayBurst([&](const auto& pending, const auto& work, wg::Elapsed now) {
      if (now - told >= absl::Seconds(1)) {
        told = now;
        double arrived = 0.0; // works on their way are known to nobody
        for (const auto& each : pending) {
          arrived += each.earliest <= now ? each.pieces : 0.0;
        }
        toldWait = arrived / PiecesPerSecond;
      }
      return now + absl::Seconds(toldWait) <= work.startBy;
    });
  CHECK(byTold.late > byTold.admitted / 4);
}

TEST_CASE("Work waits for what goes before it, not for what goes behind it")
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

TEST_CASE("A pool that will be idle until work arrives is not reckoned twice")
{
  std::vector<wg::PendingWork> pending{ Work(540, absl::Seconds(1)) };
  pending.front().earliest = Now + absl::Milliseconds(600);
  wg::PendingWork asked = Work(50, absl::Seconds(2));
  CHECK(absl::ToDoubleSeconds(
          wg::ForecastWork(Rate(), pending, asked, Now).wait) == Approx(1.6));
  // What comes after the asked work has to start is not ahead of it.
  asked.startBy = Now + absl::Milliseconds(500);
  CHECK(wg::ForecastWork(Rate(), pending, asked, Now).wait ==
        absl::ZeroDuration());
}

TEST_CASE("Work that fits a call does not wait for another one")
{
  const std::vector<wg::PendingWork> pending{ Work(40, absl::Seconds(1)) };
  const auto forecast =
    wg::ForecastWork(Rate(0.1), pending, Work(10, absl::Seconds(2)), Now);
  CHECK(absl::ToDoubleSeconds(forecast.wait) == Approx(0.1));
}

// Failure: work with an earlier deadline is admitted, and what was granted
// before misses its own.
TEST_CASE("What was granted to the same or a better rank is kept")
{
  const std::vector<wg::PendingWork> pending{
    Work(540, absl::Milliseconds(500)), Work(54, absl::Milliseconds(1050), 1)
  };
  wg::PendingWork asked = Work(108, absl::Milliseconds(1040), 1);
  asked.order = Now + absl::Milliseconds(1000);
  CHECK(wg::ForecastWork(Rate(), pending, asked, Now).delaysOthers);
  asked.rank = 0;
  CHECK_FALSE(wg::ForecastWork(Rate(), pending, asked, Now).delaysOthers);
}

TEST_CASE("A pool without endpoints that take calls grants what can wait")
{
  const wg::PoolRate closed{ 0.0, 50.0, 1.0 };
  CHECK(wg::ForecastWork(closed, {}, Work(1, absl::Seconds(2)), Now).isInTime);
  CHECK_FALSE(
    wg::ForecastWork(closed, {}, Work(1, absl::Seconds(1)), Now).isInTime);
}

// Failure: a less urgent kind fills the pool and a more urgent one that comes
// a moment later is refused or late.
TEST_CASE("What more urgent kinds ask for lately is kept for them")
{
  wg::RankDemand demand;
  for (int i = 0; i < 300; ++i) {
    wg::NoteDemand(demand, 1, 1.0, Now + absl::Milliseconds(10 * i));
  }
  const wg::Elapsed now = Now + absl::Seconds(3);
  CHECK(wg::UrgentDemand(demand, 2, now) == Approx(95.0).margin(6.0));
  CHECK(wg::UrgentDemand(demand, 1, now) == 0.0);
  CHECK(wg::RateLeft(Rate(), demand, 2, now).piecesPerSecond ==
        Approx(445.0).margin(6.0));
  CHECK(wg::UrgentDemand(demand, 2, now + absl::Seconds(5)) < 1.0);
  for (int i = 0; i < 2000; ++i) {
    wg::NoteDemand(demand, 0, 1.0, now);
  }
  CHECK(wg::RateLeft(Rate(), demand, 2, now).piecesPerSecond ==
        Approx(0.1 * PiecesPerSecond));
}

// Failure: endpoints without room for results make small calls, and the pool
// is filled as if they made full ones.
TEST_CASE("A pool that was busy is taken at the rate that it had")
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

TEST_CASE("A pool that started nothing is not taken to be stopped for good")
{
  wg::BusyRate busy;
  wg::NoteBusy(busy, true, Now);
  wg::NoteBusy(busy, true, Now + absl::Seconds(2));
  CHECK(wg::ObservedRate(Rate(), busy).piecesPerSecond ==
        Approx(0.25 * PiecesPerSecond));
}

// Failure: all callers of a burst are told the same second and come back as
// another burst.
TEST_CASE("Callers that are told to come back are spread")
{
  wg::PromisedReturns promised;
  const std::vector<wg::PendingWork> pending{ Work(540, absl::Seconds(1)) };
  std::vector<double> told;
  for (int i = 0; i < 90; ++i) {
    told.push_back(absl::ToDoubleSeconds(
      wg::PromiseReturn(promised, Rate(), pending, PiecesOfWork, Now)));
  }
  CHECK(told.front() == Approx(1.0));
  CHECK(told.back() == Approx(2.0).margin(0.02));
  CHECK(std::is_sorted(told.begin(), told.end()));
  const wg::Elapsed later = Now + absl::Seconds(3);
  CHECK(absl::ToDoubleSeconds(
          wg::PromiseReturn(promised, Rate(), {}, PiecesOfWork, later)) ==
        Approx(0.0).margin(0.01));
}
