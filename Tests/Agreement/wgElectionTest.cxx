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

/** Three voters whose processes are started again, one after the other. */
struct Restarted
{
  explicit Restarted(std::uint64_t seed)
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
  /** Writes nothing: a disk that syncs at once. */
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
      const wg::ReplicaActions actions = wg::TakeActions(replica);
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

TEST_CASE("After a restart of all, a leader mostly stands by the first timer")
{
  // The first of three timers ends within 0.8 s; a quorum may vote 0.55 s
  // after the start.
  const absl::Duration soon = wg::AgreementTiming().maxElection + 2 * Tick;
  int late = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    Restarted cluster(seed);
    const Elapsed start = cluster.now;
    while (!cluster.HasLeader() && cluster.now - start < absl::Seconds(10)) {
      cluster.Step();
    }
    REQUIRE(cluster.HasLeader());
    late += cluster.now - start > soon ? 1 : 0;
  }
  CHECK(late <= 4); // two that stood at the same moment
}

TEST_CASE("A pre-vote that waits is dropped once a leader is heard")
{
  Restarted cluster(1);
  Replica& replica = cluster.replicas[0];
  wg::wire::AgreementMessage ask;
  ask.set_kind(wg::wire::AgreementMessage::PRE_VOTE);
  ask.set_from(2);
  ask.set_to(1);
  ask.set_term(5);
  ask.set_cluster("c");
  wg::OnMessage(replica, ask, cluster.now, cluster.random);
  CHECK(wg::TakeActions(replica).messages.empty());
  wg::wire::AgreementMessage heartbeat;
  heartbeat.set_kind(wg::wire::AgreementMessage::APPEND);
  heartbeat.set_from(3);
  heartbeat.set_to(1);
  heartbeat.set_term(5);
  heartbeat.set_cluster("c");
  wg::OnMessage(replica, heartbeat, cluster.now, cluster.random);
  wg::TakeActions(replica);
  wg::OnTick(replica, replica.noVoteBefore, cluster.random);
  for (const auto& outgoing : wg::TakeActions(replica).messages) {
    CHECK(outgoing.message.kind() !=
          wg::wire::AgreementMessage::PRE_VOTE_REPLY);
  }
}
