// SPDX-License-Identifier: Apache-2.0
#include "wgReplica.h"

#include <algorithm>
#include <utility>

#include "wgElection.h"
#include "wgReplicaDetail.h"
#include "wgReplication.h"

namespace wg {

using namespace detail;

namespace {

/** Returns the number of voters that are in exactly one of the sets. */
int CountDifferentVoters(const wire::VoterSet& a, const wire::VoterSet& b)
{
  int different = 0;
  for (const wire::Voter& voter : a.voters()) {
    different += IsVoter(b, voter.id()) ? 0 : 1;
  }
  for (const wire::Voter& voter : b.voters()) {
    different += IsVoter(a, voter.id()) ? 0 : 1;
  }
  return different;
}

bool ContainsId(const google::protobuf::RepeatedPtrField<wire::Voter>& voters,
                std::uint64_t id)
{
  return std::any_of(
    voters.begin(), voters.end(),
    [id](const wire::Voter& voter) { return voter.id() == id; });
}

/** Saves an advanced commit index after a delay if no other write saves it
 * first: most commits are followed by no further write.
 */
void SaveCommitWhenDue(Replica& r, Elapsed now)
{
  if (r.commit <= r.hard.commit()) {
    r.commitSaveDue = absl::InfiniteDuration();
    return;
  }
  if (r.commitSaveDue == absl::InfiniteDuration()) {
    r.commitSaveDue = now + r.timing.commitSaveDelay;
  }
  r.actions.saveHardState |= now >= r.commitSaveDue;
}

} // namespace

bool IsVoter(const wire::VoterSet& voters, std::uint64_t id)
{
  return ContainsId(voters.voters(), id);
}

bool IsLearner(const wire::VoterSet& voters, std::uint64_t id)
{
  return ContainsId(voters.learners(), id);
}

void StartReplica(Replica& r, Elapsed now, absl::BitGenRef random)
{
  r.role = ReplicaRole::Follower;
  r.leader = 0;
  // Without the saved commit index, no entry after the snapshot could be
  // applied until a leader is elected, which took 0.3 s after a power loss of
  // all boxes.
  r.commit =
    std::max(r.snapshot.index(), std::min(r.hard.commit(), r.log.LastIndex()));
  r.applied = r.snapshot.index();
  r.synced = r.log.LastIndex();
  RecomputeVoters(r);
  ResetElectionTimer(r, now, random);
  // A leader from before the restart may hold a lease that relies on this
  // replica not voting for another candidate.
  r.noVoteBefore = now + r.timing.minElection;
}

std::uint64_t RetransmittedBytes(const Replica& r)
{
  std::uint64_t bytes = 0;
  for (const auto& [id, peer] : r.peers) {
    bytes += peer.retransmittedBytes;
  }
  return bytes;
}

void BootstrapCluster(Replica& r, Elapsed now)
{
  r.hard.set_term(1);
  r.actions.saveHardState = true;
  wire::LogEntry first;
  first.set_index(1);
  first.set_term(1);
  first.set_kind(wire::LogEntry::VOTERS);
  *first.mutable_voters()->add_voters() = r.self;
  AppendLocal(r, std::move(first));
  r.electionDue = now;
  r.noVoteBefore = now;
}

void OnTick(Replica& r, Elapsed now, absl::BitGenRef random)
{
  AnswerDeferredPreVote(r, now, random);
  SaveCommitWhenDue(r, now);
  if (r.role == ReplicaRole::Leader) {
    TickLeader(r, now, random);
  } else if (now >= r.electionDue) {
    StartPreVote(r, now, random);
  }
}

void OnMessage(Replica& r, const wire::AgreementMessage& m, Elapsed now,
               absl::BitGenRef random)
{
  if (m.to() != r.self.id() || m.cluster() != r.cluster) {
    return;
  }
  if (m.kind() == Kind::PRE_VOTE || m.kind() == Kind::VOTE) {
    OnVoteRequest(r, m, now, random);
    return;
  }
  const bool isPreVoteReply = m.kind() == Kind::PRE_VOTE_REPLY;
  const bool isPreVoteGrant = isPreVoteReply && m.granted();
  // A granted pre-vote reply carries the term of an election that has not
  // started, so it must not advance the current term.
  if (m.term() > r.hard.term() && !isPreVoteGrant) {
    BecomeFollower(r, m.term(), 0);
  }
  if (m.kind() == Kind::PRE_VOTE_REPLY || m.kind() == Kind::VOTE_REPLY) {
    OnVoteReply(r, m, now);
    return;
  }
  if (m.kind() == Kind::APPEND_REPLY) {
    OnAppendReply(r, m, now);
    return;
  }
  if (m.term() < r.hard.term()) {
    ReplyAppend(r, m, false, 0); // informs a stale leader of the new term
    return;
  }
  if (m.kind() == Kind::APPEND) {
    OnAppend(r, m, now, random);
  } else if (m.kind() == Kind::SNAPSHOT) {
    OnSnapshotMessage(r, m, now, random);
  }
}

void OnDeliveryFailed(Replica& r, std::uint64_t to, std::int64_t sentUs)
{
  if (r.role == ReplicaRole::Leader) {
    HandleDeliveryFailure(r, to, sentUs);
  }
}

void OnSynced(Replica& r)
{
  r.synced = r.log.LastIndex();
  AdvanceCommit(r);
}

std::optional<std::uint64_t> Propose(Replica& r, std::string change,
                                     Elapsed now)
{
  if (r.role != ReplicaRole::Leader) {
    return std::nullopt;
  }
  wire::LogEntry entry;
  entry.set_kind(wire::LogEntry::CHANGE);
  entry.set_change(std::move(change));
  const std::uint64_t index = AppendOwn(r, std::move(entry));
  r.heartbeatDue = now; // the next tick sends all pending entries at once
  return index;
}

std::optional<std::uint64_t> ProposeVoters(Replica& r,
                                           const wire::VoterSet& voters,
                                           Elapsed now)
{
  const bool ownTermCommitted = r.log.TermAt(r.commit) == r.hard.term();
  const bool lastChangeCommitted = r.votersIndex <= r.commit;
  const bool allowed = r.role == ReplicaRole::Leader && ownTermCommitted &&
                       lastChangeCommitted && voters.voters_size() > 0 &&
                       CountDifferentVoters(r.voters, voters) <= 1;
  if (!allowed) {
    return std::nullopt;
  }
  wire::LogEntry entry;
  entry.set_kind(wire::LogEntry::VOTERS);
  *entry.mutable_voters() = voters;
  const std::uint64_t index = AppendOwn(r, std::move(entry));
  TrackPeers(r, now);
  r.heartbeatDue = now;
  return index;
}

const wire::LogEntry* NextCommitted(const Replica& r)
{
  const std::uint64_t next = r.applied + 1;
  return next <= r.commit && r.log.Has(next) ? &r.log.At(next) : nullptr;
}

void MarkApplied(Replica& r, std::uint64_t index)
{
  r.applied = index;
}

void Compact(Replica& r, std::string state, std::uint64_t retain)
{
  wire::Snapshot snapshot;
  snapshot.set_index(r.applied);
  snapshot.set_term(r.log.TermAt(r.applied));
  snapshot.set_state(std::move(state));
  *snapshot.mutable_voters() = r.snapshot.voters();
  for (std::uint64_t i = r.applied; i >= r.log.FirstIndex(); --i) {
    if (r.log.At(i).kind() == wire::LogEntry::VOTERS) {
      *snapshot.mutable_voters() = r.log.At(i).voters();
      break;
    }
  }
  r.snapshot = std::move(snapshot);
  if (r.applied > retain) {
    r.log.CompactTo(r.applied - retain);
  }
}

Elapsed LeaseEnd(const Replica& r, Elapsed now)
{
  if (r.role != ReplicaRole::Leader ||
      r.log.TermAt(r.commit) != r.hard.term()) {
    return -absl::InfiniteDuration();
  }
  return QuorumAckedSendTime(r, now) +
         r.timing.minElection * r.timing.leaseFraction;
}

bool HoldsLease(const Replica& r, Elapsed now)
{
  return now < LeaseEnd(r, now);
}

ReplicaActions ExtractActions(Replica& r)
{
  ReplicaActions actions = std::move(r.actions);
  r.actions = {};
  const bool savesCommit = actions.NeedsSync() && r.commit > r.hard.commit();
  if (savesCommit) {
    r.hard.set_commit(r.commit);
    actions.saveHardState = true;
  }
  return actions;
}

} // namespace wg
