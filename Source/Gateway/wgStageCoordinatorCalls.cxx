// SPDX-License-Identifier: Apache-2.0
#include "wgStageCoordinator.h"

#include "wgLoopTimer.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/post.hpp>

namespace wg {
namespace {

using ItemResult = wire::StageItemResult;

constexpr double MsInSecond = 1e3;
/** A result is some 60 bytes, and no batch has more than some hundreds. */
constexpr std::size_t MaxStageAnswerBytes = 256U << 10U;
/** Of all that are being read; shorter ones than the fair length go on. */
constexpr std::size_t MaxStageAnswerBytesOfAll = 16U << 20U;
constexpr std::size_t FairStageAnswerBytes = 64U << 10U;
constexpr unsigned MisdirectedRequest = 421; // another one answers there
constexpr double LateFactor = 3.0;
constexpr double LateMarginSeconds = 0.35;
constexpr absl::Duration FullPause = absl::Milliseconds(60);
constexpr absl::Duration FailedPause = absl::Milliseconds(200);

} // namespace

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
  permits_.Take(*endpoint, key);
  CountVersionCall(key, *endpoint);
  if (StageServer* server = ServerOf(open)) {
    server->calls[number] = { now, open.call.expectedSeconds };
    server->closedUntil = ClosedUntil(*endpoint, key);
  }
  HttpRequest request = dialect_.makeStageCall(open.call.pieces, now);
  request.set(boost::beast::http::field::host, endpoint->address);
  request.set(dialect_.fields.endpoint, endpoint->start.name);
  HttpCallHandler handler;
  handler.onHead = [this, number](const HttpHead& head, BodyFraming) {
    OpenCall& mine = calls_[number];
    mine.status = head.result_int();
    const bool isAnother =
      head.result() == boost::beast::http::status::misdirected_request;
    mine.saidNotRun =
      isAnother || !FieldOf(head, dialect_.fields.notRun).empty();
    if (!isAnother) {
      terms_.Heard(mine.call.server, head, mine.started);
    }
    return true;
  };
  handler.onBody = [this, number](absl::string_view bytes) {
    std::string& body = calls_[number].body;
    const std::size_t size = body.size() + bytes.size();
    const bool isTooLong =
      size > MaxStageAnswerBytes ||
      (answerBytes_ + bytes.size() > MaxStageAnswerBytesOfAll &&
       size > FairStageAnswerBytes);
    if (!isTooLong) {
      body.append(bytes.data(), bytes.size());
      answerBytes_ += bytes.size();
    } else {
      boost::asio::post(loop_, [this, number] { OnCallTooLong(number); });
    }
  };
  handler.onEnd = [this, number](HttpCallEnd end) { OnCallEnd(number, end); };
  EndpointCallStarted started = startCall_(
    *endpoint, PrintRequest(std::move(request)), std::move(handler));
  open.http = std::move(started.http);
  open.relay = std::move(started.relay);
  for (const StagePiece& piece : open.call.pieces) {
    metrics_.NoteLatency("stage_wait", now - piece.arrived);
  }
  metrics_.Count("stage_calls");
  metrics_.Count("stage_pieces_sent", open.call.pieces.size());
  metrics_.Count("stage_pieces_sent_over_share", open.call.exceeding);
  StartTimer(number);
  NoteInCall(number);
}

void StageCoordinator::StartTimer(std::uint64_t number)
{
  OpenCall& open = calls_[number];
  const double limit =
    open.call.expectedSeconds * LateFactor + LateMarginSeconds;
  open.timer = std::make_unique<LoopTimer>(
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

void StageCoordinator::NoteTimeOf(const OpenCall& open, StageServer& server)
{
  const Elapsed now = ElapsedNow();
  const bool isContradicted =
    NoteCallTime(server, PoolOf(open.pool).limits, open.call,
                 absl::ToDoubleSeconds(now - open.started), now);
  if (isContradicted) {
    metrics_.Count("load_reports_contradicted");
    log_.Write(LogWeight::Notable, "endpoint_load_contradicted",
               { { "endpoint", server.id },
                 { "service", open.pool.service },
                 { "pace", open.call.pace } });
  }
}

void StageCoordinator::OnCallLate(std::uint64_t number)
{
  auto node = calls_.extract(number);
  if (node.empty()) {
    return;
  }
  OpenCall& open = node.mapped();
  answerBytes_ -= open.body.size();
  open.http->Cancel();
  metrics_.Count("stage_calls_late");
  LogCall(open, "late");
  const StagePoolKey key = open.pool;
  if (StageServer* server = ServerOf(open)) {
    server->calls.erase(number);
    NoteTimeOf(open, *server);
  }
  SettleCall(open, true);
  FailCall(open, true);
  ForgetResting(open);
  Pump(key);
}

/** If a path carries nothing, its connections at rest don't either: a new one
 * tells it soon.
 */
void StageCoordinator::ForgetResting(const OpenCall& open)
{
  const DirectoryEndpoint* endpoint =
    FindEndpoint(directory_, open.call.server);
  if (endpoint != nullptr && open.relay.empty()) {
    client_.Forget(RouteTo(directory_.routes, endpoint->address));
  }
}

void StageCoordinator::OnCallTooLong(std::uint64_t number)
{
  auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;
  }
  metrics_.Count("stage_answers_too_long");
  found->second.http->Cancel();
  OnCallEnd(number, HttpCallEnd::Cut);
}

void StageCoordinator::NoteVersionCall(const OpenCall& open, bool failed)
{
  const DirectoryEndpoint* endpoint =
    FindEndpoint(directory_, open.call.server);
  if (endpoint == nullptr || tallies_ == nullptr) {
    return;
  }
  const absl::Duration aim =
    absl::Seconds(open.call.expectedSeconds * LateFactor);
  NoteAttemptSeen(*tallies_, directory_, *endpoint, "",
                  { failed, ElapsedNow() - open.started, aim });
}

void StageCoordinator::OnCallEnd(std::uint64_t number, HttpCallEnd end)
{
  auto node = calls_.extract(number);
  if (node.empty()) {
    return;
  }
  OpenCall& open = node.mapped();
  answerBytes_ -= open.body.size();
  open.timer->cancel();
  const StagePoolKey key = open.pool;
  if (StageServer* server = ServerOf(open)) {
    server->calls.erase(number);
  }
  constexpr unsigned ok = 200;
  if (!open.saidNotRun) {
    NoteVersionCall(open, !IsAnswered(end) || open.status != ok);
  }
  const bool isAnswered = IsAnswered(end);
  const bool isSent =
    end == HttpCallEnd::Cut || end == HttpCallEnd::Refused || isAnswered;
  SettleCall(open,
             isSent && !(isAnswered && open.status != ok && open.saidNotRun));
  if (isAnswered && open.status == ok) {
    TakeAnswer(open, end);
  } else if (isAnswered && open.saidNotRun) {
    metrics_.Count("stage_calls_refused");
    LogCall(open, "refused");
    if (open.status == MisdirectedRequest) {
      NoteReplaced(directory_, open.call.server, ElapsedNow());
    }
    if (StageServer* server = ServerOf(open)) {
      server->avoidUntil = ElapsedNow() + PauseAfterRefusal(open);
    }
    for (StagePiece& piece : open.call.pieces) {
      FreeRoom(key, open.call.server, piece.resultBytes);
      Repeat(key, std::move(piece), true);
    }
  } else {
    metrics_.Count("stage_calls_failed");
    LogCall(open, "failed");
    if (end == HttpCallEnd::Cut) {
      NoteCutCall(open);
    }
    FailCall(open, isSent);
  }
  Pump(key);
}

/** A brittle endpoint falls over when it refuses too much. */
absl::Duration StageCoordinator::PauseAfterRefusal(const OpenCall& open) const
{
  auto found = directory_.endpoints.find(open.call.server);
  const bool isBrittle = found != directory_.endpoints.end() &&
                         IsBrittle(directory_, found->second, ElapsedNow());
  return isBrittle
           ? RefusalPause(
               found->second.terms.limits.refusalsPerSecond.value_or(0.0))
           : FullPause;
}

/** Accounts pay for what a call took, and for nothing if it was not run. To be
 * called while the call still has its pieces.
 */
void StageCoordinator::SettleCall(const OpenCall& open, bool wasRun)
{
  const Elapsed now = ElapsedNow();
  const double seconds =
    wasRun ? absl::ToDoubleSeconds(now - open.started) : 0.0;
  if (!SettleStageCall(PoolOf(open.pool), open.call, seconds, open.started,
                       now)) {
    metrics_.Count("stage_charges_invalid");
  }
}

/** One of its pieces may have ended the endpoint. */
void StageCoordinator::NoteCutCall(const OpenCall& open)
{
  for (const StagePiece& piece : open.call.pieces) {
    if (!piece.fingerprint.empty()) {
      crashes_.Cut(open.call.server, { RequestSuspect(piece.fingerprint) });
    }
  }
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
               { "relay", open.relay },
               { "end", std::string(end) },
               { "first_request", open.call.pieces.front().request },
               { "pieces", open.call.pieces.size() },
               { "waited_ms", absl::ToInt64Milliseconds(longest) },
               { "expected_ms", open.call.expectedSeconds * MsInSecond },
               { "took_ms", absl::ToInt64Milliseconds(now - open.started) } });
}

void StageCoordinator::FailCall(OpenCall& open, bool sent)
{
  DirectoryEndpoint* endpoint = FindEndpoint(directory_, open.call.server);
  const bool hasOtherWay =
    !sent && IsPathLost(directory_.reach, open.call.server);
  if (endpoint != nullptr && !hasOtherWay) {
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

void StageCoordinator::TakeAnswer(OpenCall& open, HttpCallEnd end)
{
  auto results = dialect_.readStageAnswer(open.body);
  const bool sound =
    Succeeded(results) && Value(results).size() == open.call.pieces.size();
  if (!sound) {
    metrics_.Count("stage_answers_unsound");
    if (end == HttpCallEnd::EndedByClose) { // within the document
      NoteCutCall(open);
    }
    FailCall(open, true);
    return;
  }
  const Elapsed now = ElapsedNow();
  if (end == HttpCallEnd::Complete) {
    crashes_.Alive(open.call.server);
  }
  if (StageServer* server = ServerOf(open)) {
    NoteTimeOf(open, *server);
  }
  if (DirectoryEndpoint* endpoint =
        FindEndpoint(directory_, open.call.server)) {
    NoteAttempt(*endpoint, false, now);
    if (open.relay.empty()) {
      halls_.Reached(*endpoint);
    }
  }
  metrics_.NoteLatency("stage_call", now - open.started);
  LogCall(open, "answered");
  NoteRoomAnswer(open, Value(results));
  const std::vector<WorkKey> works = WorksOf(open);
  for (std::size_t i = 0; i < open.call.pieces.size(); ++i) {
    TakeResultOf(open, open.call.pieces[i], std::move(Value(results)[i]));
  }
  ReleaseInputsOf(works); // where all other calls have fetched theirs
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
    ForgetGone(gone_, result.handle());
    NoteMaker(piece.ticket, open.call.server);
  } else {
    FreeRoom(open.pool, open.call.server, piece.resultBytes);
  }
  if (state == ItemResult::INPUT_GONE) {
    NoteInputGone(piece);
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

} // namespace wg
