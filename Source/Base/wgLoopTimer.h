// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <chrono>

#include <boost/asio/basic_waitable_timer.hpp>

#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \class ElapsedClock
 * \brief ElapsedNow as a clock of the standard library.
 */
struct ElapsedClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ElapsedClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name
  static constexpr bool is_steady = true;

  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name
  static time_point now() noexcept
  {
    return time_point(absl::ToChronoNanoseconds(ElapsedNow()));
  }
};

namespace detail {

/** \brief How long a loop sleeps for its next timer: never long, as its sleep
 * goes on from where it was when the box was suspended.
 */
struct BoundedWait
{
  using Duration = ElapsedClock::duration;
  /** A timer that ended while the box was suspended ends so much after it
   * woke up at the latest; four wake-ups a second of a process at rest.
   */
  static constexpr Duration Longest = std::chrono::milliseconds(250);

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  static Duration to_wait_duration(const Duration& left)
  {
    return std::min(left, Longest);
  }
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  static Duration to_wait_duration(const ElapsedClock::time_point& end)
  {
    return to_wait_duration(end - ElapsedClock::now());
  }
};

} // namespace detail

/** \brief A timer of an event loop that counts the time for which its box was
 * suspended. Without it a request was held for that time beyond its deadline.
 */
using LoopTimer =
  boost::asio::basic_waitable_timer<ElapsedClock, detail::BoundedWait>;

} // namespace wg
