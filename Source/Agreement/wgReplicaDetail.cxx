// SPDX-License-Identifier: Apache-2.0
#include "wgReplicaDetail.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"

namespace wg::detail {

void ResetElectionTimer(Replica& r, Elapsed now, absl::BitGenRef random)
{
  r.electionDue =
    now + absl::Microseconds(absl::Uniform<std::int64_t>(
            random, absl::ToInt64Microseconds(r.timing.minElection),
            absl::ToInt64Microseconds(r.timing.maxElection)));
}

wire::AgreementMessage MakeMessage(const Replica& r, Kind::Kind kind,
                                   std::uint64_t to, std::uint64_t term)
{
  wire::AgreementMessage message;
  message.set_kind(kind);
  message.set_from(r.self.id());
  message.set_to(to);
  message.set_term(term);
  message.set_cluster(r.cluster);
  return message;
}

void Send(Replica& r, wire::AgreementMessage message, bool afterSync)
{
  r.actions.messages.push_back({ std::move(message), afterSync });
}

void RecomputeVoters(Replica& r)
{
  for (std::uint64_t i = r.log.LastIndex(); i >= r.log.FirstIndex(); --i) {
    const wire::LogEntry& entry = r.log.At(i);
    if (entry.kind() == wire::LogEntry::VOTERS) {
      r.voters = entry.voters();
      r.votersIndex = i;
      return;
    }
  }
  r.voters = r.snapshot.voters();
  r.votersIndex = r.snapshot.index();
}

void TrackPeers(Replica& r, Elapsed now)
{
  std::map<std::uint64_t, PeerProgress> kept;
  for (const auto* list : { &r.voters.voters(), &r.voters.learners() }) {
    for (const wire::Voter& voter : *list) {
      if (voter.id() == r.self.id()) {
        continue;
      }
      auto found = r.peers.find(voter.id());
      PeerProgress fresh;
      fresh.next = r.log.LastIndex() + 1;
      fresh.trackedSince = now;
      kept[voter.id()] = found == r.peers.end() ? fresh : found->second;
    }
  }
  r.peers = std::move(kept);
}

void AppendLocal(Replica& r, wire::LogEntry entry)
{
  const bool isVoters = entry.kind() == wire::LogEntry::VOTERS;
  if (isVoters) {
    r.voters = entry.voters();
    r.votersIndex = entry.index();
  }
  r.actions.append.push_back(entry);
  r.log.Append(std::move(entry));
}

void TruncateLocal(Replica& r, std::uint64_t from)
{
  r.log.TruncateFrom(from);
  r.synced = std::min(r.synced, from - 1);
  auto& pending = r.actions.append;
  pending.erase(std::remove_if(pending.begin(), pending.end(),
                               [from](const wire::LogEntry& entry) {
                                 return entry.index() >= from;
                               }),
                pending.end());
  r.actions.truncateFrom =
    std::min(from, r.actions.truncateFrom.value_or(from));
  RecomputeVoters(r);
}

void BecomeFollower(Replica& r, std::uint64_t term, std::uint64_t leader)
{
  if (term > r.hard.term()) {
    r.hard.set_term(term);
    r.hard.set_vote(0);
    r.actions.saveHardState = true;
  }
  r.role = ReplicaRole::Follower;
  r.leader = leader;
  r.grants.clear();
  if (leader != 0) {
    r.hasNewerLogThanCandidate = false;
  }
}

std::size_t Quorum(const Replica& r)
{
  return static_cast<std::size_t>(r.voters.voters_size()) / 2 + 1;
}

} // namespace wg::detail
