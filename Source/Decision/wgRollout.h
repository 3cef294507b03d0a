// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/types/span.h"

#include "wgConfig.h"
#include "wgElapsed.h"

namespace wg {

/** \brief What an endpoint said of itself when it was last asked. */
struct ReplicaView
{
  std::string name;
  bool drained = false; // by the configuration
  bool answers = false;
  bool ready = false;   // would serve a request now
  bool leaving = false; // by its own word
  std::string version;
  int busy = 0; // stages that run or wait there
};

/** \brief What this leader has done with the current endpoint so far. */
struct RolloutWatch
{
  std::string endpoint;
  Elapsed drainedAt = -absl::InfiniteDuration();
  Elapsed orderedAt = -absl::InfiniteDuration();
  std::string orderedVersion; // empty: none by this leader
};

/** \brief How long the steps of a roll-out wait. */
struct RolloutTiming
{
  absl::Duration settle = absl::Seconds(2); // until every entry has let go
  absl::Duration orderAgain = absl::Seconds(5);
};

enum class RolloutMove
{
  Wait,
  Begin, // take the endpoint out of service
  Order, // order it to load the version
  End    // give it back
};

/** \brief Why a roll-out is where it is, for operators. */
enum class RolloutState
{
  Done,
  Beginning,
  Draining,
  Loading,
  Ending,
  TooFewReady, // one more out of service would leave too few
  NoneAnswers  // what is left to update does not answer
};

/** \brief The next move of a roll-out, and where it stands. */
struct RolloutStep
{
  RolloutMove move = RolloutMove::Wait;
  RolloutState state = RolloutState::Done;
  std::string endpoint;
};

/** \brief Decides the next move from what the endpoints say now.
 *
 * One endpoint at a time is out of service for it. Those that serve nothing
 * come first, since updating them costs nothing (after Grove's rolling
 * update; docs/design/rollout.md gives the measurement). One that does not
 * come up in the new version holds the roll-out: nothing else is touched.
 */
RolloutStep NextRolloutStep(const RolloutConfig& rollout,
                            absl::Span<const ReplicaView> replicas,
                            RolloutWatch& watch, const RolloutTiming& timing,
                            Elapsed now);

/** \brief What a leader knows of its own right to give orders. */
struct OrderRight
{
  Elapsed leadSince;
  Elapsed leaseEnd = -absl::InfiniteDuration();
};

/** \brief Whether an endpoint may be given an order now: under the lease only;
 * and where it does not check fences, only when no earlier leader's order can
 * still be on its way.
 */
bool MayOrder(const OrderRight& right, bool checksFence, Elapsed now);

/** \brief Whether it would serve a request now. */
bool IsServing(const ReplicaView& replica);

/** \brief How many would serve a request now. */
int CountServing(absl::Span<const ReplicaView> replicas);

/** \brief How many run the roll-out's version and are ready. */
int CountUpdated(const RolloutConfig& rollout,
                 absl::Span<const ReplicaView> replicas);

absl::string_view Name(RolloutState state);

} // namespace wg
