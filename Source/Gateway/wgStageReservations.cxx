// SPDX-License-Identifier: Apache-2.0
#include "wgStageReservations.h"

#include <algorithm>
#include <limits>

namespace wg {
namespace {

/** Work comes some milliseconds after the stage before it has ended, which may
 * be later than was planned.
 */
constexpr absl::Duration ReservationMargin = absl::Milliseconds(500);

constexpr std::uint32_t MostPieces = 10000;
constexpr std::int64_t MostMilliseconds = 3600000;

bool IsTime(std::int64_t milliseconds)
{
  return milliseconds >= -MostMilliseconds && milliseconds <= MostMilliseconds;
}

/** Nothing at all would be an answer without a time. */
constexpr absl::Duration LeastRetry = absl::Milliseconds(1);

PendingWork AskedWork(const wire::StageReserve& ask, Elapsed now)
{
  PendingWork work;
  work.rank = static_cast<int>(ask.rank());
  work.pieces = static_cast<double>(ask.pieces());
  work.earliest = now + absl::Milliseconds(ask.earliest_ms());
  work.startBy = now + absl::Milliseconds(ask.start_by_ms());
  work.order = ServiceOrderInTime(now + absl::Milliseconds(ask.finish_by_ms()),
                                  work.rank);
  return work;
}

/** What accounts have used lately, wait for and have reserved. */
AccountStandings StandingsOf(const StagePool& pool,
                             const StageReservations& reservations,
                             absl::Duration wait, Elapsed now)
{
  if (wait <= ContendedWait) { // spares the demands
    return {};
  }
  constexpr double msInSecond = 1e3;
  const double msOfPiece =
    ExpectedCallSeconds(pool.limits, pool.limits.batch) * msInSecond /
    static_cast<double>(pool.limits.batch);
  AccountDemands demands = DemandsOf(pool);
  for (const auto& [key, reservation] : reservations.held) {
    demands[reservation.account].ms += reservation.work.pieces * msOfPiece;
  }
  return EvaluateAccounts(pool.shares, demands, wait, now);
}

/** Work of an account above its share goes behind that of others, of its rank
 * and better ones, that is in time.
 */
void MoveBehind(absl::Span<const PendingWork> pending, Elapsed now,
                PendingWork& work)
{
  for (const PendingWork& other : pending) {
    const bool isInTime = other.order < ServiceOrderLate(now, 0);
    if (isInTime && other.rank <= work.rank) {
      work.order = std::max(work.order, other.order);
    }
  }
}

/** Nothing waits, and at least half of the endpoints that take calls are free.
 */
bool HasFreePlaces(const StagePool& pool, Elapsed now)
{
  std::size_t open = 0;
  std::size_t free = 0;
  for (const StageServer& server : pool.servers) {
    const bool isOpen = server.avoidUntil <= now && server.closedUntil <= now;
    open += isOpen ? 1 : 0;
    free += isOpen && server.calls.empty() ? 1 : 0;
  }
  return pool.waiting.empty() && free > 0 && 2 * free >= open;
}

/** By what the pool did lately, if it was busy. A pool with free places is
 * taken at its full rate: one that was slow before a change of its endpoints
 * or of its coordinator would refuse work that it can serve.
 */
PoolRate RateOf(const StagePool& pool, StageReservations& reservations,
                Elapsed now)
{
  // What waited may have been cancelled since the last call was made.
  reservations.busy.isBusy &= pool.waiting.size() >= pool.limits.batch;
  const PoolRate expected = ExpectedRate(pool, now);
  return HasFreePlaces(pool, now) ? expected
                                  : ObservedRate(expected, reservations.busy);
}

struct Judged
{
  bool granted = false;
  bool isLate = false;
  PendingWork work;
  absl::Duration wait;
};

/** Behind all work that is in time, also what is yet to come. */
void JudgeLate(const PoolRate& rate, const StageReservations& reservations,
               absl::Span<const PendingWork> pending,
               const wire::StageReserve& ask, Elapsed now, Judged& judged)
{
  judged.isLate = true;
  judged.work.order = ServiceOrderLate(now, judged.work.rank);
  judged.work.startBy = now + absl::Milliseconds(ask.late_start_by_ms());
  const PoolRate left = RemainingRate(rate, reservations.demand,
                                      std::numeric_limits<int>::max(), now);
  const WorkForecast forecast = ForecastWork(left, pending, judged.work, now);
  judged.granted = forecast.isInTime;
}

Judged Judge(const PoolRate& rate, const StagePool& pool,
             const StageReservations& reservations,
             absl::Span<const PendingWork> pending,
             const wire::StageReserve& ask, Elapsed now)
{
  Judged judged;
  judged.work = AskedWork(ask, now);
  const absl::Duration toClear =
    absl::Seconds(SecondsToDrain(rate, pending, now));
  if (IsOverShare(StandingsOf(pool, reservations, toClear, now),
                  ask.account())) {
    MoveBehind(pending, now, judged.work);
  }
  const PoolRate left =
    HasFreePlaces(pool, now)
      ? rate
      : RemainingRate(rate, reservations.demand, judged.work.rank, now);
  const WorkForecast forecast = ForecastWork(left, pending, judged.work, now);
  judged.wait = forecast.wait;
  judged.granted =
    ask.start_by_ms() >= 0 && forecast.isInTime && !forecast.delaysOthers;
  if (!judged.granted && ask.late_start_by_ms() >= 0) {
    JudgeLate(rate, reservations, pending, ask, now, judged);
  }
  return judged;
}

} // namespace

bool IsSound(const wire::StageReserve& ask)
{
  return ask.pieces() > 0 && ask.pieces() <= MostPieces &&
         ask.rank() <= MostPieces && ask.earliest_ms() >= 0 &&
         IsTime(ask.earliest_ms()) && IsTime(ask.start_by_ms()) &&
         IsTime(ask.late_start_by_ms()) && IsTime(ask.finish_by_ms());
}

std::vector<PendingWork> PendingOf(const StagePool& pool,
                                   const StageReservations& reservations,
                                   Elapsed now)
{
  std::vector<PendingWork> pending;
  pending.reserve(reservations.held.size() + pool.waiting.size());
  const StagePiece* last = nullptr;
  const absl::Duration call =
    absl::Seconds(ExpectedCallSeconds(pool.limits, 1));
  for (const StagePiece& piece : pool.waiting) {
    const bool isSame = last != nullptr && last->request == piece.request &&
                        last->stage == piece.stage;
    last = &piece;
    if (isSame) {
      pending.back().pieces += 1.0;
      continue;
    }
    PendingWork work;
    work.order = ServiceOrder(piece, pool.limits, now);
    work.rank = piece.rank;
    work.pieces = 1.0;
    work.earliest = piece.arrived;
    work.startBy = piece.finishBy - call;
    pending.push_back(work);
  }
  for (const auto& [key, reservation] : reservations.held) {
    pending.push_back(reservation.work);
  }
  return pending;
}

wire::StageReserveAnswer Reserve(const StagePool& pool,
                                 StageReservations& reservations,
                                 const wire::StageReserve& ask, Elapsed now)
{
  const ReservationKey key{ ask.box(), ask.number() };
  reservations.held.erase(key);
  if (!ask.came_back()) {
    NoteDemand(reservations.demand, static_cast<int>(ask.rank()),
               static_cast<double>(ask.pieces()), now);
  }
  const PoolRate rate = RateOf(pool, reservations, now);
  const std::vector<PendingWork> pending = PendingOf(pool, reservations, now);
  const Judged judged = Judge(rate, pool, reservations, pending, ask, now);
  wire::StageReserveAnswer answer;
  answer.set_granted(judged.granted);
  answer.set_late(judged.granted && judged.isLate);
  answer.set_clear_ms(absl::ToInt64Milliseconds(judged.wait));
  if (judged.granted) {
    reservations.held[key] = { judged.work,
                               judged.work.startBy + ReservationMargin,
                               ask.account() };
  } else {
    const absl::Duration retry =
      ScheduleRetry(reservations.promised, rate, pending,
                    static_cast<double>(ask.pieces()), now);
    answer.set_retry_ms(
      absl::ToInt64Milliseconds(std::max(LeastRetry, retry)));
  }
  return answer;
}

std::size_t DropExpired(StageReservations& reservations, Elapsed now)
{
  std::size_t dropped = 0;
  auto& held = reservations.held;
  for (auto it = held.begin(); it != held.end();) {
    const bool isOver = it->second.expires < now;
    dropped += isOver ? 1 : 0;
    it = isOver ? held.erase(it) : std::next(it);
  }
  return dropped;
}

} // namespace wg
