// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include "wgRequestFingerprint.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

/** The answer must be with the caller before its time is over. */
constexpr absl::Duration GiveUpMargin = absl::Milliseconds(25);
constexpr absl::Duration LongestHeld = absl::Minutes(10);
constexpr absl::Duration RetryAfterDefault = absl::Milliseconds(300);
/** It stays away for a day; whoever mends what it meets tries then. */
constexpr absl::Duration RetryAfterKeptAway = absl::Minutes(10);

/** Another box serves what this one no longer takes. */
constexpr absl::Duration RetryAfterStop = absl::Milliseconds(50);
constexpr absl::string_view StoppingReason = "stopping";

/** What a log line shows of a field that may hold anything. */
constexpr std::size_t ShownBytes = 40;

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
  , silenceTimer_(shared.loop)
  , heldTimer_(shared.loop)
{
}

void GatewayRequest::Begin()
{
  shared_.metrics.Count("requests");
  id_ = std::string(FieldOf(exchange_->Request(), Fields().request));
  if (!FindRouteAndKey() || !ReadDeadline() || !ReadStages()) {
    return;
  }
  if (!CanEndBeforeStop()) {
    SayNotRun(StoppingReason);
    return;
  }
  exchange_->OnCallerLeft([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnCallerLeft();
    }
  });
  ReadPrompt();
  shared_.crashes.PartsArrived(sharedParts_);
  if (IsKeptAway()) {
    SayNotRun(KeptAwayReason);
    return;
  }
  if (!shared_.calls.HasWay()) {
    SayNotRun(NoPathReason);
    return;
  }
  if (TakesStreamUp()) {
    FindOrigin();
    return;
  }
  origin_ = id_;
  service_ =
    ChooseTarget(*route_, absl::Uniform<double>(shared_.random, 0.0, 1.0));
  BeginWork();
}

bool GatewayRequest::CanEndBeforeStop() const
{
  if (!shared_.stop) {
    return true;
  }
  LateRequest late;
  late.now = ElapsedNow();
  late.giveUp = giveUp_;
  late.stopBy = shared_.stop->giveUp;
  late.isSettling = late.now < shared_.stop->settled;
  const auto times = shared_.times.find(route_->name);
  if (times != shared_.times.end()) {
    late.expected = ExpectedRouteTime(times->second, late.now);
  }
  return CanAnswerBeforeStop(late);
}

/** From the choice of its service on. */
void GatewayRequest::BeginWork()
{
  NoteRequest(shared_.retries[service_], ElapsedNow());
  PlanHall();
  if (resultHall_.empty()) {
    SayNotRun(WhyNoEndpoint()); // before any work on its stages
    return;
  }
  if (RefuseIfEvacuated()) {
    return;
  }
  if (IsAdmittedByChain()) {
    StartTimer();
    AskForChain();
    return;
  }
  if (RefuseIfHopeless()) {
    return;
  }
  StartTimer();
  SubmitStages();
}

/** Runs out when the answer would no longer be of use to the caller. */
void GatewayRequest::StartTimer()
{
  timer_.expires_after(absl::ToChronoMilliseconds(AnswerBy() - ElapsedNow()));
  timer_.async_wait(
    [weak = weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) {
        self->OnTimeOver();
      }
    });
}

bool GatewayRequest::FindRouteAndKey()
{
  constexpr unsigned badRequest = 400;
  constexpr unsigned unauthorized = 401;
  constexpr unsigned notFound = 404;
  const HttpRequest& request = exchange_->Request();
  const absl::string_view target(request.target().data(),
                                 request.target().size());
  route_ = FindRoute(*table_, FieldOf(request, "Host"), target);
  if (route_ == nullptr) {
    Refuse(notFound, "no_route");
    return false;
  }
  if (id_.empty()) {
    Refuse(badRequest, "no_request_id");
    return false;
  }
  if (!IsAscii(id_)) {
    Refuse(badRequest, "bad_request_id");
    return false;
  }
  if (!table_->hasAccounts || route_->isPublic) {
    return true;
  }
  absl::string_view key = FieldOf(request, Fields().key);
  absl::ConsumePrefix(&key, Fields().keyScheme);
  auto found = table_->keys.find(std::string(key));
  if (found == table_->keys.end()) {
    Refuse(unauthorized, "unknown_key");
    return false;
  }
  holder_ = found->second;
  return true;
}

/** The same for the same request under any id, at any box. */
const std::string& GatewayRequest::Fingerprint() const
{
  if (!fingerprint_.empty()) {
    return fingerprint_;
  }
  const HttpRequest& request = exchange_->Request();
  RequestContent content;
  content.account =
    holder_.account.empty() ? FieldOf(request, Fields().key) : holder_.account;
  content.host = FieldOf(request, "Host");
  content.target = { request.target().data(), request.target().size() };
  content.body = request.body();
  fingerprint_ = FingerprintOf(content);
  return fingerprint_;
}

/** A request that ended three endpoints, with up to 4 streams of others at
 * each, ended 9 and 15 more, as each try of its caller was sent like a new
 * one.
 */
bool GatewayRequest::IsKeptAway() const
{
  return !shared_.crashes.IsEmpty() &&
         (shared_.crashes.IsKeptAway(Fingerprint()) ||
          shared_.crashes.AreKeptAway(sharedParts_));
}

bool GatewayRequest::ReadDeadline()
{
  constexpr std::int64_t noDeadline = -1;
  const std::int64_t ms =
    NumberOf(exchange_->Request(), Fields().deadline, noDeadline);
  if (ms >= 0) {
    callerDeadline_ = exchange_->Arrived() + absl::Milliseconds(ms);
  }
  // A stream that is taken up is as urgent as a new one: endpoints have worked
  // for it already.
  firstTried_ = TakesStreamUp()
                  ? exchange_->Arrived()
                  : FirstTried(shared_.deadlines[route_->name], *route_,
                               exchange_->Arrived(),
                               callerDeadline_ - exchange_->Arrived());
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
  sharedParts_ = SharedParts(prompt_.parts);
  const std::pair<absl::string_view, absl::string_view> tokens =
    absl::StrSplit(FieldOf(request, Fields().tokens), absl::MaxSplits(',', 1));
  (void)absl::SimpleAtoi(tokens.first, &prompt_.tokensIn);
  (void)absl::SimpleAtoi(tokens.second, &prompt_.tokensOut);
}

/** Where an engine is likely to want the results of its stages; as before
 * where no endpoint is left.
 */
void GatewayRequest::PlanHall()
{
  double ignored = 0.0;
  const auto endpoints =
    IsForEngine() ? SoundEndpoints(shared_.directory, service_, ElapsedNow(),
                                   Sender::ThisBox, "", bound_)
                  : OwnCandidates();
  const DirectoryEndpoint* planned = ChooseEndpointFor(endpoints, ignored);
  resultHall_ = planned == nullptr ? resultHall_ : planned->hall;
}

/** One of its stages could be made nowhere. */
bool GatewayRequest::RefuseIfEvacuated()
{
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const bool isStuck =
      !stages_[i].done &&
      IsEvacuatedWhole(shared_.directory, route_->stages[i].service);
    if (isStuck) {
      SayNotRun("evacuated");
      return true;
    }
  }
  return false;
}

/** What can't be answered when it ought to be is refused before any work on
 * it, with when to come back. One that came back is not refused again for it.
 */
bool GatewayRequest::RefuseIfHopeless()
{
  plan_ = MakePlan();
  const bool hopeless =
    !stages_.empty() &&
    IsRefused(ExpectedSeconds(plan_, ToldWaits()), route_->aim);
  if (!hopeless || CameBack()) {
    return false;
  }
  SayNotRun("overload");
  return true;
}

/** Nothing has been asked for yet: refusing it wastes nothing. */
bool GatewayRequest::IsFirstWork() const
{
  return std::all_of(stages_.begin(), stages_.end(), [](const Stage& stage) {
    return stage.pieces == 0 || (!stage.done && !stage.submitted);
  });
}

/** How long a first stage may wait, so that the request is admitted; zero
 * where that is not asked. Who makes its calls knows best how long it will.
 */
absl::Duration GatewayRequest::MayWait(std::size_t stage) const
{
  if (CameBack() || stagesRestarted_ || IsAdmittedByChain()) {
    return absl::ZeroDuration();
  }
  std::vector<double> waits = ToldWaits();
  waits[stage] = 0.0;
  return MaxFirstWait(route_->aim, ElapsedNow() - exchange_->Arrived(),
                      ExpectedSeconds(plan_, waits));
}

/** When the answer must have begun, or, once it has, ended. */
Elapsed GatewayRequest::AnswerBy() const
{
  if (streamBegun_) {
    return giveUp_;
  }
  return std::min(giveUp_,
                  exchange_->Arrived() + route_->patience - GiveUpMargin);
}

Elapsed GatewayRequest::Due() const
{
  if (streamBegun_) { // endpoints have worked for it already
    return continuedAt_ + route_->aim;
  }
  if (isAdmittedLate_) {
    return exchange_->Arrived();
  }
  return firstTried_ + route_->aim;
}

/** Whether an earlier try of it has been refused. */
bool GatewayRequest::CameBack() const
{
  return firstTried_ < exchange_->Arrived();
}

void GatewayRequest::Refuse(unsigned status, absl::string_view reason)
{
  exchange_->Respond(MakeResponse(status, "", ""));
  End("refused", reason);
}

void GatewayRequest::SayNotRun(absl::string_view reason)
{
  constexpr unsigned unavailable = 503;
  if (KeepsAnswer(reason)) {
    return;
  }
  if (mayHaveRun_) { // at an earlier attempt, before its stages were made anew
    SayMayHave(reason);
    return;
  }
  absl::Duration wait = RetryAfterDefault;
  if (route_ != nullptr) {
    for (const RouteStage& stage : route_->stages) {
      wait = std::max(wait, shared_.stages.Waiting(shared_.stages.PlaceWork(
                              stage.service, resultHall_)));
    }
  }
  if (reason == PoolFullReason) {
    wait = std::max(RetryAfterDefault, poolRetry_);
  }
  if (reason == KeptAwayReason) {
    wait = RetryAfterKeptAway;
  }
  wait = reason == StoppingReason ? RetryAfterStop
                                  : std::max(wait, OriginRetry(reason));
  // Not all at the same moment.
  if (reason == EndpointsLimitedReason || reason == EndpointsRestReason) {
    const Elapsed now = ElapsedNow();
    wait = std::max(
      wait, TimeUntilAccepted(shared_.directory, service_, now, bound_));
    wait += absl::Seconds(absl::Uniform<double>(shared_.random, 0.0, 1.0));
  }
  if (reason == "overload") {
    wait += absl::Seconds(absl::Uniform<double>(shared_.random, 0.5, 2.0));
  }
  HttpResponse response = MakeResponse(unavailable, "", "");
  response.set(http::field::retry_after, SecondsText(wait));
  exchange_->Respond(std::move(response));
  End("refused", reason);
}

void GatewayRequest::SayMayHave(absl::string_view reason)
{
  if (KeepsAnswer(reason)) {
    return;
  }
  const bool late = reason == "time_over";
  exchange_->Respond(
    MakeResponse(static_cast<unsigned>(late ? http::status::gateway_timeout
                                            : http::status::bad_gateway),
                 "", ""));
  End("failed", reason);
}

void GatewayRequest::OnTimeOver()
{
  StopWaiting("time_over");
}

void GatewayRequest::GiveUp()
{
  StopWaiting(StoppingReason);
}

void GatewayRequest::NoteTime()
{
  if (route_ != nullptr && attempts_ > 0) {
    const Elapsed now = ElapsedNow();
    NoteRouteTime(shared_.times[route_->name], now - exchange_->Arrived(),
                  now);
  }
}

void GatewayRequest::StopWaiting(absl::string_view reason)
{
  if (ended_) {
    return;
  }
  isPreparing_ = false;
  if (streamBegun_) {
    exchange_->Abort();
    End("broken_off", reason);
  } else if (attempt_.has_value() || mayHaveRun_) {
    SayMayHave(reason);
  } else {
    SayNotRun(reason);
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
  silenceTimer_.cancel();
  heldTimer_.cancel();
  DropAttempt(attempt_);
  DropAttempt(held_);
  for (Stage& stage : stages_) {
    if (stage.work != 0) {
      shared_.stages.Cancel(stage.work);
    }
  }
  EndReservations();
  ReleaseAll();
  NoteTime();
  CountEnd(outcome, reason);
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

/** Which versions of an endpoint's software have answered, and what the caller
 * had before.
 */
void GatewayRequest::AddVersions(nlohmann::json& fields) const
{
  if (!versions_.empty()) {
    fields["versions"] = versions_;
  }
  if (TakesStreamUp()) {
    fields["resumes"] = std::string(
      FieldOf(exchange_->Request(), Fields().resumes).substr(0, ShownBytes));
  }
}

/** Those that end near a document are counted apart: whether more of them are
 * cut is the operators' measure of what documents do to requests at work.
 */
void GatewayRequest::CountEnd(absl::string_view outcome,
                              absl::string_view reason) const
{
  const bool isNear = shared_.document.number != 0 &&
                      ElapsedNow() - shared_.document.since < NearDocument;
  const absl::string_view when = isNear ? "near_document" : "otherwise";
  shared_.metrics.Count(absl::StrCat("outcome_", outcome));
  shared_.metrics.Count(absl::StrCat("ended_", when));
  if (outcome == "broken_off") {
    shared_.metrics.Count(absl::StrCat("cut_", when));
  }
  if (!reason.empty()) {
    shared_.metrics.Count(absl::StrCat("reason_", reason));
  }
}

/** The watch of a stream has run out. */
void GatewayRequest::LogSilence(absl::string_view next) const
{
  shared_.metrics.Count(absl::StrCat("answers_silent_", next));
  shared_.log.Write(
    LogWeight::Notable, "answer_silent",
    { { "request", id_ },
      { "endpoint", attempt_->endpoint },
      { "next", std::string(next) },
      { "silent_ms", absl::ToInt64Milliseconds(ElapsedNow() - heardAt_) } });
}

void GatewayRequest::AddParts(nlohmann::json& fields) const
{
  constexpr std::size_t maxLogged = 8;
  nlohmann::json parts = nlohmann::json::array();
  for (const CrashSuspect& part : sharedParts_) {
    if (parts.size() < maxLogged) {
      parts.push_back(PrintSuspect(part));
    }
  }
  if (!parts.empty()) {
    fields["parts"] = std::move(parts);
  }
}

/** What tells apart who ended a request that was not served. */
void GatewayRequest::AddEnd(nlohmann::json& fields) const
{
  if (shared_.document.number != table_->number) {
    fields["document_now"] = shared_.document.number;
  }
  if (!failures_.empty()) {
    fields["left_for"] = failures_;
  }
  if (attempts_ > 0) {
    const Elapsed since = std::max(heardAt_, sentAt_);
    fields["silent_ms"] = absl::ToInt64Milliseconds(ElapsedNow() - since);
  }
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
  if (!usual && (attempts_ > 0 || reason == KeptAwayReason)) {
    fields["fingerprint"] = PrintFingerprint(Fingerprint());
    AddParts(fields);
  }
  if (!tried_.empty()) {
    fields["endpoints"] = tried_;
  }
  if (!relay_.empty()) {
    fields["relay"] = relay_;
  }
  if (answerEnd_) {
    fields["answer_end"] =
      *answerEnd_ == HttpCallEnd::EndedByClose ? "close" : "framing";
  }
  AddVersions(fields);
  if (!usual) {
    AddEnd(fields);
  }
  fields["times_ms"] = DescribeTimes();
  shared_.log.Write(usual ? LogWeight::Routine : LogWeight::Notable, "request",
                    std::move(fields));
}

} // namespace wg
