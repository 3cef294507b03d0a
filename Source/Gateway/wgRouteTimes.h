// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The longest that requests to a route have taken lately, from their
 * arrival to their end.
 */
struct RouteTime
{
  absl::Duration recent; // since `began`
  absl::Duration before; // in the window before that
  Elapsed began;         // of the window
  bool hasBefore = false;
};

/** \brief By route. */
using RouteTimes = absl::flat_hash_map<std::string, RouteTime>;

/** \brief Notes what a request has taken. */
void NoteRouteTime(RouteTime& time, absl::Duration took, Elapsed now);

/** \brief How long a request may take, by those that came lately; nothing
 * where the route has not been seen for long enough.
 */
std::optional<absl::Duration> ExpectedRouteTime(const RouteTime& time,
                                                Elapsed now);

/** \brief What a box that stops knows of a request that has come. */
struct LateRequest
{
  Elapsed now;
  Elapsed giveUp;  // it has been answered by then, whatever happens
  Elapsed stopBy;  // what is open by then is cut
  bool isSettling; // callers are still sent here
  std::optional<absl::Duration> expected;
};

/** \brief Whether a box that stops can answer a request before its end. Later
 * than callers are sent to it, it takes no more than what is certain.
 */
bool CanAnswerBeforeStop(const LateRequest& request);

} // namespace wg
