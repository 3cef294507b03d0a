// SPDX-License-Identifier: Apache-2.0
#include "wgAdmission.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace wg {
namespace {

constexpr absl::Duration MinRetryAfter = absl::Milliseconds(200);
constexpr absl::Duration NoEndpointRetryAfter = absl::Seconds(2);
/** Burst allowance of an account, in seconds of its rate. */
constexpr double BurstSeconds = 1.0;
/** Fraction of the largest spread of a stage that is added as a margin. */
constexpr double SpreadMargin = 0.3;

double LargestSpread(absl::Span<const StageEstimate> stages)
{
  double largest = 0.0;
  for (const StageEstimate& stage : stages) {
    largest = std::max(largest, stage.spreadSeconds);
  }
  return largest;
}

} // namespace

double ExpectedRequestSeconds(absl::Span<const StageEstimate> stages)
{
  double at = 0.0;
  for (const StageEstimate& stage : stages) {
    const double slots = std::max(stage.slots, 0.1);
    const double drainSeconds = stage.ahead * stage.serviceSeconds / slots;
    // The stages ahead are served while the request passes its earlier
    // stages. A slot becomes free when all but `slots` of them are done.
    const double start = std::max(at, drainSeconds - stage.serviceSeconds);
    at = start + stage.serviceSeconds;
  }
  return at;
}

double ServiceSeconds(absl::Span<const StageEstimate> stages)
{
  double sum = 0.0;
  for (const StageEstimate& stage : stages) {
    sum += stage.serviceSeconds;
  }
  return sum;
}

Admission AdmitByDeadline(absl::Span<const StageEstimate> stages,
                          absl::Duration timeLeft, absl::BitGenRef random)
{
  for (const StageEstimate& stage : stages) {
    if (!stage.anyEndpoint) {
      return { Reason::NoEndpoint,
               JitteredRetryAfter(NoEndpointRetryAfter, random), 0.0 };
    }
  }
  const double finish =
    ExpectedRequestSeconds(stages) + SpreadMargin * LargestSpread(stages);
  const absl::Duration over = absl::Seconds(finish) - timeLeft;
  if (over <= absl::ZeroDuration()) {
    return { Reason::None, absl::ZeroDuration(), finish };
  }
  return { Reason::DeadlineUnreachable, JitteredRetryAfter(over, random),
           finish };
}

Admission AdmitByLimits(AccountUse& use, const AccountLimits& limits,
                        Elapsed now, absl::BitGenRef random)
{
  const int running = use.running + limits.runningElsewhere;
  if (limits.concurrency > 0 && running >= limits.concurrency) {
    return { Reason::AccountConcurrency,
             JitteredRetryAfter(MinRetryAfter, random), 0.0 };
  }
  if (limits.ratePerSecond > 0) {
    const double rate = limits.ratePerSecond / std::max(1, limits.boxes);
    const double cap = std::max(1.0, rate * BurstSeconds);
    const double gained = absl::ToDoubleSeconds(now - use.lastRefill) * rate;
    use.tokens = std::min(cap, use.tokens + gained);
    use.lastRefill = now;
    if (use.tokens < 1.0) {
      return { Reason::AccountRate,
               JitteredRetryAfter(absl::Seconds((1.0 - use.tokens) / rate),
                                  random),
               0.0 };
    }
    use.tokens -= 1.0;
  }
  ++use.running;
  return {};
}

absl::Duration JitteredRetryAfter(absl::Duration minimum,
                                  absl::BitGenRef random)
{
  const absl::Duration base = std::max(minimum, MinRetryAfter);
  return base + base * absl::Uniform(random, 0.0, 1.0);
}

} // namespace wg
