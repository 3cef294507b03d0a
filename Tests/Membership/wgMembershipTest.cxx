// SPDX-License-Identifier: Apache-2.0
#include <random>

#include <catch2/catch.hpp>

#include "wgMembership.h"

namespace {

wg::Membership MakeMembership(const std::string& name,
                              std::uint64_t incarnation = 1)
{
  wg::Membership membership;
  membership.self.set_box(name);
  membership.self.set_address("127.0.0.1:" + name);
  membership.self.set_incarnation(incarnation);
  return membership;
}

wg::wire::Gossip MakeGossip(const std::string& box, std::uint64_t incarnation,
                            std::uint64_t beat)
{
  wg::wire::Gossip gossip;
  wg::wire::Member& member = *gossip.add_members();
  member.set_box(box);
  member.set_address("127.0.0.1:" + box);
  member.set_incarnation(incarnation);
  member.set_beat(beat);
  return gossip;
}

} // namespace

TEST_CASE("a box without heartbeats is unreachable until a new one comes")
{
  wg::Membership membership = MakeMembership("1");
  wg::MergeGossip(membership, MakeGossip("2", 1, 1), absl::Seconds(1));
  CHECK(wg::ReachableMembers(membership, absl::Seconds(2)).size() == 1);
  CHECK(wg::ReachableMembers(membership, absl::Seconds(4)).empty());
  wg::MergeGossip(membership, MakeGossip("2", 1, 1), absl::Seconds(4));
  CHECK(
    wg::ReachableMembers(membership, absl::Seconds(4)).empty()); // not newer
  wg::MergeGossip(membership, MakeGossip("2", 1, 2), absl::Seconds(4));
  CHECK(wg::ReachableMembers(membership, absl::Seconds(5)).size() == 1);
}

TEST_CASE("a state of an earlier incarnation is ignored")
{
  wg::Membership membership = MakeMembership("1");
  wg::MergeGossip(membership, MakeGossip("2", 5, 1), absl::Seconds(1));
  wg::MergeGossip(membership, MakeGossip("2", 4, 900), absl::Seconds(3));
  CHECK(membership.others["2"].member.incarnation() == 5);
  CHECK(wg::ReachableMembers(membership, absl::Seconds(3)).empty());
}

TEST_CASE("a leaving box is not among the reachable members")
{
  wg::Membership membership = MakeMembership("1");
  wg::wire::Gossip gossip = MakeGossip("2", 1, 1);
  gossip.mutable_members(0)->set_leaving(true);
  wg::MergeGossip(membership, gossip, absl::Seconds(1));
  CHECK(wg::ReachableMembers(membership, absl::Seconds(1)).empty());
}

TEST_CASE("the number of messages per period is the same for any cluster size")
{
  std::mt19937_64 random(3);
  for (const int boxes : { 9, 100, 1000 }) {
    wg::Membership membership = MakeMembership("0");
    for (int i = 1; i < boxes; ++i) {
      wg::MergeGossip(membership, MakeGossip(std::to_string(i), 1, 1),
                      absl::Seconds(1));
    }
    const auto messages = wg::NextGossip(membership, absl::Seconds(1), random);
    CHECK(messages.size() == 3);
    CHECK(messages[0].gossip.members_size() <= 16);
  }
}

TEST_CASE("a message fits a datagram for any number of demands")
{
  std::mt19937_64 random(4);
  wg::Membership membership = MakeMembership("0");
  std::vector<wg::wire::Demand> demands(10000);
  for (std::size_t i = 0; i < demands.size(); ++i) {
    demands[i].set_group("generation");
    demands[i].set_account("an-account-with-a-name-" + std::to_string(i));
    demands[i].set_waiting(static_cast<std::uint32_t>(i));
  }
  wg::SetOwnDemands(membership, demands);
  for (int i = 1; i < 30; ++i) {
    wg::wire::Gossip gossip = MakeGossip(std::to_string(i), 1, 1);
    *gossip.mutable_members(0)->mutable_demands() = membership.self.demands();
    wg::MergeGossip(membership, gossip, absl::Seconds(1));
  }
  const auto messages = wg::NextGossip(membership, absl::Seconds(1), random);
  REQUIRE_FALSE(messages.empty());
  CHECK(messages[0].gossip.ByteSizeLong() < 60000);
  CHECK(membership.self.demands(0).waiting() == 9999);
}

TEST_CASE("nine boxes find one another by one seed and detect a partition")
{
  std::mt19937_64 random(5);
  std::vector<wg::Membership> boxes;
  for (int i = 0; i < 9; ++i) {
    boxes.push_back(MakeMembership(std::to_string(i)));
    boxes.back().seeds = { "127.0.0.1:0" };
  }
  const auto round = [&](absl::Duration now, bool partitioned) {
    for (std::size_t from = 0; from < boxes.size(); ++from) {
      for (const auto& message : wg::NextGossip(boxes[from], now, random)) {
        const std::size_t to = message.address.back() - '0';
        const bool crosses = (from < 3) != (to < 3);
        if (!partitioned || !crosses) {
          wg::MergeGossip(boxes[to], message.gossip, now);
        }
      }
    }
  };
  absl::Duration now;
  for (int i = 0; i < 12; ++i) {
    round(now += absl::Milliseconds(250), false);
  }
  for (const auto& box : boxes) {
    CHECK(wg::ReachableMembers(box, now).size() == 8);
  }
  for (int i = 0; i < 20; ++i) {
    round(now += absl::Milliseconds(250), true);
  }
  CHECK(wg::ReachableMembers(boxes[0], now).size() == 2);
  CHECK(wg::ReachableMembers(boxes[8], now).size() == 5);
  for (int i = 0; i < 12; ++i) {
    round(now += absl::Milliseconds(250), false);
  }
  CHECK(wg::ReachableMembers(boxes[8], now).size() == 8);
}
