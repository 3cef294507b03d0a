// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <deque>

#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief What a cold endpoint bears, from all boxes together: in any second
 * `perSecond * overrun + slack` requests. Above `perSecond` it falls behind.
 */
struct ColdBounds
{
  double perSecond = 0.0; // of the service; 0: its endpoints are never cold
  double overrun = 1.0;
  double slack = 0.0;
};

/** \brief How many requests the box that chooses for all may send to one
 * endpoint within RateWindow.
 */
struct SendRates
{
  double toCold = 0.0;
  /** One may have turned cold without having told of it yet; its next
   * heartbeat takes a second or so.
   */
  double toOthers = 0.0;
};

/** \brief While boxes disagree two of them may choose for the same endpoints:
 * what one sends to a cold one is at most half of what it bears. The slack is
 * left for requests that boxes send without asking, to endpoints that they
 * take to be warm.
 */
inline SendRates RatesOf(const ColdBounds& bounds)
{
  constexpr int boxesThatMayChoose = 2;
  const double borne = bounds.perSecond * bounds.overrun + bounds.slack;
  return { std::max(1.0,
                    std::min(bounds.perSecond, borne / boxesThatMayChoose)),
           std::max(1.0, bounds.perSecond * bounds.overrun) };
}

/** \brief The bound is on a second; the rest is for requests that are sent at
 * once and arrive one after the other, and for those that wait for an answer
 * before they are sent, at most 80 ms.
 */
constexpr absl::Duration RateWindow = absl::Milliseconds(1100);

/** \brief When one endpoint was sent requests lately. */
struct RecentSends
{
  std::deque<Elapsed> times;
};

/** \brief Whether one more stays within so many in a RateWindow. */
inline bool IsWithinRate(RecentSends& sends, double most, Elapsed now)
{
  while (!sends.times.empty() && now - sends.times.front() >= RateWindow) {
    sends.times.pop_front();
  }
  return static_cast<double>(sends.times.size()) + 1.0 <= most;
}

} // namespace wg
