// SPDX-License-Identifier: Apache-2.0
// New connections of a server that can't serve them all, in virtual time.
#include <algorithm>

#include <catch2/catch.hpp>

#include "wgConnectionIntake.h"

using wg::ConnectionIntake;
using wg::Elapsed;

namespace {

const Elapsed Start = absl::Hours(100);
const absl::Duration Tick = absl::Milliseconds(10);
constexpr double UsualRate = 10.0; // connections a second
constexpr double Capacity = 100.0; // requests a second

/** A server with a queue of requests, one of each connection. */
struct Server
{
  /** \param perSecond connections that come */
  void Run(absl::Duration time, double perSecond)
  {
    taken = 0;
    came = 0;
    longestWait = absl::ZeroDuration();
    for (const Elapsed until = now + time; now < until; now += Tick) {
      due += perSecond * absl::ToDoubleSeconds(Tick);
      for (; due >= 1.0; due -= 1.0) {
        ++came;
        if (TryTakeConnection(intake, now)) {
          ++taken;
          queue += 1.0;
        }
      }
      queue = std::max(0.0, queue - Capacity * absl::ToDoubleSeconds(Tick));
      const absl::Duration wait = absl::Seconds(queue / Capacity);
      longestWait = std::max(longestWait, wait);
      NoteLag(intake, wait, now);
    }
  }

  ConnectionIntake intake;
  Elapsed now = Start;
  double due = 0.0;
  double queue = 0.0;
  int taken = 0;
  int came = 0;
  absl::Duration longestWait;
};

} // namespace

TEST_CASE("A surge is taken as far as it can be served")
{
  Server server;
  server.Run(absl::Seconds(20), UsualRate);
  CHECK(server.taken == server.came);
  server.Run(absl::Seconds(3), 8 * Capacity);
  CHECK(server.intake.isLimited);
  server.Run(absl::Seconds(10), 8 * Capacity);
  CHECK(server.longestWait < absl::Milliseconds(600));
  CHECK(server.taken > 0.7 * Capacity * 10);
  // Then the other boxes have it again.
  server.Run(absl::Seconds(2), UsualRate);
  CHECK_FALSE(server.intake.isLimited);
  server.Run(absl::Seconds(10), UsualRate);
  CHECK(server.taken == server.came);
}

TEST_CASE("A surge that can be served is taken whole")
{
  Server server;
  server.Run(absl::Seconds(20), UsualRate);
  server.Run(absl::Seconds(20), 0.9 * Capacity);
  CHECK(server.taken == server.came);
}

TEST_CASE("A server that is behind takes what it usually does")
{
  Server server;
  server.Run(absl::Seconds(20), UsualRate);
  server.queue = 100 * Capacity;
  server.Run(absl::Seconds(5), 2 * UsualRate);
  CHECK(server.taken == server.came);
}

TEST_CASE("The usual rate is taken even while a surge is not served")
{
  Server server;
  server.Run(absl::Seconds(20), UsualRate);
  server.queue = 1000 * Capacity;
  server.Run(absl::Seconds(3), 8 * Capacity);
  server.Run(absl::Seconds(10), 8 * Capacity);
  CHECK(server.taken >= 0.9 * UsualRate * 10);
  CHECK(server.taken <= 1.1 * UsualRate * 10);
}

TEST_CASE("A process that has just started takes all that comes")
{
  Server server;
  server.Run(absl::Seconds(4), 8 * Capacity);
  CHECK(server.taken == server.came);
}

TEST_CASE("A server without connections for hours learns the usual rate anew")
{
  Server server;
  server.Run(absl::Seconds(20), UsualRate);
  server.now += absl::Hours(5);
  CHECK_FALSE(IsSurge(server.intake, server.now));
  CHECK(server.intake.usual < 0.01);
}
