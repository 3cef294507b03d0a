// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief A token bucket of the requests that all boxes together may send to
 * an endpoint with a rate limit.
 */
struct SendBucket
{
  double tokens = 0.0; // requests
  Elapsed filled;      // time of the last refill
};

/** \brief The rate at which a bucket is refilled. */
struct SendRate
{
  double perSecond = 0.0; // limit of the endpoint
  /** Time until this box has granted the permits of all boxes for LimitWindow,
   * so that no other box still grants any; infinite if another box does.
   */
  absl::Duration untilSettled = absl::ZeroDuration();
};

inline bool IsSettled(const SendRate& rate)
{
  return rate.untilSettled <= absl::ZeroDuration();
}

/** \brief Windows of this length stay within an endpoint's limit. */
constexpr absl::Duration LimitWindow = absl::Seconds(4);

/** \brief The fractions of the limit that a settled and an unsettled box
 * grant. While the coordinator changes, two boxes together stay within the
 * limit.
 */
constexpr double SettledFraction = 0.75;
constexpr double UnsettledFraction = 1.0 - SettledFraction;

/** \brief Removes one token and returns true, or returns false if there is
 * none.
 */
bool TryTakeToken(SendBucket& bucket, const SendRate& rate, Elapsed now);

/** \brief Returns the time until the bucket holds a token, faster once the
 * box is settled.
 */
absl::Duration TimeUntilToken(SendBucket& bucket, const SendRate& rate,
                              Elapsed now);

} // namespace wg
