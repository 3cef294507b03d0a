// SPDX-License-Identifier: Apache-2.0
#include "wgRolloutRunner.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include "wgEndpointOrder.h"
#include "wgJson.h"
#include "wgLog.h"
#include "wgServiceState.h"

namespace wg {
namespace {

constexpr absl::Duration Period = absl::Milliseconds(200);
constexpr absl::Duration StopPoll = absl::Milliseconds(20);
constexpr absl::Duration AskTimeout = absl::Milliseconds(300);
constexpr absl::Duration OrderTimeout = absl::Seconds(1);
constexpr absl::Duration ProposeTimeout = absl::Seconds(2);
constexpr std::int64_t MaxBusy = 1000000;

using Json = nlohmann::json;

ReplicaView AskReplica(const EndpointConfig& endpoint)
{
  const Json load = Json::parse(
    FetchText({ endpoint.address, endpoint.port }, "/v1/load", AskTimeout),
    nullptr, false);
  ReplicaView view;
  view.name = endpoint.name;
  view.drained = endpoint.drained;
  view.answers = load.is_object();
  view.ready = BoolOr(load, "ready", view.answers);
  view.leaving = BoolOr(load, "leaving", false);
  view.version = TextOr(load, "version", "");
  const std::int64_t busy =
    IntOr(load, "running", 0) + IntOr(load, "waiting", 0);
  view.busy = static_cast<int>(std::clamp<std::int64_t>(busy, 0, MaxBusy));
  return view;
}

std::vector<ReplicaView> AskReplicas(const Config& config,
                                     const std::string& group)
{
  std::vector<ReplicaView> views;
  for (const EndpointConfig& endpoint : config.endpoints) {
    if (endpoint.group == group) {
      views.push_back(AskReplica(endpoint));
    }
  }
  return views;
}

Json DescribeRollout(const RolloutConfig& rollout, const RolloutStep& step,
                     const std::vector<ReplicaView>& replicas)
{
  return { { "group", rollout.name },
           { "version", rollout.version },
           { "state", std::string(Name(step.state)) },
           { "endpoint", step.endpoint },
           { "updated", CountUpdated(rollout, replicas) },
           { "of", replicas.size() },
           { "ready", CountServing(replicas) },
           { "min_ready", rollout.minReady } };
}

} // namespace

RolloutRunner::RolloutRunner(Propose propose)
  : propose_(std::move(propose))
  , thread_([this] { Run(); })
{
}

RolloutRunner::~RolloutRunner()
{
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void RolloutRunner::SetDuty(RolloutDuty duty)
{
  absl::MutexLock lock(&mutex_);
  duty_ = std::move(duty);
}

RolloutDuty RolloutRunner::Duty()
{
  absl::MutexLock lock(&mutex_);
  return duty_;
}

Json RolloutRunner::Describe()
{
  absl::MutexLock lock(&mutex_);
  return rows_;
}

bool RolloutRunner::IsWanted() const
{
  return duty_.config != nullptr || stopping_;
}

/** Sleeps while there is nothing to roll out, or another box leads. */
void RolloutRunner::Run()
{
  while (!IsStopping()) {
    const RolloutDuty duty = Duty();
    if (duty.config != nullptr) {
      Advance(duty);
      Pause(Period);
      continue;
    }
    watches_.clear();
    absl::MutexLock lock(&mutex_);
    rows_ = Json::array();
    mutex_.Await(absl::Condition(this, &RolloutRunner::IsWanted));
  }
}

void RolloutRunner::Pause(absl::Duration time)
{
  absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(&stopping_), time);
}

bool RolloutRunner::IsStopping()
{
  absl::MutexLock lock(&mutex_);
  return stopping_;
}

void RolloutRunner::Advance(const RolloutDuty& duty)
{
  Json rows = Json::array();
  for (const RolloutConfig& rollout : duty.config->rollouts) {
    const std::vector<ReplicaView> replicas =
      AskReplicas(*duty.config, rollout.name);
    const RolloutStep step = NextRolloutStep(
      rollout, replicas, watches_[rollout.name], {}, ElapsedNow());
    rows.push_back(DescribeRollout(rollout, step, replicas));
    Take(rollout, step, *duty.config);
  }
  absl::MutexLock lock(&mutex_);
  rows_ = std::move(rows);
}

void RolloutRunner::Take(const RolloutConfig& rollout, const RolloutStep& step,
                         const Config& config)
{
  auto [logged, isNew] = logged_.try_emplace(rollout.name, step.state);
  if (isNew || logged->second != step.state) {
    logged->second = step.state;
    LogChange("rollout",
              absl::StrCat(rollout.name, " to ", rollout.version, ": ",
                           Name(step.state), " ", step.endpoint));
  }
  if (step.move == RolloutMove::Wait) {
    return;
  }
  if (step.move == RolloutMove::Order) {
    GiveOrder(rollout, *FindEndpoint(config, step.endpoint));
    return;
  }
  wire::Change change;
  wire::StepRollout& body = *change.mutable_step_rollout();
  body.set_group(rollout.name);
  body.set_endpoint(step.endpoint);
  body.set_kind(step.move == RolloutMove::Begin ? wire::StepRollout::BEGIN
                                                : wire::StepRollout::END);
  ProposeAndWait(std::move(change));
}

/** The quorum raises the fence first, so that the order is newer than all
 * that were given before.
 */
void RolloutRunner::GiveOrder(const RolloutConfig& rollout,
                              const EndpointConfig& endpoint)
{
  wire::Change change;
  change.mutable_raise_fence()->set_endpoint(endpoint.name);
  change.mutable_raise_fence()->set_order(
    absl::StrCat("version ", rollout.version));
  const wire::ChangeResult raised = ProposeAndWait(std::move(change));
  const RolloutDuty duty = Duty();
  const bool mayOrder =
    raised.verdict() == wire::ChangeResult::ACCEPTED &&
    duty.config != nullptr &&
    MayOrder(duty.right, endpoint.checksFence, ElapsedNow());
  if (!mayOrder) {
    return;
  }
  const Outcome<Done> sent =
    SendOrder({ endpoint.address, endpoint.port },
              { raised.fence(), "version", rollout.version }, OrderTimeout);
  if (!Succeeded(sent)) {
    LogChange("rollout", Message(sent));
  }
}

/** Waits a while; what is decided later is seen in the configuration. */
wire::ChangeResult RolloutRunner::ProposeAndWait(wire::Change change)
{
  struct Wait
  {
    absl::Notification done;
    wire::ChangeResult result;
  };
  auto wait = std::make_shared<Wait>();
  change.set_id(MakeChangeId());
  propose_(std::move(change), [wait](const wire::ChangeResult& result) {
    wait->result = result;
    wait->done.Notify();
  });
  const Elapsed end = ElapsedNow() + ProposeTimeout;
  while (!wait->done.WaitForNotificationWithTimeout(StopPoll)) {
    if (IsStopping() || ElapsedNow() > end) {
      return {};
    }
  }
  return wait->result;
}

} // namespace wg
