// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "wgForwardedRequest.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

constexpr absl::Duration LeastUseful = absl::Milliseconds(15);
constexpr int MaxConnectFailures = 4;
/** What may not be repeated is sent on connections that rested shortly. */
constexpr absl::Duration FreshRest = absl::Milliseconds(1500);
constexpr std::size_t MaxAnswerBytes = 32U << 20U;
/** Of all answers that a box has not passed on yet: a third of the memory of
 * the smallest boxes.
 */
constexpr std::size_t MaxAnswerBytesOfAll = 48U << 20U;
/** Beyond that, answers of up to so many bytes go on: 200 without an end are
 * not to end the sound ones beside them.
 */
constexpr std::size_t FairAnswerBytes = 256U << 10U;
/** Of what has come of an event: 200 such streams keep as much. */
constexpr std::size_t MaxEventBytes = 256U << 10U;
constexpr std::size_t HeadRoom = 16U << 10U;
/** Results that cross between halls are weighed as time. */
constexpr double CrossingSecondsPerByte = 11e-9;

/** Moves the bytes piece by piece: long ones are not kept twice. There is room
 * for a head before them.
 */
std::string TakeText(absl::Cord& cord)
{
  std::string text;
  text.reserve(cord.size() + HeadRoom);
  while (!cord.empty()) {
    const absl::string_view piece = *cord.chunk_begin();
    text.append(piece.data(), piece.size());
    cord.RemovePrefix(piece.size());
  }
  return text;
}

} // namespace

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

ChoiceQuery GatewayRequest::MakeChoiceQuery() const
{
  ChoiceQuery query;
  query.now = ElapsedNow();
  query.hall = resultHall_.empty() ? shared_.hall : resultHall_;
  query.otherHallSeconds +=
    static_cast<double>(ResultBytes()) * CrossingSecondsPerByte;
  query.avoid = tried_;
  return query;
}

/** What this box may choose without the box that counts what all send: none
 * that may be cold, or that is known to be sent all that its limit allows.
 */
std::vector<DirectoryEndpoint*> GatewayRequest::OwnCandidates() const
{
  const Elapsed now = ElapsedNow();
  const bool areCold = ColdRateOf(*table_, service_) > 0.0;
  auto endpoints = SoundEndpoints(shared_.directory, service_, now,
                                  Sender::ThisBox, "", bound_);
  endpoints.erase(
    std::remove_if(endpoints.begin(), endpoints.end(),
                   [now, areCold](const DirectoryEndpoint* endpoint) {
                     return (areCold && IsCold(*endpoint, now)) ||
                            now < endpoint->deniedUntil;
                   }),
    endpoints.end());
  return bound_ ? endpoints
                : OfWantedVersion(shared_.directory, service_,
                                  std::move(endpoints), WantsVersion());
}

/** What failed once is not tried at a version that may be the cause. */
bool GatewayRequest::WantsVersion() const
{
  const VersionRollout& rollout =
    FindVersionRollout(shared_.directory.rollouts, service_);
  const bool isFirst = attempts_ == 0;
  return rollout.permille >= AllPermille ||
         (isFirst && GoesToVersion(rollout, id_));
}

DirectoryEndpoint* GatewayRequest::ChooseEndpointFor(
  absl::Span<DirectoryEndpoint* const> endpoints, double& prefillSeconds)
{
  const ChoiceQuery query = MakeChoiceQuery();
  if (!IsForEngine()) {
    return ChoosePlain(endpoints, query, shared_.random);
  }
  const EngineChoice choice =
    ChooseEngine(endpoints, prompt_, shared_.speed, query);
  prefillSeconds = choice.prefillSeconds;
  return choice.endpoint;
}

/** Whether an attempt that began now could be of use. */
bool GatewayRequest::HasTimeLeft() const
{
  return AnswerBy() - ElapsedNow() >= LeastUseful;
}

void GatewayRequest::SendToEndpoint()
{
  EndPreparationIfCut();
  if (!HasTimeLeft()) {
    EndForTime();
    return;
  }
  if (!shared_.calls.HasWay()) {
    AfterFailure(AttemptKnowledge::NotSent, NoPathReason);
    return;
  }
  if (IsKeptAway()) { // it became known while its stages were made
    AfterFailure(AttemptKnowledge::NotSent, KeptAwayReason);
    return;
  }
  if (IsForEngine() && attempts_ == 0) {
    AskForEngine();
    return;
  }
  SendToOwnChoice();
}

/** Chooses by what this box knows itself. */
void GatewayRequest::SendToOwnChoice()
{
  EndPreparationIfCut();
  double prefillSeconds = 0.0;
  DirectoryEndpoint* endpoint =
    ChooseEndpointFor(NextCandidates(), prefillSeconds);
  if (endpoint == nullptr) {
    AfterFailure(AttemptKnowledge::NotSent, WhyNoEndpoint());
    return;
  }
  if (isPreparing_ && attempt_ && !StatusPath().empty()) {
    ConfirmNext(*endpoint, prefillSeconds);
    return;
  }
  SendTo(*endpoint, prefillSeconds);
}

void GatewayRequest::SendTo(DirectoryEndpoint& endpoint, double prefillSeconds)
{
  if (NeedsPermit(shared_.directory, endpoint, ElapsedNow())) {
    AskToSend(endpoint, prefillSeconds, {});
    return;
  }
  StartAttempt(endpoint, prefillSeconds, {});
}

/** No attempt that began now could be of use. */
void GatewayRequest::EndForTime()
{
  if (!KeepsAnswer("time_over")) {
    OnTimeOver();
  }
}

absl::string_view GatewayRequest::WhyNoEndpoint() const
{
  const Elapsed now = ElapsedNow();
  absl::string_view why = "no_endpoint";
  if (!HasEndpointWithinBound()) {
    return VersionGoneReason;
  }
  for (const DirectoryEndpoint* endpoint :
       ServingEndpoints(shared_.directory, service_)) {
    if (!IsWithinBound(bound_, *endpoint)) {
      continue;
    }
    if (NeedsPermit(shared_.directory, *endpoint, now)) {
      return EndpointsLimitedReason;
    }
    why = IsBackingOff(endpoint->terms, now) ? EndpointsRestReason : why;
  }
  return why;
}

void GatewayRequest::AskToSend(DirectoryEndpoint& endpoint,
                               double prefillSeconds, const PlacedRead& placed)
{
  shared_.permits.Ask(endpoint, [weak = weak_from_this(), id = endpoint.id,
                                 number = preparation_, prefillSeconds, placed,
                                 &engines = shared_.engines](bool granted) {
    auto self = weak.lock();
    if (self && !self->ended_ && self->preparation_ == number) {
      self->OnPermit(id, granted, prefillSeconds, placed);
    } else {
      engines.End(placed, {});
    }
  });
}

/** Another endpoint is chosen where none was granted. */
void GatewayRequest::OnPermit(const std::string& id, bool granted,
                              double prefillSeconds, const PlacedRead& placed)
{
  DirectoryEndpoint* endpoint = FindChosen(id);
  if (granted && endpoint != nullptr && HasTimeLeft()) {
    StartAttempt(*endpoint, prefillSeconds, placed);
    return;
  }
  shared_.engines.End(placed, {});
  if (HasTimeLeft()) {
    SendToOwnChoice();
  } else {
    EndForTime();
  }
}

Outcome<HttpRequest> GatewayRequest::MakeForward(
  const DirectoryEndpoint& endpoint) const
{
  ForwardFacts facts;
  facts.account = holder_.account;
  facts.endpoint = endpoint.start.name;
  facts.left = giveUp_ - ElapsedNow();
  if (!stages_.empty()) {
    facts.inputs = FinalHandles();
  }
  if (streamBegun_) {
    facts.lastEvent = reader_.lastId;
  }
  return MakeForwardedRequest(exchange_->Request(), Fields(), facts);
}

void GatewayRequest::StartAttempt(DirectoryEndpoint& endpoint,
                                  double prefillSeconds,
                                  const PlacedRead& placed)
{
  Outcome<HttpRequest> forward = MakeForward(endpoint);
  if (!Succeeded(forward)) {
    shared_.engines.End(placed, {});
    SayNotRun("unsendable");
    return;
  }
  if (!LeaveAttempt()) {
    shared_.engines.End(placed, {});
    return;
  }
  attempt_.emplace();
  attempt_->placed = placed;
  attempt_->endpoint = endpoint.id;
  tried_.push_back(endpoint.id);
  attempt_->version = endpoint.version;
  versions_.push_back(endpoint.version);
  attempt_->prefillSeconds = prefillSeconds;
  attempt_->sent = ElapsedNow();
  sentAt_ = attempt_->sent;
  attempt_->number = ++attempts_;
  if (IsForEngine()) {
    shared_.engines.NoteSent(endpoint.id, prompt_);
  }
  ++endpoint.running;
  endpoint.pendingSeconds += prefillSeconds;
  HttpCallOptions options;
  options.answerHasBody = exchange_->Request().method() != http::verb::head;
  if (route_->repetition == Repetition::RunOnce) {
    options.maxRest = FreshRest;
  }
  HttpCallHandler handler;
  auto weak = weak_from_this();
  const std::size_t number = attempts_;
  handler.onHead = [weak, number](const HttpHead& head, BodyFraming framing) {
    auto self = weak.lock();
    return self && self->OnHead(number, head, framing);
  };
  handler.onBody = [weak, number](absl::string_view bytes) {
    if (auto self = weak.lock()) {
      self->OnBody(number, bytes);
    }
  };
  handler.onEnd = [weak, number](HttpCallEnd end) {
    if (auto self = weak.lock()) {
      self->OnAttemptEnd(number, end);
    }
  };
  EndpointCallStarted started =
    shared_.calls.Start(endpoint, PrintRequest(std::move(Value(forward))),
                        options, std::move(handler));
  attempt_->call = std::move(started.http);
  attempt_->relay = std::move(started.relay);
  relay_ = attempt_->relay;
  shared_.metrics.Count("attempts");
}

bool GatewayRequest::OnHead(std::size_t number, const HttpHead& head,
                            BodyFraming framing)
{
  if (ended_ || !attempt_ || number != attempt_->number) {
    return false;
  }
  Attempt& attempt = *attempt_;
  NoteHeard();
  attempt.saidNotRun = !FieldOf(head, Fields().notRun).empty() ||
                       head.result() == http::status::misdirected_request;
  const absl::string_view echo = FieldOf(head, Fields().request);
  const bool ours = echo == id_ || (echo.empty() && attempt.saidNotRun);
  if (!ours) {
    shared_.metrics.Count("foreign_answers");
    return false;
  }
  DirectoryEndpoint* endpoint =
    FindEndpoint(shared_.directory, attempt.endpoint);
  if (endpoint != nullptr) {
    NoteLifeSign(*endpoint, true, heardAt_);
  }
  if (endpoint != nullptr && attempt.relay.empty()) {
    shared_.halls.Reached(*endpoint);
  }
  if (head.result() != http::status::misdirected_request) {
    shared_.terms.Heard(attempt.endpoint, head, attempt.sent);
  }
  attempt.headSeen = true;
  attempt.head = head;
  attempt.framing = framing;
  attempt.streams = route_->isStream && head.result() == http::status::ok &&
                    !attempt.saidNotRun;
  if (attempt.streams) {
    EndHeld();
  }
  return true;
}

void GatewayRequest::OnBody(std::size_t number, absl::string_view bytes)
{
  if (ended_ || !attempt_) {
    return;
  }
  const bool isHeld = IsFromHeld(number);
  if (!isHeld && number != attempt_->number) {
    return;
  }
  if (isHeld || attempt_->streams) {
    const std::string events = TakeEvents(reader_, bytes);
    if (!events.empty()) { // a part of one says nothing of its end
      if (isHeld) {
        ReturnToHeld();
      }
      NoteHeard();
    }
    OnEvents(events);
    if (!ended_ && attempt_ && !held_ &&
        reader_.partial.size() > MaxEventBytes) {
      EndTooLong(AttemptKnowledge::MayHaveRun, "event_too_long");
    }
    return;
  }
  NoteHeard();
  const std::size_t size = attempt_->body.size() + bytes.size();
  const bool isTooLong = size > MaxAnswerBytes ||
                         (shared_.answerBytes + WaitingBytes() + bytes.size() >
                            MaxAnswerBytesOfAll &&
                          size > FairAnswerBytes);
  if (isTooLong) {
    EndTooLong(AttemptKnowledge::Ran, "answer_too_long");
    return;
  }
  attempt_->body.Append(bytes);
  attempt_->buffered += bytes.size();
  shared_.answerBytes += bytes.size();
}

/** Of answers that were read and wait for their callers. */
std::size_t GatewayRequest::WaitingBytes() const
{
  return shared_.callers == nullptr ? 0 : shared_.callers->OutputBytes();
}

void GatewayRequest::EndTooLong(AttemptKnowledge knowledge,
                                absl::string_view why)
{
  shared_.metrics.Count("answers_too_long");
  CloseAttempt(true);
  AfterFailure(knowledge, why);
}

/** With the first event the engine has fetched its inputs. */
void GatewayRequest::OnEvents(const std::string& events)
{
  if (events.empty()) {
    return;
  }
  const Elapsed now = ElapsedNow();
  if (!attempt_->eventSeen) {
    attempt_->eventSeen = true;
    NoteFirstEvent();
    EndRead(*attempt_, { absl::ToDoubleSeconds(now - attempt_->sent), false });
    shared_.metrics.NoteLatency("engine_first_event", now - attempt_->sent);
  } else {
    NotePartsAnswered();
  }
  if (!finalReleased_) {
    ReleaseAll();
  }
  if (!std::exchange(streamBegun_, true)) {
    shared_.metrics.NoteLatency("first_event", now - exchange_->Arrived());
    firstEventAt_ = now;
    HttpHead head = attempt_->head;
    RemoveConnectionFields(head, Fields().endToEnd);
    exchange_->StartStream(std::move(head), attempt_->framing);
    StartTimer();
  }
  exchange_->WriteStream(events);
  WatchStream();
}

void GatewayRequest::OnAttemptEnd(std::size_t number, HttpCallEnd end)
{
  if (ended_ || !attempt_) {
    return;
  }
  if (IsFromHeld(number)) {
    if (end == HttpCallEnd::Cut || end == HttpCallEnd::EndedByClose) {
      NoteCutOff(*held_);
    }
    EndHeld();
    return;
  }
  if (number != attempt_->number) {
    return;
  }
  if (IsAnswered(end)) {
    answerEnd_ = end;
    shared_.metrics.Count(end == HttpCallEnd::EndedByClose
                            ? "answers_ended_by_close"
                            : "answers_framed");
    if (IsWhole(end)) {
      OnComplete();
    } else {
      shared_.metrics.Count("answers_ended_midway");
      OnCut(end);
    }
    return;
  }
  const bool unreached =
    end == HttpCallEnd::NotConnected || end == HttpCallEnd::Unreached;
  if (!unreached) {
    OnCut(end);
    return;
  }
  CloseAttempt(true);
  AfterFailure(AttemptKnowledge::NotSent, "not_connected");
}

/** Whether what came of the open attempt's answer may be taken for all of it.
 */
bool GatewayRequest::IsWhole(HttpCallEnd end) const
{
  const Attempt& attempt = *attempt_;
  AnswerFacts facts;
  facts.end = end;
  facts.streams = attempt.streams;
  facts.hasEvent = attempt.eventSeen;
  facts.isInsideEvent = !reader_.partial.empty();
  facts.isJson = absl::StartsWithIgnoreCase(
    FieldOf(attempt.head, "Content-Type"), "application/json");
  if (facts.isJson && end == HttpCallEnd::EndedByClose && !facts.streams) {
    facts.parses = nlohmann::json::accept(std::string(attempt.body));
  }
  return IsWholeAnswer(facts);
}

/** The endpoint may have ended, unless the answer's framing was whole. */
void GatewayRequest::OnCut(HttpCallEnd end)
{
  if (end == HttpCallEnd::Cut || end == HttpCallEnd::EndedByClose) {
    NoteCutOff(*attempt_);
  }
  CloseAttempt(true);
  AfterFailure(AttemptKnowledge::MayHaveRun, "cut");
}

/** Once an endpoint has gone on after the first event, parts of the prompt are
 * not what ended it.
 */
void GatewayRequest::NoteCutOff(const Attempt& attempt)
{
  std::vector<CrashSuspect> suspects{ RequestSuspect(Fingerprint()) };
  if (!attempt.partsAnswered) {
    suspects.insert(suspects.end(), sharedParts_.begin(), sharedParts_.end());
  }
  shared_.crashes.Cut(attempt.endpoint, suspects);
}

void GatewayRequest::NotePartsAnswered()
{
  if (!std::exchange(attempt_->partsAnswered, true)) {
    shared_.crashes.PartsAnswered(sharedParts_);
  }
}

/** An endpoint ran it to an end and is still there. */
void GatewayRequest::NoteRunThrough()
{
  NotePartsAnswered();
  if (!shared_.crashes.IsEmpty()) {
    shared_.crashes.Answered(Fingerprint());
  }
}

void GatewayRequest::OnComplete()
{
  constexpr unsigned serverError = 500;
  const unsigned status = attempt_->head.result_int();
  // A process that ends closes its connections as well.
  const bool isAlive = answerEnd_ == HttpCallEnd::Complete;
  if (isAlive) {
    shared_.crashes.Alive(attempt_->endpoint);
  }
  if (attempt_->streams) {
    if (!streamBegun_) {
      streamBegun_ = true;
      HttpHead head = attempt_->head;
      RemoveConnectionFields(head, Fields().endToEnd);
      exchange_->StartStream(std::move(head), attempt_->framing);
    }
    if (isAlive) {
      NoteRunThrough();
    }
    CloseAttempt(false);
    exchange_->FinishStream();
    End("served", "");
    return;
  }
  if (attempt_->saidNotRun) {
    const bool replaced =
      attempt_->head.result() == http::status::misdirected_request &&
      FieldOf(attempt_->head, Fields().request) == id_;
    if (replaced) {
      NoteReplaced(shared_.directory, attempt_->endpoint, ElapsedNow());
    }
    const bool inputsGone =
      attempt_->head.result() == http::status::conflict && !stages_.empty();
    CloseAttempt(attempt_->head.result() != http::status::conflict);
    if (inputsGone && mayRestartStages_) {
      if (held_) {
        ReturnToHeld();
        isPreparing_ = true;
      }
      RestartStages();
      return;
    }
    AfterFailure(AttemptKnowledge::SaidNotRun, "endpoint_refused");
    return;
  }
  mayHaveRun_ = true;
  if (isAlive) {
    NoteRunThrough();
  }
  const bool failed = status >= serverError;
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
  constexpr unsigned serverError = 500;
  HttpResponse response{ attempt_->head };
  response.body() = TakeText(attempt_->body);
  const BodyFraming framing = attempt_->framing;
  CloseAttempt(status >= serverError);
  const bool promises = status == 429 || status == 503 || status == 408;
  if (promises || streamBegun_) {
    AfterFailure(AttemptKnowledge::Ran, "endpoint_promised");
    return;
  }
  RemoveConnectionFields(response, Fields().endToEnd);
  exchange_->Respond(std::move(response), framing);
  shared_.metrics.NoteLatency("answer", ElapsedNow() - exchange_->Arrived());
  End(status < serverError ? "served" : "endpoint_failed", "");
}

void GatewayRequest::CloseAttempt(bool failed)
{
  if (!attempt_) {
    return;
  }
  if (DirectoryEndpoint* endpoint =
        FindEndpoint(shared_.directory, attempt_->endpoint)) {
    --endpoint->running;
    shared_.permits.NoteEnd(*endpoint, attempt_->saidNotRun);
    if (failed && attempt_->saidNotRun) {
      NoteRefusal(*endpoint, ElapsedNow());
    } else {
      NoteAttempt(*endpoint, failed, ElapsedNow());
    }
    const Elapsed answered =
      attempt_->eventSeen ? firstEventAt_ : ElapsedNow();
    if (!attempt_->saidNotRun) {
      NoteAttemptSeen(shared_.tallies, shared_.directory, *endpoint,
                      route_->name,
                      { failed, answered - attempt_->sent, route_->aim });
    }
  }
  EndRead(*attempt_, { 0.0, failed });
  attempt_->call->Cancel();
  shared_.answerBytes -= attempt_->buffered;
  attempt_.reset();
}

void GatewayRequest::DropAttempt(std::optional<Attempt>& attempt)
{
  if (!attempt) {
    return;
  }
  attempt->call->Cancel();
  DirectoryEndpoint* endpoint =
    FindEndpoint(shared_.directory, attempt->endpoint);
  if (endpoint != nullptr) {
    --endpoint->running;
  }
  EndRead(*attempt, {});
  shared_.answerBytes -= attempt->buffered;
  attempt.reset();
}

void GatewayRequest::AfterFailure(AttemptKnowledge knowledge,
                                  absl::string_view why)
{
  if (held_ && !attempt_) { // the next endpoint did not take over
    shared_.metrics.Count(absl::StrCat("attempt_", why));
    failures_.emplace_back(why);
    ReturnToHeld();
    AbandonContinuation(why);
    return;
  }
  if (isPreparing_ && attempt_) { // of what was being prepared
    AbandonContinuation(why);
    return;
  }
  const bool sent = knowledge != AttemptKnowledge::NotSent;
  endpointsTried_ += sent ? 1 : 0;
  connectFailures_ += sent ? 0 : 1;
  mayHaveRun_ |= knowledge == AttemptKnowledge::MayHaveRun ||
                 knowledge == AttemptKnowledge::Ran;
  shared_.metrics.Count(absl::StrCat("attempt_", why));
  failures_.emplace_back(why);
  reader_.partial.clear();
  AttemptFacts facts;
  facts.repetition = route_->repetition;
  facts.last = knowledge;
  facts.anyMayHaveRun = mayHaveRun_;
  facts.answerBegun = streamBegun_;
  facts.hasPosition = HasPosition();
  facts.endpointsTried = endpointsTried_;
  facts.maxAttempts = route_->maxAttempts;
  facts.keptAway = IsKeptAway();
  const Elapsed now = ElapsedNow();
  facts.timeLeft = HasTimeLeft() && connectFailures_ < MaxConnectFailures;
  double ignored = 0.0;
  facts.endpointLeft = ChooseEndpointFor(OwnCandidates(), ignored) != nullptr;
  AfterAttempt next = JudgeAttempt(facts);
  const bool spends = next == AfterAttempt::SendAgain && sent;
  DrawRounding(shared_.retries[service_], shared_.random);
  if (spends && !SpendRetry(shared_.retries[service_], shared_.retryRules,
                            shared_.stages.Members() + 1, now)) {
    shared_.metrics.Count("retries_over_budget");
    facts.budgetLeft = false;
    next = JudgeAttempt(facts);
  }
  switch (next) {
    case AfterAttempt::SendAgain:
      shared_.metrics.Count("retries");
      if (!isPreparing_) { // else it goes on by itself
        continuedAt_ = now;
        GoOn();
      }
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

} // namespace wg
