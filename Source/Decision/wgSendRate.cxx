// SPDX-License-Identifier: Apache-2.0
#include "wgSendRate.h"

#include <algorithm>

namespace wg {
namespace {

/** The rate for endpoints with a lower limit, or a limit of 0: only an answer
 * shows that the limit has ended.
 */
constexpr double MinPerSecond = 0.1;
/** A bucket holds the tokens of this time, but at least one. */
constexpr double BurstSeconds = 0.1;
/** Allows for rounding errors when fractions add up to a whole token. */
constexpr double RoundingError = 1e-6;

double PerSecond(const SendRate& rate)
{
  return std::max(rate.perSecond, MinPerSecond) *
         (IsSettled(rate) ? SettledFraction : UnsettledFraction);
}

void Fill(SendBucket& bucket, double perSecond, Elapsed now)
{
  const double maxTokens = std::max(1.0, perSecond * BurstSeconds);
  const double since = absl::ToDoubleSeconds(now - bucket.filled);
  bucket.tokens = std::min(maxTokens, bucket.tokens + perSecond * since);
  bucket.filled = now;
}

} // namespace

bool TryTakeToken(SendBucket& bucket, const SendRate& rate, Elapsed now)
{
  Fill(bucket, PerSecond(rate), now);
  if (bucket.tokens < 1.0 - RoundingError) {
    return false;
  }
  bucket.tokens = std::max(0.0, bucket.tokens - 1.0);
  return true;
}

absl::Duration TimeUntilToken(SendBucket& bucket, const SendRate& rate,
                              Elapsed now)
{
  const double perSecond = PerSecond(rate);
  Fill(bucket, perSecond, now);
  const double missing = std::max(0.0, 1.0 - bucket.tokens);
  const absl::Duration wait = absl::Seconds(missing / perSecond);
  if (IsSettled(rate) || wait <= rate.untilSettled) {
    return wait;
  }
  const double before = perSecond * absl::ToDoubleSeconds(rate.untilSettled);
  return rate.untilSettled +
         absl::Seconds((missing - before) / PerSecond({ rate.perSecond }));
}

} // namespace wg
