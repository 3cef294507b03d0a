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

/** How a version answers. */
struct Conduct
{
  double failing = 0.0; // share of its answers
  double slower = 0.0;  // share of them that takes five times as long
  double from = 0.0;    // part of the time from which on
  int route = -1;       // alone; below 0: all
};

/** What became of a roll-out that was played. */
struct Played
{
  wg::VersionState state = Rollout::UNSPECIFIED;
  absl::Duration ended; // since the order
  int all = 0;          // requests until the deadline
  int target = 0;
  int bad = 0; // answers of the version
  absl::Duration fiftieth = absl::InfiniteDuration();
  absl::Duration lastSent; // to the version while it was not completed
};

/** Requests of many boxes that tell a control box once a second what they saw.
 * \param fault share of all answers, of any version, that fail
 */
Played Play(const Conduct& conduct, double durationSeconds, double perSecond,
            double fault, std::uint64_t seed)
{
  constexpr int boxes = 50;
  constexpr int routes = 3;
  std::mt19937_64 random(seed);
  const auto draw = [&random] {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
  };
  wg::VersionRollouts rollouts;
  wg::TakeVersionOrder(
    rollouts,
    MakeOrder("v2", 0, static_cast<std::int64_t>(durationSeconds * 1000.0)));
  wg::VersionConductor conductor;
  std::vector<wg::VersionEvidences> seen(boxes);
  for (auto& box : seen) {
    for (int route = 0; route < routes; ++route) {
      box.Add()->set_route(absl::StrCat("r", route));
    }
  }
  Played played;
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
    const bool acts = isTarget &&
                      now >= conduct.from * absl::Seconds(durationSeconds) &&
                      (conduct.route < 0 || conduct.route == route);
    const bool fails = draw() < fault || (acts && draw() < conduct.failing);
    const bool isSlow = acts && draw() < conduct.slower;
    const double took = (0.05 + 0.05 * draw()) * (isSlow ? 5.0 : 1.0);
    if (isBefore) {
      ++played.all;
      played.target += isTarget ? 1 : 0;
    }
    if (isTarget && rollout.state == Rollout::IN_PROGRESS) {
      played.lastSent = now;
    }
    if (isTarget && acts && (fails || isSlow) && ++played.bad == 50) {
      played.fiftieth = now;
    }
    wg::wire::VersionEvidence& evidence =
      *seen[static_cast<std::size_t>(box)].Mutable(route);
    wg::wire::VersionTally& tally =
      isTarget ? *evidence.mutable_target() : *evidence.mutable_others();
    tally.set_answers(tally.answers() + 1);
    tally.set_bad(tally.bad() + (fails ? 1 : 0));
    tally.set_late(tally.late() + (!fails && took > 0.2 ? 1 : 0));
    tally.set_seconds(tally.seconds() + (fails ? 0.0 : took));
    // Each box tells once a second, at its own moment.
    const int telling =
      static_cast<int>(static_cast<double>(i) / perSecond * boxes) % boxes;
    auto& told = seen[static_cast<std::size_t>(telling)];
    for (wg::wire::VersionEvidence& one : told) {
      one.set_box(absl::StrCat("b", telling));
      one.set_service("svc");
      one.set_number(rollout.number);
    }
    wg::TakeEvidence(conductor, rollouts, told);
    for (const wg::wire::MoveVersion& move :
         wg::NextMoves(conductor, rollouts, absl::Seconds(100) + now)) {
      wg::TakeVersionMove(rollouts, move);
    }
    const wg::VersionRollout& after = wg::FindVersionRollout(rollouts, "svc");
    if (!wg::IsInProgress(after) && played.state == Rollout::UNSPECIFIED) {
      played.state = after.state;
      played.ended = now;
    }
  }
  return played;
}

constexpr double ExposureShare = 0.1;
constexpr int ExposureSlack = 50;

} // namespace

TEST_CASE("An order is taken once, and a late copy changes nothing")
{
  wg::VersionRollouts rollouts;
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0)) ==
        wg::VersionOrderTaken::Taken);
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0)) ==
        wg::VersionOrderTaken::UnderWay);
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v3", 1)) ==
        wg::VersionOrderTaken::UnderWay);
  wg::TakeVersionMove(rollouts, MakeMove(1, Rollout::ROLLED_BACK, 0));
  // The same order, held up on its way to the leader.
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0)) ==
        wg::VersionOrderTaken::Overtaken);
  CHECK(wg::FindVersionRollout(rollouts, "svc").state == Rollout::ROLLED_BACK);
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v2", 1)) ==
        wg::VersionOrderTaken::Taken);
  CHECK(wg::FindVersionRollout(rollouts, "svc").number == 2);
}

TEST_CASE("An order that names nothing is refused")
{
  wg::VersionRollouts rollouts;
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("", 0)) ==
        wg::VersionOrderTaken::Refused);
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0, 0)) ==
        wg::VersionOrderTaken::Refused);
  CHECK(wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0, -5)) ==
        wg::VersionOrderTaken::Refused);
  wg::wire::OrderVersion order = MakeOrder("v2", 0);
  order.set_service("");
  CHECK(wg::TakeVersionOrder(rollouts, order) ==
        wg::VersionOrderTaken::Refused);
  CHECK(rollouts.newest == 0);
}

TEST_CASE("What has ended is not moved by a late decision")
{
  wg::VersionRollouts rollouts;
  wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0));
  wg::TakeVersionMove(rollouts, MakeMove(1, Rollout::ROLLED_BACK, 0));
  wg::TakeVersionMove(rollouts, MakeMove(1, Rollout::COMPLETED, 1000));
  CHECK(wg::FindVersionRollout(rollouts, "svc").state == Rollout::ROLLED_BACK);
  wg::TakeVersionOrder(rollouts, MakeOrder("v3", 1));
  wg::TakeVersionMove(rollouts, MakeMove(1, Rollout::COMPLETED, 1000));
  CHECK(wg::IsInProgress(wg::FindVersionRollout(rollouts, "svc")));
}

TEST_CASE("Orders are part of the state that lasts")
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

TEST_CASE("A good version is completed by its deadline, also while a tenth of "
          "all answers fails")
{
  const double fault = GENERATE(0.0, 0.1);
  const double seconds = GENERATE(12.0, 20.0, 40.0);
  const int seed = GENERATE(range(1, 11));
  CAPTURE(fault, seconds, seed);
  const Played played =
    Play({}, seconds, 300.0, fault, static_cast<std::uint64_t>(seed));
  CHECK(played.state == Rollout::COMPLETED);
  CHECK(played.ended < absl::Seconds(seconds));
}

TEST_CASE("A bad version gets less than its share, and nothing 5 s after its "
          "50th bad answer")
{
  const Conduct conduct = GENERATE(
    Conduct{ 1.0 }, Conduct{ 0.25 }, Conduct{ 0.25, 0.0, 0.5 },
    Conduct{ 0.5, 0.0, 0.85 }, Conduct{ 0.0, 1.0 }, Conduct{ 0.0, 0.4 },
    Conduct{ 0.5, 0.0, 0.0, 1 }, Conduct{ 0.0, 0.6, 0.4, 2 });
  const double seconds = GENERATE(12.0, 40.0);
  const int seed = GENERATE(range(1, 11));
  CAPTURE(conduct.failing, conduct.slower, conduct.from, conduct.route,
          seconds, seed);
  const Played played =
    Play(conduct, seconds, 300.0, 0.0, static_cast<std::uint64_t>(seed));
  CHECK(played.target <= ExposureShare * played.all + ExposureSlack);
  CHECK(played.lastSent <= played.fiftieth + absl::Seconds(5));
  CHECK(played.state == Rollout::ROLLED_BACK);
}

TEST_CASE("A version that nobody calls is not completed")
{
  const Played played = Play({}, 12.0, 5.0, 0.0, 1);
  CHECK(played.state == Rollout::ROLLED_BACK);
}

TEST_CASE("A leader that begins in the midst goes on from the order's time")
{
  wg::VersionRollouts rollouts;
  wg::TakeVersionOrder(rollouts, MakeOrder("v2", 0));
  wg::VersionConductor first;
  wg::VersionConductor second; // of a control box that started later
  for (int i = 0; i < 60; ++i) {
    for (const auto& move :
         wg::NextMoves(first, rollouts, absl::Milliseconds(100 * i))) {
      wg::TakeVersionMove(rollouts, move);
    }
  }
  const wg::Elapsed other = absl::Hours(3);
  for (int i = 0;
       i < 70 && wg::IsInProgress(wg::FindVersionRollout(rollouts, "svc"));
       ++i) {
    for (const auto& move : wg::NextMoves(
           second, rollouts, other + absl::Milliseconds(100 * i))) {
      wg::TakeVersionMove(rollouts, move);
    }
  }
  // No evidence: it is taken back, and by the deadline but for a second.
  CHECK(wg::FindVersionRollout(rollouts, "svc").state == Rollout::ROLLED_BACK);
}

TEST_CASE("As a version's share grows, requests that went to it stay there")
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
