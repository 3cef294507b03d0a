// SPDX-License-Identifier: Apache-2.0
#include "wgConnectionIntake.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

constexpr double LeastRate = 1.0; // connections a second

double PerSecond(const ConnectionIntake& intake, int inWindow)
{
  return inWindow / absl::ToDoubleSeconds(intake.rules.window);
}

bool IsSurgeOf(const ConnectionIntake& intake, int inWindow)
{
  return inWindow >= intake.rules.fewestInSurge &&
         PerSecond(intake, inWindow) > intake.rules.surge * intake.usual;
}

bool IsLearning(const ConnectionIntake& intake, Elapsed now)
{
  return now - intake.begun < intake.rules.learnFor;
}

/** The mean over all windows at first, later a moving one. */
void LearnWindow(ConnectionIntake& intake, int inWindow, Elapsed now)
{
  const IntakeRules& rules = intake.rules;
  if (!IsLearning(intake, now) && IsSurgeOf(intake, inWindow)) {
    return;
  }
  const absl::Duration seen =
    std::max(now - intake.begun, rules.window); // of which this is the last
  const double weight =
    absl::FDivDuration(rules.window, std::min(seen, rules.usualOver));
  intake.usual += weight * (PerSecond(intake, inWindow) - intake.usual);
}

/** Ends the windows that are over; most servers' windows are empty. */
void AdvanceWindows(ConnectionIntake& intake, Elapsed now)
{
  const absl::Duration window = intake.rules.window;
  if (now - intake.windowStart < window) {
    return;
  }
  LearnWindow(intake, intake.inWindow, intake.windowStart + window);
  intake.inFormerWindow = intake.inWindow;
  intake.inWindow = 0;
  intake.windowStart += window;
  const auto empty = static_cast<double>((now - intake.windowStart) / window);
  if (empty >= 1.0) {
    intake.inFormerWindow = 0;
    intake.usual *= std::pow(
      1.0 - absl::FDivDuration(window, intake.rules.usualOver), empty);
    intake.windowStart += empty * window;
  }
}

double ObservedRate(const ConnectionIntake& intake)
{
  return PerSecond(intake, std::max(intake.inWindow, intake.inFormerWindow));
}

} // namespace

bool IsSurge(ConnectionIntake& intake, Elapsed now)
{
  AdvanceWindows(intake, now);
  return !IsLearning(intake, now) &&
         IsSurgeOf(intake, std::max(intake.inWindow, intake.inFormerWindow));
}

void NoteLag(ConnectionIntake& intake, absl::Duration lag, Elapsed now)
{
  const IntakeRules& rules = intake.rules;
  if (!IsSurge(intake, now)) {
    intake.isLimited = false;
    return;
  }
  const bool isBehind = lag > rules.lagBound;
  if (!intake.isLimited && isBehind) {
    intake.isLimited = true;
    intake.rate = ObservedRate(intake);
    intake.tokens = 0.0;
    intake.filled = now;
  } else if (!intake.isLimited || now - intake.stepped < rules.step) {
    return;
  }
  intake.stepped = now;
  const double factor =
    isBehind ? std::clamp(absl::FDivDuration(rules.lagBound, lag),
                          rules.fastestDecrease, rules.slowestDecrease)
             : rules.increase;
  intake.rate = std::max({ intake.rate * factor, intake.usual, LeastRate });
}

bool TryTakeConnection(ConnectionIntake& intake, Elapsed now)
{
  if (intake.begun == absl::InfiniteDuration()) {
    intake.begun = now;
    intake.windowStart = now;
  }
  AdvanceWindows(intake, now);
  ++intake.inWindow;
  if (!intake.isLimited) {
    return true;
  }
  const double most =
    std::max(1.0, intake.rate * absl::ToDoubleSeconds(intake.rules.step));
  intake.tokens += intake.rate * absl::ToDoubleSeconds(now - intake.filled);
  intake.tokens = std::min(intake.tokens, most);
  intake.filled = now;
  if (intake.tokens < 1.0) {
    return false;
  }
  intake.tokens -= 1.0;
  return true;
}

} // namespace wg
