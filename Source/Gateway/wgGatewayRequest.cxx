// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

/** The answer must be with the caller before its time is over. */
constexpr absl::Duration GiveUpMargin = absl::Milliseconds(25);
constexpr absl::Duration LeastUseful = absl::Milliseconds(15);
constexpr absl::Duration LongestHeld = absl::Minutes(10);
constexpr int MaxConnectFailures = 4;
constexpr absl::Duration RetryAfterDefault = absl::Milliseconds(300);
/** What may not be repeated is sent on connections that rested shortly. */
constexpr absl::Duration FreshRest = absl::Milliseconds(1500);
constexpr std::size_t MaxAnswerBytes = 32U << 20U;
/** A request with less of its time left than this has been refused before.
 */
constexpr double ComebackShare = 0.9;
/** What is expected to take longer than this share of its aim is refused:
 * requests that are admitted up to the aim itself are mostly late.
 */
constexpr double AdmittedShare = 0.6;
/** Results that cross between halls are weighed as time. */
constexpr double CrossingSecondsPerByte = 11e-9;

std::string SecondsText(absl::Duration time)
{
  return absl::StrFormat("%.2f", absl::ToDoubleSeconds(time));
}

} // namespace

GatewayRequest::GatewayRequest(GatewayShared& shared,
                               std::shared_ptr<HttpExchange> exchange,
                               std::shared_ptr<const RouteTable> table,
                               Over over)
  : shared_(shared)
  , exchange_(std::move(exchange))
  , table_(std::move(table))
  , over_(std::move(over))
  , timer_(shared.loop)
{
}

void GatewayRequest::Begin()
{
  shared_.metrics.Count("requests");
  id_ = std::string(FieldOf(exchange_->Request(), Fields().request));
  if (!FindRouteAndKey() || !ReadDeadline() || !ReadStages()) {
    return;
  }
  exchange_->OnCallerLeft([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnCallerLeft();
    }
  });
  ReadPrompt();
  if (RefuseIfHopeless()) {
    return;
  }
  service_ =
    ChooseTarget(*route_, absl::Uniform<double>(shared_.random, 0.0, 1.0));
  NoteRequest(shared_.retries[service_], ElapsedNow());
  timer_.expires_after(
    absl::ToChronoMilliseconds(giveUp_ - exchange_->Arrived()));
  timer_.async_wait(
    [weak = weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) {
        self->OnTimeOver();
      }
    });
  double ignored = 0.0;
  const DirectoryEndpoint* planned = ChooseEndpointFor(ignored);
  resultHall_ = planned == nullptr ? shared_.hall : planned->hall;
  SubmitStages();
}

bool GatewayRequest::FindRouteAndKey()
{
  constexpr unsigned BadRequest = 400;
  constexpr unsigned Unauthorized = 401;
  constexpr unsigned NotFound = 404;
  const HttpRequest& request = exchange_->Request();
  const absl::string_view target(request.target().data(),
                                 request.target().size());
  route_ = FindRoute(*table_, FieldOf(request, "Host"), target);
  if (route_ == nullptr) {
    Refuse(NotFound, "no_route");
    return false;
  }
  if (id_.empty()) {
    Refuse(BadRequest, "no_request_id");
    return false;
  }
  if (!table_->hasAccounts || route_->isPublic) {
    return true;
  }
  absl::string_view key = FieldOf(request, Fields().key);
  absl::ConsumePrefix(&key, Fields().keyScheme);
  auto found = table_->keys.find(std::string(key));
  if (found == table_->keys.end()) {
    Refuse(Unauthorized, "unknown_key");
    return false;
  }
  holder_ = found->second;
  return true;
}

bool GatewayRequest::ReadDeadline()
{
  constexpr std::int64_t NoDeadline = -1;
  const std::int64_t ms =
    NumberOf(exchange_->Request(), Fields().deadline, NoDeadline);
  if (ms >= 0) {
    callerDeadline_ = exchange_->Arrived() + absl::Milliseconds(ms);
  }
  giveUp_ = std::min({ callerDeadline_ - GiveUpMargin,
                       exchange_->Arrived() + route_->timeout - GiveUpMargin,
                       exchange_->Arrived() + LongestHeld });
  if (giveUp_ <= ElapsedNow()) {
    SayNotRun("no_time");
    return false;
  }
  return true;
}

void GatewayRequest::ReadPrompt()
{
  const HttpRequest& request = exchange_->Request();
  prompt_.parts = ParsePromptParts(FieldOf(request, Fields().prompt));
  const std::pair<absl::string_view, absl::string_view> tokens =
    absl::StrSplit(FieldOf(request, Fields().tokens), absl::MaxSplits(',', 1));
  (void)absl::SimpleAtoi(tokens.first, &prompt_.tokensIn);
  (void)absl::SimpleAtoi(tokens.second, &prompt_.tokensOut);
}

/** A stage of which the request names no number has one piece. */
bool GatewayRequest::ReadStages()
{
  constexpr int MaxPieces = 10000;
  constexpr unsigned BadRequest = 400;
  if (route_->stages.empty()) {
    return true;
  }
  const HttpRequest& request = exchange_->Request();
  pieceKey_ = std::string(FieldOf(request, Fields().pieceKey));
  const std::vector<absl::string_view> counts =
    absl::StrSplit(FieldOf(request, Fields().pieces), ',');
  stages_.resize(route_->stages.size());
  stagesToEnd_ = StagesToEnd(route_->stages);
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    stages_[i].pieces = 1;
    const bool named = i < counts.size() && !counts[i].empty();
    const bool sound =
      !named || (absl::SimpleAtoi(absl::StripAsciiWhitespace(counts[i]),
                                  &stages_[i].pieces) &&
                 stages_[i].pieces >= 0 && stages_[i].pieces <= MaxPieces);
    if (!sound) {
      Refuse(BadRequest, "bad_pieces");
      return false;
    }
    stages_[i].done = stages_[i].pieces == 0;
  }
  return true;
}

/** How long the first byte would take if it went on as it goes now. */
double GatewayRequest::ExpectedSeconds() const
{
  std::vector<double> until(stages_.size(), 0.0);
  double longest = 0.0;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const RouteStage& planned = route_->stages[i];
    double begin = 0.0;
    for (const std::size_t before : planned.after) {
      begin = std::max(begin, until[before]);
    }
    const auto service = table_->services.find(planned.service);
    const bool runs = stages_[i].pieces > 0 &&
                      service != table_->services.end() &&
                      service->second.stage.has_value();
    until[i] = begin;
    if (runs) {
      const auto pieces = static_cast<std::size_t>(stages_[i].pieces);
      until[i] +=
        absl::ToDoubleSeconds(shared_.stages.Waiting(planned.service)) +
        ExpectedCallSeconds(*service->second.stage, pieces);
    }
    longest = std::max(longest, until[i]);
  }
  const std::int64_t ownTokens =
    prompt_.parts.empty() ? prompt_.tokensIn : prompt_.parts.back().tokens;
  return longest +
         static_cast<double>(ownTokens) * shared_.speed.secondsPerToken;
}

/** What can't be answered when it ought to be is refused before any work on
 * it, with when to come back. One that came back is not refused again for it.
 */
bool GatewayRequest::RefuseIfHopeless()
{
  const absl::Duration given = callerDeadline_ - exchange_->Arrived();
  const bool cameBack = given < ComebackShare * route_->timeout;
  const bool hopeless = !stages_.empty() && absl::Seconds(ExpectedSeconds()) >
                                              AdmittedShare * route_->aim;
  if (!hopeless || cameBack) {
    return false;
  }
  SayNotRun("overload");
  return true;
}

Elapsed GatewayRequest::Due() const
{
  return exchange_->Arrived() + route_->aim;
}

/** Stages, one after the other, until all are done. */
int GatewayRequest::LongestLeft() const
{
  int longest = 0;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    longest = stages_[i].done ? longest : std::max(longest, stagesToEnd_[i]);
  }
  return longest;
}

bool GatewayRequest::IsReady(std::size_t stage) const
{
  const auto& after = route_->stages[stage].after;
  return std::all_of(after.begin(), after.end(), [this](std::size_t before) {
    return stages_[before].done;
  });
}

void GatewayRequest::SubmitStages()
{
  if (ResultsAreCutOff() && !stagesRestarted_) {
    RestartStages();
    return;
  }
  const int longest = LongestLeft();
  bool allDone = true;
  for (std::size_t i = 0; i < stages_.size() && !ended_; ++i) {
    allDone &= stages_[i].done;
    // One on a shorter branch starts later: its results would only wait.
    const bool isDue = stagesToEnd_[i] >= longest;
    if (stages_[i].done || stages_[i].submitted || !IsReady(i) || !isDue) {
      continue;
    }
    stages_[i].submitted = true;
    stages_[i].submittedAt = ElapsedNow();
    stages_[i].work =
      shared_.stages.Submit(MakeWork(i), [weak = weak_from_this(),
                                          i](const wire::StageReply& reply) {
        if (auto self = weak.lock()) {
          self->OnStage(i, reply);
        }
      });
  }
  if (allDone && !ended_) {
    SendToEndpoint();
  }
}

/** Each item fetches all its inputs for itself: it is best made in the hall
 * where most of them lie. A first stage is best made where the engine is.
 */
void GatewayRequest::PlaceWork(std::size_t stage, wire::StageWork& work) const
{
  const RouteStage& planned = route_->stages[stage];
  std::map<std::string, std::int64_t> lies; // bytes by hall
  for (const std::size_t before : planned.after) {
    for (const std::string& handle : stages_[before].handles) {
      const DirectoryEndpoint* maker = FindByAddress(
        shared_.directory, shared_.dialect.addressOfResult(handle));
      lies[maker == nullptr ? "" : maker->hall] +=
        route_->stages[before].resultBytes;
    }
  }
  if (lies.empty()) {
    work.set_hall(resultHall_);
    work.set_crossing_bytes(planned.resultBytes);
    return;
  }
  const auto most = std::max_element(
    lies.begin(), lies.end(),
    [](const auto& a, const auto& b) { return a.second < b.second; });
  work.set_hall(most->first);
  work.set_crossing_bytes(most->second);
}

wire::StageWork GatewayRequest::MakeWork(std::size_t stage) const
{
  const RouteStage& planned = route_->stages[stage];
  const Elapsed now = ElapsedNow();
  wire::StageWork work;
  work.set_service(planned.service);
  work.set_request(id_);
  work.set_stage(static_cast<std::uint32_t>(stage));
  work.set_left_ms(absl::ToInt64Milliseconds(giveUp_ - now));
  work.set_due_ms(absl::ToInt64Milliseconds(Due() - now));
  work.set_rank(static_cast<std::uint32_t>(std::max(0, route_->rank)));
  work.set_result_bytes(planned.resultBytes);
  PlaceWork(stage, work);
  std::vector<std::string> inputs;
  for (const std::size_t before : planned.after) {
    inputs.insert(inputs.end(), stages_[before].handles.begin(),
                  stages_[before].handles.end());
  }
  for (int i = 0; i < stages_[stage].pieces; ++i) {
    wire::StageItem& item = *work.add_items();
    item.set_piece(static_cast<std::uint32_t>(i));
    if (planned.after.empty()) {
      item.set_key(pieceKey_);
    }
    for (const std::string& input : inputs) {
      item.add_inputs(input);
    }
  }
  return work;
}

void GatewayRequest::OnStage(std::size_t stage, const wire::StageReply& reply)
{
  if (ended_) {
    return;
  }
  Stage& state = stages_[stage];
  state.work = 0;
  for (const wire::StageItemResult& result : reply.results()) {
    if (result.state() == wire::StageItemResult::DONE) {
      state.handles.push_back(result.handle());
    }
  }
  if (state.handles.size() != static_cast<std::size_t>(state.pieces)) {
    FailStages(reply, stage);
    return;
  }
  state.done = true;
  state.doneAt = ElapsedNow();
  shared_.metrics.NoteLatency("stage", state.doneAt - state.submittedAt);
  ReleaseConsumed();
  SubmitStages();
}

void GatewayRequest::FailStages(const wire::StageReply& reply,
                                std::size_t stage)
{
  const auto count = [&reply](wire::StageItemResult::State state) {
    return std::count_if(
      reply.results().begin(), reply.results().end(),
      [state](const auto& result) { return result.state() == state; });
  };
  if (count(wire::StageItemResult::INPUT_GONE) > 0 && !stagesRestarted_) {
    RestartStages();
    return;
  }
  const bool late = count(wire::StageItemResult::LATE) > 0;
  shared_.metrics.Count(
    absl::StrCat("stage_failed_", route_->stages[stage].service));
  SayNotRun(late ? "stage_late" : "stage_failed");
}

/** Whether results lie in a hall that can't be reached. */
bool GatewayRequest::ResultsAreCutOff() const
{
  for (const Stage& stage : stages_) {
    for (const std::string& handle : stage.handles) {
      const DirectoryEndpoint* maker = FindByAddress(
        shared_.directory, shared_.dialect.addressOfResult(handle));
      const bool isCut =
        maker != nullptr && IsCutOff(shared_.directory.reach, maker->hall);
      if (isCut) {
        return true;
      }
    }
  }
  return false;
}

/** Some results are gone: all is made anew, once. */
void GatewayRequest::RestartStages()
{
  stagesRestarted_ = true;
  shared_.metrics.Count("stages_restarted");
  ReleaseAll();
  finalReleased_ = false;
  for (Stage& stage : stages_) {
    if (stage.work != 0) {
      shared_.stages.Cancel(stage.work);
    }
    const int pieces = stage.pieces;
    stage = {};
    stage.pieces = pieces;
    stage.done = pieces == 0;
  }
  SubmitStages();
}

void GatewayRequest::ReleaseStage(std::size_t stage)
{
  shared_.stages.Release(std::exchange(stages_[stage].handles, {}));
}

/** Gives up the results of stages whose successors are all done. */
void GatewayRequest::ReleaseConsumed()
{
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    bool hasSuccessor = false;
    bool allDone = true;
    for (std::size_t next = 0; next < stages_.size(); ++next) {
      const auto& after = route_->stages[next].after;
      const bool follows =
        std::find(after.begin(), after.end(), i) != after.end();
      hasSuccessor |= follows;
      allDone &= !follows || stages_[next].done;
    }
    if (hasSuccessor && allDone) {
      ReleaseStage(i);
    }
  }
}

void GatewayRequest::ReleaseAll()
{
  finalReleased_ = true;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    ReleaseStage(i);
  }
}

std::string GatewayRequest::FinalHandles() const
{
  std::vector<std::string> handles;
  for (const std::size_t stage : FinalStages(route_->stages)) {
    handles.insert(handles.end(), stages_[stage].handles.begin(),
                   stages_[stage].handles.end());
  }
  return absl::StrJoin(handles, ",");
}

/** What the engine will have to fetch. */
std::int64_t GatewayRequest::ResultBytes() const
{
  std::int64_t bytes = 0;
  for (const std::size_t stage : FinalStages(route_->stages)) {
    bytes += route_->stages[stage].resultBytes *
             static_cast<std::int64_t>(stages_[stage].handles.size());
  }
  return bytes;
}

DirectoryEndpoint* GatewayRequest::ChooseEndpointFor(double& readSeconds)
{
  ChoiceQuery query;
  query.now = ElapsedNow();
  query.hall = resultHall_.empty() ? shared_.hall : resultHall_;
  query.otherHallSeconds +=
    static_cast<double>(ResultBytes()) * CrossingSecondsPerByte;
  query.avoid = tried_;
  const auto endpoints =
    SoundEndpoints(shared_.directory, service_, ElapsedNow());
  auto known = table_->services.find(service_);
  const bool isEngine =
    known != table_->services.end() && known->second.engine.has_value();
  if (!isEngine) {
    return ChoosePlain(endpoints, query, shared_.random);
  }
  const EngineChoice choice =
    ChooseEngine(endpoints, prompt_, shared_.speed, query);
  readSeconds = choice.readSeconds;
  return choice.endpoint;
}

void GatewayRequest::SendToEndpoint()
{
  if (giveUp_ - ElapsedNow() < LeastUseful) {
    OnTimeOver();
    return;
  }
  double readSeconds = 0.0;
  DirectoryEndpoint* endpoint = ChooseEndpointFor(readSeconds);
  if (endpoint == nullptr) {
    AfterFailure(AttemptKnowledge::NotSent, "no_endpoint");
    return;
  }
  StartAttempt(*endpoint, readSeconds);
}

HttpRequest GatewayRequest::MakeForward(
  const DirectoryEndpoint& endpoint) const
{
  HttpRequest request = exchange_->Request();
  RemoveConnectionFields(request);
  const FieldNames& fields = Fields();
  for (const std::string& name : { fields.key, fields.account, fields.rank,
                                   fields.inputs, fields.endpoint }) {
    request.erase(name);
  }
  if (!holder_.account.empty()) {
    request.set(fields.account, holder_.account);
  }
  request.set(fields.endpoint, endpoint.id);
  const absl::Duration left = giveUp_ - ElapsedNow();
  request.set(fields.deadline, absl::StrCat(absl::ToInt64Milliseconds(left)));
  if (!stages_.empty()) {
    request.set(fields.inputs, FinalHandles());
  }
  const bool resumes = streamBegun_ && !reader_.lastId.empty();
  if (resumes) {
    request.set(fields.lastEvent, reader_.lastId);
  }
  return request;
}

void GatewayRequest::StartAttempt(DirectoryEndpoint& endpoint,
                                  double readSeconds)
{
  attempt_.emplace();
  attempt_->endpoint = endpoint.id;
  attempt_->readSeconds = readSeconds;
  attempt_->sent = ElapsedNow();
  sentAt_ = attempt_->sent;
  attempt_->number = ++attempts_;
  ++endpoint.running;
  endpoint.pendingSeconds += readSeconds;
  HttpCallOptions options;
  options.answerHasBody = exchange_->Request().method() != http::verb::head;
  if (route_->repetition == Repetition::RunOnce) {
    options.maxRest = FreshRest;
  }
  HttpCallHandler handler;
  auto weak = weak_from_this();
  handler.onHead = [weak](const HttpHead& head) {
    auto self = weak.lock();
    return self && self->OnHead(head);
  };
  handler.onBody = [weak](absl::string_view bytes) {
    if (auto self = weak.lock()) {
      self->OnBody(bytes);
    }
  };
  handler.onEnd = [weak](HttpCallEnd end) {
    if (auto self = weak.lock()) {
      self->OnAttemptEnd(end);
    }
  };
  attempt_->call =
    shared_.client.Start(endpoint.address, PrintRequest(MakeForward(endpoint)),
                         options, std::move(handler));
  shared_.metrics.Count("attempts");
}

bool GatewayRequest::OnHead(const HttpHead& head)
{
  if (ended_ || !attempt_) {
    return false;
  }
  Attempt& attempt = *attempt_;
  attempt.saidNotRun = !FieldOf(head, Fields().notRun).empty() ||
                       head.result() == http::status::misdirected_request;
  const absl::string_view echo = FieldOf(head, Fields().request);
  const bool ours = echo == id_ || (echo.empty() && attempt.saidNotRun);
  if (!ours) {
    shared_.metrics.Count("foreign_answers");
    return false;
  }
  if (const DirectoryEndpoint* endpoint =
        FindEndpoint(shared_.directory, attempt.endpoint)) {
    shared_.halls.Reached(*endpoint);
  }
  attempt.headSeen = true;
  attempt.head = head;
  attempt.streams = route_->isStream && head.result() == http::status::ok &&
                    !attempt.saidNotRun;
  return true;
}

void GatewayRequest::OnBody(absl::string_view bytes)
{
  if (ended_ || !attempt_) {
    return;
  }
  if (attempt_->streams) {
    OnEvents(TakeEvents(reader_, bytes));
    return;
  }
  if (attempt_->body.size() + bytes.size() <= MaxAnswerBytes) {
    attempt_->body.append(bytes.data(), bytes.size());
  }
}

/** With the first event the engine has fetched its inputs. */
void GatewayRequest::OnEvents(std::string events)
{
  if (events.empty()) {
    return;
  }
  const Elapsed now = ElapsedNow();
  if (!attempt_->eventSeen) {
    attempt_->eventSeen = true;
    if (DirectoryEndpoint* endpoint =
          FindEndpoint(shared_.directory, attempt_->endpoint)) {
      endpoint->pendingSeconds -= attempt_->readSeconds;
    }
    attempt_->readSeconds = 0.0;
    shared_.metrics.NoteLatency("engine_first_event", now - attempt_->sent);
  }
  if (!finalReleased_) {
    ReleaseAll();
  }
  if (!std::exchange(streamBegun_, true)) {
    shared_.metrics.NoteLatency("first_event", now - exchange_->Arrived());
    firstEventAt_ = now;
    HttpHead head = attempt_->head;
    RemoveConnectionFields(head);
    exchange_->StartStream(std::move(head));
  }
  exchange_->WriteStream(events);
}

void GatewayRequest::OnAttemptEnd(HttpCallEnd end)
{
  if (ended_ || !attempt_) {
    return;
  }
  if (end == HttpCallEnd::Complete) {
    OnComplete();
    return;
  }
  const bool unreached =
    end == HttpCallEnd::NotConnected || end == HttpCallEnd::Unreached;
  const DirectoryEndpoint* endpoint =
    FindEndpoint(shared_.directory, attempt_->endpoint);
  if (end == HttpCallEnd::Unreached && endpoint != nullptr) {
    shared_.halls.Unreached(*endpoint);
  }
  CloseAttempt(true);
  AfterFailure(unreached ? AttemptKnowledge::NotSent
                         : AttemptKnowledge::MayHaveRun,
               unreached ? "not_connected" : "cut");
}

void GatewayRequest::OnComplete()
{
  constexpr unsigned ServerError = 500;
  const unsigned status = attempt_->head.result_int();
  if (attempt_->streams) {
    OnEvents(std::exchange(reader_.partial, {}));
    if (!streamBegun_) {
      streamBegun_ = true;
      HttpHead head = attempt_->head;
      RemoveConnectionFields(head);
      exchange_->StartStream(std::move(head));
    }
    CloseAttempt(false);
    exchange_->FinishStream();
    End("served", "");
    return;
  }
  if (attempt_->saidNotRun) {
    const bool inputsGone =
      attempt_->head.result() == http::status::conflict && !stages_.empty();
    CloseAttempt(attempt_->head.result() != http::status::conflict);
    if (inputsGone && !stagesRestarted_ && !streamBegun_) {
      RestartStages();
      return;
    }
    AfterFailure(AttemptKnowledge::SaidNotRun, "endpoint_refused");
    return;
  }
  mayHaveRun_ = true;
  const bool failed = status >= ServerError;
  const bool again =
    failed && !streamBegun_ && route_->repetition != Repetition::RunOnce;
  if (again && endpointsTried_ + 1 < route_->maxAttempts) {
    CloseAttempt(true);
    AfterFailure(AttemptKnowledge::Ran, "endpoint_failed");
    return;
  }
  AnswerWhole();
}

/** The endpoint's answer as it is, unless it would promise what is not so. */
void GatewayRequest::AnswerWhole()
{
  const unsigned status = attempt_->head.result_int();
  constexpr unsigned ServerError = 500;
  HttpResponse response{ attempt_->head };
  response.body() = std::move(attempt_->body);
  CloseAttempt(status >= ServerError);
  const bool promises = status == 429 || status == 503 || status == 408;
  if (promises || streamBegun_) {
    AfterFailure(AttemptKnowledge::Ran, "endpoint_promised");
    return;
  }
  RemoveConnectionFields(response);
  exchange_->Respond(std::move(response));
  shared_.metrics.NoteLatency("answer", ElapsedNow() - exchange_->Arrived());
  End(status < ServerError ? "served" : "endpoint_failed", "");
}

void GatewayRequest::CloseAttempt(bool failed)
{
  if (!attempt_) {
    return;
  }
  if (DirectoryEndpoint* endpoint =
        FindEndpoint(shared_.directory, attempt_->endpoint)) {
    --endpoint->running;
    endpoint->pendingSeconds =
      std::max(0.0, endpoint->pendingSeconds - attempt_->readSeconds);
    NoteAttempt(*endpoint, failed, ElapsedNow());
  }
  tried_.push_back(attempt_->endpoint);
  attempt_->call->Cancel();
  attempt_.reset();
}

void GatewayRequest::AfterFailure(AttemptKnowledge knowledge,
                                  absl::string_view why)
{
  const bool sent = knowledge != AttemptKnowledge::NotSent;
  endpointsTried_ += sent ? 1 : 0;
  connectFailures_ += sent ? 0 : 1;
  mayHaveRun_ |= knowledge == AttemptKnowledge::MayHaveRun ||
                 knowledge == AttemptKnowledge::Ran;
  shared_.metrics.Count(absl::StrCat("attempt_", why));
  reader_.partial.clear();
  AttemptFacts facts;
  facts.repetition = route_->repetition;
  facts.last = knowledge;
  facts.anyMayHaveRun = mayHaveRun_;
  facts.answerBegun = streamBegun_;
  facts.endpointsTried = endpointsTried_;
  facts.maxAttempts = route_->maxAttempts;
  const Elapsed now = ElapsedNow();
  facts.timeLeft =
    giveUp_ - now > LeastUseful && connectFailures_ < MaxConnectFailures;
  double ignored = 0.0;
  facts.endpointLeft = ChooseEndpointFor(ignored) != nullptr;
  AfterAttempt next = JudgeAttempt(facts);
  const bool spends = next == AfterAttempt::SendAgain && sent;
  if (spends && !SpendRetry(shared_.retries[service_], shared_.retryRules,
                            shared_.stages.Members() + 1, now)) {
    shared_.metrics.Count("retries_over_budget");
    facts.budgetLeft = false;
    next = JudgeAttempt(facts);
  }
  switch (next) {
    case AfterAttempt::SendAgain:
      shared_.metrics.Count("retries");
      SendToEndpoint();
      return;
    case AfterAttempt::SayNotRun:
      SayNotRun(why);
      return;
    case AfterAttempt::SayMayHave:
      SayMayHave(why);
      return;
    case AfterAttempt::BreakOff:
      exchange_->Abort();
      End("broken_off", why);
      return;
  }
}

void GatewayRequest::Refuse(unsigned status, absl::string_view reason)
{
  exchange_->Respond(MakeResponse(status, "", ""));
  End("refused", reason);
}

void GatewayRequest::SayNotRun(absl::string_view reason)
{
  constexpr unsigned Unavailable = 503;
  absl::Duration wait = RetryAfterDefault;
  if (route_ != nullptr) {
    for (const RouteStage& stage : route_->stages) {
      wait = std::max(wait, shared_.stages.Waiting(stage.service));
    }
  }
  if (reason == "overload") {
    // Not all at the same moment.
    wait += absl::Seconds(absl::Uniform<double>(shared_.random, 0.5, 2.0));
  }
  HttpResponse response = MakeResponse(Unavailable, "", "");
  response.set(http::field::retry_after, SecondsText(wait));
  exchange_->Respond(std::move(response));
  End("refused", reason);
}

void GatewayRequest::SayMayHave(absl::string_view reason)
{
  const bool late = reason == "time_over";
  exchange_->Respond(
    MakeResponse(static_cast<unsigned>(late ? http::status::gateway_timeout
                                            : http::status::bad_gateway),
                 "", ""));
  End("failed", reason);
}

void GatewayRequest::OnTimeOver()
{
  if (ended_) {
    return;
  }
  const bool sent = attempt_.has_value();
  if (streamBegun_) {
    exchange_->Abort();
    End("broken_off", "time_over");
  } else if (sent || mayHaveRun_) {
    SayMayHave("time_over");
  } else {
    SayNotRun("time_over");
  }
}

void GatewayRequest::OnCallerLeft()
{
  if (!ended_) {
    End("caller_left", "");
  }
}

void GatewayRequest::End(absl::string_view outcome, absl::string_view reason)
{
  ended_ = true;
  timer_.cancel();
  if (attempt_) {
    attempt_->call->Cancel();
    if (DirectoryEndpoint* endpoint =
          FindEndpoint(shared_.directory, attempt_->endpoint)) {
      --endpoint->running;
      endpoint->pendingSeconds =
        std::max(0.0, endpoint->pendingSeconds - attempt_->readSeconds);
    }
    attempt_.reset();
  }
  for (Stage& stage : stages_) {
    if (stage.work != 0) {
      shared_.stages.Cancel(stage.work);
    }
  }
  ReleaseAll();
  shared_.metrics.Count(absl::StrCat("outcome_", outcome));
  if (!reason.empty()) {
    shared_.metrics.Count(absl::StrCat("reason_", reason));
  }
  LogOutcome(outcome, reason);
  over_(shared_from_this());
}

/** Milliseconds since the arrival; a stage's are from its submission to its
 * end.
 */
nlohmann::json GatewayRequest::DescribeTimes() const
{
  const auto since = [this](Elapsed at) {
    return absl::ToInt64Milliseconds(at - exchange_->Arrived());
  };
  nlohmann::json times;
  for (const Stage& stage : stages_) {
    const bool ran = stage.doneAt > stage.submittedAt;
    times["stages"].push_back(
      ran ? nlohmann::json{ since(stage.submittedAt), since(stage.doneAt) }
          : nlohmann::json());
  }
  if (attempts_ > 0) {
    times["sent"] = since(sentAt_);
  }
  if (streamBegun_) {
    times["first_event"] = since(firstEventAt_);
  }
  return times;
}

void GatewayRequest::LogOutcome(absl::string_view outcome,
                                absl::string_view reason) const
{
  const bool usual = outcome == "served";
  nlohmann::json fields{ { "request", id_ },
                         { "outcome", std::string(outcome) },
                         { "document", table_->number },
                         { "held_ms", absl::ToInt64Milliseconds(
                                        ElapsedNow() - exchange_->Arrived()) },
                         { "attempts", attempts_ } };
  if (!reason.empty()) {
    fields["reason"] = std::string(reason);
  }
  if (route_ != nullptr) {
    fields["route"] = route_->name;
    fields["service"] = service_;
  }
  if (!tried_.empty()) {
    fields["endpoints"] = tried_;
  }
  fields["times_ms"] = DescribeTimes();
  shared_.log.Write(usual ? LogWeight::Routine : LogWeight::Notable, "request",
                    std::move(fields));
}

} // namespace wg
