// SPDX-License-Identifier: Apache-2.0
#include "wgChainAdmission.h"

#include <algorithm>

#include "absl/algorithm/container.h"

namespace wg {
namespace {

/** Of the latency target and of the deadline: calls take up to a tenth longer
 * than expected without any fault.
 */
constexpr double UsedFraction = 0.9;
constexpr double EstimateFraction = 0.5;
/** Of the time that a chain can wait in all. A longer queue serves no more
 * work: with all of this time used, a third of the work admitted in a burst
 * ended late.
 */
constexpr double WaitFraction = 0.5;

/** The length of the longest path from each stage to the end, in stages. */
std::vector<int> LevelsToEnd(const StagePlan& plan)
{
  std::vector<int> levels(plan.stages.size(), 1);
  for (std::size_t i = plan.stages.size(); i-- > 0;) {
    for (const std::size_t before : plan.stages[i].after) {
      levels[before] = std::max(levels[before], levels[i] + 1);
    }
  }
  return levels;
}

/** A stage on a shorter branch is submitted together with the stages at the
 * same distance from the end.
 */
std::vector<double> EarliestStarts(const StagePlan& plan,
                                   absl::Span<const double> callSeconds)
{
  const std::vector<int> levels = LevelsToEnd(plan);
  const std::size_t count = plan.stages.size();
  std::vector<double> starts(count, 0.0);
  const int maxLevel = levels.empty() ? 0 : *absl::c_max_element(levels);
  for (int level = maxLevel - 1; level > 0; --level) {
    for (std::size_t i = 0; i < count; ++i) {
      for (std::size_t j = 0; levels[i] == level && j < count; ++j) {
        const bool isBefore =
          levels[j] > level && plan.stages[j].ownSeconds > 0.0;
        starts[i] = isBefore ? std::max(starts[i], starts[j] + callSeconds[j])
                             : starts[i];
      }
    }
  }
  return starts;
}

/** \return the latest start of each stage, in seconds; empty if a stage can't
 * start in time even without waits
 */
std::vector<double> LatestStarts(const StagePlan& plan,
                                 absl::Span<const double> callSeconds,
                                 double answerBy)
{
  const std::size_t count = plan.stages.size();
  const std::vector<double> earliest = EarliestStarts(plan, callSeconds);
  std::vector<double> finish(count, answerBy - plan.prefillSeconds);
  std::vector<double> starts(count, 0.0);
  for (std::size_t i = count; i-- > 0;) {
    const bool runs = plan.stages[i].ownSeconds > 0.0;
    starts[i] = finish[i] - (runs ? callSeconds[i] : 0.0);
    for (const std::size_t before : plan.stages[i].after) {
      finish[before] = std::min(finish[before], starts[i]);
    }
    if (runs && starts[i] < earliest[i]) {
      return {};
    }
  }
  for (std::size_t i = 0; i < count; ++i) {
    starts[i] = earliest[i] + WaitFraction * (starts[i] - earliest[i]);
  }
  return starts;
}

} // namespace

ChainWindows PlanChain(const StagePlan& plan,
                       absl::Span<const double> fullCalls,
                       const ChainLimits& limits)
{
  std::vector<double> ownCalls;
  for (const PlannedStage& stage : plan.stages) {
    ownCalls.push_back(stage.ownSeconds);
  }
  const std::vector<double> earliest = EarliestStarts(plan, ownCalls);
  const double toTarget =
    absl::ToDoubleSeconds(UsedFraction * limits.aim - limits.spent);
  std::vector<double> starts = LatestStarts(plan, fullCalls, toTarget);
  if (starts.empty()) {
    starts = LatestStarts(plan, ownCalls, toTarget);
  }
  std::vector<double> lateStarts;
  if (starts.empty() || limits.isRetry) {
    lateStarts = LatestStarts(
      plan, ownCalls, UsedFraction * absl::ToDoubleSeconds(limits.deadline));
  }
  ChainWindows windows;
  windows.isFeasible = !starts.empty() || !lateStarts.empty();
  for (std::size_t i = 0; i < plan.stages.size(); ++i) {
    StageWindow window;
    window.runs = plan.stages[i].ownSeconds > 0.0;
    window.earliest = absl::Seconds(earliest[i]);
    window.startBy = starts.empty() ? NoStart : absl::Seconds(starts[i]);
    window.lateStartBy =
      lateStarts.empty() ? NoStart : absl::Seconds(lateStarts[i]);
    windows.stages.push_back(window);
  }
  return windows;
}

ChainVerdict EvaluateChain(const ChainWindows& windows,
                           absl::Span<const PoolAnswer> answers)
{
  ChainVerdict verdict;
  verdict.admitted = windows.isFeasible;
  for (std::size_t i = 0; i < windows.stages.size(); ++i) {
    if (!windows.stages[i].runs) {
      continue;
    }
    if (answers[i].granted) {
      verdict.isLate |= answers[i].isLate;
      continue;
    }
    verdict.admitted = false;
    verdict.refusedBy =
      verdict.refusedBy < 0 ? static_cast<int>(i) : verdict.refusedBy;
    verdict.retry = std::max(verdict.retry, answers[i].retry);
  }
  return verdict;
}

PoolAnswer EstimateAnswer(const StageWindow& window,
                          absl::Duration reportedWait)
{
  PoolAnswer answer;
  answer.isOwnEstimate = true;
  answer.clear = reportedWait;
  answer.retry = reportedWait;
  const auto canWait = [&](absl::Duration startBy) {
    return startBy >= absl::ZeroDuration() &&
           reportedWait <=
             std::max(window.earliest, EstimateFraction * startBy);
  };
  answer.isLate = !canWait(window.startBy);
  answer.granted = !answer.isLate || canWait(window.lateStartBy);
  return answer;
}

} // namespace wg
