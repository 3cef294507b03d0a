// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgRepair.h"

namespace {

wg::wire::Voter Voter(std::uint64_t id, const std::string& box)
{
  wg::wire::Voter voter;
  voter.set_id(id);
  voter.set_box(box);
  return voter;
}

/** A leader of three voters whose change of voters is committed. */
wg::Replica Leader(absl::Duration now)
{
  wg::Replica leader;
  leader.self = Voter(1, "a");
  leader.role = wg::ReplicaRole::Leader;
  leader.commit = 10;
  *leader.voters.add_voters() = leader.self;
  *leader.voters.add_voters() = Voter(2, "b");
  *leader.voters.add_voters() = Voter(3, "c");
  leader.peers[2].ackedSendTime = now;
  leader.peers[2].match = 10;
  leader.peers[3].ackedSendTime = now - absl::Seconds(2);
  leader.peers[3].match = 10;
  return leader;
}

} // namespace

TEST_CASE("of two replicas of one box the one with the newest request joins")
{
  const absl::Duration now = absl::Seconds(10);
  wg::Replica leader = Leader(now);
  // Box c lost its disk: replica 4 runs there, 3 requested to join earlier.
  const std::vector<wg::JoiningReplica> joining = {
    { Voter(3, "c"), now - absl::Seconds(3) },
    { Voter(4, "c"), now - absl::Milliseconds(100) }
  };
  auto step = wg::NextRepairStep(leader, joining, {}, now);
  REQUIRE(step);
  REQUIRE(step->learners_size() == 1);
  CHECK(step->learners(0).id() == 4);
  leader.voters = *step;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, {}, now)); // not caught up
  leader.peers[4].ackedSendTime = now;
  leader.peers[4].match = 10;
  step = wg::NextRepairStep(leader, joining, {}, now);
  REQUIRE(step);
  CHECK_FALSE(wg::IsVoter(*step, 3)); // removed first
  leader.voters = *step;
  step = wg::NextRepairStep(leader, joining, {}, now);
  REQUIRE(step);
  CHECK(wg::IsVoter(*step, 4)); // and replica 3 is not added again
  leader.voters = *step;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, {}, now));
}

TEST_CASE("a standby replaces a voter that has long been unresponsive")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  const std::vector<wg::JoiningReplica> joining = {
    { Voter(7, "standby"), now - absl::Milliseconds(100) }
  };
  wg::RepairRules rules;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now));
  rules.standbyAfter = absl::Seconds(3); // last contact with box c: 2 s ago
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now));
  rules.standbyAfter = absl::Seconds(1);
  auto step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  CHECK(wg::IsLearner(*step, 7));
  leader.voters = *step;
  leader.peers[7].ackedSendTime = now;
  leader.peers[7].match = 10;
  // The unresponsive voter may still be running, and stays until the standby
  // is a voter.
  step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  CHECK(wg::IsVoter(*step, 7));
  CHECK(wg::IsVoter(*step, 3));
  leader.voters = *step;
  step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  CHECK_FALSE(wg::IsVoter(*step, 3));
  leader.voters = *step;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now));
}

TEST_CASE("an operator's order replaces a box that is still responsive")
{
  const absl::Duration now = absl::Seconds(100);
  const wg::Replica leader = Leader(now);
  const std::vector<wg::JoiningReplica> joining = { { Voter(7, "other"), now },
                                                    { Voter(8, "d"), now } };
  wg::RepairRules rules;
  rules.replacement = { "b", "d" };
  const auto step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  CHECK(wg::IsLearner(*step, 8));
  CHECK_FALSE(wg::IsLearner(*step, 7));
}

TEST_CASE("a box that an operator declared lost does not rejoin as a standby")
{
  const absl::Duration now = absl::Seconds(100);
  const wg::Replica leader = Leader(now);
  wg::RepairRules rules;
  rules.standbyAfter = absl::Seconds(1);
  rules.replacement = { "old", "b" };
  CHECK_FALSE(
    wg::NextRepairStep(leader, { { Voter(9, "old"), now } }, rules, now));
}

TEST_CASE("a standby joins as a learner beside all voters if so configured")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  const std::vector<wg::JoiningReplica> joining = {
    { Voter(7, "standby"), now - absl::Milliseconds(100) },
    { Voter(8, "lost"), now - absl::Milliseconds(100) }
  };
  wg::RepairRules rules;
  rules.standbysLearn = true;
  rules.standbyAfter = absl::Seconds(60);
  rules.replacement = { "lost", "other" };
  auto step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  REQUIRE(step->learners_size() == 1);
  CHECK(wg::IsLearner(*step, 7));
  leader.voters = *step;
  leader.peers[7].ackedSendTime = now;
  leader.peers[7].match = 10;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now)); // no vote
  // Its disk is lost: the new replica replaces the older one of its box.
  step =
    wg::NextRepairStep(leader, { { Voter(9, "standby"), now } }, rules, now);
  REQUIRE(step);
  REQUIRE(step->learners_size() == 1);
  CHECK(wg::IsLearner(*step, 9));
  // Once unresponsive for standbyAfter, it is removed.
  const absl::Duration later = now + absl::Seconds(61);
  leader.peers[2].ackedSendTime = later;
  leader.peers[3].ackedSendTime = later;
  step = wg::NextRepairStep(leader, {}, rules, later);
  REQUIRE(step);
  CHECK(step->learners_size() == 0);
  CHECK(step->voters_size() == 3);
}

// A box that ends keeps its vote, and the next lost disk ends the quorum.
TEST_CASE("a voter that is about to end gives its vote to a standby")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  leader.peers[3].ackedSendTime = now;
  wg::RepairRules rules;
  rules.standbysLearn = true;
  *leader.voters.add_learners() = Voter(7, "d");
  leader.peers[7].trackedSince = now;
  CHECK_FALSE(wg::NextRepairStep(leader, {}, rules, now));
  for (const std::uint64_t stopping : { 2, 1 }) { // a follower, the leader
    CAPTURE(stopping);
    wg::Replica r = leader;
    rules.stopping = { stopping };
    CHECK(wg::IsHandingOver(r, stopping, rules, now));
    CHECK_FALSE(wg::NextRepairStep(r, {}, rules, now)); // not caught up
    r.peers[7].ackedSendTime = now;
    r.peers[7].match = 10;
    auto step = wg::NextRepairStep(r, {}, rules, now);
    REQUIRE(step);
    CHECK(wg::IsVoter(*step, 7));
    CHECK(wg::IsVoter(*step, stopping));
    r.voters = *step;
    CHECK(wg::IsHandingOver(r, stopping, rules, now));
    step = wg::NextRepairStep(r, {}, rules, now);
    REQUIRE(step);
    CHECK_FALSE(wg::IsVoter(*step, stopping));
    CHECK(step->voters_size() == 3);
    r.voters = *step;
    r.votersIndex = r.commit + 1;
    CHECK(wg::IsHandingOver(r, stopping, rules, now)); // not committed
    r.votersIndex = r.commit;
    CHECK_FALSE(wg::IsHandingOver(r, stopping, rules, now));
    CHECK_FALSE(wg::NextRepairStep(r, {}, rules, now));
  }
}

TEST_CASE("a voter that is about to end does not wait for a silent standby")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  wg::RepairRules rules;
  rules.standbysLearn = true;
  rules.stopping = { 2 };
  CHECK_FALSE(wg::IsHandingOver(leader, 2, rules, now));
  *leader.voters.add_learners() = Voter(7, "d");
  leader.peers[7].trackedSince = now - absl::Seconds(1);
  leader.peers[7].ackedSendTime = now - absl::Seconds(1);
  CHECK_FALSE(wg::IsHandingOver(leader, 2, rules, now));
  leader.peers[7].ackedSendTime = now;
  CHECK(wg::IsHandingOver(leader, 2, rules, now));
  // Nor for one that is about to end too, and this one gets no vote.
  rules.stopping = { 2, 7 };
  leader.peers[7].match = 10;
  CHECK_FALSE(wg::IsHandingOver(leader, 2, rules, now));
  CHECK_FALSE(wg::NextRepairStep(leader, {}, rules, now));
}

// A new leader drops the standby that has just got the vote of a box that
// ends, which then finds none.
TEST_CASE("a voter in excess that responds stays as a learner")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  leader.peers[3].ackedSendTime = now;
  *leader.voters.add_voters() = Voter(7, "d");
  leader.peers[7].ackedSendTime = now;
  leader.peers[7].match = 10;
  wg::RepairRules rules;
  rules.standbysLearn = true;
  const auto step = wg::NextRepairStep(leader, {}, rules, now);
  REQUIRE(step);
  CHECK(step->voters_size() == 3);
  CHECK(wg::IsLearner(*step, 7));
}
