// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "wgReplica.h"

namespace {

using wg::Elapsed;
using wg::Replica;
using wg::ReplicaRole;

constexpr absl::Duration Tick = absl::Milliseconds(15);
constexpr absl::Duration StartGap = absl::Milliseconds(150);

/** Three voters whose processes restart one after the other. */
struct RestartedCluster
{
  explicit RestartedCluster(std::uint64_t seed)
    : random(seed)
  {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      Replica replica;
      replica.self.set_id(id);
      replica.cluster = "c";
      replica.hard.set_term(4);
      for (std::uint64_t voter = 1; voter <= 3; ++voter) {
        replica.snapshot.mutable_voters()->add_voters()->set_id(voter);
      }
      starts.push_back(now + static_cast<int>(id - 1) * StartGap);
      wg::StartReplica(replica, starts.back(), random);
      replicas.push_back(std::move(replica));
    }
  }
  /** Writes to disk succeed immediately. */
  void Step()
  {
    now += Tick;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      if (IsUp(i)) {
        wg::OnTick(replicas[i], now, random);
      }
    }
    for (int rounds = 0; rounds < 4; ++rounds) {
      Exchange();
    }
  }
  void Exchange()
  {
    std::vector<wg::wire::AgreementMessage> messages;
    for (Replica& replica : replicas) {
      const wg::ReplicaActions actions = wg::ExtractActions(replica);
      if (actions.NeedsSync()) {
        wg::OnSynced(replica);
      }
      for (const wg::OutgoingMessage& outgoing : actions.messages) {
        messages.push_back(outgoing.message);
      }
    }
    for (const auto& message : messages) {
      if (IsUp(message.to() - 1)) {
        wg::OnMessage(replicas[message.to() - 1], message, now, random);
      }
    }
  }
  bool IsUp(std::size_t index) const { return now >= starts[index]; }
  bool HasLeader() const
  {
    return std::any_of(replicas.begin(), replicas.end(),
                       [](const Replica& replica) {
                         return replica.role == ReplicaRole::Leader;
                       });
  }

  std::mt19937_64 random;
  Elapsed now = absl::Seconds(100);
  std::vector<Elapsed> starts;
  std::vector<Replica> replicas;
};

} // namespace

TEST_CASE(
  "After a restart of all voters the first timeout mostly elects a leader")
{
  // The first of three election timeouts ends within 0.8 s; a quorum may vote
  // from 0.55 s after the start.
  const absl::Duration maxDelay = wg::AgreementTiming().maxElection + 2 * Tick;
  int late = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    RestartedCluster cluster(seed);
    const Elapsed start = cluster.now;
    while (!cluster.HasLeader() && cluster.now - start < absl::Seconds(10)) {
      cluster.Step();
    }
    REQUIRE(cluster.HasLeader());
    late += cluster.now - start > maxDelay ? 1 : 0;
  }
  CHECK(late <= 4); // split votes
}

TEST_CASE("A deferred pre-vote is dropped on contact with a leader")
{
  RestartedCluster cluster(1);
  Replica& replica = cluster.replicas[0];
  wg::wire::AgreementMessage request;
  request.set_kind(wg::wire::AgreementMessage::PRE_VOTE);
  request.set_from(2);
  request.set_to(1);
  request.set_term(5);
  request.set_cluster("c");
  wg::OnMessage(replica, request, cluster.now, cluster.random);
  CHECK(wg::ExtractActions(replica).messages.empty());
  wg::wire::AgreementMessage heartbeat;
  heartbeat.set_kind(wg::wire::AgreementMessage::APPEND);
  heartbeat.set_from(3);
  heartbeat.set_to(1);
  heartbeat.set_term(5);
  heartbeat.set_cluster("c");
  wg::OnMessage(replica, heartbeat, cluster.now, cluster.random);
  wg::ExtractActions(replica);
  wg::OnTick(replica, replica.noVoteBefore, cluster.random);
  for (const auto& outgoing : wg::ExtractActions(replica).messages) {
    CHECK(outgoing.message.kind() !=
          wg::wire::AgreementMessage::PRE_VOTE_REPLY);
  }
}
