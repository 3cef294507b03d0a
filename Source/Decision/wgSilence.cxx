// SPDX-License-Identifier: Apache-2.0
#include "wgSilence.h"

#include <algorithm>

namespace wg {
namespace {

/** The fraction of its caller's patience after which an answer is given up
 * although its endpoint may only stand still: the rest is for another one.
 */
constexpr double PatienceFraction = 0.5;
constexpr absl::Duration MinRecheck = absl::Milliseconds(20);

absl::Duration LongestSilence(const SilenceFacts& facts)
{
  return std::max(facts.expected, facts.patience * PatienceFraction);
}

} // namespace

SilenceVerdict EvaluateSilence(const SilenceFacts& facts)
{
  if (facts.silent < facts.expected) {
    return SilenceVerdict::Wait;
  }
  const bool isLost =
    facts.sign == LifeSign::Answers || facts.sign == LifeSign::Gone;
  if (isLost || facts.silent >= LongestSilence(facts)) {
    return SilenceVerdict::GoOn;
  }
  const bool isStale = facts.signAge >= facts.expected;
  return facts.sign == LifeSign::Unknown || isStale ? SilenceVerdict::Ask
                                                    : SilenceVerdict::Wait;
}

absl::Duration SilenceRecheck(const SilenceFacts& facts)
{
  if (facts.silent < facts.expected) {
    return std::max(facts.expected - facts.silent, MinRecheck);
  }
  const absl::Duration toAsk = facts.expected - facts.signAge;
  const absl::Duration toEnd = LongestSilence(facts) - facts.silent;
  const bool isOver = toEnd <= absl::ZeroDuration();
  return std::max(isOver ? facts.expected : std::min(toAsk, toEnd),
                  MinRecheck);
}

} // namespace wg
