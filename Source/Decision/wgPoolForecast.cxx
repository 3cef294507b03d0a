// SPDX-License-Identifier: Apache-2.0
#include "wgPoolForecast.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wg {
namespace {

/** Long enough for a few requests of each kind, short compared with bursts,
 * which last 5 to 6 s.
 */
constexpr double DemandTimeConstantSeconds = 1.0;
/** Less urgent ranks keep this part of the rate at any demand. */
constexpr double MinRemainingFraction = 0.1;
/** Covers several calls of each endpoint; a call takes 0.2 to 0.4 s. */
constexpr double BusyTimeConstantSeconds = 2.0;
/** Over less, the measured rate is too low: pieces started just before the
 * pool became busy do not count.
 */
constexpr double MinBusySeconds = 0.8;
/** With too low a measured rate, work is refused, and the rate is not measured
 * again.
 */
constexpr double MinFractionOfExpected = 0.25;
/** A scheduled retry counts until this long after its time. */
constexpr absl::Duration RetryGracePeriod = absl::Milliseconds(500);
/** Callers wait at most a third of their remaining time before a retry. */
constexpr absl::Duration MaxRetryDelay = absl::Seconds(10);
constexpr double NoRateWaitSeconds = 0.3;

double SecondsToStart(const PoolRate& rate, double pieces)
{
  return pieces / rate.piecesPerSecond;
}

/** Returns the seconds until all work has started in order of arrival. */
double SecondsUntilAllStarted(const PoolRate& rate,
                              std::vector<const PendingWork*> work,
                              Elapsed now)
{
  std::sort(work.begin(), work.end(),
            [](const PendingWork* a, const PendingWork* b) {
              return a->earliest < b->earliest;
            });
  double clock = rate.secondsUntilFree;
  for (const PendingWork* each : work) {
    clock = std::max(clock, absl::ToDoubleSeconds(each->earliest - now)) +
            SecondsToStart(rate, each->pieces);
  }
  return clock;
}

/** The work shares a call with the work ahead of it where it fits. */
double SecondsUntilStart(const PoolRate& rate, double secondsAhead,
                         const PendingWork& requested, Elapsed now)
{
  const double unusedPieces =
    std::max(0.0, rate.piecesPerCall - requested.pieces);
  const double shared = secondsAhead - SecondsToStart(rate, unusedPieces);
  return std::max({ rate.secondsUntilFree, shared,
                    absl::ToDoubleSeconds(requested.earliest - now) });
}

/** Whether the requested work makes other work late that would start in time
 * without it. Only the pieces ahead count, not the times of arrival.
 */
bool DelaysOthers(const PoolRate& rate, absl::Span<const PendingWork> pending,
                  const PendingWork& requested, Elapsed now)
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
    const bool isBehind = each->order > requested.order;
    if (isBehind && each->rank <= requested.rank) {
      const double before =
        rate.secondsUntilFree + SecondsToStart(rate, ahead);
      const double after = before + SecondsToStart(rate, requested.pieces);
      const double mayWait = absl::ToDoubleSeconds(each->startBy - now);
      if (before <= mayWait && after > mayWait) {
        return true;
      }
    }
    ahead += each->pieces;
  }
  return false;
}

double Decayed(double value, double seconds, double timeConstant)
{
  return value * std::exp(-std::max(0.0, seconds) / timeConstant);
}

} // namespace

WorkForecast ForecastWork(const PoolRate& rate,
                          absl::Span<const PendingWork> pending,
                          const PendingWork& requested, Elapsed now)
{
  WorkForecast forecast;
  if (rate.piecesPerSecond <= 0.0) {
    forecast.wait = absl::Seconds(rate.secondsUntilFree + NoRateWaitSeconds);
    forecast.isInTime = now + forecast.wait <= requested.startBy;
    return forecast;
  }
  std::vector<const PendingWork*> ahead;
  for (const PendingWork& each : pending) {
    if (each.order <= requested.order && each.earliest < requested.startBy) {
      ahead.push_back(&each);
    }
  }
  const bool isLast = ahead.size() == pending.size();
  const double started = SecondsUntilAllStarted(rate, std::move(ahead), now);
  forecast.wait =
    absl::Seconds(SecondsUntilStart(rate, started, requested, now));
  forecast.isInTime = now + forecast.wait <= requested.startBy;
  forecast.delaysOthers = !isLast && forecast.isInTime &&
                          DelaysOthers(rate, pending, requested, now);
  return forecast;
}

double SecondsToDrain(const PoolRate& rate,
                      absl::Span<const PendingWork> pending, Elapsed now)
{
  if (rate.piecesPerSecond <= 0.0) {
    return rate.secondsUntilFree + NoRateWaitSeconds;
  }
  std::vector<const PendingWork*> all;
  for (const PendingWork& each : pending) {
    all.push_back(&each);
  }
  return SecondsUntilAllStarted(rate, std::move(all), now);
}

void NoteDemand(RankDemand& demand, int rank, double pieces, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - demand.noted);
  for (auto& [known, sum] : demand.pieces) {
    sum = Decayed(sum, age, DemandTimeConstantSeconds);
  }
  demand.noted = now;
  demand.pieces[rank] += pieces;
}

double UrgentDemand(const RankDemand& demand, int rank, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - demand.noted);
  double urgent = 0.0;
  for (const auto& [known, sum] : demand.pieces) {
    urgent +=
      known < rank ? Decayed(sum, age, DemandTimeConstantSeconds) : 0.0;
  }
  return urgent / DemandTimeConstantSeconds;
}

PoolRate RemainingRate(const PoolRate& rate, const RankDemand& demand,
                       int rank, Elapsed now)
{
  PoolRate left = rate;
  left.piecesPerSecond =
    std::max(MinRemainingFraction * rate.piecesPerSecond,
             rate.piecesPerSecond - UrgentDemand(demand, rank, now));
  return left;
}

void NoteBusy(BusyRate& busy, bool isBusy, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - busy.noted);
  busy.pieces = Decayed(busy.pieces, age, BusyTimeConstantSeconds);
  busy.seconds = Decayed(busy.seconds, age, BusyTimeConstantSeconds);
  busy.seconds += busy.isBusy ? std::min(age, BusyTimeConstantSeconds) : 0.0;
  busy.isBusy = isBusy;
  busy.noted = now;
}

void NoteStarted(BusyRate& busy, double pieces)
{
  busy.pieces += busy.isBusy ? pieces : 0.0;
}

PoolRate ObservedRate(const PoolRate& expected, const BusyRate& busy)
{
  if (busy.seconds < MinBusySeconds) {
    return expected;
  }
  PoolRate rate = expected;
  rate.piecesPerSecond =
    std::clamp(busy.pieces / busy.seconds,
               MinFractionOfExpected * expected.piecesPerSecond,
               expected.piecesPerSecond);
  return rate;
}

absl::Duration ScheduleRetry(ScheduledRetries& promised, const PoolRate& rate,
                             absl::Span<const PendingWork> pending,
                             double pieces, Elapsed now)
{
  auto& retries = promised.retries;
  while (!retries.empty() && retries.front().at + RetryGracePeriod < now) {
    retries.pop_front();
  }
  double before = 0.0;
  for (const auto& each : retries) {
    before += each.pieces;
  }
  double seconds = SecondsToDrain(rate, pending, now);
  if (rate.piecesPerSecond > 0.0) {
    seconds += SecondsToStart(rate, before);
  }
  const absl::Duration wait = std::min(MaxRetryDelay, absl::Seconds(seconds));
  if (wait < MaxRetryDelay) {
    retries.push_back({ now + wait, pieces });
  }
  return wait;
}

} // namespace wg
