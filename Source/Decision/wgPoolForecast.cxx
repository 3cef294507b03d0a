// SPDX-License-Identifier: Apache-2.0
#include "wgPoolForecast.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wg {
namespace {

/** Long enough for a few requests of each kind, short against the 5 to 6 s
 * that bursts last.
 */
constexpr double DemandSeconds = 1.0;
/** However much more urgent kinds ask for, the others get some. */
constexpr double LeastShareLeft = 0.1;
/** Calls take 0.2 to 0.4 s: several calls of each endpoint. */
constexpr double BusyMemorySeconds = 2.0;
/** With less, what was started before the pool was busy would be missed. */
constexpr double LeastBusySeconds = 0.8;
/** A rate that is measured too low refuses work and so stays unmeasured. */
constexpr double LeastOfExpected = 0.25;
/** Callers that are told to come back are given up on so long after it. */
constexpr absl::Duration ReturnMemory = absl::Milliseconds(500);
/** Callers wait no longer than a third of what they have left. */
constexpr absl::Duration LongestReturn = absl::Seconds(10);
constexpr double NoRateWaitSeconds = 0.3;

double SecondsOf(const PoolRate& rate, double pieces)
{
  return pieces / rate.piecesPerSecond;
}

/** When the pool has started all of this work, in seconds from now, if it
 * starts it as it arrives.
 */
double StartedAfter(const PoolRate& rate, std::vector<const PendingWork*> work,
                    Elapsed now)
{
  std::sort(work.begin(), work.end(),
            [](const PendingWork* a, const PendingWork* b) {
              return a->earliest < b->earliest;
            });
  double clock = rate.secondsUntilFree;
  for (const PendingWork* each : work) {
    clock = std::max(clock, absl::ToDoubleSeconds(each->earliest - now)) +
            SecondsOf(rate, each->pieces);
  }
  return clock;
}

/** Work that fits a call goes along with what is ahead of it. */
double StartSeconds(const PoolRate& rate, double startedAhead,
                    const PendingWork& asked, Elapsed now)
{
  const double roomInCall = std::max(0.0, rate.piecesPerCall - asked.pieces);
  const double shared = startedAhead - SecondsOf(rate, roomInCall);
  return std::max({ rate.secondsUntilFree, shared,
                    absl::ToDoubleSeconds(asked.earliest - now) });
}

/** Whether the asked work makes other work late that would have been in time
 * without it. Orders are compared by the pieces ahead alone.
 */
bool DelaysOthers(const PoolRate& rate, absl::Span<const PendingWork> pending,
                  const PendingWork& asked, Elapsed now)
{
  std::vector<const PendingWork*> byOrder;
  byOrder.reserve(pending.size());
  for (const PendingWork& each : pending) {
    byOrder.push_back(&each);
  }
  std::sort(byOrder.begin(), byOrder.end(),
            [](const PendingWork* a, const PendingWork* b) {
              return a->order < b->order;
            });
  double ahead = 0.0;
  for (const PendingWork* each : byOrder) {
    const bool isBehind = each->order > asked.order;
    if (isBehind && each->rank <= asked.rank) {
      const double before = rate.secondsUntilFree + SecondsOf(rate, ahead);
      const double after = before + SecondsOf(rate, asked.pieces);
      const double mayWait = absl::ToDoubleSeconds(each->startBy - now);
      if (before <= mayWait && after > mayWait) {
        return true;
      }
    }
    ahead += each->pieces;
  }
  return false;
}

double Decayed(double value, double seconds, double memory)
{
  return value * std::exp(-std::max(0.0, seconds) / memory);
}

} // namespace

WorkForecast ForecastWork(const PoolRate& rate,
                          absl::Span<const PendingWork> pending,
                          const PendingWork& asked, Elapsed now)
{
  WorkForecast forecast;
  if (rate.piecesPerSecond <= 0.0) {
    forecast.wait = absl::Seconds(rate.secondsUntilFree + NoRateWaitSeconds);
    forecast.isInTime = now + forecast.wait <= asked.startBy;
    return forecast;
  }
  std::vector<const PendingWork*> ahead;
  for (const PendingWork& each : pending) {
    if (each.order <= asked.order && each.earliest < asked.startBy) {
      ahead.push_back(&each);
    }
  }
  const bool isLast = ahead.size() == pending.size();
  const double started = StartedAfter(rate, std::move(ahead), now);
  forecast.wait = absl::Seconds(StartSeconds(rate, started, asked, now));
  forecast.isInTime = now + forecast.wait <= asked.startBy;
  forecast.delaysOthers =
    !isLast && forecast.isInTime && DelaysOthers(rate, pending, asked, now);
  return forecast;
}

double SecondsToClear(const PoolRate& rate,
                      absl::Span<const PendingWork> pending, Elapsed now)
{
  if (rate.piecesPerSecond <= 0.0) {
    return rate.secondsUntilFree + NoRateWaitSeconds;
  }
  std::vector<const PendingWork*> all;
  for (const PendingWork& each : pending) {
    all.push_back(&each);
  }
  return StartedAfter(rate, std::move(all), now);
}

void NoteDemand(RankDemand& demand, int rank, double pieces, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - demand.noted);
  for (auto& [known, sum] : demand.pieces) {
    sum = Decayed(sum, age, DemandSeconds);
  }
  demand.noted = now;
  demand.pieces[rank] += pieces;
}

double UrgentDemand(const RankDemand& demand, int rank, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - demand.noted);
  double urgent = 0.0;
  for (const auto& [known, sum] : demand.pieces) {
    urgent += known < rank ? Decayed(sum, age, DemandSeconds) : 0.0;
  }
  return urgent / DemandSeconds;
}

PoolRate RateLeft(const PoolRate& rate, const RankDemand& demand, int rank,
                  Elapsed now)
{
  PoolRate left = rate;
  left.piecesPerSecond =
    std::max(LeastShareLeft * rate.piecesPerSecond,
             rate.piecesPerSecond - UrgentDemand(demand, rank, now));
  return left;
}

void NoteBusy(BusyRate& busy, bool isBusy, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - busy.noted);
  busy.pieces = Decayed(busy.pieces, age, BusyMemorySeconds);
  busy.seconds = Decayed(busy.seconds, age, BusyMemorySeconds);
  busy.seconds += busy.isBusy ? std::min(age, BusyMemorySeconds) : 0.0;
  busy.isBusy = isBusy;
  busy.noted = now;
}

void NoteStarted(BusyRate& busy, double pieces)
{
  busy.pieces += busy.isBusy ? pieces : 0.0;
}

PoolRate ObservedRate(const PoolRate& expected, const BusyRate& busy)
{
  if (busy.seconds < LeastBusySeconds) {
    return expected;
  }
  PoolRate rate = expected;
  rate.piecesPerSecond = std::clamp(busy.pieces / busy.seconds,
                                    LeastOfExpected * expected.piecesPerSecond,
                                    expected.piecesPerSecond);
  return rate;
}

absl::Duration PromiseReturn(PromisedReturns& promised, const PoolRate& rate,
                             absl::Span<const PendingWork> pending,
                             double pieces, Elapsed now)
{
  auto& returns = promised.returns;
  while (!returns.empty() && returns.front().at + ReturnMemory < now) {
    returns.pop_front();
  }
  double before = 0.0;
  for (const auto& each : returns) {
    before += each.pieces;
  }
  double seconds = SecondsToClear(rate, pending, now);
  if (rate.piecesPerSecond > 0.0) {
    seconds += SecondsOf(rate, before);
  }
  const absl::Duration wait = std::min(LongestReturn, absl::Seconds(seconds));
  if (wait < LongestReturn) {
    returns.push_back({ now + wait, pieces });
  }
  return wait;
}

} // namespace wg
