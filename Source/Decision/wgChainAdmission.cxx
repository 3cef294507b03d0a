// SPDX-License-Identifier: Apache-2.0
#include "wgChainAdmission.h"

#include <algorithm>

#include "absl/algorithm/container.h"

namespace wg {
namespace {

/** Of the aim and of the deadline: calls take up to a tenth longer than they
 * should where nothing is wrong.
 */
constexpr double UsedShare = 0.9;
constexpr double GuessShare = 0.5;
/** Of the time that a chain can wait in all. A queue serves no more for being
 * longer: with all of it the pools were kept so full that a third of what was
 * admitted in a burst ended late.
 */
constexpr double WaitShare = 0.5;

/** The number of stages from each to the end, one after the other. */
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

/** A stage on a shorter branch is submitted with those that are as far from
 * the end.
 */
std::vector<double> EarliestStarts(const StagePlan& plan,
                                   absl::Span<const double> callSeconds)
{
  const std::vector<int> levels = LevelsToEnd(plan);
  const std::size_t count = plan.stages.size();
  std::vector<double> starts(count, 0.0);
  const int most = levels.empty() ? 0 : *absl::c_max_element(levels);
  for (int level = most - 1; level > 0; --level) {
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

/** \return by when each stage should start, in seconds; empty if one can't
 * start in time even if nothing waits
 */
std::vector<double> LatestStarts(const StagePlan& plan,
                                 absl::Span<const double> callSeconds,
                                 double target)
{
  const std::size_t count = plan.stages.size();
  const std::vector<double> earliest = EarliestStarts(plan, callSeconds);
  std::vector<double> finish(count, target - plan.readSeconds);
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
    starts[i] = earliest[i] + WaitShare * (starts[i] - earliest[i]);
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
  const double toAim =
    absl::ToDoubleSeconds(UsedShare * limits.aim - limits.spent);
  std::vector<double> starts = LatestStarts(plan, fullCalls, toAim);
  if (starts.empty()) {
    starts = LatestStarts(plan, ownCalls, toAim);
  }
  std::vector<double> lateStarts;
  if (starts.empty() || limits.cameBack) {
    lateStarts = LatestStarts(
      plan, ownCalls, UsedShare * absl::ToDoubleSeconds(limits.deadline));
  }
  ChainWindows windows;
  windows.isPossible = !starts.empty() || !lateStarts.empty();
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

ChainVerdict JudgeChain(const ChainWindows& windows,
                        absl::Span<const PoolAnswer> answers)
{
  ChainVerdict verdict;
  verdict.admitted = windows.isPossible;
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

PoolAnswer GuessAnswer(const StageWindow& window, absl::Duration toldWait)
{
  PoolAnswer answer;
  answer.isOwnGuess = true;
  answer.clear = toldWait;
  answer.retry = toldWait;
  const auto bears = [&](absl::Duration startBy) {
    return startBy >= absl::ZeroDuration() &&
           toldWait <= std::max(window.earliest, GuessShare * startBy);
  };
  answer.isLate = !bears(window.startBy);
  answer.granted = !answer.isLate || bears(window.lateStartBy);
  return answer;
}

} // namespace wg
