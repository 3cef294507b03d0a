// SPDX-License-Identifier: Apache-2.0
#include "wgCallerDeadlines.h"

#include <algorithm>

namespace wg {
namespace {

/** A request with less of its time left than this has been refused before: a
 * first try has lost but its way here, a few milliseconds.
 */
constexpr double ComebackShare = 0.9;
/** Of a route that is in use first tries come more often, also while many come
 * back after a restart of all.
 */
constexpr absl::Duration DeadlineMemory = absl::Seconds(10);

} // namespace

Elapsed FirstTried(CallerDeadline& deadline, const Route& route,
                   Elapsed arrived, absl::Duration given)
{
  if (!route.isStream) {
    return arrived;
  }
  if (!deadline.isKnown) {
    // After a restart of all most requests have come back; a gateway would
    // take the first ones that it sees for first tries.
    deadline = { true, route.timeout, arrived };
  }
  // One caller's far deadline says nothing of others: beyond its route's
  // time-out no request is held.
  const absl::Duration useful = std::min(given, route.timeout);
  const absl::Duration usual = std::min(deadline.longest, route.timeout);
  const bool forgotten = arrived - deadline.seen > DeadlineMemory;
  if (forgotten || useful >= ComebackShare * usual) {
    deadline.longest = forgotten ? useful : std::max(usual, useful);
    deadline.seen = arrived;
    return arrived;
  }
  return arrived - (usual - useful);
}

} // namespace wg
