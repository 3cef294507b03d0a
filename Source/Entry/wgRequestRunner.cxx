// SPDX-License-Identifier: Apache-2.0
#include "wgRequestRunner.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

#include "wgJson.h"
#include "wgStageEstimate.h"
#include "wgStageProtocol.h"

namespace wg {
namespace {

constexpr int MaxTries = 3;
constexpr absl::Duration ClaimTimeout = absl::Seconds(2);
constexpr std::size_t PrefixBytes = 64;
constexpr absl::Duration NotConfiguredRetryAfter = absl::Seconds(1);

std::uint64_t HashPrefix(const std::string& prompt)
{
  const std::size_t length = std::min(prompt.size(), PrefixBytes);
  return std::max<std::uint64_t>(XXH64(prompt.data(), length, 0), 1);
}

absl::string_view Name(AttemptEnd end)
{
  switch (end) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::Unreached:
      return "unreached";
    case AttemptEnd::OutOfTime:
      return "out_of_time";
    case AttemptEnd::Cancelled:
      break;
  }
  return "cancelled";
}

/** What the stages of one request took, for its caller. */
nlohmann::json DescribeCosts(const CostLedger& costs)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, cost] : costs) {
    rows.push_back({ { "stage", key.stage },
                     { "tries", cost.tries },
                     { "tokens", cost.tokens },
                     { "useful_s", cost.usefulSeconds },
                     { "wasted_s", cost.wastedSeconds } });
  }
  return rows;
}

} // namespace

RequestRunner::RequestRunner(RunnerContext context, CallerRequest request)
  : context_(context)
  , request_(std::move(request))
  , arrived_(ElapsedNow())
{
  attempts_.request = request_.id;
  document_ = { { "input", request_.input } };
}

RequestRunner::~RequestRunner()
{
  if (countsUpcoming_) {
    for (std::size_t i = upcomingFrom_; i < pipeline_->stages.size(); ++i) {
      CountUpcoming(i, -1);
    }
  }
  if (claimed_) {
    const bool notRun = RunStateOf(attempts_) == RunState::NotRun;
    context_.claimEnder.Post(
      { { request_.account, request_.idempotencyKey, request_.id }, notRun });
    if (notRun) {
      context_.blackboard.counters.Add(Event::ClaimReleased);
    }
  }
  if (admitted_) {
    absl::MutexLock lock(&context_.blackboard.accounts.mutex);
    --context_.blackboard.accounts.uses[request_.account].running;
  }
}

const GroupConfig& RequestRunner::Group(std::size_t stage) const
{
  return *FindGroup(*config_, pipeline_->stages[stage]);
}

RequestFailure RequestRunner::Fail(Reason reason) const
{
  RequestFailure failure;
  failure.reason = reason;
  failure.run = RunStateOf(attempts_);
  return failure;
}

Reason RequestRunner::Admit(RequestFailure& failure)
{
  const bool accepted = CheckCaller(failure) && CheckLimits(failure) &&
                        CheckDeadline(failure) && ClaimKeyFirst(failure);
  if (!accepted) {
    return failure.reason;
  }
  RequestRecord record;
  record.request = request_.id;
  record.account = request_.account;
  record.pipeline = request_.pipeline;
  record.arrived = arrived_;
  absl::MutexLock lock(&context_.blackboard.requests.mutex);
  context_.blackboard.requests.records.running[request_.id] =
    std::move(record);
  return Reason::None;
}

bool RequestRunner::CheckCaller(RequestFailure& failure)
{
  config_ = CurrentConfig(context_.blackboard);
  if (config_ == nullptr) {
    failure = Fail(Reason::NotConfigured);
    failure.retryAfter = NotConfiguredRetryAfter;
    return false;
  }
  pipeline_ = FindPipeline(*config_, request_.pipeline);
  account_ = FindAccount(*config_, request_.account);
  if (account_ == nullptr) {
    failure = Fail(Reason::UnknownAccount);
    return false;
  }
  if (!account_->key.empty() && account_->key != request_.accountKey) {
    failure = Fail(Reason::WrongKey);
    return false;
  }
  if (pipeline_ == nullptr) {
    failure = Fail(Reason::UnknownPipeline);
    return false;
  }
  const absl::Duration own = absl::Milliseconds(pipeline_->deadlineMs);
  deadline_ =
    arrived_ +
    (request_.timeLeft > absl::ZeroDuration() ? request_.timeLeft : own);
  request_.priority = std::clamp(request_.priority, 0, account_->topPriority);
  request_.repeatable = request_.repeatable && pipeline_->repeatable;
  return true;
}

bool RequestRunner::CheckLimits(RequestFailure& failure)
{
  AccountLimits limits;
  limits.ratePerSecond = account_->ratePerSecond;
  limits.concurrency = account_->concurrency;
  {
    absl::MutexLock lock(&context_.blackboard.members.mutex);
    const auto alive =
      ReachableMembers(context_.blackboard.members.membership, arrived_);
    limits.boxes = static_cast<int>(alive.size()) + 1;
    for (const KnownMember* known : alive) {
      for (const wire::AccountRunning& use : known->member.accounts()) {
        limits.runningElsewhere +=
          use.account() == request_.account ? use.running() : 0;
      }
    }
  }
  AccountTable& accounts = context_.blackboard.accounts;
  absl::MutexLock lock(&accounts.mutex);
  const Admission admission = AdmitByLimits(accounts.uses[request_.account],
                                            limits, arrived_, accounts.random);
  if (admission.reason != Reason::None) {
    failure = Fail(admission.reason);
    failure.retryAfter = admission.retryAfter;
    return false;
  }
  admitted_ = true;
  return true;
}

std::vector<StageEstimate> RequestRunner::Outlook(std::size_t fromStage)
{
  std::vector<StageEstimate> outlook;
  for (std::size_t i = fromStage; i < pipeline_->stages.size(); ++i) {
    const GroupState& group =
      context_.blackboard.groups.groups[pipeline_->stages[i]];
    outlook.push_back(
      EstimateStage(group, request_.account, account_->weight));
  }
  return outlook;
}

bool RequestRunner::CheckDeadline(RequestFailure& failure)
{
  GroupTable& groups = context_.blackboard.groups;
  {
    absl::MutexLock lock(&groups.mutex);
    const Admission admission =
      AdmitByDeadline(Outlook(0), deadline_ - ElapsedNow(), groups.random);
    if (admission.reason != Reason::None) {
      failure = Fail(admission.reason);
      failure.retryAfter = admission.retryAfter;
      return false;
    }
  }
  countsUpcoming_ = true;
  for (std::size_t i = 0; i < pipeline_->stages.size(); ++i) {
    CountUpcoming(i, 1);
  }
  return true;
}

void RequestRunner::CountUpcoming(std::size_t stage, int change)
{
  GroupTable& groups = context_.blackboard.groups;
  absl::MutexLock lock(&groups.mutex);
  wg::CountUpcoming(groups.groups[pipeline_->stages[stage]], request_.account,
                    change);
}

/** Takes the caller's key before any endpoint hears of the request. */
bool RequestRunner::ClaimKeyFirst(RequestFailure& failure)
{
  if (request_.idempotencyKey.empty()) {
    return true;
  }
  const Elapsed until = std::min(deadline_, ElapsedNow() + ClaimTimeout);
  const ClaimOutcome outcome = TakeClaim(
    context_.changes,
    { request_.account, request_.idempotencyKey, request_.id }, until);
  switch (outcome) {
    case ClaimOutcome::Taken:
      claimed_ = true;
      context_.blackboard.counters.Add(Event::ClaimTaken);
      return true;
    case ClaimOutcome::UsedEnded:
      failure = Fail(Reason::DuplicateKey);
      failure.run = RunState::Ran;
      return false;
    case ClaimOutcome::UsedRunning:
      failure = Fail(Reason::DuplicateKey);
      failure.run = RunState::MayHaveRun;
      return false;
    case ClaimOutcome::Unavailable:
      break;
  }
  failure = Fail(Reason::ClaimUnavailable);
  // The claim may yet be taken: end it, so that a resend is not refused.
  claimed_ = true;
  return false;
}

RequestOutcome RequestRunner::Run(const CallerLink& caller)
{
  RequestFailure failure;
  for (std::size_t i = 0; i < pipeline_->stages.size(); ++i) {
    if (!RunStage(i, caller, failure)) {
      return failure;
    }
  }
  nlohmann::json output{ { "request", request_.id },
                         { "pipeline", request_.pipeline },
                         { "text", TextOr(document_, "text", "") } };
  if (document_.contains("services")) {
    output["services"] = document_["services"];
  }
  if (document_.contains("ranked")) {
    output["sources"] = document_["ranked"];
  }
  output["cost"] = DescribeCosts(costs_);
  return RequestAnswer{ std::move(output) };
}

bool RequestRunner::RunStage(std::size_t stage, const CallerLink& caller,
                             RequestFailure& failure)
{
  std::size_t avoid = SIZE_MAX;
  for (int tries = 1;; ++tries) {
    const TryResult result = TryStage(stage, tries, avoid, caller);
    if (result.done) {
      return true;
    }
    const bool timeLeft = ElapsedNow() < deadline_ && !callerLeft_;
    const bool refusedHere = result.endpoint == SIZE_MAX;
    const bool repeatable = request_.repeatable && Group(stage).repeatable;
    const RetryQuery query{ repeatable, result.end, tries, MaxTries,
                            timeLeft && !refusedHere };
    if (!MayRetry(query)) {
      failure =
        Fail(timeLeft || refusedHere || callerLeft_ ? result.reason
                                                    : Reason::DeadlinePassed);
      return false;
    }
    if (!SpendRetryToken(stage)) {
      failure = Fail(Reason::RetryBudget);
      return false;
    }
    context_.blackboard.counters.Add(result.retry);
    avoid = result.endpoint;
  }
}

bool RequestRunner::SpendRetryToken(std::size_t stage)
{
  GroupTable& groups = context_.blackboard.groups;
  absl::MutexLock lock(&groups.mutex);
  return SpendRetry(groups.groups[pipeline_->stages[stage]].retries);
}

RequestRunner::TryResult RequestRunner::TryStage(std::size_t stage,
                                                 int tryNumber,
                                                 std::size_t avoid,
                                                 const CallerLink& caller)
{
  TryResult result;
  const GrantOutcome place = AskForPlace(stage, avoid, caller);
  if (!place.grant) {
    result.reason = place.reason;
    return result;
  }
  const Grant& grant = *place.grant;
  if (tryNumber == 1) {
    upcomingFrom_ = stage + 1;
    CountUpcoming(stage, -1);
  }
  result.endpoint = grant.route.endpoint;
  const AttemptId attempt = OpenAttempt(attempts_, static_cast<int>(stage));
  context_.blackboard.counters.Add(Event::StageStarted);
  const EndpointReply reply =
    CallEndpoint(stage, grant, attempt, caller.takeToken);
  result.end = callerLeft_            ? AttemptEnd::Cancelled
               : reply.deadlinePassed ? AttemptEnd::OutOfTime
                                      : reply.end;
  if (reply.end == AttemptEnd::Answered && !callerLeft_) {
    result.done = TakeAnswer(stage, reply, result);
  } else {
    if (reply.isForeign) {
      context_.blackboard.counters.Add(Event::AnswerForeign);
    }
    result.retry = reply.isOtherVersion ? RetryReason::VersionDiffers
                   : reply.end == AttemptEnd::Unreached
                     ? RetryReason::ConnectFailed
                     : (reply.status != 0 ? RetryReason::EndpointRefused
                                          : RetryReason::AnswerLost);
    result.reason = callerLeft_            ? Reason::CallerLeft
                    : reply.deadlinePassed ? Reason::DeadlinePassed
                                           : Reason::EndpointFailed;
  }
  if (!result.done) {
    AbandonAttempt(attempts_, attempt, result.end);
  }
  NoteEnd(stage, grant, attempt, reply, result);
  return result;
}

GrantOutcome RequestRunner::AskForPlace(std::size_t stage, std::size_t avoid,
                                        const CallerLink& caller)
{
  GroupTable& groups = context_.blackboard.groups;
  const Elapsed start = ElapsedNow();
  std::vector<StageEstimate> ahead;
  {
    absl::MutexLock lock(&groups.mutex);
    ahead = Outlook(stage);
  }
  if (!ahead.front().anyEndpoint) {
    return { std::nullopt, Reason::NoEndpoint };
  }
  WaitingStage waiting;
  waiting.account = request_.account;
  waiting.weight = account_->weight;
  waiting.priority = request_.priority;
  waiting.deadline = deadline_;
  waiting.enqueued = start;
  waiting.latestStart = deadline_ - absl::Seconds(ServiceSeconds(ahead));
  waiting.expectedCost = ahead.front().serviceSeconds;
  waiting.laterStagesSeconds = ServiceSeconds(ahead) - waiting.expectedCost;
  waiting.bytes = request_.bytes;
  if (waiting.latestStart < start) {
    return { std::nullopt, Reason::DeadlineUnreachable };
  }
  RouteQuery query;
  query.priorSeconds = ahead.front().serviceSeconds;
  query.avoid = avoid;
  if (Group(stage).kind == StageKind::Generate) {
    query.prefix = HashPrefix(request_.input);
  }
  GrantOutcome outcome =
    WaitForGrant(groups, pipeline_->stages[stage], std::move(waiting), query,
                 caller.isThere);
  queuedSeconds_ = absl::ToDoubleSeconds(ElapsedNow() - start);
  return outcome;
}

EndpointReply RequestRunner::CallEndpoint(std::size_t stage,
                                          const Grant& grant,
                                          const AttemptId& attempt,
                                          const TokenSink& sink)
{
  const GroupConfig& group = Group(stage);
  EndpointCall call;
  {
    absl::MutexLock lock(&context_.blackboard.groups.mutex);
    const GroupState& state = context_.blackboard.groups.groups[group.name];
    const EndpointState& chosen = state.endpoints[grant.route.endpoint];
    call.address = { chosen.address, chosen.port };
  }
  call.path = StagePath(group.kind);
  call.attempt = attempt;
  call.priority = request_.priority;
  call.deadline = deadline_;
  call.mayReuseConnection = group.repeatable && request_.repeatable;
  attemptTokens_ = 0;
  if (group.kind != StageKind::Generate) {
    call.body = StageBody(group.kind, document_, request_.maxTokens, 0);
    return context_.endpoints.Call(call);
  }
  call.body =
    StageBody(group.kind, document_, request_.maxTokens, generated_.next);
  if (generated_.next > 0) {
    context_.blackboard.counters.Add(Event::StreamResumed);
    call.version = generated_.version;
  }
  const std::size_t tokensBefore = generated_.next;
  GenerationReader reader(generated_, sink);
  call.onBytes = [&reader](absl::string_view bytes) {
    return reader.Take(bytes);
  };
  EndpointReply reply = context_.endpoints.Call(call);
  callerLeft_ = reader.HasCallerLeft();
  attemptTokens_ = generated_.next - tokensBefore;
  if (tokensBefore == 0) {
    generated_.version = reply.version;
  }
  document_["text"] = generated_.text;
  if (reply.end == AttemptEnd::Answered && !reader.IsWhole()) {
    reply.end = AttemptEnd::Failed; // the stream ended before the answer did
    reply.status = 0;
  }
  return reply;
}

bool RequestRunner::TakeAnswer(std::size_t stage, const EndpointReply& reply,
                               TryResult& result)
{
  Counters& counters = context_.blackboard.counters;
  const GroupConfig& group = Group(stage);
  result.retry = RetryReason::AnswerInvalid;
  result.reason = Reason::BadAnswer;
  nlohmann::json next = document_;
  const bool sound = group.kind == StageKind::Generate ||
                     TakeStageAnswer(group.kind, group.name, reply.body, next);
  if (!sound) {
    return false;
  }
  switch (ClassifyAnswer(attempts_, reply.echoed)) {
    case AnswerVerdict::Accept:
      document_ = std::move(next);
      counters.Add(Event::StageFinished);
      return true;
    case AnswerVerdict::Late:
      counters.Add(Event::AnswerLate);
      return false;
    case AnswerVerdict::Duplicate:
      counters.Add(Event::AnswerDuplicate);
      return false;
    case AnswerVerdict::Mismatched:
      counters.Add(Event::AnswerForeign);
      return false;
  }
  return false;
}

void RequestRunner::NoteEnd(std::size_t stage, const Grant& grant,
                            const AttemptId& attempt,
                            const EndpointReply& reply,
                            const TryResult& result)
{
  Blackboard& board = context_.blackboard;
  const std::string& groupName = pipeline_->stages[stage];
  AttemptRecord record;
  record.stage = attempt.stage;
  record.attempt = attempt.attempt;
  record.group = groupName;
  record.waitSeconds = queuedSeconds_;
  record.runSeconds = reply.seconds;
  record.end = std::string(result.done ? "answered" : Name(result.end));
  const bool cancelled =
    result.end == AttemptEnd::Cancelled || result.end == AttemptEnd::OutOfTime;
  if (cancelled) {
    board.counters.Add(Event::StageCancelled);
  }
  {
    absl::MutexLock lock(&board.groups.mutex);
    GroupState& group = board.groups.groups[groupName];
    EndpointState& endpoint = group.endpoints[grant.route.endpoint];
    record.endpoint = endpoint.name;
    for (const RouteCandidate& candidate : grant.route.compared) {
      record.compared.push_back(
        { group.endpoints[candidate.endpoint].name, candidate.finishSeconds });
    }
    const AttemptEnd end = result.end == AttemptEnd::Answered && !result.done
                             ? AttemptEnd::Failed
                             : result.end;
    const bool changed =
      Finish(group, grant, end, reply.seconds, ElapsedNow());
    if (changed) {
      const bool healthy = endpoint.health.state == HealthState::Healthy;
      board.counters.Add(healthy ? Event::EndpointReadmitted
                                 : Event::EndpointEjected);
    }
    if (reply.hasLoad) {
      endpoint.report = reply.load;
      endpoint.report.ownRunning = endpoint.running + 1;
      endpoint.report.at = ElapsedNow();
    }
    DispatchGroup(board.groups, group, ElapsedNow());
  }
  const CostKey key{ request_.account, request_.pipeline, groupName };
  const AttemptCost cost{ result.done ? CostKind::Useful : CostKind::Wasted,
                          attempt.attempt > 1, reply.seconds, attemptTokens_ };
  AddCost(costs_, key, cost);
  {
    absl::MutexLock lock(&board.accounts.mutex);
    AddCost(board.accounts.costs, key, cost);
  }
  absl::MutexLock lock(&board.requests.mutex);
  auto found = board.requests.records.running.find(request_.id);
  if (found != board.requests.records.running.end()) {
    found->second.attempts.push_back(std::move(record));
  }
}

} // namespace wg
