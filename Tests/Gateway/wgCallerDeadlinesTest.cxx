// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgCallerDeadlines.h"

namespace {

const wg::Elapsed Start = absl::Seconds(10);

wg::Route Stream(absl::Duration timeout)
{
  wg::Route route;
  route.name = "stream";
  route.isStream = true;
  route.timeout = timeout;
  return route;
}

/** How long before its arrival a request was first sent. */
absl::Duration Before(wg::CallerDeadline& deadline, const wg::Route& route,
                      absl::Duration given, wg::Elapsed arrived = Start)
{
  return arrived - wg::FirstTried(deadline, route, arrived, given);
}

} // namespace

TEST_CASE("A stream with clearly less time than others has come back")
{
  const wg::Route route = Stream(absl::Seconds(6));
  wg::CallerDeadline deadline;
  CHECK(Before(deadline, route, absl::Seconds(6)) == absl::ZeroDuration());
  // Sent a moment ago, or by a caller that is a little less patient.
  CHECK(Before(deadline, route, absl::Milliseconds(5600)) ==
        absl::ZeroDuration());
  CHECK(Before(deadline, route, absl::Milliseconds(4200)) ==
        absl::Milliseconds(1800));
  CHECK(Before(deadline, route, absl::InfiniteDuration()) ==
        absl::ZeroDuration());
}

TEST_CASE("Callers' deadlines below their route's time-out are first tries")
{
  // Taken for comebacks, they went behind others and were not refused for
  // what they were expected to take.
  const wg::Route route = Stream(absl::Seconds(12));
  wg::CallerDeadline deadline;
  wg::Elapsed now = Start;
  for (int second = 0; second < 20; ++second, now += absl::Seconds(1)) {
    const absl::Duration before =
      Before(deadline, route, absl::Seconds(6), now);
    CHECK(before == (second <= 10 ? absl::Seconds(6) : absl::ZeroDuration()));
  }
  CHECK(Before(deadline, route, absl::Seconds(5), now) == absl::Seconds(1));
  // A changed time-out changes no caller.
  const wg::Route longer = Stream(absl::Seconds(24));
  CHECK(Before(deadline, longer, absl::Seconds(6), now) ==
        absl::ZeroDuration());
  const wg::Route shorter = Stream(absl::Seconds(3));
  CHECK(Before(deadline, shorter, absl::Seconds(6), now) ==
        absl::ZeroDuration());
}

TEST_CASE("Right after a restart those that come back are known as such")
{
  const wg::Route route = Stream(absl::Seconds(6));
  wg::CallerDeadline deadline;
  CHECK(Before(deadline, route, absl::Seconds(4)) == absl::Seconds(2));
  CHECK(Before(deadline, route, absl::Seconds(6)) == absl::ZeroDuration());
}

TEST_CASE("One caller's far deadline does not make others come back")
{
  const wg::Route route = Stream(absl::Seconds(6));
  wg::CallerDeadline deadline;
  CHECK(Before(deadline, route, absl::Minutes(5)) == absl::ZeroDuration());
  CHECK(Before(deadline, route, absl::Seconds(6)) == absl::ZeroDuration());
  CHECK(Before(deadline, route, absl::Milliseconds(5500)) ==
        absl::ZeroDuration());
}

TEST_CASE("A deadline that none gives any more is forgotten")
{
  const wg::Route route = Stream(absl::Seconds(10));
  wg::CallerDeadline deadline;
  CHECK(Before(deadline, route, absl::Seconds(10)) == absl::ZeroDuration());
  const wg::Elapsed soon = Start + absl::Seconds(9);
  CHECK(Before(deadline, route, absl::Seconds(5), soon) == absl::Seconds(5));
  const wg::Elapsed later = Start + absl::Seconds(11);
  CHECK(Before(deadline, route, absl::Seconds(5), later) ==
        absl::ZeroDuration());
  CHECK(Before(deadline, route, absl::Seconds(10), later) ==
        absl::ZeroDuration());
}

TEST_CASE("Of requests that are no streams nothing is known")
{
  wg::Route route = Stream(absl::Seconds(6));
  route.isStream = false;
  wg::CallerDeadline deadline;
  CHECK(Before(deadline, route, absl::Seconds(6)) == absl::ZeroDuration());
  CHECK(Before(deadline, route, absl::Seconds(1)) == absl::ZeroDuration());
}

TEST_CASE("Routes that are gone are forgotten")
{
  wg::CallerDeadlines deadlines;
  deadlines["stream"];
  deadlines["gone"];
  wg::RouteTable table;
  table.routes = { Stream(absl::Seconds(6)) };
  wg::ForgetRoutes(deadlines, table);
  CHECK(deadlines.size() == 1);
  CHECK(deadlines.contains("stream"));
}
