// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace wg {

/** \brief The time of one stage of a request. */
struct PlannedStage
{
  std::vector<std::size_t> after; // stages whose results it needs
  double ownSeconds = 0.0;        // a call of its pieces alone; 0: skipped
};

/** \brief The stages of a request in the order of their numbers, and the
 * prefill that follows them.
 */
struct StagePlan
{
  std::vector<PlannedStage> stages;
  double prefillSeconds = 0.0; // prefill of the request's own prompt segment
};

/** \brief Returns when the answer of a request that has not started would
 * begin, in seconds from now.
 * \param waits of each stage in order, in seconds; ignored for skipped stages
 */
double ExpectedSeconds(const StagePlan& plan, absl::Span<const double> waits);

/** \brief Returns the time from the end of a stage to the answer, without
 * waits.
 */
double SecondsAfter(const StagePlan& plan, std::size_t stage);

/** \brief Whether a request is refused because it is not expected to meet its
 * latency target, with a margin for the error of the estimate.
 */
bool IsRefused(double expectedSeconds, absl::Duration target);

/** \brief Returns the longest wait of a first stage with which its request is
 * admitted; at least a millisecond.
 * \param spent since the request arrived
 * \param expectedSeconds without that wait
 */
absl::Duration MaxFirstWait(absl::Duration target, absl::Duration spent,
                            double expectedSeconds);

} // namespace wg
