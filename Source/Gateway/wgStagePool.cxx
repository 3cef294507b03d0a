// SPDX-License-Identifier: Apache-2.0
#include "wgStagePool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "absl/container/btree_map.h"

namespace wg {
namespace {

/** How much earlier than its due time a request of the next better rank is
 * taken.
 */
constexpr absl::Duration RankLead = absl::Milliseconds(1500);
/** Beyond the order of any piece that is in time. */
constexpr absl::Duration LateOrder = absl::Hours(1);
constexpr absl::Duration LateRankOrder = absl::Minutes(10);
/** Less than this may move between halls. */
constexpr std::int64_t LargeCrossingBytes = 100000;
/** A call counts for so much in the spare share: the last 20 mostly. */
constexpr double SpareWeight = 0.05;
/** Late pieces are taken to get at least this share of the places, or what
 * waits behind a burst would be given up for good.
 */
constexpr double LeastSpare = 0.02;
constexpr double MsInSecond = 1e3;
constexpr double SlownessWeight = 0.3;
constexpr double SlownessMemorySeconds = 2.0;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20.0;

/** What is reported beyond this is not believed; as MostSlowness. */
constexpr double MostPace = 20.0;
constexpr double LeastPace = 0.5;
/** Times of calls of one kind vary by about this much at a sound endpoint: a
 * lesser difference in pace is no reason to choose another one.
 */
constexpr double UnclearPace = 1.25;
/** After this a call is made in any case: only its answer brings news of an
 * endpoint that goes on to report work of others.
 */
constexpr double LongestOthersSeconds = 1.0;

/** What comes after it takes at least. */
absl::Duration TimeAfter(const StagePiece& piece)
{
  return piece.due - piece.finishBy;
}

/** A piece's place among those that wait: the least goes first. */
struct PieceOrder
{
  bool late = false;
  int rank = 0;          // of what is late
  absl::Duration time;   // in time: until when; late: what comes after it
  bool exceeds = false;  // of an account above its share
  absl::Duration within; // of such: its own time, where `time` is a later one
  std::uint64_t ticket = 0;
  std::size_t index = 0; // where it stands now
};

bool GoesBefore(const PieceOrder& a, const PieceOrder& b)
{
  return std::tie(a.late, a.rank, a.time, a.exceeds, a.within, a.ticket) <
         std::tie(b.late, b.rank, b.time, b.exceeds, b.within, b.ticket);
}

/** Of those that are late anyway, what is nearest to its end goes first. */
PieceOrder OrderOf(const StagePiece& piece, const StageLimits& limits,
                   Elapsed now)
{
  PieceOrder order;
  order.late = IsLate(piece, limits, now);
  order.rank = order.late ? piece.rank : 0;
  order.time =
    order.late ? TimeAfter(piece) : piece.finishBy + piece.rank * RankLead;
  order.within = order.time;
  order.ticket = piece.ticket;
  return order;
}

/** Orders pieces while some accounts exceed their shares. Pieces of these
 * take the latest time of the others as theirs: each piece still has a key of
 * its own, which keeps the order strict and weak and its cost linear, and the
 * pieces of the others keep their order, also across ranks.
 */
class ShareOrder
{
public:
  explicit ShareOrder(const AccountStandings& standings)
    : standings_(standings)
  {
  }

  bool IsNeeded() const { return !standings_.exceeded.empty(); }

  /** To be called for all pieces before any is moved back. Pieces of one work
   * stand together mostly: their account is looked up once.
   */
  void Note(const StagePiece& piece, PieceOrder& order)
  {
    if (account_ == nullptr || *account_ != piece.account) {
      account_ = &piece.account;
      exceeds_ = IsOverShare(standings_, piece.account);
    }
    order.exceeds = exceeds_;
    if (!exceeds_) {
      auto [found, isNew] =
        latest_.try_emplace({ order.late, piece.rank }, order.time);
      found->second = std::max(found->second, order.time);
    }
  }

  /** Also behind better ranks: pieces that exceed in a worse rank would
   * otherwise go before those in a better one.
   */
  void MoveBack(const StagePiece& piece, PieceOrder& order) const
  {
    if (!order.exceeds) {
      return;
    }
    for (const auto& [group, time] : latest_) {
      const auto [late, rank] = group;
      const bool counts =
        late == order.late && (late ? rank == piece.rank : rank <= piece.rank);
      order.time = counts ? std::max(order.time, time) : order.time;
    }
  }

private:
  const AccountStandings& standings_;
  const std::string* account_ = nullptr;
  bool exceeds_ = false;
  /** Of the pieces that do not exceed, by whether they are late, and rank. */
  absl::btree_map<std::pair<bool, int>, absl::Duration> latest_;
};

/** Whether there is a report that is fresh and not contradicted. */
bool IsBelieved(const StageReports& reports, Elapsed now)
{
  return reports.load && now - reports.load->reported <= ReportMemory &&
         IsTrusted(reports.trust, now);
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

/** Until it has a free slot, for the work of this pool and of others. */
double BusySeconds(const StageServer& server, const StageLimits& limits,
                   Elapsed now)
{
  return std::max(BusySeconds(server, now),
                  OthersBusySeconds(server, limits, now));
}

bool IsOpen(const StageServer& server, Elapsed now)
{
  return server.avoidUntil <= now && server.closedUntil <= now;
}

bool IsFree(const StageServer& server, const StageLimits& limits, Elapsed now)
{
  return server.calls.size() < static_cast<std::size_t>(limits.slots) &&
         IsOpen(server, now) && OthersBusySeconds(server, limits, now) <= 0.0;
}

/** When a call of so many pieces would be done there, in seconds. */
double FinishSeconds(const StageServer& server, const StageLimits& limits,
                     std::size_t pieces, Elapsed now)
{
  const double busy =
    server.calls.size() < static_cast<std::size_t>(limits.slots)
      ? OthersBusySeconds(server, limits, now)
      : BusySeconds(server, limits, now);
  return busy + SlownessNow(server, now) * ReportedPace(server, now) *
                  ExpectedCallSeconds(limits, pieces);
}

bool HasRoom(const StageServer& server, const StageLimits& limits,
             const StagePiece& piece)
{
  const std::int64_t used = server.roomUsed + piece.resultBytes;
  return used <= server.roomBound &&
         (limits.roomBytes == 0 || used <= limits.roomBytes);
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
                       return server.hall == hall && IsOpen(server, now);
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

/** An endpoint as all pieces that wait meet it. */
struct Candidate
{
  StageServer* server = nullptr;
  double finishSeconds = 0.0; // until a call that it is given is done
  bool isFree = false;
};

std::vector<Candidate> FindCandidates(StagePool& pool, std::size_t pieces,
                                      Elapsed now)
{
  std::vector<Candidate> candidates;
  for (StageServer& server : pool.servers) {
    if (IsOpen(server, now)) {
      candidates.push_back({ &server,
                             FinishSeconds(server, pool.limits, pieces, now),
                             IsFree(server, pool.limits, now) });
    }
  }
  return candidates;
}

/** Whether any of the pieces that wait fits a free endpoint. */
bool FitsAny(const StagePool& pool, absl::Span<const Candidate> candidates)
{
  const auto least =
    std::min_element(pool.waiting.begin(), pool.waiting.end(),
                     [](const StagePiece& a, const StagePiece& b) {
                       return a.resultBytes < b.resultBytes;
                     });
  return least != pool.waiting.end() &&
         std::any_of(candidates.begin(), candidates.end(),
                     [&pool, &least](const Candidate& candidate) {
                       return candidate.isFree &&
                              HasRoom(*candidate.server, pool.limits, *least);
                     });
}

/** The free endpoint where a piece would be done first; null when there is
 * none, or when a busy one would be done sooner.
 */
StageServer* ChooseServer(const StagePool& pool,
                          absl::Span<const Candidate> candidates,
                          const StagePiece& piece, Elapsed now)
{
  constexpr double otherHall = 1.05;
  StageServer* best = nullptr;
  double soonest = std::numeric_limits<double>::infinity();
  double soonestBusy = std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : candidates) {
    StageServer& server = *candidate.server;
    const double finish =
      candidate.finishSeconds * (server.hall == piece.hall ? 1.0 : otherHall);
    if (!candidate.isFree) {
      soonestBusy = std::min(soonestBusy, finish);
      continue;
    }
    const bool usable =
      HasRoom(server, pool.limits, piece) && Accepts(pool, server, piece, now);
    if (usable && finish < soonest) {
      soonest = finish;
      best = &server;
    }
  }
  return soonest <= soonestBusy ? best : nullptr;
}

/** Whether no endpoint takes a piece because none took the other one. */
bool MeetsTheSame(const StagePiece& piece, const StagePiece& refused)
{
  return piece.hall == refused.hall &&
         piece.resultBytes >= refused.resultBytes &&
         piece.crossingBytes < LargeCrossingBytes &&
         refused.crossingBytes < LargeCrossingBytes;
}

/** For the first piece that one takes, in their order. With 2,000 pieces for
 * which no endpoint has room, judging each endpoint anew for each of them took
 * 305 us, hundreds of times a second at a box of 0.12 core.
 */
StageServer* ChooseServerForFirst(const StagePool& pool,
                                  absl::Span<const Candidate> candidates,
                                  Elapsed now)
{
  const StagePiece* refused = nullptr;
  for (const StagePiece& piece : pool.waiting) {
    if (refused != nullptr && MeetsTheSame(piece, *refused)) {
      continue;
    }
    if (StageServer* server = ChooseServer(pool, candidates, piece, now)) {
      return server;
    }
    refused = &piece;
  }
  return nullptr;
}

/** Takes into the pool's spare share what a call left to late pieces. */
void NoteSpare(StagePool& pool, std::size_t inTime)
{
  const double spare =
    1.0 - static_cast<double>(inTime) / static_cast<double>(pool.limits.batch);
  pool.spareShare += SpareWeight * (spare - pool.spareShare);
}

/** Moves the pieces that go to the endpoint out of those that wait. */
std::vector<StagePiece> TakeBatch(StagePool& pool, StageServer& server,
                                  Elapsed now)
{
  std::vector<StagePiece> batch;
  std::vector<StagePiece> rest;
  std::size_t inTime = 0;
  for (StagePiece& piece : pool.waiting) {
    const bool goes = batch.size() < pool.limits.batch &&
                      HasRoom(server, pool.limits, piece) &&
                      Accepts(pool, server, piece, now);
    if (goes) {
      server.roomUsed += piece.resultBytes;
      inTime += IsLate(piece, pool.limits, now) ? 0 : 1;
      batch.push_back(std::move(piece));
    } else {
      rest.push_back(std::move(piece));
    }
  }
  pool.waiting = std::move(rest);
  NoteSpare(pool, inTime);
  return batch;
}

/** What the wait of a piece follows from. */
struct BacklogTimes
{
  double soonest = 0.0;   // until an endpoint is free, in seconds
  std::size_t usable = 0; // endpoints
};

BacklogTimes TimeBacklog(const StagePool& pool, Elapsed now)
{
  BacklogTimes times;
  double soonest = std::numeric_limits<double>::infinity();
  double soonestOpen = std::numeric_limits<double>::infinity();
  for (const StageServer& server : pool.servers) {
    if (!IsOpen(server, now)) {
      soonestOpen = std::min(
        soonestOpen, absl::ToDoubleSeconds(std::max(server.closedUntil - now,
                                                    absl::ZeroDuration())));
      continue;
    }
    ++times.usable;
    const bool isFree = IsFree(server, pool.limits, now);
    soonest =
      std::min(soonest, isFree ? 0.0 : BusySeconds(server, pool.limits, now));
  }
  if (times.usable > 0) {
    times.soonest = soonest;
  } else if (!pool.servers.empty()) {
    times.soonest = soonestOpen;
  }
  return times;
}

/** How long a piece waits behind so many others, in seconds. */
double WaitSeconds(const StagePool& pool, const BacklogTimes& times,
                   double ahead)
{
  const double each = ExpectedCallSeconds(pool.limits, pool.limits.batch);
  if (times.usable == 0) {
    return times.soonest + each;
  }
  const double fullCalls = std::floor(static_cast<double>(ahead) /
                                      static_cast<double>(pool.limits.batch));
  return times.soonest + fullCalls * each / static_cast<double>(times.usable);
}

/** Of each piece that waits, regardless of accounts. */
std::vector<PieceOrder> ListOrders(const StagePool& pool, Elapsed now)
{
  std::vector<PieceOrder> orders;
  orders.reserve(pool.waiting.size());
  for (const StagePiece& piece : pool.waiting) {
    orders.push_back(OrderOf(piece, pool.limits, now));
    orders.back().index = orders.size() - 1;
  }
  return orders;
}

/** Moves back what exceeds its share, where anything does. */
void OrderByShares(StagePool& pool, absl::Span<PieceOrder> orders, Elapsed now)
{
  const AccountStandings standings = EvaluateAccounts(pool, now);
  ShareOrder shares(standings);
  if (shares.IsNeeded()) {
    for (PieceOrder& order : orders) {
      shares.Note(pool.waiting[order.index], order);
    }
    for (PieceOrder& order : orders) {
      shares.MoveBack(pool.waiting[order.index], order);
    }
  }
  for (const PieceOrder& order : orders) {
    pool.waiting[order.index].exceeds = order.exceeds;
  }
}

/** Boxes have a tenth of a core: each piece is judged once, not in each
 * comparison.
 */
void SortWaiting(StagePool& pool, Elapsed now)
{
  std::vector<PieceOrder> orders = ListOrders(pool, now);
  OrderByShares(pool, absl::MakeSpan(orders), now);
  if (std::is_sorted(orders.begin(), orders.end(), GoesBefore)) {
    return;
  }
  std::sort(orders.begin(), orders.end(), GoesBefore);
  std::vector<StagePiece> sorted;
  sorted.reserve(orders.size());
  for (const PieceOrder& order : orders) {
    sorted.push_back(std::move(pool.waiting[order.index]));
  }
  pool.waiting = std::move(sorted);
}

/** What part of a call is each account's, by its pieces. */
absl::flat_hash_map<absl::string_view, double> DivideCall(
  const StageCall& call)
{
  const double part = 1.0 / static_cast<double>(call.pieces.size());
  absl::flat_hash_map<absl::string_view, double> parts;
  for (const StagePiece& piece : call.pieces) {
    parts[piece.account] += part;
  }
  return parts;
}

void ChargeStageCall(StagePool& pool, const StageCall& call, Elapsed now)
{
  for (const auto& [account, part] : DivideCall(call)) {
    ChargeWork(pool.shares,
               { account, part * call.expectedSeconds * MsInSecond }, now);
  }
}

void NoteReportOf(StageCall& call, const StageServer& server, Elapsed now)
{
  call.pace = ReportedPace(server, now);
  call.followsReport =
    IsBelieved(server.reports, now) && server.reports.load->pace.has_value();
}

} // namespace

bool IsLate(const StagePiece& piece, const StageLimits& limits, Elapsed now)
{
  return now + absl::Seconds(ExpectedCallSeconds(limits, 1)) > piece.finishBy;
}

bool AreBuffersScarce(const StagePool& pool)
{
  std::int64_t used = 0;
  for (const StageServer& server : pool.servers) {
    used += server.roomUsed;
  }
  return AreBuffersScarce(used,
                          pool.limits.roomBytes *
                            static_cast<std::int64_t>(pool.servers.size()));
}

double ExpectedCallSeconds(const StageLimits& limits, std::size_t pieces)
{
  return limits.callSeconds +
         limits.pieceSeconds * static_cast<double>(pieces);
}

Elapsed ServiceOrderInTime(Elapsed finishBy, int rank)
{
  return finishBy + rank * RankLead;
}

Elapsed ServiceOrderLate(Elapsed now, int rank)
{
  return now + LateOrder + rank * LateRankOrder;
}

Elapsed ServiceOrder(const StagePiece& piece, const StageLimits& limits,
                     Elapsed now)
{
  return IsLate(piece, limits, now)
           ? ServiceOrderLate(now, piece.rank) + TimeAfter(piece)
           : ServiceOrderInTime(piece.finishBy, piece.rank);
}

PoolRate ExpectedRate(const StagePool& pool, Elapsed now)
{
  PoolRate rate;
  rate.piecesPerCall = static_cast<double>(pool.limits.batch);
  rate.secondsUntilFree = TimeBacklog(pool, now).soonest;
  const double call = ExpectedCallSeconds(pool.limits, pool.limits.batch);
  for (const StageServer& server : pool.servers) {
    if (IsOpen(server, now)) {
      rate.piecesPerSecond += pool.limits.slots * rate.piecesPerCall /
                              (call * std::max(1.0, SlownessNow(server, now)));
    }
  }
  return rate;
}

std::optional<StageCall> NextStageCall(StagePool& pool, Elapsed now)
{
  const std::size_t count = std::min(pool.waiting.size(), pool.limits.batch);
  const std::vector<Candidate> candidates = FindCandidates(pool, count, now);
  if (!FitsAny(pool, candidates)) {
    return std::nullopt;
  }
  SortWaiting(pool, now);
  StageServer* server = ChooseServerForFirst(pool, candidates, now);
  if (server == nullptr) {
    return std::nullopt;
  }
  StageCall call;
  call.server = server->id;
  call.pieces = TakeBatch(pool, *server, now);
  NoteReportOf(call, *server, now);
  call.expectedSeconds = SlownessNow(*server, now) * call.pace *
                         ExpectedCallSeconds(pool.limits, call.pieces.size());
  call.exceeding = static_cast<std::size_t>(
    std::count_if(call.pieces.begin(), call.pieces.end(),
                  [](const StagePiece& piece) { return piece.exceeds; }));
  ChargeStageCall(pool, call, now);
  return call;
}

bool SettleStageCall(StagePool& pool, const StageCall& call, double seconds,
                     Elapsed started, Elapsed now)
{
  bool isValid = true;
  for (const auto& [account, part] : DivideCall(call)) {
    const AccountWork charged{ account,
                               part * call.expectedSeconds * MsInSecond };
    isValid &= SettleWork(pool.shares, charged, part * seconds * MsInSecond,
                          started, now);
  }
  return isValid;
}

AccountDemands DemandsOf(const StagePool& pool)
{
  const double msOfPiece =
    ExpectedCallSeconds(pool.limits, pool.limits.batch) * MsInSecond /
    static_cast<double>(pool.limits.batch);
  AccountDemands demands;
  AccountDemand* demand = nullptr;
  const std::string* account = nullptr;
  for (const StagePiece& piece : pool.waiting) {
    if (account == nullptr || *account != piece.account) {
      account = &piece.account;
      demand = &demands[piece.account];
    }
    demand->ms += msOfPiece;
  }
  return demands;
}

AccountStandings EvaluateAccounts(const StagePool& pool, Elapsed now)
{
  const absl::Duration wait = absl::Seconds(WaitSeconds(
    pool, TimeBacklog(pool, now), static_cast<double>(pool.waiting.size())));
  if (wait <= ContendedWait) { // spares the demands
    return {};
  }
  return EvaluateAccounts(pool.shares, DemandsOf(pool), wait, now);
}

std::vector<StagePiece> TakeHopelessPieces(StagePool& pool, Elapsed now)
{
  SortWaiting(pool, now);
  const BacklogTimes times = TimeBacklog(pool, now);
  const absl::Duration least =
    absl::Seconds(ExpectedCallSeconds(pool.limits, 1));
  const double spare = std::max(pool.spareShare, LeastSpare);
  std::size_t early = 0; // pieces that are in time
  std::vector<StagePiece> hopeless;
  std::vector<StagePiece> kept;
  for (StagePiece& piece : pool.waiting) {
    const bool late = IsLate(piece, pool.limits, now);
    early += late ? 0 : 1;
    // Others that come meanwhile go before what is late.
    const double ahead =
      static_cast<double>(early) +
      static_cast<double>(kept.size() - std::min(early, kept.size())) /
        (late ? spare : 1.0);
    const absl::Duration wait = absl::Seconds(WaitSeconds(pool, times, ahead));
    const bool inTime = now + wait + least + TimeAfter(piece) < piece.deadline;
    (inTime ? kept : hopeless).push_back(std::move(piece));
  }
  pool.waiting = std::move(kept);
  return hopeless;
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
  const auto ahead = std::count_if(pool.waiting.begin(), pool.waiting.end(),
                                   [&pool, now](const StagePiece& piece) {
                                     return !IsLate(piece, pool.limits, now);
                                   });
  return WaitSeconds(pool, TimeBacklog(pool, now), static_cast<double>(ahead));
}

double ExpectedWaitSeconds(const StagePool& pool, const StagePiece& piece,
                           std::size_t piecesOfWork, Elapsed now)
{
  return ExpectedWaitSeconds(pool, piece, piecesOfWork,
                             EvaluateAccounts(pool, now), now);
}

double ExpectedWaitSeconds(const StagePool& pool, const StagePiece& piece,
                           std::size_t piecesOfWork,
                           const AccountStandings& standings, Elapsed now)
{
  std::vector<PieceOrder> orders = ListOrders(pool, now);
  PieceOrder own = OrderOf(piece, pool.limits, now);
  ShareOrder shares(standings);
  if (shares.IsNeeded()) {
    for (PieceOrder& order : orders) {
      shares.Note(pool.waiting[order.index], order);
    }
    shares.Note(piece, own);
    for (PieceOrder& order : orders) {
      shares.MoveBack(pool.waiting[order.index], order);
    }
    shares.MoveBack(piece, own);
  }
  const auto ahead = static_cast<std::size_t>(std::count_if(
    orders.begin(), orders.end(),
    [&own](const PieceOrder& order) { return GoesBefore(order, own); }));
  const std::size_t last = ahead + piecesOfWork - 1;
  return WaitSeconds(pool, TimeBacklog(pool, now), static_cast<double>(last));
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

void TakeReport(StageServer& server, const KnownLoad& known, Elapsed now)
{
  const EndpointLoad* load = FreshLoad(known, server.id, now);
  StageReports& reports = server.reports;
  if (load == nullptr ||
      (reports.load && load->reported <= reports.load->reported)) {
    return;
  }
  reports.load = *load;
  // Calls on the way there are counted as well, and one for the request that
  // was answered: a call of this pool must never look like another's.
  constexpr int answered = 1;
  const auto own = std::count_if(
    server.calls.begin(), server.calls.end(), [load](const auto& call) {
      return call.second.started <= load->reported;
    });
  reports.othersWork = std::max(0.0, load->running + load->waiting -
                                       static_cast<double>(own + answered));
}

double ReportedPace(const StageServer& server, Elapsed now)
{
  const StageReports& reports = server.reports;
  if (!IsBelieved(reports, now) || !reports.load->pace) {
    return 1.0;
  }
  const double pace = std::clamp(*reports.load->pace, LeastPace, MostPace);
  const bool isClear = pace > UnclearPace || pace < 1.0 / UnclearPace;
  return isClear ? pace : 1.0;
}

/** The calls of others are taken to be full, and the one at work to be half
 * done.
 */
double OthersBusySeconds(const StageServer& server, const StageLimits& limits,
                         Elapsed now)
{
  const StageReports& reports = server.reports;
  if (!reports.load || !IsTrusted(reports.trust, now)) {
    return 0.0;
  }
  const auto slots = static_cast<double>(std::max(1, limits.slots));
  const auto own = static_cast<double>(server.calls.size());
  if (reports.othersWork + own < slots) {
    return 0.0;
  }
  constexpr double leftOfFirst = 0.5;
  const double calls = std::max(0.0, reports.othersWork - leftOfFirst) / slots;
  const double work = std::min(
    calls * ExpectedCallSeconds(limits, limits.batch), LongestOthersSeconds);
  const double age = absl::ToDoubleSeconds(now - reports.load->reported);
  return std::max(0.0, work - age);
}

bool NoteCallTime(StageServer& server, const StageLimits& limits,
                  const StageCall& call, double seconds, Elapsed now)
{
  const double usual = ExpectedCallSeconds(limits, call.pieces.size());
  const double reported = usual * call.pace;
  // A pace explains no more than the time that the call took, or an endpoint
  // would seem fast after it had reported that it is slow.
  const double explained =
    reported > usual ? std::clamp(seconds, usual, reported) : reported;
  NoteCallTime(server, explained, seconds, now);
  return call.followsReport &&
         NoteReportedCall(server.reports.trust, reported, seconds, now);
}

} // namespace wg
