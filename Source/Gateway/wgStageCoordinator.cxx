// SPDX-License-Identifier: Apache-2.0
#include "wgStageCoordinator.h"

#include <algorithm>
#include <chrono>
#include <set>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

using ItemResult = wire::StageItemResult;

constexpr auto PumpPeriod = std::chrono::milliseconds(30);
constexpr int MaxPieceAttempts = 4;
constexpr absl::Duration BacklogLogPeriod = absl::Seconds(1);
constexpr double MsInSecond = 1e3;
constexpr double LateFactor = 3.0;
constexpr double LateMarginSeconds = 0.35;
constexpr absl::Duration FullPause = absl::Milliseconds(60);
constexpr absl::Duration CutOffPause = absl::Milliseconds(60);
constexpr absl::Duration FailedPause = absl::Milliseconds(200);
/** For so long an endpoint that lacked room is taken to hold more than is
 * known here.
 */
constexpr absl::Duration NoRoomMemory = absl::Milliseconds(400);

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
                                   GatewayMetrics& metrics, DecisionLog& log)
  : loop_(loop)
  , client_(client)
  , directory_(directory)
  , dialect_(dialect)
  , releaser_(releaser)
  , halls_(halls)
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

void StageCoordinator::Submit(const wire::StageWork& work, Done done)
{
  const Elapsed now = ElapsedNow();
  const WorkKey workKey{ work.box(), work.work() };
  Cancel(work.box(), work.work()); // sent again by who doubted this box
  Work& state = works_[workKey];
  const StagePoolKey key{ work.service(), work.pool_hall() };
  state.pool = key;
  state.done = std::move(done);
  state.missing = work.items_size();
  StagePool& pool = PoolOf(key);
  const auto inputs = std::make_shared<const std::vector<std::string>>(
    work.inputs().begin(), work.inputs().end());
  for (int i = 0; i < work.items_size(); ++i) {
    const wire::StageItem& item = work.items(i);
    StagePiece piece;
    piece.ticket = nextTicket_++;
    piece.request = work.request();
    piece.stage = work.stage();
    piece.piece = item.piece();
    piece.key = item.key();
    piece.inputs = inputs;
    piece.hall = work.hall();
    piece.arrived = now;
    piece.resultBytes = work.result_bytes();
    piece.crossingBytes = work.crossing_bytes();
    piece.due = now + absl::Milliseconds(work.due_ms());
    piece.finishBy = piece.due - absl::Milliseconds(work.after_ms());
    piece.deadline = now + absl::Milliseconds(work.left_ms());
    piece.rank = static_cast<int>(work.rank());
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
  for (const std::uint64_t ticket : state.tickets) {
    owners_.erase(ticket);
  }
  const auto dropped = TakePieces(PoolOf(state.pool), state.tickets);
  metrics_.Count("stage_pieces_dropped", dropped.size());
  Release(made);
}

void StageCoordinator::NoteDirectory()
{
  for (auto& [key, pool] : pools_) {
    if (!pool.waiting.empty()) {
      Pump(key);
    }
  }
}

/** Takes new endpoints in, and out those that take no new work. */
void StageCoordinator::SyncServers(const StagePoolKey& key, StagePool& pool)
{
  const auto serving = ServingEndpoints(directory_, key.service, key.hall);
  auto& servers = pool.servers;
  servers.erase(std::remove_if(servers.begin(), servers.end(),
                               [&serving](const StageServer& server) {
                                 return std::none_of(
                                   serving.begin(), serving.end(),
                                   [&server](const DirectoryEndpoint* e) {
                                     return e->id == server.id;
                                   });
                               }),
                servers.end());
  for (const DirectoryEndpoint* endpoint : serving) {
    auto known = std::find_if(servers.begin(), servers.end(),
                              [endpoint](const StageServer& server) {
                                return server.id == endpoint->id;
                              });
    if (known == servers.end()) {
      StageServer server;
      server.id = endpoint->id;
      server.hall = endpoint->hall;
      servers.push_back(std::move(server));
      known = servers.end() - 1;
    }
    const bool isCut = IsCutOff(directory_.reach, endpoint->hall);
    known->avoidUntil =
      std::max({ known->avoidUntil, endpoint->avoidUntil,
                 isCut ? ElapsedNow() + CutOffPause : Elapsed() });
  }
}

void StageCoordinator::Pump(const StagePoolKey& key)
{
  StagePool& pool = PoolOf(key);
  const Elapsed now = ElapsedNow();
  for (const KeptResult& gone : TakeExpired(results_[key], now)) {
    FreeRoom(key, gone.endpoint, gone.bytes);
  }
  for (const StagePiece& late : TakeLatePieces(pool, now)) {
    Settle(late.ticket, MakeResult(ItemResult::LATE));
  }
  SyncServers(key, pool);
  while (auto call = NextStageCall(pool, now)) {
    MakeCall(key, std::move(*call));
  }
  if (!pool.waiting.empty()) {
    LogBacklog(key, pool);
    ArmPump();
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
  releaser_.Release(handles);
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

StageServer* StageCoordinator::ServerOf(const OpenCall& open)
{
  auto& servers = PoolOf(open.pool).servers;
  auto found = std::find_if(
    servers.begin(), servers.end(),
    [&open](const StageServer& s) { return s.id == open.call.server; });
  return found == servers.end() ? nullptr : &*found;
}

void StageCoordinator::MakeCall(const StagePoolKey& key, StageCall call)
{
  const DirectoryEndpoint* endpoint = FindEndpoint(directory_, call.server);
  const std::uint64_t number = nextCall_++;
  const Elapsed now = ElapsedNow();
  OpenCall& open = calls_[number];
  open.pool = key;
  open.call = std::move(call);
  open.started = now;
  if (StageServer* server = ServerOf(open)) {
    server->calls[number] = { now, open.call.expectedSeconds };
  }
  HttpRequest request = dialect_.makeStageCall(open.call.pieces, now);
  request.set(boost::beast::http::field::host, endpoint->address);
  request.set(dialect_.fields.endpoint, endpoint->id);
  HttpCallHandler handler;
  handler.onHead = [this, number](const HttpHead& head) {
    OpenCall& mine = calls_[number];
    mine.status = head.result_int();
    mine.saidNotRun =
      !FieldOf(head, dialect_.fields.notRun).empty() ||
      head.result() == boost::beast::http::status::misdirected_request;
    return true;
  };
  handler.onBody = [this, number](absl::string_view bytes) {
    calls_[number].body.append(bytes.data(), bytes.size());
  };
  handler.onEnd = [this, number](HttpCallEnd end) { OnCallEnd(number, end); };
  open.http =
    client_.Start(endpoint->address, PrintRequest(std::move(request)), {},
                  std::move(handler));
  for (const StagePiece& piece : open.call.pieces) {
    metrics_.NoteLatency("stage_wait", now - piece.arrived);
  }
  metrics_.Count("stage_calls");
  metrics_.Count("stage_pieces_sent", open.call.pieces.size());
  StartTimer(number);
}

void StageCoordinator::StartTimer(std::uint64_t number)
{
  OpenCall& open = calls_[number];
  const double limit =
    open.call.expectedSeconds * LateFactor + LateMarginSeconds;
  open.timer = std::make_unique<boost::asio::steady_timer>(
    loop_, absl::ToChronoMilliseconds(absl::Seconds(limit)));
  open.timer->async_wait([this, number](boost::system::error_code error) {
    if (!error) {
      OnCallLate(number);
    }
  });
}

void StageCoordinator::NoteHallCut(const std::string& hall)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [number, open] : calls_) {
    const DirectoryEndpoint* endpoint =
      FindEndpoint(directory_, open.call.server);
    if (endpoint != nullptr && endpoint->hall == hall) {
      lost.push_back(number);
    }
  }
  // Not at once: one of the calls may have brought the news.
  boost::asio::post(loop_, [this, lost] {
    for (const std::uint64_t number : lost) {
      OnCallLate(number);
    }
  });
}

void StageCoordinator::OnCallLate(std::uint64_t number)
{
  auto node = calls_.extract(number);
  if (node.empty()) {
    return;
  }
  OpenCall& open = node.mapped();
  open.http->Cancel();
  metrics_.Count("stage_calls_late");
  LogCall(open, "late");
  const StagePoolKey key = open.pool;
  if (StageServer* server = ServerOf(open)) {
    server->calls.erase(number);
    NoteCallTime(
      *server,
      ExpectedCallSeconds(PoolOf(key).limits, open.call.pieces.size()),
      absl::ToDoubleSeconds(ElapsedNow() - open.started), ElapsedNow());
  }
  FailCall(open, true);
  Pump(key);
}

void StageCoordinator::OnCallEnd(std::uint64_t number, HttpCallEnd end)
{
  auto node = calls_.extract(number);
  if (node.empty()) {
    return;
  }
  OpenCall& open = node.mapped();
  open.timer->cancel();
  const StagePoolKey key = open.pool;
  if (StageServer* server = ServerOf(open)) {
    server->calls.erase(number);
  }
  constexpr unsigned ok = 200;
  if (end == HttpCallEnd::Complete && open.status == ok) {
    TakeAnswer(open);
  } else if (end == HttpCallEnd::Complete && open.saidNotRun) {
    metrics_.Count("stage_calls_refused");
    LogCall(open, "refused");
    if (StageServer* server = ServerOf(open)) {
      server->avoidUntil = ElapsedNow() + FullPause;
    }
    for (StagePiece& piece : open.call.pieces) {
      FreeRoom(key, open.call.server, piece.resultBytes);
      Repeat(key, std::move(piece), true);
    }
  } else {
    metrics_.Count("stage_calls_failed");
    LogCall(open, "failed");
    const DirectoryEndpoint* endpoint =
      FindEndpoint(directory_, open.call.server);
    if (end == HttpCallEnd::Unreached && endpoint != nullptr) {
      halls_.Unreached(*endpoint);
    }
    FailCall(open, end == HttpCallEnd::Cut || end == HttpCallEnd::Refused ||
                     end == HttpCallEnd::Complete);
  }
  Pump(key);
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
    servers.push_back({ { "endpoint", server.id },
                        { "calls", server.calls.size() },
                        { "room_used", server.roomUsed },
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
               { "servers", std::move(servers) } });
}

void StageCoordinator::LogCall(const OpenCall& open, absl::string_view end)
{
  const Elapsed now = ElapsedNow();
  absl::Duration longest;
  for (const StagePiece& piece : open.call.pieces) {
    longest = std::max(longest, open.started - piece.arrived);
  }
  const auto weight =
    end == "answered" ? LogWeight::Routine : LogWeight::Notable;
  log_.Write(weight, "stage_call",
             { { "service", open.pool.service },
               { "endpoint", open.call.server },
               { "end", std::string(end) },
               { "first_request", open.call.pieces.front().request },
               { "pieces", open.call.pieces.size() },
               { "waited_ms", absl::ToInt64Milliseconds(longest) },
               { "expected_ms", open.call.expectedSeconds * MsInSecond },
               { "took_ms", absl::ToInt64Milliseconds(now - open.started) } });
}

void StageCoordinator::FailCall(OpenCall& open, bool sent)
{
  if (DirectoryEndpoint* endpoint =
        FindEndpoint(directory_, open.call.server)) {
    NoteAttempt(*endpoint, true, ElapsedNow());
  }
  const Elapsed until = ElapsedNow() + PoolOf(open.pool).limits.resultLifetime;
  for (StagePiece& piece : open.call.pieces) {
    if (sent) { // it may be made all the same
      KeepUnnamed(results_[open.pool],
                  { open.call.server, piece.resultBytes, until });
    } else {
      FreeRoom(open.pool, open.call.server, piece.resultBytes);
    }
    Repeat(open.pool, std::move(piece), sent);
  }
}

void StageCoordinator::TakeAnswer(OpenCall& open)
{
  auto results = dialect_.readStageAnswer(open.body);
  const bool sound =
    Succeeded(results) && Value(results).size() == open.call.pieces.size();
  if (!sound) {
    metrics_.Count("stage_answers_unsound");
    FailCall(open, true);
    return;
  }
  const Elapsed now = ElapsedNow();
  const double seconds = absl::ToDoubleSeconds(now - open.started);
  StageServer* server = ServerOf(open);
  const StageLimits& limits = PoolOf(open.pool).limits;
  if (server != nullptr) {
    NoteCallTime(*server, ExpectedCallSeconds(limits, open.call.pieces.size()),
                 seconds, now);
  }
  if (DirectoryEndpoint* endpoint =
        FindEndpoint(directory_, open.call.server)) {
    NoteAttempt(*endpoint, false, now);
    halls_.Reached(*endpoint);
  }
  metrics_.NoteLatency("stage_call", now - open.started);
  LogCall(open, "answered");
  for (std::size_t i = 0; i < open.call.pieces.size(); ++i) {
    TakeResultOf(open, open.call.pieces[i], std::move(Value(results)[i]));
  }
}

void StageCoordinator::TakeResultOf(OpenCall& open, StagePiece& piece,
                                    ItemResult result)
{
  const Elapsed now = ElapsedNow();
  const auto state = result.state();
  KeptResult kept{ open.call.server, piece.resultBytes, now };
  if (state == ItemResult::DONE) {
    kept.until += PoolOf(open.pool).limits.resultLifetime;
    KeepResult(results_[open.pool], result.handle(), kept);
  } else if (state == ItemResult::NO_ROOM) {
    kept.until += NoRoomMemory;
    KeepUnnamed(results_[open.pool], kept);
  } else {
    FreeRoom(open.pool, open.call.server, piece.resultBytes);
  }
  if (state != ItemResult::FAILED && state != ItemResult::NO_ROOM) {
    Settle(piece.ticket, std::move(result));
    return;
  }
  if (state == ItemResult::NO_ROOM) {
    metrics_.Count("stage_pieces_no_room");
  } else {
    metrics_.Count("stage_pieces_failed");
    if (StageServer* server = ServerOf(open)) {
      server->avoidUntil = now + FailedPause;
    }
  }
  Repeat(open.pool, std::move(piece), true);
}

/** Lets a piece wait again, if the attempts and the budget allow it. */
void StageCoordinator::Repeat(const StagePoolKey& key, StagePiece piece,
                              bool sent)
{
  if (owners_.find(piece.ticket) == owners_.end()) {
    return;
  }
  piece.attempts += sent ? 1 : 0;
  const bool allowed =
    piece.attempts < MaxPieceAttempts &&
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
  *work.reply.mutable_results(owner->second.index) = std::move(result);
  owners_.erase(owner);
  if (--work.missing == 0) {
    EndWork(key);
  }
}

void StageCoordinator::EndWork(const WorkKey& key)
{
  auto node = works_.extract(key);
  Work& work = node.mapped();
  const double wait = ExpectedWaitSeconds(PoolOf(work.pool), ElapsedNow());
  work.reply.set_waiting_ms(absl::ToInt64Milliseconds(absl::Seconds(wait)));
  // Not at once: what is done then may change the pools.
  boost::asio::post(loop_, [done = std::move(work.done),
                            reply = std::move(work.reply)] { done(reply); });
}

} // namespace wg
