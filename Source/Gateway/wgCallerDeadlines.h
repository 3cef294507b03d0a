// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgRouteTable.h"

namespace wg {

/** \brief The most time that callers of a route have left lately: what they
 * give a first try. Until that is known it is the route's time-out.
 */
struct CallerDeadline
{
  bool isKnown = false;
  absl::Duration longest = absl::ZeroDuration();
  Elapsed seen; // last
};

/** \brief By route. */
using CallerDeadlines = absl::flat_hash_map<std::string, CallerDeadline>;

/** \brief When the caller of a stream first sent it: one that leaves clearly
 * less time than others do has been refused before. A route's time-out alone
 * says nothing of its callers, and may be changed below them.
 * \param given the time until the caller's deadline, from its arrival
 */
Elapsed FirstTried(CallerDeadline& deadline, const Route& route,
                   Elapsed arrived, absl::Duration given);

} // namespace wg
