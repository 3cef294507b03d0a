// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgRouteTimes.h"

TEST_CASE("A route's time is the longest of the last two windows")
{
  wg::RouteTime time;
  const wg::Elapsed start = absl::Hours(1);
  CHECK_FALSE(wg::ExpectedRouteTime(time, start));
  wg::NoteRouteTime(time, absl::Seconds(4), start);
  wg::NoteRouteTime(time, absl::Seconds(1), start + absl::Seconds(9));
  // Requests that take longer may not have ended yet.
  CHECK_FALSE(wg::ExpectedRouteTime(time, start + absl::Seconds(9)));
  wg::NoteRouteTime(time, absl::Seconds(2), start + absl::Seconds(11));
  CHECK(wg::ExpectedRouteTime(time, start + absl::Seconds(11)) ==
        absl::Seconds(6));
  wg::NoteRouteTime(time, absl::Milliseconds(100), start + absl::Seconds(22));
  CHECK(wg::ExpectedRouteTime(time, start + absl::Seconds(22)) ==
        absl::Seconds(3));
  wg::NoteRouteTime(time, absl::Milliseconds(100), start + absl::Seconds(33));
  CHECK(wg::ExpectedRouteTime(time, start + absl::Seconds(33)) ==
        absl::Milliseconds(350));
  CHECK_FALSE(wg::ExpectedRouteTime(time, start + absl::Seconds(53)));
  wg::NoteRouteTime(time, absl::Seconds(1), start + absl::Seconds(60));
  CHECK_FALSE(wg::ExpectedRouteTime(time, start + absl::Seconds(60)));
}

// A box took requests until a fixed second of its stop, whatever they take.
TEST_CASE("A box that stops takes what it can answer before its end")
{
  wg::LateRequest late;
  late.now = absl::Seconds(1);
  late.stopBy = absl::Seconds(7);
  late.isSettling = true;
  late.giveUp = absl::Seconds(7);
  CHECK(wg::CanAnswerBeforeStop(late));
  late.giveUp = absl::Seconds(8);
  CHECK_FALSE(wg::CanAnswerBeforeStop(late));
  late.expected = absl::Seconds(6);
  CHECK(wg::CanAnswerBeforeStop(late));
  late.expected = absl::Seconds(6) + absl::Milliseconds(1);
  CHECK_FALSE(wg::CanAnswerBeforeStop(late));
  late.expected = absl::Milliseconds(1);
  late.isSettling = false;
  CHECK_FALSE(wg::CanAnswerBeforeStop(late));
  late.giveUp = absl::Seconds(7);
  CHECK(wg::CanAnswerBeforeStop(late));
}
