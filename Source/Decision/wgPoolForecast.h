// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <map>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The rate at which all endpoints of a pool together start pieces. */
struct PoolRate
{
  double piecesPerSecond = 0.0;  // 0: no endpoint accepts calls
  double piecesPerCall = 1.0;    // in a full call
  double secondsUntilFree = 0.0; // until the next call can start
};

/** \brief Work that waits at a pool or holds a reservation of its capacity. */
struct PendingWork
{
  Elapsed order; // work with the smallest value is served first
  int rank = 0;  // 0 is the most urgent
  double pieces = 0.0;
  Elapsed earliest; // time of arrival; in the past if the work waits already
  Elapsed startBy;  // latest time at which its call may start
};

/** \brief Estimate for requested work. */
struct WorkForecast
{
  absl::Duration wait; // until the call with the work would start
  bool isInTime = false;
  /** Whether pending work of the same or a more urgent rank would start too
   * late because of the requested work.
   */
  bool delaysOthers = false;
};

/** \brief Estimates when a call with the requested work would start, behind
 * the pending work that is served before it.
 *
 * The pending work includes work that other boxes have admitted and that has
 * not arrived yet. Without it, 59 boxes that admitted by the last reported
 * waits all used the same capacity: in a burst of 2.4 times the usual
 * requests, 2,300 pieces waited at a pool that served 540 a second.
 */
WorkForecast ForecastWork(const PoolRate& rate,
                          absl::Span<const PendingWork> pending,
                          const PendingWork& requested, Elapsed now);

/** \brief Returns the time until all pending work has started, in seconds. */
double SecondsToClear(const PoolRate& rate,
                      absl::Span<const PendingWork> pending, Elapsed now);

/** \brief Recently requested pieces by rank, as exponentially decaying sums.
 */
struct RankDemand
{
  std::map<int, double> pieces;
  Elapsed noted;
};

/** \brief Records that work of a rank was requested. */
void NoteDemand(RankDemand& demand, int rank, double pieces, Elapsed now);

/** \brief Returns the recent demand of all more urgent ranks, in pieces per
 * second.
 */
double UrgentDemand(const RankDemand& demand, int rank, Elapsed now);

/** \brief Returns the pool's rate less the recent demand of more urgent ranks.
 * More urgent work that arrives while work of this rank waits is served first.
 */
PoolRate RateLeft(const PoolRate& rate, const RankDemand& demand, int rank,
                  Elapsed now);

/** \brief The rate at which a busy pool started pieces, as exponentially
 * decaying sums. A pool is busy while more pieces wait than fit into a call.
 */
struct BusyRate
{
  double pieces = 0.0;
  double seconds = 0.0;
  Elapsed noted;
  bool isBusy = false;
};

/** \brief Records whether the pool is busy from now on. */
void NoteBusy(BusyRate& busy, bool isBusy, Elapsed now);
/** \brief Records started pieces; those started while the pool is not busy do
 * not count.
 */
void NoteStarted(BusyRate& busy, double pieces);

/** \brief Returns the measured rate if the pool was busy for long enough
 * recently, else the expected one. Full result buffers, calls of other boxes
 * or slow endpoints may keep a pool below its expected rate.
 */
PoolRate ObservedRate(const PoolRate& expected, const BusyRate& busy);

/** \brief Retries that refused callers were told to make, with their times. */
struct PromisedReturns
{
  struct Retry
  {
    Elapsed at;
    double pieces = 0.0;
  };
  std::deque<Retry> retries; // in the order in which callers were refused
};

/** \brief Returns the delay after which a refused caller should retry, and
 * adds this retry to the scheduled ones.
 *
 * The delay lasts until the pending work and the work of all retries scheduled
 * before have started.
 * \param pieces of the refused request
 */
absl::Duration PromiseReturn(PromisedReturns& promised, const PoolRate& rate,
                             absl::Span<const PendingWork> pending,
                             double pieces, Elapsed now);

} // namespace wg
