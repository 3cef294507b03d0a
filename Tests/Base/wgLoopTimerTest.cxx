// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <chrono>
#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "wgElapsed.h"
#include "wgLoopTimer.h"

namespace {

/** For how long the box was suspended, in seconds. */
std::atomic<int> SuspendedSeconds{ 0 };

} // namespace

/** As the kernel does: of the clocks that no one sets, the one since the start
 * of the box counts the time for which it was suspended.
 */
extern "C" int clock_gettime(clockid_t clock, timespec* now)
{
  const long result = syscall(SYS_clock_gettime, clock, now);
  if (clock == CLOCK_BOOTTIME) {
    now->tv_sec += SuspendedSeconds;
  }
  return static_cast<int>(result);
}

TEST_CASE("Time goes on while a box is suspended", "[elapsed]")
{
  // A control box led, was suspended for longer than its lease, and another
  // one led; by the monotonic clock it held its lease still.
  const wg::Elapsed before = wg::ElapsedNow();
  SuspendedSeconds = 7;
  CHECK(wg::ElapsedNow() - before >= absl::Seconds(7));
  SuspendedSeconds = 0;
}

TEST_CASE("A timer that ended while its box was suspended ends at once",
          "[elapsed]")
{
  // The loop sleeps until the timer ends by a clock that stands still
  // meanwhile: a request was to be given up after 10 s, of which 9.9 s had
  // gone by in suspension.
  boost::asio::io_context loop;
  wg::LoopTimer deadline(loop, std::chrono::seconds(10));
  bool ended = false;
  deadline.async_wait(
    [&ended](boost::system::error_code error) { ended = !error; });
  loop.run_for(std::chrono::milliseconds(50));
  REQUIRE_FALSE(ended);
  SuspendedSeconds = 11;
  loop.run_for(std::chrono::milliseconds(1000));
  CHECK(ended);
  SuspendedSeconds = 0;
}
