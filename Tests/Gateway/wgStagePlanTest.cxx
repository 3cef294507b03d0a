// SPDX-License-Identifier: Apache-2.0
#include <vector>

#include <catch2/catch.hpp>

#include "wgStagePlan.h"

namespace {

/** Two first stages; two more follow one of them. */
wg::StagePlan Plan()
{
  wg::StagePlan plan;
  plan.stages = { { {}, 0.2 }, { {}, 0.1 }, { { 1 }, 0.3 }, { { 2 }, 0.25 } };
  plan.prefillSeconds = 0.05;
  return plan;
}

const std::vector<double> NoWaits(4, 0.0);

} // namespace

TEST_CASE("The longest path of stages decides when an answer begins")
{
  CHECK(wg::ExpectedSeconds(Plan(), NoWaits) == Approx(0.7));
  CHECK(wg::ExpectedSeconds(Plan(), { 0.6, 0.0, 0.0, 0.0 }) == Approx(0.85));
  CHECK(wg::ExpectedSeconds(Plan(), { 0.0, 0.1, 0.1, 0.1 }) == Approx(1.0));
}

TEST_CASE("A skipped stage takes no time and waits for none")
{
  wg::StagePlan plan = Plan();
  plan.stages[2].ownSeconds = 0.0;
  CHECK(wg::ExpectedSeconds(plan, { 0.0, 0.0, 9.0, 0.0 }) == Approx(0.4));
  CHECK(wg::SecondsAfter(plan, 1) == Approx(0.3));
}

TEST_CASE("The time after a stage lasts until the answer begins")
{
  CHECK(wg::SecondsAfter(Plan(), 0) == Approx(0.05));
  CHECK(wg::SecondsAfter(Plan(), 1) == Approx(0.6));
  CHECK(wg::SecondsAfter(Plan(), 3) == Approx(0.05));
}

TEST_CASE("A request is refused if it is expected to use most of its target")
{
  const absl::Duration target = absl::Seconds(1);
  CHECK_FALSE(wg::IsRefused(0.74, target));
  CHECK(wg::IsRefused(0.76, target));
}

TEST_CASE("A first stage may wait for the rest of the latency target")
{
  const absl::Duration target = absl::Seconds(2);
  CHECK(wg::MaxFirstWait(target, absl::Milliseconds(100), 0.7) ==
        absl::Milliseconds(700));
  // Never zero, which would mean no limit.
  CHECK(wg::MaxFirstWait(target, absl::Seconds(2), 0.7) ==
        absl::Milliseconds(1));
}
