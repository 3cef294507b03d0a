// SPDX-License-Identifier: Apache-2.0
// Single moves of a roll-out, and whole roll-outs in virtual time.
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgRolloutFleet.h"

namespace {

using wg::NextRolloutStep;
using wg::ReplicaView;
using wg::RolloutConfig;
using wg::RolloutMove;
using wg::RolloutProgress;
using wg::RolloutState;
using wg::RolloutStep;
using wg::RolloutTiming;
using wg::test::FleetPolicy;
using wg::test::FleetResult;
using wg::test::FleetSettings;
using wg::test::RunFleet;

ReplicaView Serving(const std::string& name, const std::string& version)
{
  return { name, false, true, true, false, version, 0 };
}

RolloutConfig ToVersion2(int minReady, const std::string& current = "")
{
  return { "llm", "v2", minReady, current, false };
}

RolloutStep Next(const RolloutConfig& rollout,
                 const std::vector<ReplicaView>& replicas,
                 double seconds = 100.0)
{
  RolloutProgress watch;
  watch.endpoint = rollout.current;
  watch.drainedAt = absl::ZeroDuration();
  return NextRolloutStep(rollout, replicas, watch, {}, absl::Seconds(seconds));
}

} // namespace

TEST_CASE("an endpoint that does not serve is updated first")
{
  ReplicaView drained = Serving("c", "v1");
  drained.drained = true;
  const RolloutStep step =
    Next(ToVersion2(2), { Serving("a", "v1"), Serving("b", "v1"), drained });
  CHECK(step.move == RolloutMove::Begin);
  CHECK(step.endpoint == "c");
}

TEST_CASE("a roll-out never leaves fewer endpoints ready than the minimum")
{
  ReplicaView unresponsive = Serving("c", "v1");
  unresponsive.answers = false;
  const RolloutStep step = Next(
    ToVersion2(2), { Serving("a", "v1"), Serving("b", "v1"), unresponsive });
  CHECK(step.move == RolloutMove::Wait);
  CHECK(step.state == RolloutState::TooFewReady);
}

TEST_CASE(
  "an order waits until no entry routes to the endpoint and it is idle")
{
  ReplicaView current = Serving("a", "v1");
  current.drained = true;
  CHECK(Next(ToVersion2(0, "a"), { current }, 1.9).state ==
        RolloutState::Draining);
  CHECK(Next(ToVersion2(0, "a"), { current }, 2.1).move == RolloutMove::Order);
  current.busy = 1;
  CHECK(Next(ToVersion2(0, "a"), { current }, 60).state ==
        RolloutState::Draining);
}

TEST_CASE("an order is repeated only after its retry period")
{
  ReplicaView current = Serving("a", "v1");
  current.drained = true;
  RolloutProgress watch;
  watch.endpoint = "a";
  watch.drainedAt = absl::ZeroDuration();
  const RolloutConfig rollout = ToVersion2(0, "a");
  const auto moveAt = [&](double seconds) {
    return NextRolloutStep(rollout, { current }, watch, {},
                           absl::Seconds(seconds))
      .move;
  };
  CHECK(moveAt(3.0) == RolloutMove::Order);
  CHECK(moveAt(7.9) == RolloutMove::Wait);
  CHECK(moveAt(8.1) == RolloutMove::Order);
}

TEST_CASE("an engine that hangs in a version is ordered to load another")
{
  ReplicaView current = Serving("a", "v1");
  current.drained = true;
  RolloutProgress watch;
  RolloutConfig rollout = ToVersion2(0, "a");
  const auto moveAt = [&](double seconds) {
    return NextRolloutStep(rollout, { current }, watch, {},
                           absl::Seconds(seconds))
      .move;
  };
  CHECK(moveAt(0.0) == RolloutMove::Wait);
  CHECK(moveAt(3.0) == RolloutMove::Order);
  current.ready = false;
  CHECK(moveAt(600.0) == RolloutMove::Wait);
  rollout.version = "v1";
  CHECK(moveAt(601.0) == RolloutMove::Order);
  CHECK(moveAt(602.0) == RolloutMove::Wait);
}

TEST_CASE("an endpoint returns to service once it is ready in the new version")
{
  ReplicaView current = Serving("a", "v2");
  current.drained = true;
  current.ready = false;
  CHECK(Next(ToVersion2(0, "a"), { current }).move != RolloutMove::End);
  current.ready = true;
  CHECK(Next(ToVersion2(0, "a"), { current }).move == RolloutMove::End);
}

TEST_CASE("a roll-out whose endpoints all run the version is done")
{
  const RolloutStep step =
    Next(ToVersion2(1), { Serving("a", "v2"), Serving("b", "v2") });
  CHECK(step.move == RolloutMove::Wait);
  CHECK(step.state == RolloutState::Done);
}

TEST_CASE(
  "orders need a lease, and without fence checks a wait until no order "
  "of an earlier leader can arrive")
{
  const wg::OrderAuthority right{ absl::Seconds(10), absl::Seconds(20) };
  CHECK(wg::MayOrder(right, true, absl::Seconds(10)));
  CHECK_FALSE(wg::MayOrder(right, true, absl::Seconds(20)));
  CHECK_FALSE(wg::MayOrder(right, false, absl::Seconds(12.9)));
  CHECK(wg::MayOrder(right, false, absl::Seconds(13)));
  CHECK_FALSE(wg::MayOrder(right, false, absl::Seconds(20)));
  CHECK_FALSE(wg::MayOrder({}, true, absl::Seconds(1)));
}

TEST_CASE(
  "whole roll-outs drain one endpoint at a time and stop at a bad version")
{
  FleetSettings settings;
  const FleetResult good = RunFleet(FleetPolicy::OneByOne, settings);
  CHECK(good.finished);
  CHECK(good.minServing == settings.replicas - 1);
  settings.loadFails = true;
  const FleetResult bad = RunFleet(FleetPolicy::OneByOne, settings);
  CHECK_FALSE(bad.finished);
  CHECK(bad.lost == 1);
  CHECK(RunFleet(FleetPolicy::Batches, settings).lost == settings.batch);
}

TEST_CASE(
  "a roll-out can keep all serving endpoints ready if another one is idle")
{
  FleetSettings settings;
  settings.notServing = 1;
  settings.minReady = settings.replicas - 1;
  CHECK(RunFleet(FleetPolicy::OneByOne, settings).finished);
  CHECK_FALSE(RunFleet(FleetPolicy::ByName, settings).finished);
}
