// SPDX-License-Identifier: Apache-2.0
#include "wgStagePool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wg {
namespace {

/** How much earlier than its due time a request of the next better rank is
 * taken.
 */
constexpr absl::Duration RankLead = absl::Milliseconds(1500);
/** Less than this may move between halls. */
constexpr std::int64_t LargeCrossingBytes = 100000;
constexpr double LateRoomShare = 0.5;
/** More waiting than this means that not all can be made in time. */
constexpr double OverloadSeconds = 0.4;
constexpr std::size_t OverloadBatches = 6;
constexpr absl::Duration LateGrace = absl::Milliseconds(300);
constexpr double SlownessWeight = 0.3;
constexpr double SlownessMemorySeconds = 2.0;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20.0;

bool GoesBefore(const StagePiece& a, const StagePiece& b,
                const StageLimits& limits, Elapsed now)
{
  const bool aLate = IsLate(a, limits, now);
  const bool bLate = IsLate(b, limits, now);
  if (aLate != bLate) {
    return bLate;
  }
  const Elapsed aTime = a.finishBy + a.rank * RankLead;
  const Elapsed bTime = b.finishBy + b.rank * RankLead;
  return aTime != bTime ? aTime < bTime : a.ticket < b.ticket;
}

/** A call that is late is taken to last as long again as it is late. */
double BusySeconds(const StageServer& server, Elapsed now)
{
  double longest = 0.0;
  for (const auto& [number, call] : server.calls) {
    const double left =
      call.expectedSeconds - absl::ToDoubleSeconds(now - call.started);
    longest = std::max(longest, std::abs(left));
  }
  return longest;
}

bool IsFree(const StageServer& server, const StageLimits& limits, Elapsed now)
{
  return server.calls.size() < static_cast<std::size_t>(limits.slots) &&
         server.avoidUntil <= now;
}

/** When a call of so many pieces would be done there, in seconds. */
double FinishSeconds(const StageServer& server, const StageLimits& limits,
                     std::size_t pieces, Elapsed now)
{
  const double busy =
    server.calls.size() < static_cast<std::size_t>(limits.slots)
      ? 0.0
      : BusySeconds(server, now);
  return busy + SlownessNow(server, now) * ExpectedCallSeconds(limits, pieces);
}

/** Late pieces leave room for those that are not. */
bool HasRoom(const StageServer& server, const StageLimits& limits,
             const StagePiece& piece, Elapsed now)
{
  const double share = IsLate(piece, limits, now) ? LateRoomShare : 1.0;
  const auto room =
    static_cast<std::int64_t>(static_cast<double>(limits.roomBytes) * share);
  return limits.roomBytes == 0 || server.roomUsed + piece.resultBytes <= room;
}

/** Whether much would have to move between halls. */
bool Crosses(const StagePiece& piece, const StageServer& server)
{
  return piece.crossingBytes >= LargeCrossingBytes && !piece.hall.empty() &&
         piece.hall != server.hall;
}

bool HasServerInHall(const StagePool& pool, const std::string& hall,
                     Elapsed now)
{
  return std::any_of(pool.servers.begin(), pool.servers.end(),
                     [&hall, now](const StageServer& server) {
                       return server.hall == hall && server.avoidUntil <= now;
                     });
}

/** Whether a piece may be made there now: what would move much does so only
 * where waiting for its own hall would make its request late.
 */
bool Accepts(const StagePool& pool, const StageServer& server,
             const StagePiece& piece, Elapsed now)
{
  if (!Crosses(piece, server)) {
    return true;
  }
  if (!HasServerInHall(pool, piece.hall, now)) {
    return true;
  }
  const absl::Duration call =
    absl::Seconds(ExpectedCallSeconds(pool.limits, pool.limits.batch));
  return now < piece.finishBy && now >= piece.finishBy - 2 * call;
}

/** The free endpoint where a piece would be done first; null when there is
 * none, or when a busy one would be done sooner.
 */
StageServer* ChooseServer(StagePool& pool, const StagePiece& piece,
                          std::size_t pieces, Elapsed now)
{
  constexpr double otherHall = 1.05;
  StageServer* best = nullptr;
  double soonest = std::numeric_limits<double>::infinity();
  double soonestBusy = std::numeric_limits<double>::infinity();
  for (StageServer& server : pool.servers) {
    if (server.avoidUntil > now) {
      continue;
    }
    const double finish = FinishSeconds(server, pool.limits, pieces, now) *
                          (server.hall == piece.hall ? 1.0 : otherHall);
    if (!IsFree(server, pool.limits, now)) {
      soonestBusy = std::min(soonestBusy, finish);
      continue;
    }
    const bool usable = HasRoom(server, pool.limits, piece, now) &&
                        Accepts(pool, server, piece, now);
    if (usable && finish < soonest) {
      soonest = finish;
      best = &server;
    }
  }
  return soonest <= soonestBusy ? best : nullptr;
}

/** Moves the pieces that go to the endpoint out of those that wait. */
std::vector<StagePiece> TakeBatch(StagePool& pool, StageServer& server,
                                  Elapsed now)
{
  std::vector<StagePiece> batch;
  std::vector<StagePiece> rest;
  for (StagePiece& piece : pool.waiting) {
    const bool goes = batch.size() < pool.limits.batch &&
                      HasRoom(server, pool.limits, piece, now) &&
                      Accepts(pool, server, piece, now);
    if (goes) {
      server.roomUsed += piece.resultBytes;
      batch.push_back(std::move(piece));
    } else {
      rest.push_back(std::move(piece));
    }
  }
  pool.waiting = std::move(rest);
  return batch;
}

} // namespace

bool IsLate(const StagePiece& piece, const StageLimits& limits, Elapsed now)
{
  return now + absl::Seconds(ExpectedCallSeconds(limits, 1)) > piece.finishBy;
}

double ExpectedCallSeconds(const StageLimits& limits, std::size_t pieces)
{
  return limits.callSeconds +
         limits.pieceSeconds * static_cast<double>(pieces);
}

std::optional<StageCall> NextStageCall(StagePool& pool, Elapsed now)
{
  auto& waiting = pool.waiting;
  const bool anyFree = std::any_of(pool.servers.begin(), pool.servers.end(),
                                   [&](const StageServer& server) {
                                     return IsFree(server, pool.limits, now);
                                   });
  if (waiting.empty() || !anyFree) {
    return std::nullopt;
  }
  std::sort(waiting.begin(), waiting.end(),
            [&pool, now](const StagePiece& a, const StagePiece& b) {
              return GoesBefore(a, b, pool.limits, now);
            });
  const std::size_t count = std::min(waiting.size(), pool.limits.batch);
  StageServer* server = nullptr;
  for (const StagePiece& piece : waiting) {
    server = ChooseServer(pool, piece, count, now);
    if (server != nullptr) {
      break;
    }
  }
  if (server == nullptr) {
    return std::nullopt;
  }
  StageCall call;
  call.server = server->id;
  call.pieces = TakeBatch(pool, *server, now);
  call.expectedSeconds = SlownessNow(*server, now) *
                         ExpectedCallSeconds(pool.limits, call.pieces.size());
  return call;
}

std::vector<StagePiece> TakeLatePieces(StagePool& pool, Elapsed now)
{
  const absl::Duration least =
    absl::Seconds(ExpectedCallSeconds(pool.limits, 1));
  const bool isOverloaded =
    ExpectedWaitSeconds(pool, now) > OverloadSeconds ||
    pool.waiting.size() > OverloadBatches * pool.limits.batch;
  std::vector<StagePiece> late;
  auto kept = std::stable_partition(
    pool.waiting.begin(), pool.waiting.end(), [&](const StagePiece& p) {
      const bool inTime = now + least < p.deadline;
      const bool hopeless = isOverloaded && now > p.due + LateGrace;
      return inTime && !hopeless;
    });
  late.assign(std::make_move_iterator(kept),
              std::make_move_iterator(pool.waiting.end()));
  pool.waiting.erase(kept, pool.waiting.end());
  return late;
}

std::vector<StagePiece> TakePieces(StagePool& pool,
                                   absl::Span<const std::uint64_t> tickets)
{
  std::vector<StagePiece> taken;
  auto kept = std::stable_partition(
    pool.waiting.begin(), pool.waiting.end(), [tickets](const StagePiece& p) {
      return std::find(tickets.begin(), tickets.end(), p.ticket) ==
             tickets.end();
    });
  taken.assign(std::make_move_iterator(kept),
               std::make_move_iterator(pool.waiting.end()));
  pool.waiting.erase(kept, pool.waiting.end());
  return taken;
}

double ExpectedWaitSeconds(const StagePool& pool, Elapsed now)
{
  double soonest = std::numeric_limits<double>::infinity();
  std::size_t usable = 0;
  for (const StageServer& server : pool.servers) {
    if (server.avoidUntil > now) {
      continue;
    }
    ++usable;
    const bool isFree = IsFree(server, pool.limits, now);
    soonest = std::min(soonest, isFree ? 0.0 : BusySeconds(server, now));
  }
  if (usable == 0) {
    return ExpectedCallSeconds(pool.limits, pool.limits.batch);
  }
  const auto ahead = std::count_if(pool.waiting.begin(), pool.waiting.end(),
                                   [&pool, now](const StagePiece& piece) {
                                     return !IsLate(piece, pool.limits, now);
                                   });
  const double fullCalls = std::floor(static_cast<double>(ahead) /
                                      static_cast<double>(pool.limits.batch));
  const double each = ExpectedCallSeconds(pool.limits, pool.limits.batch);
  return soonest + fullCalls * each / static_cast<double>(usable);
}

double SlownessNow(const StageServer& server, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - server.slownessNoted);
  return 1.0 +
         (server.slowness - 1.0) * std::exp(-age / SlownessMemorySeconds);
}

void NoteCallTime(StageServer& server, double expected, double seconds,
                  Elapsed now)
{
  const double ratio =
    std::clamp(seconds / expected, LeastSlowness, MostSlowness);
  const double before = SlownessNow(server, now);
  server.slowness = before + SlownessWeight * (ratio - before);
  server.slownessNoted = now;
}

} // namespace wg
