// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayRequest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wg {
namespace {

/** Results and prompts are at home in a request's own hall; another one is
 * asked where it waits shorter by more.
 */
constexpr absl::Duration OtherHallGain = absl::Milliseconds(250);

} // namespace

/** Whether pools are asked for capacity before the first work. */
bool GatewayRequest::IsAdmittedByChain() const
{
  return shared_.admission == StageAdmission::ByChain &&
         std::any_of(stages_.begin(), stages_.end(),
                     [](const Stage& stage) { return stage.pieces > 0; });
}

/** While work waits, calls are full. */
std::vector<double> GatewayRequest::FullCallSeconds() const
{
  std::vector<double> seconds;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const auto service = table_->services.find(route_->stages[i].service);
    const bool isStage =
      service != table_->services.end() && service->second.stage.has_value();
    const double full = isStage
                          ? ExpectedCallSeconds(*service->second.stage,
                                                service->second.stage->batch)
                          : 0.0;
    seconds.push_back(std::max(full, OwnSeconds(i)));
  }
  return seconds;
}

wire::StageReserve GatewayRequest::MakeReserve(std::size_t stage) const
{
  const RouteStage& planned = route_->stages[stage];
  const StageWindow& window = windows_.stages[stage];
  const StagePoolKey pool =
    ChoosePool(shared_.directory, planned.service, resultHall_);
  const Elapsed finishBy = Due() - absl::Seconds(SecondsAfter(plan_, stage));
  wire::StageReserve ask;
  ask.set_service(pool.service);
  ask.set_pool_hall(pool.hall);
  ask.set_request(id_);
  ask.set_pieces(static_cast<std::uint32_t>(stages_[stage].pieces));
  ask.set_rank(static_cast<std::uint32_t>(std::max(0, route_->rank)));
  ask.set_account(holder_.account);
  ask.set_earliest_ms(absl::ToInt64Milliseconds(window.earliest));
  ask.set_start_by_ms(absl::ToInt64Milliseconds(window.startBy));
  ask.set_late_start_by_ms(absl::ToInt64Milliseconds(window.lateStartBy));
  ask.set_finish_by_ms(absl::ToInt64Milliseconds(finishBy - ElapsedNow()));
  ask.set_result_bytes(planned.resultBytes);
  ask.set_came_back(CameBack());
  return ask;
}

/** Asks the pools of all its stages, in the hall where its engine is likely to
 * be.
 */
void GatewayRequest::AskForChain()
{
  const Elapsed now = ElapsedNow();
  plan_ = MakePlan();
  ChainLimits limits;
  limits.spent = now - firstTried_;
  limits.aim = route_->aim;
  limits.deadline = AnswerBy() - now;
  limits.isRetry = CameBack();
  windows_ = PlanChain(plan_, FullCallSeconds(), limits);
  if (!windows_.isFeasible) {
    SayNotRun("no_time");
    return;
  }
  std::vector<wire::StageReserve> asks;
  std::vector<std::size_t> asked;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (windows_.stages[i].runs) {
      asks.push_back(MakeReserve(i));
      asked.push_back(i);
    }
  }
  const auto reservations = shared_.reservations.Ask(
    std::move(asks),
    [weak = weak_from_this()](
      const std::vector<std::optional<wire::StageReserveAnswer>>& answers) {
      auto self = weak.lock();
      if (self && !self->ended_) {
        self->OnChainAnswers(answers);
      }
    });
  for (std::size_t i = 0; i < asked.size(); ++i) {
    stages_[asked[i]].reserved = reservations[i];
  }
}

void GatewayRequest::OnChainAnswers(
  absl::Span<const std::optional<wire::StageReserveAnswer>> answers)
{
  std::vector<PoolAnswer> judged(stages_.size());
  std::size_t next = 0;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (!windows_.stages[i].runs) {
      continue;
    }
    const auto& answer = answers[next++];
    judged[i] =
      answer
        ? PoolAnswer{ answer->granted(), answer->late(), false,
                      absl::Milliseconds(answer->clear_ms()),
                      absl::Milliseconds(answer->retry_ms()) }
        : EstimateAnswer(windows_.stages[i],
                         shared_.stages.Waiting(stages_[i].reserved.pool));
  }
  const ChainVerdict verdict = EvaluateChain(windows_, judged);
  LogAdmission(verdict, judged);
  if (!verdict.admitted) {
    RefuseChain(verdict);
    return;
  }
  isAdmittedLate_ = verdict.isLate;
  SubmitStages();
}

/** Another hall is asked once, if it is known to wait shorter or not known.
 */
void GatewayRequest::RefuseChain(const ChainVerdict& verdict)
{
  EndReservations();
  poolRetry_ = std::max(poolRetry_, verdict.retry);
  const auto refusedBy = static_cast<std::size_t>(verdict.refusedBy);
  const absl::Duration wait = shared_.stages.Waiting(ChoosePool(
    shared_.directory, route_->stages[refusedBy].service, resultHall_));
  const std::optional<std::string> other = FindOtherHall(wait);
  if (!std::exchange(askedElsewhere_, true) && other) {
    shared_.metrics.Count("chains_asked_elsewhere");
    resultHall_ = *other;
    AskForChain();
    return;
  }
  SayNotRun(PoolFullReason);
}

/** The hall whose pools wait shortest, if that is worth the way. */
std::optional<std::string> GatewayRequest::FindOtherHall(
  absl::Duration wait) const
{
  std::set<std::string> halls;
  for (const RouteStage& stage : route_->stages) {
    for (const StagePoolKey& pool :
         PoolsOf(shared_.directory, stage.service)) {
      halls.insert(pool.hall);
    }
  }
  halls.erase(resultHall_);
  halls.erase("");
  std::optional<std::string> best;
  absl::Duration least = wait - OtherHallGain;
  for (const std::string& hall : halls) {
    absl::Duration longest;
    for (const RouteStage& stage : route_->stages) {
      longest = std::max(longest, shared_.stages.Waiting(ChoosePool(
                                    shared_.directory, stage.service, hall)));
    }
    if (longest < least) {
      least = longest;
      best = hall;
    }
  }
  return best;
}

void GatewayRequest::EndReservations()
{
  for (Stage& stage : stages_) {
    shared_.reservations.End(std::exchange(stage.reserved, {}));
  }
}

void GatewayRequest::LogAdmission(const ChainVerdict& verdict,
                                  absl::Span<const PoolAnswer> answers) const
{
  nlohmann::json pools = nlohmann::json::array();
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const StageWindow& window = windows_.stages[i];
    if (window.runs) {
      pools.push_back(
        { { "service", route_->stages[i].service },
          { "granted", answers[i].granted },
          { "own_guess", answers[i].isOwnEstimate },
          { "would_wait_ms", absl::ToInt64Milliseconds(answers[i].clear) },
          { "start_by_ms", absl::ToInt64Milliseconds(window.startBy) } });
    }
  }
  const auto weight =
    verdict.admitted ? LogWeight::Routine : LogWeight::Notable;
  shared_.log.Write(weight, "chain_admission",
                    { { "request", id_ },
                      { "admitted", verdict.admitted },
                      { "late", verdict.isLate },
                      { "came_back", CameBack() },
                      { "hall", resultHall_ },
                      { "pools", std::move(pools) } });
}

} // namespace wg
