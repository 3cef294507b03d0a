// SPDX-License-Identifier: Apache-2.0
#include "wgRollout.h"

#include <algorithm>
#include <array>

namespace wg {
namespace {

/** After this, no order of an earlier leader can arrive: its lease has ended,
 * and a call times out after a second.
 */
constexpr absl::Duration EarlierOrderTimeout = absl::Seconds(3);

bool IsUpdated(const RolloutConfig& rollout, const ReplicaView& replica)
{
  return replica.answers && replica.version == rollout.version &&
         replica.ready;
}

RolloutStep StepOfCurrent(const RolloutConfig& rollout,
                          const ReplicaView& current, RolloutProgress& watch,
                          const RolloutTiming& timing, Elapsed now)
{
  if (watch.endpoint != current.name) {
    watch = {};
    watch.endpoint = current.name;
    watch.drainedAt = now;
  }
  if (!current.answers) {
    return { RolloutMove::Wait, RolloutState::NoneResponds, current.name };
  }
  if (IsUpdated(rollout, current)) {
    return { RolloutMove::End, RolloutState::Ending, current.name };
  }
  const bool quiet =
    current.busy == 0 && now - watch.drainedAt >= timing.settle;
  if (!quiet) {
    return { RolloutMove::Wait, RolloutState::Draining, current.name };
  }
  const bool isOrdered = watch.orderedVersion == rollout.version;
  const bool waits =
    !current.ready || now - watch.orderedAt < timing.orderRetryPeriod;
  if (isOrdered && waits) {
    return { RolloutMove::Wait, RolloutState::Loading, current.name };
  }
  watch.orderedVersion = rollout.version;
  watch.orderedAt = now;
  return { RolloutMove::Order, RolloutState::Loading, current.name };
}

/** Chooses an endpoint that doesn't serve, else the first one in the list. */
const ReplicaView* ChooseNext(const RolloutConfig& rollout,
                              absl::Span<const ReplicaView> replicas)
{
  const ReplicaView* next = nullptr;
  for (const ReplicaView& replica : replicas) {
    const bool isCandidate = replica.answers && !replica.leaving &&
                             replica.version != rollout.version;
    if (!isCandidate) {
      continue;
    }
    const bool isBetter =
      next == nullptr || (IsServing(*next) && !IsServing(replica));
    next = isBetter ? &replica : next;
  }
  return next;
}

} // namespace

RolloutStep NextRolloutStep(const RolloutConfig& rollout,
                            absl::Span<const ReplicaView> replicas,
                            RolloutProgress& watch,
                            const RolloutTiming& timing, Elapsed now)
{
  for (const ReplicaView& replica : replicas) {
    if (replica.name == rollout.current) {
      return StepOfCurrent(rollout, replica, watch, timing, now);
    }
  }
  watch = {};
  const ReplicaView* next = ChooseNext(rollout, replicas);
  if (next == nullptr) {
    const bool done =
      CountUpdated(rollout, replicas) == static_cast<int>(replicas.size());
    return { RolloutMove::Wait,
             done ? RolloutState::Done : RolloutState::NoneResponds, "" };
  }
  const int left = CountServing(replicas) - (IsServing(*next) ? 1 : 0);
  if (IsServing(*next) && left < rollout.minReady) {
    return { RolloutMove::Wait, RolloutState::TooFewReady, next->name };
  }
  return { RolloutMove::Begin, RolloutState::Beginning, next->name };
}

bool MayOrder(const OrderAuthority& right, bool checksFence, Elapsed now)
{
  const bool earlierEnded =
    checksFence || now - right.leadSince >= EarlierOrderTimeout;
  return now < right.leaseEnd && earlierEnded;
}

bool IsServing(const ReplicaView& replica)
{
  return replica.answers && replica.ready && !replica.leaving &&
         !replica.drained;
}

int CountServing(absl::Span<const ReplicaView> replicas)
{
  return static_cast<int>(
    std::count_if(replicas.begin(), replicas.end(), IsServing));
}

int CountUpdated(const RolloutConfig& rollout,
                 absl::Span<const ReplicaView> replicas)
{
  return static_cast<int>(std::count_if(
    replicas.begin(), replicas.end(), [&rollout](const ReplicaView& replica) {
      return IsUpdated(rollout, replica);
    }));
}

absl::string_view Name(RolloutState state)
{
  constexpr std::array<absl::string_view, 7> names = {
    "done",   "beginning",     "draining",    "loading",
    "ending", "too_few_ready", "none_answers"
  };
  return names[static_cast<std::size_t>(state)];
}

} // namespace wg
