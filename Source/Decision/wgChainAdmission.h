// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgStagePlan.h"

namespace wg {

/** \brief A time that can't be kept or is not asked for. */
constexpr absl::Duration NoStart = absl::Milliseconds(-1);

/** \brief When a stage's call may start, from now. */
struct StageWindow
{
  bool runs = false; // it is not left out
  absl::Duration earliest;
  absl::Duration startBy = NoStart;     // for the aim
  absl::Duration lateStartBy = NoStart; // for the deadline
};

/** \brief What a request has to keep. */
struct ChainLimits
{
  absl::Duration spent;    // since the caller first sent it
  absl::Duration aim;      // by when it ought to be answered, since then
  absl::Duration deadline; // by when it must be, from now
  bool cameBack = false;   // after a refusal
};

/** \brief When each stage of a request has to start. */
struct ChainWindows
{
  /** Whether it could be answered at all if nothing waited. */
  bool isPossible = false;
  std::vector<StageWindow> stages;
};

/** \brief The latest start of each stage with which the answer still begins
 * in its aim, and, for a request that came back or that can't make its aim
 * even if nothing waits, by the deadline.
 * \param fullCalls what a full call of each stage takes, in seconds; while
 *   work waits, calls are full
 */
ChainWindows PlanChain(const StagePlan& plan,
                       absl::Span<const double> fullCalls,
                       const ChainLimits& limits);

/** \brief What the coordinator of a stage's pool has answered, or what the
 * box knows itself where none did.
 */
struct PoolAnswer
{
  bool granted = false;
  bool isLate = false; // only behind what is in time
  bool isOwnGuess = false;
  absl::Duration clear; // how long such work would wait
  absl::Duration retry; // until there is capacity
};

/** \brief Whether a request is taken, and if not, when to come back. */
struct ChainVerdict
{
  bool admitted = false;
  bool isLate = false; // by the deadline only
  int refusedBy = -1;  // the stage whose pool refused
  absl::Duration retry;
};

/** \brief Admits a request if the pools of all its stages have granted it
 * capacity. A chain of three stages that was admitted by its first alone was
 * refused after 1.7 s at the median when its second was full.
 * \param answers one for each stage; of those that are left out any
 */
ChainVerdict JudgeChain(const ChainWindows& windows,
                        absl::Span<const PoolAnswer> answers);

/** \brief What a box answers in place of a coordinator that did not: by the
 * wait that it was told of the pool lately, with half of the time that the
 * work may wait, as others may have admitted to the same capacity since.
 */
PoolAnswer GuessAnswer(const StageWindow& window, absl::Duration toldWait);

} // namespace wg
