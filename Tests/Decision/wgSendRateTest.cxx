// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "wgSendRate.h"

namespace {

using wg::Elapsed;

constexpr Elapsed Start = absl::Seconds(50);
constexpr absl::Duration Step = absl::Milliseconds(1);
/** Unused tokens of two boxes, one each at small limits. */
constexpr double Burst = 2.0;
/** Unused tokens at large limits, in seconds of the limit. */
constexpr double BurstSeconds = 0.1;

/** Counts the requests of permanently backlogged boxes in a LimitWindow.
 * \param before idle time of the boxes before the window
 */
int SendInWindow(std::vector<wg::SendRate> rates, absl::Duration before)
{
  std::vector<wg::SendBucket> buckets(rates.size());
  for (wg::SendBucket& bucket : buckets) {
    bucket.filled = Start - before;
  }
  int sent = 0;
  for (Elapsed now = Start; now < Start + wg::LimitWindow; now += Step) {
    for (std::size_t i = 0; i < rates.size(); ++i) {
      sent += TryTakeToken(buckets[i], rates[i], now) ? 1 : 0;
    }
  }
  return sent;
}

} // namespace

TEST_CASE("Two boxes that grant the same limit stay within it")
{
  for (const double limit : { 0.0, 0.25, 1.0, 2.5, 10.0, 50.0, 400.0 }) {
    CAPTURE(limit);
    const double allowed =
      limit * (absl::ToDoubleSeconds(wg::LimitWindow) + BurstSeconds) + Burst;
    const wg::SendRate settled{ limit, absl::ZeroDuration() };
    const wg::SendRate other{ limit, absl::InfiniteDuration() };
    CHECK(SendInWindow({ settled, other }, absl::Hours(1)) <= allowed);
  }
}

TEST_CASE("A settled box grants its whole fraction of a limit")
{
  for (const double limit : { 0.25, 1.0, 2.5, 10.0, 50.0, 400.0 }) {
    CAPTURE(limit);
    const int sent =
      SendInWindow({ { limit, absl::ZeroDuration() } }, absl::ZeroDuration());
    CHECK(sent + 1 >= limit * wg::SettledFraction *
                        absl::ToDoubleSeconds(wg::LimitWindow));
  }
}

TEST_CASE("An endpoint with a limit of 0 still gets a request now and then")
{
  wg::SendBucket bucket;
  bucket.filled = Start;
  const wg::SendRate none{ 0.0, absl::ZeroDuration() };
  CHECK_FALSE(TryTakeToken(bucket, none, Start));
  const absl::Duration wait = TimeUntilToken(bucket, none, Start);
  CHECK(wait > absl::Seconds(1));
  CHECK(wait < absl::Minutes(1));
  CHECK(TryTakeToken(bucket, none, Start + wait));
}

TEST_CASE("Times that run backwards add no tokens")
{
  wg::SendBucket bucket;
  bucket.filled = Start;
  const wg::SendRate rate{ 1.0, absl::ZeroDuration() };
  CHECK_FALSE(TryTakeToken(bucket, rate, Start - absl::Hours(1)));
  CHECK_FALSE(TryTakeToken(bucket, rate, Start + absl::Milliseconds(10)));
}

TEST_CASE("A box that settles soon tells a wait at the rate it has before")
{
  // Callers were told 4 s, and their box asked for nothing all that time.
  for (const double limit : { 0.25, 1.0, 10.0 }) {
    const double slow = limit * wg::UnsettledFraction;
    const double fast = limit * wg::SettledFraction;
    for (const absl::Duration left :
         { absl::Milliseconds(20), absl::Milliseconds(300), absl::Seconds(2),
           absl::Seconds(4), absl::InfiniteDuration() }) {
      CAPTURE(limit, left);
      wg::SendBucket bucket;
      bucket.filled = Start;
      const absl::Duration wait =
        TimeUntilToken(bucket, { limit, left }, Start);
      const double before = slow * absl::ToDoubleSeconds(std::min(left, wait));
      const double after =
        fast * absl::ToDoubleSeconds(std::max(wait - left, absl::Duration()));
      CHECK(before + after == Approx(1.0));
      const Elapsed then = Start + wait;
      CHECK(TryTakeToken(bucket, { limit, left - wait }, then));
    }
  }
}
