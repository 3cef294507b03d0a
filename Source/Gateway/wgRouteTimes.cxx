// SPDX-License-Identifier: Apache-2.0
#include "wgRouteTimes.h"

#include <algorithm>

namespace wg {
namespace {

constexpr absl::Duration Window = absl::Seconds(10);
/** The next request may take longer than any lately. */
constexpr double Reserve = 1.5;
constexpr absl::Duration LeastReserve = absl::Milliseconds(250);

} // namespace

void NoteRouteTime(RouteTime& time, absl::Duration took, Elapsed now)
{
  const bool isNew = time.began == Elapsed();
  if (isNew || now - time.began >= Window) {
    // Of a window in which nothing came nothing is known.
    time.hasBefore = !isNew && now - time.began < 2 * Window;
    time.before = time.hasBefore ? time.recent : absl::ZeroDuration();
    time.recent = absl::ZeroDuration();
    time.began = now;
  }
  time.recent = std::max(time.recent, took);
}

std::optional<absl::Duration> ExpectedRouteTime(const RouteTime& time,
                                                Elapsed now)
{
  if (!time.hasBefore || now - time.began >= 2 * Window) {
    return std::nullopt;
  }
  const absl::Duration longest = std::max(time.recent, time.before);
  return std::max(longest * Reserve, longest + LeastReserve);
}

bool CanAnswerBeforeStop(const LateRequest& request)
{
  if (request.giveUp <= request.stopBy) {
    return true;
  }
  return request.isSettling && request.expected &&
         request.now + *request.expected <= request.stopBy;
}

} // namespace wg
