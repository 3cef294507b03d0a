// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/types/span.h"

#include "wgConfig.h"
#include "wgElapsed.h"

namespace wg {

/** \brief The state that an endpoint last reported. */
struct ReplicaView
{
  std::string name;
  bool drained = false; // by the configuration
  bool answers = false; // it responded to the last query
  bool ready = false;   // can serve a request now
  bool leaving = false; // as it announced
  std::string version;
  int busy = 0; // number of stages that run or wait there
};

/** \brief The steps of this leader with the current endpoint so far. */
struct RolloutProgress
{
  std::string endpoint;
  Elapsed drainedAt = -absl::InfiniteDuration();
  Elapsed orderedAt = -absl::InfiniteDuration();
  std::string orderedVersion; // empty: this leader gave no order
};

/** \brief The waits between the steps of a roll-out. */
struct RolloutTiming
{
  absl::Duration settle = absl::Seconds(2); // until no entry routes to it
  absl::Duration orderRetryPeriod = absl::Seconds(5);
};

enum class RolloutMove
{
  Wait,
  Begin, // drain the endpoint
  Order, // order it to load the version
  End    // return it to service
};

/** \brief The progress of a roll-out, for operators. */
enum class RolloutState
{
  Done,
  Beginning,
  Draining,
  Loading,
  Ending,
  TooFewReady, // draining one more would leave too few
  NoneResponds // no endpoint left to update responds
};

struct RolloutStep
{
  RolloutMove move = RolloutMove::Wait;
  RolloutState state = RolloutState::Done;
  std::string endpoint;
};

/** \brief Decides the next move from the reported states.
 *
 * One endpoint at a time is drained. Endpoints that don't serve come first,
 * since their update costs no capacity (after Grove's rolling update;
 * docs/design/rollout.md gives the measurement). An endpoint that does not
 * become ready in the new version stops the roll-out.
 */
RolloutStep NextRolloutStep(const RolloutConfig& rollout,
                            absl::Span<const ReplicaView> replicas,
                            RolloutProgress& watch,
                            const RolloutTiming& timing, Elapsed now);

/** \brief The period in which a leader may give orders. */
struct OrderAuthority
{
  Elapsed leadSince;
  Elapsed leaseEnd = -absl::InfiniteDuration();
};

/** \brief Whether a leader may order an endpoint now: only under its lease
 * and, if the endpoint does not check fences, only when no order of an earlier
 * leader can still arrive.
 */
bool MayOrder(const OrderAuthority& right, bool checksFence, Elapsed now);

bool IsServing(const ReplicaView& replica);

int CountServing(absl::Span<const ReplicaView> replicas);

/** \brief Counts ready endpoints that run the roll-out's version. */
int CountUpdated(const RolloutConfig& rollout,
                 absl::Span<const ReplicaView> replicas);

absl::string_view Name(RolloutState state);

} // namespace wg
