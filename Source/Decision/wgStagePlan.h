// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace wg {

/** \brief One stage of a request, as far as its time is concerned. */
struct PlannedStage
{
  std::vector<std::size_t> after; // stages whose results it needs
  double ownSeconds = 0.0; // a call of its pieces alone; 0: it is left out
};

/** \brief The stages of a request in the order of their numbers, and what
 * follows them.
 */
struct StagePlan
{
  std::vector<PlannedStage> stages;
  double readSeconds = 0.0; // that an engine needs for the request's own part
};

/** \brief When the answer would begin, in seconds from now, if nothing had
 * begun yet.
 * \param waits in seconds, of each stage in order; those of stages that are
 * left out do not count
 */
double ExpectedSeconds(const StagePlan& plan, absl::Span<const double> waits);

/** \brief What comes after a stage takes at least, if nothing waits. */
double SecondsAfter(const StagePlan& plan, std::size_t stage);

/** \brief Whether a request that is expected to take so long is refused: it is
 * known that it can't be answered in its aim, give or take what is not known.
 */
bool IsRefused(double expectedSeconds, absl::Duration aim);

/** \brief How long a first stage may wait for its request to be admitted; at
 * least a millisecond.
 * \param spent since the request arrived
 * \param expectedSeconds without that wait
 */
absl::Duration LongestFirstWait(absl::Duration aim, absl::Duration spent,
                                double expectedSeconds);

} // namespace wg
