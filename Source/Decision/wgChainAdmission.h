// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgStagePlan.h"

namespace wg {

/** \brief A start time that can't be met or is not needed. */
constexpr absl::Duration NoStart = absl::Milliseconds(-1);

/** \brief When a stage's call may start, from now on. */
struct StageWindow
{
  bool runs = false; // false: the request skips the stage
  absl::Duration earliest;
  absl::Duration startBy = NoStart;     // to meet the latency target
  absl::Duration lateStartBy = NoStart; // to meet the deadline
};

/** \brief The time limits of a request. */
struct ChainLimits
{
  absl::Duration spent;    // since the caller first sent it
  absl::Duration aim;      // the latency target, since then
  absl::Duration deadline; // from now
  bool isRetry = false;    // a retry after a refusal
};

/** \brief The start times of all stages of a request. */
struct ChainWindows
{
  /** Whether the request can meet its limits if it waits nowhere. */
  bool isFeasible = false;
  std::vector<StageWindow> stages;
};

/** \brief Computes the latest start of each stage with which the answer begins
 * within the latency target and, for retries and for requests that can't meet
 * the target even without waits, by the deadline.
 * \param fullCalls duration of a full call of each stage, in seconds; calls
 *   are full while work waits
 */
ChainWindows PlanChain(const StagePlan& plan,
                       absl::Span<const double> fullCalls,
                       const ChainLimits& limits);

/** \brief The answer of the coordinator of a stage's pool, or the box's own
 * estimate where none answered.
 */
struct PoolAnswer
{
  bool granted = false;
  bool isLate = false; // granted behind all work that is in time
  bool isOwnEstimate = false;
  absl::Duration clear; // that such work would wait
  absl::Duration retry; // until there is capacity
};

/** \brief Whether a request is admitted, and if not, when to retry. */
struct ChainVerdict
{
  bool admitted = false;
  bool isLate = false; // past its latency target, within its deadline
  int refusedBy = -1;  // the stage whose pool refused
  absl::Duration retry;
};

/** \brief Admits a request if the pools of all its stages have granted it
 * capacity. Chains of three stages that were admitted by the first stage alone
 * were refused after 1.7 s at the median when the second was full.
 * \param answers one for each stage; ignored for skipped stages
 */
ChainVerdict EvaluateChain(const ChainWindows& windows,
                           absl::Span<const PoolAnswer> answers);

/** \brief Estimates the answer of a coordinator that did not respond, from the
 * last reported wait of its pool. The work may use half of its time to wait,
 * as other boxes may have admitted to the same capacity since.
 */
PoolAnswer EstimateAnswer(const StageWindow& window,
                          absl::Duration reportedWait);

} // namespace wg
