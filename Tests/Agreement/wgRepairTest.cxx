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
  leader.peers[2].acknowledgedSend = now;
  leader.peers[2].match = 10;
  leader.peers[3].acknowledgedSend = now - absl::Seconds(2);
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
  auto step = wg::NextRepairStep(leader, joining, 3, now);
  REQUIRE(step);
  REQUIRE(step->learners_size() == 1);
  CHECK(step->learners(0).id() == 4);
  leader.voters = *step;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, 3, now)); // not caught up
  leader.peers[4].acknowledgedSend = now;
  leader.peers[4].match = 10;
  step = wg::NextRepairStep(leader, joining, 3, now);
  REQUIRE(step);
  CHECK_FALSE(wg::IsVoter(*step, 3)); // its place is made
  leader.voters = *step;
  step = wg::NextRepairStep(leader, joining, 3, now);
  REQUIRE(step);
  CHECK(wg::IsVoter(*step, 4)); // and the lost one is not taken back
  leader.voters = *step;
  CHECK_FALSE(wg::NextRepairStep(leader, joining, 3, now));
}
