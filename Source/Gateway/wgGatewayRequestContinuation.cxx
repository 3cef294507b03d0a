// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

/** A stream without an event for so many of its longest pauses is asked for.
 */
constexpr int SilentGaps = 5;
/** When what stood against going on elsewhere is looked at again. */
constexpr absl::Duration RecheckAfterFailure = absl::Milliseconds(200);
/** For how long an attempt stays open after the next one was sent. Operators
 * tolerate 400 ms in which two endpoints work on a request.
 */
constexpr auto HoldTime = std::chrono::milliseconds(300);

} // namespace

/** A connection may fall silent for good without an end. */
void GatewayRequest::WatchStream()
{
  const bool isWatched = route_->repetition == Repetition::Resumable &&
                         route_->gapAim < absl::InfiniteDuration();
  if (isWatched) {
    attempt_->sign = LifeSign::Unknown;
    ArmSilenceTimer(SilentGaps * route_->gapAim);
  }
}

void GatewayRequest::ArmSilenceTimer(absl::Duration after)
{
  silenceTimer_.expires_after(absl::ToChronoMilliseconds(after));
  silenceTimer_.async_wait(
    [weak = weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) {
        self->OnSilence();
      }
    });
}

/** The endpoint of the open attempt has sent something. */
void GatewayRequest::NoteHeard()
{
  heardAt_ = ElapsedNow();
  if (isPreparing_) {
    AbandonContinuation("answer_went_on");
  }
}

SilenceFacts GatewayRequest::DescribeSilence() const
{
  const Elapsed now = ElapsedNow();
  SilenceFacts facts;
  facts.silent = now - std::max(heardAt_, sentAt_);
  facts.expected = SilentGaps * route_->gapAim;
  facts.patience = route_->patience;
  facts.sign = attempt_->sign;
  facts.signAge = now - attempt_->signAt;
  return facts;
}

/** What runs is left only once all is there that going on elsewhere needs:
 * the endpoint may still speak.
 */
void GatewayRequest::OnSilence()
{
  if (ended_ || !attempt_ || held_ || isPreparing_) {
    return;
  }
  if (attempt_->isPathLost) {
    PrepareContinuation("path_lost");
    return;
  }
  const SilenceFacts facts = DescribeSilence();
  switch (EvaluateSilence(facts)) {
    case SilenceVerdict::Wait:
      ArmSilenceTimer(SilenceRecheck(facts));
      return;
    case SilenceVerdict::Ask:
      LogSilence("asked");
      AskForLifeSign();
      return;
    case SilenceVerdict::GoOn:
      PrepareContinuation("silent");
      return;
  }
}

std::string GatewayRequest::StatusPath() const
{
  const auto service = table_->services.find(service_);
  return service == table_->services.end() ? "" : service->second.statusPath;
}

void GatewayRequest::AskForLifeSign()
{
  const DirectoryEndpoint* endpoint =
    FindEndpoint(shared_.directory, attempt_->endpoint);
  const std::string path = StatusPath();
  if (endpoint == nullptr || path.empty()) {
    OnLifeSign(LifeSign::NoAnswer);
    return;
  }
  shared_.status.Ask(*endpoint, path,
                     [weak = weak_from_this(),
                      number = attempts_](const EndpointStatus& status) {
                       auto self = weak.lock();
                       const bool isOpen = self && !self->ended_ &&
                                           self->attempt_ &&
                                           self->attempts_ == number;
                       if (isOpen) {
                         self->OnLifeSign(self->SignOf(status));
                       }
                     });
}

/** An endpoint that reports events which have not come has lost the way to
 * this box, not the request.
 */
LifeSign GatewayRequest::SignOf(const EndpointStatus& status) const
{
  if (status.result == EndpointStatus::Result::Gone) {
    return LifeSign::Gone;
  }
  if (status.result == EndpointStatus::Result::NoAnswer) {
    return LifeSign::NoAnswer;
  }
  const auto run =
    std::find_if(status.runs.begin(), status.runs.end(),
                 [this](const EndpointRun& r) { return r.request == id_; });
  const bool isFirst = attempts_ == 1 && !TakesStreamUp();
  const bool isAhead =
    run != status.runs.end() && isFirst &&
    run->events > static_cast<std::uint64_t>(reader_.events);
  return run != status.runs.end() && !isAhead ? LifeSign::Working
                                              : LifeSign::Answers;
}

void GatewayRequest::OnLifeSign(LifeSign sign)
{
  attempt_->sign = sign;
  attempt_->signAt = ElapsedNow();
  OnSilence();
}

void GatewayRequest::NotePathLost()
{
  const bool isLost = !ended_ && attempt_ && attempt_->relay.empty() &&
                      route_->repetition != Repetition::RunOnce;
  if (isLost) {
    EndHeld();
    attempt_->isPathLost = true;
    OnSilence();
  }
}

/** Whether another endpoint than those that were tried could go on, one that
 * is not known to stand still as well.
 */
bool GatewayRequest::HasOtherEndpoint()
{
  double ignored = 0.0;
  return ChooseEndpointFor(NextCandidates(), ignored) != nullptr;
}

std::vector<DirectoryEndpoint*> GatewayRequest::NextCandidates() const
{
  auto endpoints = OwnCandidates();
  if (!isPreparing_ && !attempt_) {
    return endpoints;
  }
  const Elapsed now = ElapsedNow();
  endpoints.erase(std::remove_if(endpoints.begin(), endpoints.end(),
                                 [now](const DirectoryEndpoint* endpoint) {
                                   return now < endpoint->silentUntil;
                                 }),
                  endpoints.end());
  return endpoints;
}

/** Whether the next endpoint can be told after which event to go on. */
bool GatewayRequest::HasPosition() const
{
  const bool isNamed = !reader_.lastId.empty() || TakesStreamUp();
  return !streamBegun_ || (isNamed && !reader_.hasUnusableId);
}

/** What must hold to go on elsewhere; empty: it does. */
absl::string_view GatewayRequest::WhyNotContinued()
{
  if (endpointsTried_ + 1 >= route_->maxAttempts) {
    return "attempts_used";
  }
  if (!HasPosition()) {
    return "no_event_id";
  }
  if (!HasTimeLeft()) {
    return "time_over";
  }
  if (!shared_.calls.HasWay()) {
    return NoPathReason;
  }
  if (!HasOtherEndpoint()) {
    return "no_endpoint";
  }
  DrawRounding(shared_.retries[service_], shared_.random);
  const bool hasRetry = HasRetry(shared_.retries[service_], shared_.retryRules,
                                 shared_.stages.Members() + 1, ElapsedNow());
  return hasRetry ? "" : "retry_budget";
}

/** Gets what another endpoint needs to go on: results of stages that were
 * released, the endpoint itself, a permit. The attempt stays open meanwhile.
 */
void GatewayRequest::PrepareContinuation(absl::string_view why)
{
  const absl::string_view against = WhyNotContinued();
  if (!against.empty()) {
    LogSilence(against);
    ArmSilenceTimer(RecheckAfterFailure);
    return;
  }
  LogSilence("going_on");
  isPreparing_ = true;
  leftFor_ = std::string(why);
  continuedAt_ = ElapsedNow();
  if (LacksResults() && !StatusPath().empty()) {
    ConfirmAnyNext();
  } else {
    GoOn();
  }
}

/** Whether results of its stages were released that an endpoint needs. */
bool GatewayRequest::LacksResults() const
{
  return finalReleased_ &&
         std::any_of(stages_.begin(), stages_.end(),
                     [](const Stage& stage) { return stage.pieces > 0; });
}

/** No stage is executed again while no endpoint could use its results. */
void GatewayRequest::ConfirmAnyNext()
{
  double ignored = 0.0;
  const DirectoryEndpoint* endpoint =
    ChooseEndpointFor(NextCandidates(), ignored);
  if (!attempt_) { // it was cut meanwhile
    GoOn();
    return;
  }
  if (endpoint == nullptr) {
    AbandonContinuation("no_endpoint");
    return;
  }
  AskNext(*endpoint, [this](bool hasAnswered) {
    if (hasAnswered) {
      GoOn();
    } else {
      ConfirmAnyNext();
    }
  });
}

/** With the results of its stages, which are made again if an earlier attempt
 * has used them.
 */
void GatewayRequest::GoOn()
{
  if (LacksResults()) {
    PlanHall();
    RestartStages();
    mayRestartStages_ = true; // nothing of these results was lost yet
  } else {
    SendToEndpoint();
  }
}

/** Once the answer was cut, the next attempt is made like any other: if it
 * can't be, nothing else goes on.
 */
void GatewayRequest::EndPreparationIfCut()
{
  isPreparing_ = isPreparing_ && attempt_.has_value();
}

/** The answer that runs stays, whatever stood against the next one. */
void GatewayRequest::AbandonContinuation(absl::string_view why)
{
  isPreparing_ = false;
  ++preparation_;
  LogSilence(why);
  if (streamBegun_) {
    CancelStages();
  }
  if (attempt_->isPathLost || route_->gapAim < absl::InfiniteDuration()) {
    ArmSilenceTimer(RecheckAfterFailure);
  }
}

void GatewayRequest::CancelStages()
{
  for (Stage& stage : stages_) {
    if (stage.work != 0) {
      shared_.stages.Cancel(std::exchange(stage.work, 0));
    }
  }
  EndReservations();
  ReleaseAll();
}

/** \return whether the request goes on, or has ended, without a refusal */
bool GatewayRequest::KeepsAnswer(absl::string_view reason)
{
  if (isPreparing_ && attempt_) {
    AbandonContinuation(reason);
    return true;
  }
  if (streamBegun_) {
    exchange_->Abort();
    End("broken_off", reason);
    return true;
  }
  return false;
}

/** Holds the open attempt, if there is one, so that the next can be sent.
 * \return whether it may be sent
 */
bool GatewayRequest::LeaveAttempt()
{
  isPreparing_ = false;
  ++preparation_;
  if (!attempt_) {
    return true;
  }
  if (!SpendRetry(shared_.retries[service_], shared_.retryRules,
                  shared_.stages.Members() + 1, ElapsedNow())) {
    shared_.metrics.Count("retries_over_budget");
    isPreparing_ = true;
    AbandonContinuation("retry_budget");
    return false;
  }
  ++endpointsTried_;
  mayHaveRun_ = true;
  shared_.metrics.Count("retries");
  HoldAttempt();
  if (held_->isPathLost || !held_->streams) {
    EndHeld();
  }
  return true;
}

/** The open attempt stays until the next endpoint takes over, which it may
 * refuse to do.
 */
void GatewayRequest::HoldAttempt()
{
  attempt_->heard = heardAt_;
  held_ = std::exchange(attempt_, std::nullopt);
  heldTimer_.expires_after(HoldTime);
  heldTimer_.async_wait([weak = weak_from_this(), number = held_->number](
                          boost::system::error_code error) {
    auto self = weak.lock();
    if (!error && self && !self->ended_ && self->IsFromHeld(number)) {
      self->EndHeld();
    }
  });
}

bool GatewayRequest::IsFromHeld(std::size_t attempt)
{
  return held_ && held_->number == attempt;
}

/** The attempt that is held is the open one again; one that was to follow it
 * is given up.
 */
void GatewayRequest::ReturnToHeld()
{
  heldTimer_.cancel();
  if (attempt_) {
    shared_.metrics.Count("continuations_dropped");
    DropAttempt(attempt_);
  }
  attempt_ = std::exchange(held_, std::nullopt);
  heardAt_ = attempt_->heard;
  sentAt_ = attempt_->sent;
}

/** Another endpoint has taken over, or the attempt that is held has ended. */
void GatewayRequest::EndHeld()
{
  if (!held_) {
    return;
  }
  heldTimer_.cancel();
  attempt_.swap(held_);
  CloseAttempt(true);
  attempt_.swap(held_);
  reader_.partial.clear();
  failures_.push_back(leftFor_);
  shared_.metrics.Count(absl::StrCat("attempt_", leftFor_));
}

/** A box does not leave one endpoint that stands still for another. */
void GatewayRequest::ConfirmNext(DirectoryEndpoint& endpoint,
                                 double prefillSeconds)
{
  AskNext(endpoint, [this, id = endpoint.id, prefillSeconds](bool answered) {
    DirectoryEndpoint* next = answered ? FindChosen(id) : nullptr;
    if (next != nullptr) {
      SendTo(*next, prefillSeconds);
    } else {
      SendToOwnChoice(); // to another one, if there is one
    }
  });
}

/** Asks an endpoint whether it could go on, for the preparation at hand. One
 * that does not answer, or is gone, is not asked again at once.
 */
void GatewayRequest::AskNext(const DirectoryEndpoint& endpoint,
                             std::function<void(bool hasAnswered)> then)
{
  shared_.status.Ask(
    endpoint, StatusPath(),
    [weak = weak_from_this(), number = preparation_, id = endpoint.id,
     then = std::move(then)](const EndpointStatus& status) {
      auto self = weak.lock();
      const bool isWanted =
        self && !self->ended_ && self->preparation_ == number;
      if (!isWanted) {
        return;
      }
      const bool hasAnswered =
        status.result == EndpointStatus::Result::Answered;
      DirectoryEndpoint* asked = FindEndpoint(self->shared_.directory, id);
      if (!hasAnswered && asked != nullptr) {
        NoteLifeSign(*asked, false, ElapsedNow());
      }
      then(hasAnswered);
    });
}

} // namespace wg
