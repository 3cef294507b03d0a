// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <map>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief How fast a pool starts pieces, all its endpoints together. */
struct PoolRate
{
  double piecesPerSecond = 0.0;  // 0: no endpoint takes calls
  double piecesPerCall = 1.0;    // of a full one
  double secondsUntilFree = 0.0; // until the next call can start
};

/** \brief Work that a pool has been given or has reserved capacity for. */
struct PendingWork
{
  Elapsed order; // the least is served first
  int rank = 0;  // 0 is the most urgent
  double pieces = 0.0;
  Elapsed earliest; // when it arrives; in the past: it waits
  Elapsed startBy;  // when its call must start
};

/** \brief What would become of work that is asked for. */
struct WorkForecast
{
  absl::Duration wait; // until its call would start
  bool isInTime = false;
  /** Whether work of the same or a better rank would no longer be in time. */
  bool delaysOthers = false;
};

/** \brief When a call with the asked work would start, behind the pending work
 * that is served before it.
 *
 * Work that was admitted by other boxes counts before it arrives: in a burst
 * of 2.4 times the usual requests, 59 boxes that judged by waits they were
 * told each admitted to the same capacity, and 2,300 pieces waited where 540 a
 * second were served.
 */
WorkForecast ForecastWork(const PoolRate& rate,
                          absl::Span<const PendingWork> pending,
                          const PendingWork& asked, Elapsed now);

/** \brief How long until all pending work has started, in seconds. */
double SecondsToClear(const PoolRate& rate,
                      absl::Span<const PendingWork> pending, Elapsed now);

/** \brief Pieces asked for lately, by rank, as decaying sums. */
struct RankDemand
{
  std::map<int, double> pieces;
  Elapsed noted;
};

void NoteDemand(RankDemand& demand, int rank, double pieces, Elapsed now);

/** \brief Pieces a second that more urgent ranks have asked for lately. */
double UrgentDemand(const RankDemand& demand, int rank, Elapsed now);

/** \brief The rate that is left for a rank: more urgent work that comes while
 * it waits goes before it.
 */
PoolRate RateLeft(const PoolRate& rate, const RankDemand& demand, int rank,
                  Elapsed now);

/** \brief How fast pieces were started while others kept waiting, as decaying
 * sums.
 */
struct BusyRate
{
  double pieces = 0.0;
  double seconds = 0.0;
  Elapsed noted;
  bool isBusy = false;
};

/** \brief Time passes with more pieces waiting than fit a call, or not. */
void NoteBusy(BusyRate& busy, bool isBusy, Elapsed now);
void NoteStarted(BusyRate& busy, double pieces);

/** \brief The rate by what endpoints should do, or by what they did where the
 * pool was busy for long enough lately: room for results, other senders or
 * slow endpoints may bind.
 */
PoolRate ObservedRate(const PoolRate& expected, const BusyRate& busy);

/** \brief Callers that were told to come back, by when. */
struct PromisedReturns
{
  struct Return
  {
    Elapsed at;
    double pieces = 0.0;
  };
  std::deque<Return> returns; // in the order in which they were told
};

/** \brief When a refused caller finds capacity: once the pending work has
 * started, and that of callers who were told to come back before it. Counts
 * the caller among those.
 */
absl::Duration PromiseReturn(PromisedReturns& promised, const PoolRate& rate,
                             absl::Span<const PendingWork> pending,
                             double pieces, Elapsed now);

} // namespace wg
