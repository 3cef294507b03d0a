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

TEST_CASE("of two replicas of one box the one that asked last is taken")
{
  const absl::Duration now = absl::Seconds(10);
  wg::Replica leader = Leader(now);
  // Box c lost its disk: replica 4 runs there, 3 asked some time before.
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
  CHECK_FALSE(wg::IsVoter(*step, 3)); // its place is made
  leader.voters = *step;
  step = wg::NextRepairStep(leader, joining, {}, now);
  REQUIRE(step);
  CHECK(wg::IsVoter(*step, 4)); // and the lost one is not taken back
  leader.voters = *step;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, {}, now));
}

TEST_CASE("a spare takes the place of a voter that has long been silent")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  const std::vector<wg::JoiningReplica> joining = {
    { Voter(7, "spare"), now - absl::Milliseconds(100) }
  };
  wg::RepairRules rules;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now));
  rules.spareAfter = absl::Seconds(3); // box c was heard 2 s ago
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now));
  rules.spareAfter = absl::Seconds(1);
  auto step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  CHECK(wg::IsLearner(*step, 7));
  leader.voters = *step;
  leader.peers[7].ackedSendTime = now;
  leader.peers[7].match = 10;
  // The silent one may yet live: it goes only when the spare has its vote.
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

TEST_CASE("an operator's word replaces a box that still answers")
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

TEST_CASE("a box that an operator gave up does not come back as a spare")
{
  const absl::Duration now = absl::Seconds(100);
  const wg::Replica leader = Leader(now);
  wg::RepairRules rules;
  rules.spareAfter = absl::Seconds(1);
  rules.replacement = { "old", "b" };
  CHECK_FALSE(
    wg::NextRepairStep(leader, { { Voter(9, "old"), now } }, rules, now));
}

TEST_CASE("where spares learn, one is taken in beside all voters")
{
  const absl::Duration now = absl::Seconds(100);
  wg::Replica leader = Leader(now);
  const std::vector<wg::JoiningReplica> joining = {
    { Voter(7, "spare"), now - absl::Milliseconds(100) },
    { Voter(8, "given-up"), now - absl::Milliseconds(100) }
  };
  wg::RepairRules rules;
  rules.spareLearns = true;
  rules.spareAfter = absl::Seconds(60);
  rules.replacement = { "given-up", "other" };
  auto step = wg::NextRepairStep(leader, joining, rules, now);
  REQUIRE(step);
  REQUIRE(step->learners_size() == 1);
  CHECK(wg::IsLearner(*step, 7));
  leader.voters = *step;
  leader.peers[7].ackedSendTime = now;
  leader.peers[7].match = 10;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, rules, now)); // no vote
  // Its disk is lost: the older replica of its box gives way.
  step =
    wg::NextRepairStep(leader, { { Voter(9, "spare"), now } }, rules, now);
  REQUIRE(step);
  REQUIRE(step->learners_size() == 1);
  CHECK(wg::IsLearner(*step, 9));
  // It is gone for good.
  const absl::Duration later = now + absl::Seconds(61);
  leader.peers[2].ackedSendTime = later;
  leader.peers[3].ackedSendTime = later;
  step = wg::NextRepairStep(leader, {}, rules, later);
  REQUIRE(step);
  CHECK(step->learners_size() == 0);
  CHECK(step->voters_size() == 3);
}
