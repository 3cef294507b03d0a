// SPDX-License-Identifier: Apache-2.0
#include "wgStagePlan.h"

#include <algorithm>

namespace wg {
namespace {

/** Requests expected to take longer than this fraction of their latency target
 * are refused: those admitted up to the target itself are mostly late. 0.75
 * gave .005 more worth than 0.6 (error .003; 15 paired days).
 */
constexpr double AdmittedFraction = 0.75;
/** A wait of zero would mean no limit. */
constexpr absl::Duration MinWait = absl::Milliseconds(1);

} // namespace

double ExpectedSeconds(const StagePlan& plan, absl::Span<const double> waits)
{
  std::vector<double> until(plan.stages.size(), 0.0);
  double longest = 0.0;
  for (std::size_t i = 0; i < plan.stages.size(); ++i) {
    const PlannedStage& stage = plan.stages[i];
    for (const std::size_t before : stage.after) {
      until[i] = std::max(until[i], until[before]);
    }
    if (stage.ownSeconds > 0.0) {
      until[i] += waits[i] + stage.ownSeconds;
    }
    longest = std::max(longest, until[i]);
  }
  return longest + plan.prefillSeconds;
}

double SecondsAfter(const StagePlan& plan, std::size_t stage)
{
  const auto& stages = plan.stages;
  std::vector<double> after(stages.size(), 0.0); // from a stage's end
  for (std::size_t i = stages.size(); i-- > stage;) {
    for (const std::size_t before : stages[i].after) {
      after[before] = std::max(after[before], stages[i].ownSeconds + after[i]);
    }
  }
  return after[stage] + plan.prefillSeconds;
}

bool IsRefused(double expectedSeconds, absl::Duration target)
{
  return absl::Seconds(expectedSeconds) > AdmittedFraction * target;
}

absl::Duration MaxFirstWait(absl::Duration target, absl::Duration spent,
                            double expectedSeconds)
{
  return std::max(MinWait, AdmittedFraction * target - spent -
                             absl::Seconds(expectedSeconds));
}

} // namespace wg
