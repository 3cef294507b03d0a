// SPDX-License-Identifier: Apache-2.0
#include "wgStageCoordinator.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace wg {
namespace {

using ItemResult = wire::StageItemResult;

constexpr auto PumpPeriod = std::chrono::milliseconds(30);
/** Judging what waits takes a box of a tenth of a core some 0.1 ms for a few
 * hundred pieces (reckoned): a hundredth of it at this period.
 */
constexpr absl::Duration JudgePeriod = absl::Milliseconds(25);
/** Requests for capacity come up to some hundred times a second, and the pump
 * compares the pool with the directory as well.
 */
constexpr absl::Duration SyncPeriod = absl::Milliseconds(25);
constexpr int MaxPieceAttempts = 4;
constexpr double MsInSecond = 1e3;
constexpr absl::Duration BacklogLogPeriod = absl::Seconds(1);
constexpr std::size_t MostAccountsLogged = 5; // the line stays short
constexpr absl::Duration CutOffPause = absl::Milliseconds(60);
/** All boxes hear of an order on a hall within some milliseconds of each
 * other; one that is told to place its work elsewhere before it has heard of
 * it would choose the same hall again.
 */
constexpr absl::Duration AskersHear = absl::Milliseconds(100);

/** Each piece that waits holds the name. Longer ones count as none given. */
constexpr std::size_t LongestAccount = 256;

/** What all pieces of a work have in common. */
StagePiece MakePiece(const wire::StageWork& work, Elapsed now)
{
  StagePiece piece;
  piece.ticket = std::numeric_limits<std::uint64_t>::max(); // behind others
  piece.request = work.request();
  piece.fingerprint = work.fingerprint();
  piece.stage = work.stage();
  piece.hall = work.hall();
  piece.arrived = now;
  piece.resultBytes = work.result_bytes();
  piece.crossingBytes = work.crossing_bytes();
  piece.due = now + absl::Milliseconds(work.due_ms());
  piece.finishBy = piece.due - absl::Milliseconds(work.after_ms());
  piece.deadline = now + absl::Milliseconds(work.left_ms());
  piece.rank = static_cast<int>(work.rank());
  if (work.account().size() <= LongestAccount) {
    piece.account = work.account();
  }
  return piece;
}

ItemResult MakeResult(ItemResult::State state)
{
  ItemResult result;
  result.set_state(state);
  return result;
}

} // namespace

StageCoordinator::StageCoordinator(EventLoop& loop, HttpClient& client,
                                   Directory& directory,
                                   const Dialect& dialect,
                                   ResultReleaser& releaser, HallProber& halls,
                                   CrashTracker& crashes, TermsTracker& terms,
                                   SendPermits& permits,
                                   GatewayMetrics& metrics, DecisionLog& log)
  : loop_(loop)
  , client_(client)
  , startCall_(DirectCalls(client, directory))
  , directory_(directory)
  , dialect_(dialect)
  , releaser_(releaser)
  , halls_(halls)
  , crashes_(crashes)
  , terms_(terms)
  , permits_(permits)
  , metrics_(metrics)
  , log_(log)
  , pumpTimer_(loop)
{
  releaser_.OnConfirmed(
    [this](absl::Span<const std::string> handles) { OnReleased(handles); });
}

void StageCoordinator::SetTable(std::shared_ptr<const RouteTable> table)
{
  table_ = std::move(table);
  for (auto& [key, pool] : pools_) {
    auto found = table_->services.find(key.service);
    if (found != table_->services.end() && found->second.stage) {
      pool.limits = *found->second.stage;
    }
  }
}

StagePool& StageCoordinator::PoolOf(const StagePoolKey& key)
{
  auto [found, isNew] = pools_.try_emplace(key);
  if (isNew && table_ != nullptr) {
    auto known = table_->services.find(key.service);
    if (known != table_->services.end() && known->second.stage) {
      found->second.limits = *known->second.stage;
    }
  }
  return found->second;
}

/** Whoever asks hears of a pool by its own replies only. With 2 requests a
 * second at each of 295 boxes and 15 pools that was too rare: of 1,000 streams
 * that a burst left unserved none was refused on arrival, and half of them
 * after more than a second.
 */
bool StageCoordinator::RefuseIfFull(const wire::StageWork& work,
                                    const Done& done)
{
  if (work.admit_ms() <= 0 || work.items_size() == 0) {
    return false;
  }
  const Elapsed now = ElapsedNow();
  const StagePoolKey key{ work.service(), work.pool_hall() };
  StagePool& pool = PoolOf(key);
  SyncServers(key, pool);
  const AccountStandings standings = EvaluateAccounts(pool, now);
  const StagePiece piece = MakePiece(work, now);
  const double wait = ExpectedWaitSeconds(
    pool, piece, static_cast<std::size_t>(work.items_size()), standings, now);
  if (absl::Seconds(wait) <= absl::Milliseconds(work.admit_ms())) {
    return false;
  }
  const bool exceeds = IsOverShare(standings, piece.account);
  metrics_.Count("stage_works_refused");
  metrics_.Count("stage_works_refused_over_share", exceeds ? 1 : 0);
  log_.Write(LogWeight::Routine, "stage_work_refused",
             { { "request", work.request() },
               { "service", key.service },
               { "hall", key.hall },
               { "would_wait_ms", wait * MsInSecond },
               { "may_wait_ms", work.admit_ms() },
               { "waiting", pool.waiting.size() },
               { "account", piece.account },
               { "over_share", exceeds } });
  RefuseWork(work, absl::Seconds(wait), done);
  return true;
}

/** Whoever asks may not have heard of the order on the hall yet. */
bool StageCoordinator::RefuseIfEvacuated(const wire::StageWork& work,
                                         const Done& done)
{
  if (!IsEvacuated(directory_.halls, work.pool_hall())) {
    return false;
  }
  metrics_.Count("stage_works_for_evacuated_halls");
  log_.Write(LogWeight::Routine, "stage_work_evacuated",
             { { "request", work.request() },
               { "service", work.service() },
               { "hall", work.pool_hall() } });
  RefuseWork(work, absl::ZeroDuration(), done);
  return true;
}

/** Nothing of it has been made. */
void StageCoordinator::RefuseWork(const wire::StageWork& work,
                                  absl::Duration wait, const Done& done)
{
  wire::StageReply reply;
  for (int i = 0; i < work.items_size(); ++i) {
    reply.add_results()->set_state(ItemResult::REFUSED);
  }
  reply.set_waiting_ms(absl::ToInt64Milliseconds(wait));
  boost::asio::post(loop_, [done, reply] { done(reply); });
}

/** What waits for endpoints of a hall that gets no new work is placed
 * elsewhere by who asked for it.
 */
void StageCoordinator::RefuseStranded(const StagePoolKey& key, StagePool& pool)
{
  const bool isStranded = IsEvacuated(directory_.halls, key.hall) &&
                          ElapsedNow() >= directory_.hallsHeard + AskersHear;
  if (!isStranded || pool.waiting.empty()) {
    return;
  }
  std::vector<std::uint64_t> tickets;
  std::transform(pool.waiting.begin(), pool.waiting.end(),
                 std::back_inserter(tickets),
                 [](const StagePiece& piece) { return piece.ticket; });
  log_.Write(LogWeight::Notable, "stage_pieces_evacuated",
             { { "service", key.service },
               { "hall", key.hall },
               { "pieces", tickets.size() } });
  for (const std::uint64_t ticket : tickets) {
    Settle(ticket, MakeResult(ItemResult::REFUSED));
  }
}

wire::StageReserveAnswer StageCoordinator::Reserve(
  const wire::StageReserve& ask)
{
  const Elapsed now = ElapsedNow();
  const StagePoolKey key{ ask.service(), ask.pool_hall() };
  const bool isSound = IsSound(ask);
  if (!isSound || IsEvacuated(directory_.halls, key.hall)) {
    metrics_.Count(isSound ? "stage_reservations_for_evacuated_halls"
                           : "stage_reservations_unsound");
    wire::StageReserveAnswer refused;
    refused.set_retry_ms(1);
    return refused;
  }
  StagePool& pool = PoolOf(key);
  StageReservations& reservations = reservations_[key];
  if (now - reservations.serversSynced >= SyncPeriod) {
    reservations.serversSynced = now;
    SyncServers(key, pool);
    DropOldReservations(reservations, now);
  }
  wire::StageReserveAnswer answer = wg::Reserve(pool, reservations, ask, now);
  metrics_.Count(!answer.granted() ? "stage_reservations_refused"
                 : answer.late()   ? "stage_reservations_late"
                                   : "stage_reservations_granted");
  LogReservation(ask, answer, pool, reservations);
  return answer;
}

void StageCoordinator::DropOldReservations(StageReservations& reservations,
                                           Elapsed now)
{
  const std::size_t dropped = DropExpired(reservations, now);
  if (dropped > 0) {
    metrics_.Count("stage_reservations_expired", dropped);
  }
}

void StageCoordinator::EndReservations(const wire::StageReserveEnd& end)
{
  auto found = reservations_.find({ end.service(), end.pool_hall() });
  if (found == reservations_.end()) {
    return;
  }
  for (const std::uint64_t number : end.numbers()) {
    found->second.held.erase({ end.box(), number });
  }
}

void StageCoordinator::LogReservation(const wire::StageReserve& ask,
                                      const wire::StageReserveAnswer& answer,
                                      const StagePool& pool,
                                      const StageReservations& reservations)
{
  log_.Write(LogWeight::Routine, "stage_reservation",
             { { "request", ask.request() },
               { "service", ask.service() },
               { "hall", ask.pool_hall() },
               { "granted", answer.granted() },
               { "late", answer.late() },
               { "would_wait_ms", answer.clear_ms() },
               { "start_by_ms", ask.start_by_ms() },
               { "retry_ms", answer.retry_ms() },
               { "waiting", pool.waiting.size() },
               { "reserved", reservations.held.size() } });
}

void StageCoordinator::Submit(const wire::StageWork& work, Done done)
{
  const Elapsed now = ElapsedNow();
  if (work.reservation() != 0) {
    reservations_[{ work.service(), work.pool_hall() }].held.erase(
      { work.box(), work.reservation() });
  }
  const WorkKey workKey{ work.box(), work.work() };
  Cancel(work.box(), work.work()); // sent again by who doubted this box
  if (RefuseIfEvacuated(work, done) || RefuseIfFull(work, done)) {
    return;
  }
  if (work.account().size() > LongestAccount) {
    metrics_.Count("stage_accounts_invalid");
  }
  Work& state = works_[workKey];
  const StagePoolKey key{ work.service(), work.pool_hall() };
  state.pool = key;
  state.done = std::move(done);
  state.missing = work.items_size();
  KeepInputs(work, state);
  StagePool& pool = PoolOf(key);
  const auto inputs = std::make_shared<const std::vector<std::string>>(
    work.inputs().begin(), work.inputs().end());
  for (int i = 0; i < work.items_size(); ++i) {
    const wire::StageItem& item = work.items(i);
    StagePiece piece = MakePiece(work, now);
    piece.ticket = nextTicket_++;
    piece.piece = item.piece();
    piece.key = item.key();
    piece.inputs = inputs;
    owners_[piece.ticket] = { workKey, i };
    state.tickets.push_back(piece.ticket);
    state.reply.add_results();
    NoteRequest(retries_[work.service()], now);
    pool.waiting.push_back(std::move(piece));
  }
  metrics_.Count("stage_pieces_taken",
                 static_cast<std::uint64_t>(work.items_size()));
  Pump(key); // the work may end here
}

void StageCoordinator::Cancel(const std::string& box, std::uint64_t work)
{
  auto node = works_.extract({ box, work });
  if (node.empty()) {
    return;
  }
  const Work& state = node.mapped();
  std::vector<std::string> made;
  for (const ItemResult& result : state.reply.results()) {
    if (result.state() == ItemResult::DONE) {
      made.push_back(result.handle());
    }
  }
  DropRest(state);
  Release(made);
}

bool StageCoordinator::IsInCall(const Work& work) const
{
  return std::any_of(
    work.tickets.begin(), work.tickets.end(), [this](std::uint64_t ticket) {
      const auto owner = owners_.find(ticket);
      return owner != owners_.end() && calls_.count(owner->second.call) > 0;
    });
}

bool StageCoordinator::TakeBack(const std::string& box, std::uint64_t work)
{
  const auto found = works_.find({ box, work });
  if (found != works_.end() && IsInCall(found->second)) {
    return false;
  }
  Cancel(box, work);
  return true;
}

void StageCoordinator::SetHasPath(bool hasPath, const std::string& self,
                                  bool callsHang)
{
  hasPath_ = hasPath;
  self_ = self;
  if (hasPath) {
    NoteDirectory();
    return;
  }
  std::vector<std::uint64_t> lost;
  for (const auto& [number, open] : calls_) {
    lost.push_back(number);
  }
  // Not at once: one of the calls may have brought the news.
  boost::asio::post(loop_, [this, lost, callsHang] {
    for (const std::uint64_t number : lost) {
      if (callsHang) {
        OnCallLate(number);
      }
    }
    SendBackWorks();
  });
}

void StageCoordinator::NoteEndpointPath(const std::string& endpoint,
                                        bool callsHang)
{
  for (auto& [key, pool] : pools_) {
    for (StageServer& server : pool.servers) {
      if (server.id == endpoint) {
        server.avoidUntil = Elapsed();
      }
    }
  }
  std::vector<std::uint64_t> lost;
  for (const auto& [number, open] : calls_) {
    if (callsHang && open.call.server == endpoint && open.relay.empty()) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    OnCallLate(number);
  }
  NoteDirectory();
}

/** Those whose pieces are in a call stay until it ends, so that nothing is
 * sent twice.
 */
void StageCoordinator::SendBackWorks()
{
  std::vector<WorkKey> back;
  for (const auto& [key, work] : works_) {
    if (key.first != self_ && !IsInCall(work)) {
      back.push_back(key);
    }
  }
  for (const WorkKey& key : back) {
    const Done done = works_.at(key).done;
    Cancel(key.first, key.second);
    metrics_.Count("stage_works_sent_back");
    boost::asio::post(loop_, [done] {
      wire::StageReply reply;
      reply.set_no_path(true);
      done(reply);
    });
  }
}

void StageCoordinator::NoteDirectory()
{
  for (auto& [key, pool] : pools_) {
    if (!pool.waiting.empty()) {
      Pump(key);
    }
  }
}

/** Zero where it takes calls now. */
Elapsed StageCoordinator::ClosedUntil(const DirectoryEndpoint& endpoint,
                                      const StagePoolKey& key)
{
  const absl::Duration wait = permits_.TimeUntilFree(endpoint, key);
  const Elapsed limited =
    wait > absl::ZeroDuration() ? ElapsedNow() + wait : Elapsed();
  return std::max(limited, endpoint.terms.backoffUntil);
}

/** Takes new endpoints in, and out those that take no new work. */
void StageCoordinator::SyncServers(const StagePoolKey& key, StagePool& pool)
{
  const auto serving = ServingEndpoints(directory_, key.service, key.hall);
  auto& servers = pool.servers;
  absl::flat_hash_set<absl::string_view> servingIds;
  for (const DirectoryEndpoint* endpoint : serving) {
    servingIds.insert(endpoint->id);
  }
  servers.erase(std::remove_if(servers.begin(), servers.end(),
                               [&servingIds](const StageServer& server) {
                                 return !servingIds.contains(server.id);
                               }),
                servers.end());
  absl::flat_hash_map<std::string, std::size_t> places;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    places[servers[i].id] = i;
  }
  for (const DirectoryEndpoint* endpoint : serving) {
    const auto [place, isNew] =
      places.try_emplace(endpoint->id, servers.size());
    if (isNew) {
      StageServer server;
      server.id = endpoint->id;
      server.hall = endpoint->hall;
      servers.push_back(std::move(server));
    }
    StageServer* known = &servers[place->second];
    // Other boxes relay calls to an endpoint whose path is lost.
    const bool isCut = IsCutOff(directory_.reach, endpoint->hall) &&
                       !IsPathLost(directory_.reach, endpoint->id);
    known->avoidUntil =
      std::max({ known->avoidUntil, endpoint->avoidUntil,
                 isCut ? ElapsedNow() + CutOffPause : Elapsed() });
    known->closedUntil = ClosedUntil(*endpoint, key);
    TakeReport(*known, endpoint->load, ElapsedNow());
  }
  CloseByVersion(key, pool);
}

bool StageCoordinator::MayCallVersion(const StagePoolKey& key,
                                      const VersionRollout& rollout)
{
  VersionCalls& calls = versionCalls_[key];
  if (calls.number != rollout.number) {
    calls = {};
    calls.number = rollout.number;
  }
  return (calls.target + 1) * AllPermille <=
         (calls.all + 1) * rollout.permille;
}

/** While a version is rolled out, one of its endpoints at a time takes calls,
 * as long as they are within its share; with the whole share, all do and the
 * others don't.
 */
void StageCoordinator::CloseByVersion(const StagePoolKey& key, StagePool& pool)
{
  const VersionRollout& rollout =
    FindVersionRollout(directory_.rollouts, key.service);
  if (!IsInProgress(rollout)) {
    return;
  }
  const bool isWhole = rollout.permille >= AllPermille;
  bool mayCall = MayCallVersion(key, rollout);
  const auto isTarget = [&](const StageServer& server) {
    const DirectoryEndpoint* endpoint = FindEndpoint(directory_, server.id);
    return endpoint != nullptr && endpoint->version == rollout.version;
  };
  const auto targets =
    std::count_if(pool.servers.begin(), pool.servers.end(), isTarget);
  const bool isMixed =
    targets > 0 && targets < static_cast<long>(pool.servers.size());
  if (!isMixed) {
    return;
  }
  const Elapsed until = ElapsedNow() + absl::FromChrono(PumpPeriod);
  for (StageServer& server : pool.servers) {
    const bool isOpen = isWhole == isTarget(server) ||
                        (!isWhole && std::exchange(mayCall, false));
    if (!isOpen) {
      server.closedUntil = std::max(server.closedUntil, until);
    }
  }
}

void StageCoordinator::CountVersionCall(const StagePoolKey& key,
                                        const DirectoryEndpoint& endpoint)
{
  const VersionRollout& rollout =
    FindVersionRollout(directory_.rollouts, key.service);
  if (!IsInProgress(rollout)) {
    return;
  }
  VersionCalls& calls = versionCalls_[key];
  ++calls.all;
  calls.target += endpoint.version == rollout.version ? 1 : 0;
}

void StageCoordinator::Pump(const StagePoolKey& key)
{
  StagePool& pool = PoolOf(key);
  const Elapsed now = ElapsedNow();
  for (const KeptResult& gone : TakeExpired(results_[key], now)) {
    FreeRoom(key, gone.endpoint, gone.bytes);
  }
  if (!hasPath_) {
    SendBackWorks();
  }
  RefuseStranded(key, pool);
  GiveUpHopeless(pool, now);
  SyncServers(key, pool);
  BusyRate& busy = reservations_[key].busy;
  NoteBusy(busy, busy.isBusy, now);
  BoundRoom(pool, now);
  while (auto call = NextStageCall(pool, now)) {
    NoteStarted(busy, static_cast<double>(call->pieces.size()));
    MakeCall(key, std::move(*call));
  }
  NoteBusy(busy, pool.waiting.size() >= pool.limits.batch, now);
  if (!pool.waiting.empty()) {
    LogBacklog(key, pool);
    ArmPump();
  }
}

/** Not at each event: while pieces wait, the pump comes round. */
void StageCoordinator::GiveUpHopeless(StagePool& pool, Elapsed now)
{
  if (now < pool.judgedAt + JudgePeriod) {
    return;
  }
  pool.judgedAt = now;
  for (const StagePiece& piece : TakeHopelessPieces(pool, now)) {
    Settle(piece.ticket, MakeResult(ItemResult::LATE));
  }
}

void StageCoordinator::FreeRoom(const StagePoolKey& key,
                                const std::string& server, std::int64_t bytes)
{
  for (StageServer& known : PoolOf(key).servers) {
    if (known.id == server) {
      known.roomUsed = std::max<std::int64_t>(0, known.roomUsed - bytes);
    }
  }
}

/** The room of a result is free once its maker says so: a call that is sent
 * earlier finds it taken.
 */
void StageCoordinator::OnReleased(absl::Span<const std::string> handles)
{
  std::set<StagePoolKey> freed;
  for (const std::string& handle : handles) {
    NoteGone(gone_, handle, ElapsedNow());
    for (auto& [key, ledger] : results_) {
      if (const auto result = TakeResult(ledger, handle)) {
        FreeRoom(key, result->endpoint, result->bytes);
        freed.insert(key);
      }
    }
  }
  for (const StagePoolKey& key : freed) {
    Pump(key);
  }
}

void StageCoordinator::Release(absl::Span<const std::string> handles)
{
  std::vector<std::string> kept;
  std::copy_if(handles.begin(), handles.end(), std::back_inserter(kept),
               [this, now = ElapsedNow()](const std::string& handle) {
                 return !IsGone(gone_, handle, now);
               });
  releaser_.Release(kept);
}

/** While pieces wait, time alone may free an endpoint or end a request. */
void StageCoordinator::ArmPump()
{
  if (std::exchange(pumpArmed_, true)) {
    return;
  }
  pumpTimer_.expires_after(PumpPeriod);
  pumpTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      pumpArmed_ = false;
      NoteDirectory();
    }
  });
}

/** Once a second at most, while pieces wait. */
void StageCoordinator::LogBacklog(const StagePoolKey& key,
                                  const StagePool& pool)
{
  const Elapsed now = ElapsedNow();
  Elapsed& logged = backlogLogged_[key];
  if (now - logged < BacklogLogPeriod) {
    return;
  }
  logged = now;
  nlohmann::json servers = nlohmann::json::array();
  for (const StageServer& server : pool.servers) {
    servers.push_back(
      { { "endpoint", server.id },
        { "calls", server.calls.size() },
        { "room_used", server.roomUsed },
        { "room_short", IsBufferFull(server.roomEvidence, now) },
        { "slowness", SlownessNow(server, now) },
        { "avoided", server.avoidUntil > now } });
  }
  const auto late = std::count_if(pool.waiting.begin(), pool.waiting.end(),
                                  [&pool, now](const StagePiece& piece) {
                                    return IsLate(piece, pool.limits, now);
                                  });
  log_.Write(LogWeight::Notable, "stage_backlog",
             { { "service", key.service },
               { "hall", key.hall },
               { "waiting", pool.waiting.size() },
               { "late", late },
               { "room", pool.limits.roomBytes },
               { "over_share", FurthestOverShare(EvaluateAccounts(pool, now),
                                                 MostAccountsLogged) },
               { "servers", std::move(servers) } });
}

/** Lets a piece wait again, if the attempts and the budget allow it. */
void StageCoordinator::Repeat(const StagePoolKey& key, StagePiece piece,
                              bool sent)
{
  if (owners_.find(piece.ticket) == owners_.end() ||
      EndIfInputsReleased(piece)) {
    return;
  }
  piece.attempts += sent ? 1 : 0;
  const bool allowed =
    piece.attempts < MaxPieceAttempts &&
    !crashes_.IsKeptAway(piece.fingerprint) &&
    (!sent || SpendRetry(retries_[key.service], rules_, 1, ElapsedNow()));
  if (!allowed) {
    metrics_.Count("stage_pieces_given_up");
    Settle(piece.ticket, MakeResult(ItemResult::FAILED));
    return;
  }
  metrics_.Count("stage_pieces_repeated");
  PoolOf(key).waiting.push_back(std::move(piece));
}

void StageCoordinator::Settle(std::uint64_t ticket, ItemResult result)
{
  auto owner = owners_.find(ticket);
  if (owner == owners_.end()) {
    if (result.state() == ItemResult::DONE) {
      releaser_.Release({ result.handle() });
    }
    return;
  }
  const WorkKey key = owner->second.work;
  Work& work = works_.at(key); // as long as a ticket has an owner
  const bool isMade = result.state() == ItemResult::DONE;
  *work.reply.mutable_results(owner->second.index) = std::move(result);
  owners_.erase(owner);
  if (--work.missing == 0) {
    EndWork(key);
  } else if (!isMade) {
    DropRest(work);
    EndWork(key);
  }
}

/** Its results are gone with its start: who asked is told of it. */
void StageCoordinator::NoteMaker(std::uint64_t ticket,
                                 const std::string& endpoint)
{
  auto owner = owners_.find(ticket);
  if (owner == owners_.end()) {
    return;
  }
  auto& makers = *works_.at(owner->second.work).reply.mutable_makers();
  if (std::find(makers.begin(), makers.end(), endpoint) == makers.end()) {
    *makers.Add() = endpoint;
  }
}

/** Without one of its pieces the others are of no use. What is at work of
 * them is given up as it comes.
 */
void StageCoordinator::DropRest(const Work& work)
{
  for (const std::uint64_t ticket : work.tickets) {
    owners_.erase(ticket);
  }
  const auto dropped = TakePieces(PoolOf(work.pool), work.tickets);
  metrics_.Count("stage_pieces_dropped", dropped.size());
}

void StageCoordinator::EndWork(const WorkKey& key)
{
  auto node = works_.extract(key);
  Work& work = node.mapped();
  const double wait = ExpectedWaitSeconds(PoolOf(work.pool), ElapsedNow());
  work.reply.set_waiting_ms(absl::ToInt64Milliseconds(absl::Seconds(wait)));
  work.reply.set_room_scarce(AreBuffersScarce(PoolOf(work.pool)));
  // Not at once: what is done then may change the pools.
  boost::asio::post(loop_, [done = std::move(work.done),
                            reply = std::move(work.reply)] { done(reply); });
}

} // namespace wg
