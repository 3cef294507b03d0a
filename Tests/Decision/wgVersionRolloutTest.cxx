// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgServiceState.h"
#include "wgVersionConductor.h"
#include "wgVersionRollout.h"

namespace {

using Rollout = wg::wire::VersionRollout;

wg::wire::OrderVersion MakeOrder(const std::string& version,
                                 std::uint64_t seen,
                                 std::int64_t durationMs = 12000)
{
  wg::wire::OrderVersion order;
  order.set_service("svc");
  order.set_version(version);
  order.set_duration_ms(durationMs);
  order.set_seen(seen);
  return order;
}

wg::wire::MoveVersion MakeMove(std::uint64_t number, wg::VersionState state,
                               std::uint32_t permille)
{
  wg::wire::MoveVersion move;
  move.set_service("svc");
  move.set_number(number);
  move.set_state(state);
  move.set_permille(permille);
  return move;
}

/** The faults of a version. */
struct Faults
{
  double failing = 0.0; // fraction of its answers
  double slower = 0.0; // fraction of its answers that takes five times as long
  double from = 0.0;   // fraction of the duration after which they begin
  int route = -1;      // the only affected one; below 0: all
};

/** What all versions have in common. */
struct Environment
{
  double failing = 0.0; // fraction of all answers
  double stalled = 0.0; // fraction that takes forty times as long
};

/** The result of a simulated roll-out. */
struct Outcome
{
  wg::VersionState state = Rollout::UNSPECIFIED;
  absl::Duration endedAfter; // since the order
  int all = 0;               // requests until the deadline
  int target = 0;
  int bad = 0; // bad answers of the version
  absl::Duration fiftiethBad = absl::InfiniteDuration();
  absl::Duration lastSent; // last request to the version while in progress
};

/** Simulates requests of many boxes that report their tallies to a control box
 * once a second.
 */
Outcome Simulate(const Faults& faults, double durationSeconds,
                 double perSecond, const Environment& environment,
                 std::uint64_t seed)
{
  constexpr int boxes = 50;
  constexpr int routes = 3;
  std::mt19937_64 random(seed);
  const auto draw = [&random] {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
  };
  wg::VersionRollouts rollouts;
  wg::ApplyVersionOrder(
    rollouts,
    MakeOrder("v2", 0, static_cast<std::int64_t>(durationSeconds * 1000.0)));
  wg::VersionConductor conductor;
  std::vector<wg::VersionEvidences> seen(boxes);
  for (auto& box : seen) {
    for (int route = 0; route < routes; ++route) {
      box.Add()->set_route(absl::StrCat("r", route));
    }
  }
  Outcome outcome;
  const auto steps = static_cast<int>(durationSeconds * perSecond * 1.05);
  for (int i = 0; i < steps; ++i) {
    const absl::Duration now = absl::Seconds(i / perSecond);
    const bool isBefore = now < absl::Seconds(durationSeconds);
    const wg::VersionRollout& rollout =
      wg::FindVersionRollout(rollouts, "svc");
    const bool isTarget =
      wg::GoesToVersion(rollout, absl::StrCat("request", seed, "-", i));
    const int route = i % routes;
    const int box = static_cast<int>(draw() * boxes);
    const bool isFaulty =
      isTarget && now >= faults.from * absl::Seconds(durationSeconds) &&
      (faults.route < 0 || faults.route == route);
    const bool fails =
      draw() < environment.failing || (isFaulty && draw() < faults.failing);
    const bool isSlow = isFaulty && draw() < faults.slower;
    const bool isStalled =
      environment.stalled > 0.0 && draw() < environment.stalled;
    const double took =
      (0.05 + 0.05 * draw()) * (isSlow ? 5.0 : 1.0) * (isStalled ? 40.0 : 1.0);
    if (isBefore) {
      ++outcome.all;
      outcome.target += isTarget ? 1 : 0;
    }
    if (isTarget && rollout.state == Rollout::IN_PROGRESS) {
      outcome.lastSent = now;
    }
    if (isTarget && isFaulty && (fails || isSlow) && ++outcome.bad == 50) {
      outcome.fiftiethBad = now;
    }
    wg::wire::VersionEvidence& evidence =
      *seen[static_cast<std::size_t>(box)].Mutable(route);
    wg::wire::VersionTally& tally =
      isTarget ? *evidence.mutable_target() : *evidence.mutable_others();
    tally.set_answers(tally.answers() + 1);
    tally.set_bad(tally.bad() + (fails ? 1 : 0));
    tally.set_late(tally.late() + (!fails && took > 0.2 ? 1 : 0));
    tally.set_seconds(tally.seconds() + (fails ? 0.0 : took));
    tally.set_square_seconds(tally.square_seconds() +
                             (fails ? 0.0 : took * took));
    // Each box reports once a second, at its own moment.
    const int reporting =
      static_cast<int>(static_cast<double>(i) / perSecond * boxes) % boxes;
    auto& report = seen[static_cast<std::size_t>(reporting)];
    for (wg::wire::VersionEvidence& one : report) {
      one.set_box(absl::StrCat("b", reporting));
      one.set_service("svc");
      one.set_number(rollout.number);
    }
    wg::TakeEvidence(conductor, rollouts, report);
    for (const wg::wire::MoveVersion& move :
         wg::NextMoves(conductor, rollouts, absl::Seconds(100) + now)) {
      wg::ApplyVersionMove(rollouts, move);
    }
    const wg::VersionRollout& after = wg::FindVersionRollout(rollouts, "svc");
    if (!wg::IsInProgress(after) && outcome.state == Rollout::UNSPECIFIED) {
      outcome.state = after.state;
      outcome.endedAfter = now;
    }
  }
  return outcome;
}

constexpr double ExposureFraction = 0.1;
constexpr int ExposureSlack = 50;

} // namespace

TEST_CASE("An order is applied once, and a late copy changes nothing")
{
  wg::VersionRollouts rollouts;
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0)) ==
        wg::VersionOrderResult::Applied);
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0)) ==
        wg::VersionOrderResult::InProgress);
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v3", 1)) ==
        wg::VersionOrderResult::InProgress);
  wg::ApplyVersionMove(rollouts, MakeMove(1, Rollout::ROLLED_BACK, 0));
  // A copy of the order that reaches the leader late.
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0)) ==
        wg::VersionOrderResult::Superseded);
  CHECK(wg::FindVersionRollout(rollouts, "svc").state == Rollout::ROLLED_BACK);
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 1)) ==
        wg::VersionOrderResult::Applied);
  CHECK(wg::FindVersionRollout(rollouts, "svc").number == 2);
}

TEST_CASE("An order without a service, version or duration is refused")
{
  wg::VersionRollouts rollouts;
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("", 0)) ==
        wg::VersionOrderResult::Refused);
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0, 0)) ==
        wg::VersionOrderResult::Refused);
  CHECK(wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0, -5)) ==
        wg::VersionOrderResult::Refused);
  wg::wire::OrderVersion order = MakeOrder("v2", 0);
  order.set_service("");
  CHECK(wg::ApplyVersionOrder(rollouts, order) ==
        wg::VersionOrderResult::Refused);
  CHECK(rollouts.newest == 0);
}

TEST_CASE("A late decision does not change an order that has ended")
{
  wg::VersionRollouts rollouts;
  wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0));
  wg::ApplyVersionMove(rollouts, MakeMove(1, Rollout::ROLLED_BACK, 0));
  wg::ApplyVersionMove(rollouts, MakeMove(1, Rollout::COMPLETED, 1000));
  CHECK(wg::FindVersionRollout(rollouts, "svc").state == Rollout::ROLLED_BACK);
  wg::ApplyVersionOrder(rollouts, MakeOrder("v3", 1));
  wg::ApplyVersionMove(rollouts, MakeMove(1, Rollout::COMPLETED, 1000));
  CHECK(wg::IsInProgress(wg::FindVersionRollout(rollouts, "svc")));
}

TEST_CASE("Orders are saved and loaded with the state")
{
  wg::ServiceState state;
  wg::wire::Change change;
  *change.mutable_order_version() = MakeOrder("v2", 0);
  CHECK(wg::LevelOf(change) == wg::ChangeLevel::VersionRollouts);
  CHECK(wg::ApplyChange(state, change).verdict() ==
        wg::wire::ChangeResult::ACCEPTED);
  const wg::wire::ChangeResult again = wg::ApplyChange(state, change);
  CHECK(again.verdict() == wg::wire::ChangeResult::REJECTED);
  CHECK(again.under_way());
  const auto loaded = wg::LoadState(wg::SaveState(state));
  REQUIRE(wg::Succeeded(loaded));
  const wg::VersionRollout& kept =
    wg::FindVersionRollout(wg::Value(loaded).rollouts, "svc");
  CHECK(kept.version == "v2");
  CHECK(kept.number == 1);
  CHECK(kept.duration == absl::Seconds(12));
  CHECK(wg::IsInProgress(kept));
}

TEST_CASE("A good version is completed by its deadline, even while a tenth of "
          "all answers fails")
{
  const double fault = GENERATE(0.0, 0.1);
  const double seconds = GENERATE(12.0, 20.0, 40.0);
  const int seed = GENERATE(range(1, 41));
  CAPTURE(fault, seconds, seed);
  const Outcome outcome = Simulate({}, seconds, 300.0, { fault, 0.0 },
                                   static_cast<std::uint64_t>(seed));
  CHECK(outcome.state == Rollout::COMPLETED);
  CHECK(outcome.endedAfter < absl::Seconds(seconds));
}

TEST_CASE("A good version is completed although answers of any version stall")
{
  const double stalled = GENERATE(0.003, 0.01, 0.03);
  const int seed = GENERATE(range(1, 41));
  CAPTURE(stalled, seed);
  const Outcome outcome = Simulate({}, 12.0, 300.0, { 0.0, stalled },
                                   static_cast<std::uint64_t>(seed));
  CHECK(outcome.state == Rollout::COMPLETED);
}

// What connections to a version that has just started cost is taken for its
// own slowness.
TEST_CASE("A version that is slower by less than connections cost is good")
{
  const auto tally = [](std::uint64_t answers, double milliseconds) {
    wg::wire::VersionTally result;
    const double seconds = milliseconds / 1000.0;
    result.set_answers(answers);
    result.set_seconds(static_cast<double>(answers) * seconds);
    result.set_square_seconds(static_cast<double>(answers) * seconds *
                              seconds);
    return result;
  };
  const auto fault = [&](double target, double others) {
    return wg::FindVersionFault(
      { "r", tally(38, target), tally(747, others) });
  };
  CHECK(fault(0.5, 0.2) == wg::VersionFault::None);
  CHECK(fault(1.9, 0.2) == wg::VersionFault::None);
  CHECK(fault(9.0, 3.0) == wg::VersionFault::Slower);
  CHECK(fault(5.0, 3.0) == wg::VersionFault::None);
}

TEST_CASE("The log names the routes on which a version fails")
{
  wg::RouteEvidence evidence;
  evidence.route = "r1";
  evidence.target.set_answers(20);
  evidence.target.set_bad(10);
  evidence.others.set_answers(400);
  CHECK(wg::DescribeFaults({}).empty());
  CHECK(wg::DescribeFaults({ evidence }) ==
        "fails on r1 (20 answers, 10 failed, 0 late, 0.0 ms on average; "
        "others 400 answers, 0 failed, 0 late, 0.0 ms on average)");
}

TEST_CASE("A bad version gets at most a tenth of the requests plus 50, and "
          "nothing 5 s after its 50th bad answer")
{
  const Faults faults =
    GENERATE(Faults{ 1.0 }, Faults{ 0.25 }, Faults{ 0.25, 0.0, 0.5 },
             Faults{ 0.5, 0.0, 0.85 }, Faults{ 0.0, 1.0 }, Faults{ 0.0, 0.4 },
             Faults{ 0.5, 0.0, 0.0, 1 }, Faults{ 0.0, 0.6, 0.4, 2 });
  const double seconds = GENERATE(12.0, 40.0);
  const int seed = GENERATE(range(1, 11));
  CAPTURE(faults.failing, faults.slower, faults.from, faults.route, seconds,
          seed);
  const Outcome outcome =
    Simulate(faults, seconds, 300.0, {}, static_cast<std::uint64_t>(seed));
  CHECK(outcome.target <= ExposureFraction * outcome.all + ExposureSlack);
  CHECK(outcome.lastSent <= outcome.fiftiethBad + absl::Seconds(5));
  CHECK(outcome.state == Rollout::ROLLED_BACK);
}

TEST_CASE("A version with too few answers is not completed")
{
  const Outcome outcome = Simulate({}, 12.0, 5.0, {}, 1);
  CHECK(outcome.state == Rollout::ROLLED_BACK);
}

TEST_CASE("A new leader continues from the replicated time of the order")
{
  wg::VersionRollouts rollouts;
  wg::ApplyVersionOrder(rollouts, MakeOrder("v2", 0));
  wg::VersionConductor first;
  wg::VersionConductor second; // of a control box that started later
  for (int i = 0; i < 60; ++i) {
    for (const auto& move :
         wg::NextMoves(first, rollouts, absl::Milliseconds(100 * i))) {
      wg::ApplyVersionMove(rollouts, move);
    }
  }
  const wg::Elapsed other = absl::Hours(3);
  for (int i = 0;
       i < 70 && wg::IsInProgress(wg::FindVersionRollout(rollouts, "svc"));
       ++i) {
    for (const auto& move : wg::NextMoves(
           second, rollouts, other + absl::Milliseconds(100 * i))) {
      wg::ApplyVersionMove(rollouts, move);
    }
  }
  // Without evidence, it is rolled back within a second of the deadline.
  CHECK(wg::FindVersionRollout(rollouts, "svc").state == Rollout::ROLLED_BACK);
}

TEST_CASE("As a version's permille grows, requests that went to it stay there")
{
  wg::VersionRollout rollout;
  rollout.number = 7;
  for (int i = 0; i < 1000; ++i) {
    const std::string request = absl::StrCat("r", i);
    rollout.permille = 40;
    const bool before = wg::GoesToVersion(rollout, request);
    rollout.permille = 400;
    const bool isKept = !before || wg::GoesToVersion(rollout, request);
    CHECK(isKept);
    rollout.permille = 1000;
    CHECK(wg::GoesToVersion(rollout, request));
  }
}
