// SPDX-License-Identifier: Apache-2.0
#include "wgReplica.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"

namespace wg {
namespace {

constexpr std::size_t MaxBytesInMessage = 1U << 20U;

using Kind = wire::AgreementMessage;

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

void Send(Replica& r, wire::AgreementMessage message, bool afterSync = true)
{
  r.actions.messages.push_back({ std::move(message), afterSync });
}

/** Finds the voter set in force: the newest in the log, or the snapshot's. */
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

/** Called when the newest voter set may have gone or come. */
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
      fresh.lastProgress = now;
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
    r.knowsMoreThanCandidate = false;
  }
}

std::size_t Quorum(const Replica& r)
{
  return static_cast<std::size_t>(r.voters.voters_size()) / 2 + 1;
}

/** The value that a quorum of voters has reached, self included. */
template <class T, class OfPeer>
T QuorumValue(const Replica& r, T own, OfPeer ofPeer)
{
  std::vector<T> values;
  for (const wire::Voter& voter : r.voters.voters()) {
    if (voter.id() == r.self.id()) {
      values.push_back(own);
      continue;
    }
    auto found = r.peers.find(voter.id());
    values.push_back(found == r.peers.end() ? T{} : ofPeer(found->second));
  }
  std::sort(values.begin(), values.end(), std::greater<T>());
  return values[Quorum(r) - 1];
}

void SendSnapshot(Replica& r, std::uint64_t to, PeerProgress& peer,
                  Elapsed now)
{
  if (now - peer.snapshotSent < r.timing.snapshotRetry) {
    return;
  }
  peer.snapshotSent = now;
  auto message = MakeMessage(r, Kind::SNAPSHOT, to, r.hard.term());
  message.set_sent_us(absl::ToInt64Microseconds(now));
  *message.mutable_snapshot() = r.snapshot;
  Send(r, std::move(message), false);
}

enum class AppendCause
{
  Heartbeat,
  Progress
};

void SendAppend(Replica& r, std::uint64_t to, Elapsed now, AppendCause cause)
{
  PeerProgress& peer = r.peers[to];
  const bool needsSnapshot = peer.next < r.log.FirstIndex();
  if (needsSnapshot) {
    SendSnapshot(r, to, peer, now);
    if (cause != AppendCause::Heartbeat) {
      return; // only heartbeats until the snapshot has arrived
    }
  }
  auto message = MakeMessage(r, Kind::APPEND, to, r.hard.term());
  message.set_commit(r.commit);
  message.set_sent_us(absl::ToInt64Microseconds(now));
  const std::uint64_t before =
    needsSnapshot ? r.log.LastIndex() : peer.next - 1;
  message.set_last_index(before);
  message.set_last_term(r.log.TermAt(before));
  std::size_t bytes = 0;
  while (!needsSnapshot && r.log.Has(peer.next) && bytes < MaxBytesInMessage &&
         message.entries_size() < r.timing.maxEntriesInMessage) {
    const wire::LogEntry& entry = r.log.At(peer.next);
    bytes += entry.change().size();
    *message.add_entries() = entry;
    ++peer.next;
  }
  Send(r, std::move(message), false);
}

void SendAppendToAll(Replica& r, Elapsed now)
{
  r.heartbeatDue = now + r.timing.heartbeat;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, peer] : r.peers) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    SendAppend(r, id, now, AppendCause::Heartbeat);
  }
}

std::uint64_t AppendOwn(Replica& r, wire::LogEntry entry)
{
  entry.set_index(r.log.LastIndex() + 1);
  entry.set_term(r.hard.term());
  const std::uint64_t index = entry.index();
  AppendLocal(r, std::move(entry));
  return index;
}

void AdvanceCommit(Replica& r)
{
  if (r.role != ReplicaRole::Leader) {
    return;
  }
  const auto reached = QuorumValue<std::uint64_t>(
    r, r.synced, [](const PeerProgress& peer) { return peer.match; });
  // Only an entry of this term commits by count; it carries those before.
  if (reached <= r.commit || r.log.TermAt(reached) != r.hard.term()) {
    return;
  }
  r.commit = reached;
  const bool removed =
    r.commit >= r.votersIndex && !IsVoter(r.voters, r.self.id());
  if (removed) {
    BecomeFollower(r, r.hard.term(), 0);
  }
}

void BecomeLeader(Replica& r, Elapsed now)
{
  r.role = ReplicaRole::Leader;
  r.leader = r.self.id();
  r.grants.clear();
  r.peers.clear();
  TrackPeers(r, now);
  wire::LogEntry noop;
  noop.set_kind(wire::LogEntry::NOOP);
  AppendOwn(r, std::move(noop));
  SendAppendToAll(r, now);
}

void AskForVotes(Replica& r, Kind::Kind kind, std::uint64_t term)
{
  for (const wire::Voter& voter : r.voters.voters()) {
    if (voter.id() == r.self.id()) {
      continue;
    }
    auto message = MakeMessage(r, kind, voter.id(), term);
    message.set_last_index(r.log.LastIndex());
    message.set_last_term(r.log.LastTerm());
    Send(r, std::move(message));
  }
}

/** A replica without a vote stands only when it was asked to vote and knows
 * more than who asked: else neither of them could ever be elected.
 */
bool MayStand(const Replica& r)
{
  return IsVoter(r.voters, r.self.id()) ||
         (r.knowsMoreThanCandidate && r.voters.voters_size() > 0);
}

std::set<std::uint64_t> OwnVote(const Replica& r)
{
  return IsVoter(r.voters, r.self.id())
           ? std::set<std::uint64_t>{ r.self.id() }
           : std::set<std::uint64_t>{};
}

void StartElection(Replica& r, Elapsed now)
{
  r.role = ReplicaRole::Candidate;
  r.hard.set_term(r.hard.term() + 1);
  r.hard.set_vote(r.self.id());
  r.actions.saveHardState = true;
  r.grants = OwnVote(r);
  if (r.grants.size() >= Quorum(r)) {
    BecomeLeader(r, now);
    return;
  }
  AskForVotes(r, Kind::VOTE, r.hard.term());
}

void StartPreVote(Replica& r, Elapsed now, absl::BitGenRef random)
{
  ResetElectionTimer(r, now, random);
  if (!MayStand(r)) {
    return;
  }
  r.role = ReplicaRole::PreCandidate;
  r.leader = 0;
  r.grants = OwnVote(r);
  if (r.grants.size() >= Quorum(r)) {
    StartElection(r, now);
    return;
  }
  AskForVotes(r, Kind::PRE_VOTE, r.hard.term() + 1);
}

bool IsLogAtLeastOurs(const Replica& r, const wire::AgreementMessage& m)
{
  if (m.last_term() != r.log.LastTerm()) {
    return m.last_term() > r.log.LastTerm();
  }
  return m.last_index() >= r.log.LastIndex();
}

void OnVoteRequest(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                   absl::BitGenRef random)
{
  const bool isPreVote = m.kind() == Kind::PRE_VOTE;
  // Whether this replica is a voter is for the candidate to know: its log may
  // hold the change that made it one, and ours not yet.
  const bool mayVote = now >= r.noVoteBefore && r.role != ReplicaRole::Leader;
  if (!mayVote) {
    return;
  }
  if (!isPreVote && m.term() > r.hard.term()) {
    BecomeFollower(r, m.term(), 0);
  }
  const bool freeToVote =
    isPreVote ? m.term() > r.hard.term()
              : m.term() == r.hard.term() &&
                  (r.hard.vote() == 0 || r.hard.vote() == m.from());
  const bool knowsAsMuch = IsLogAtLeastOurs(r, m);
  const bool granted = freeToVote && knowsAsMuch;
  r.knowsMoreThanCandidate = !knowsAsMuch;
  if (granted && !isPreVote) {
    r.hard.set_vote(m.from());
    r.actions.saveHardState = true;
    ResetElectionTimer(r, now, random);
  }
  auto reply =
    MakeMessage(r, isPreVote ? Kind::PRE_VOTE_REPLY : Kind::VOTE_REPLY,
                m.from(), granted ? m.term() : r.hard.term());
  reply.set_granted(granted);
  Send(r, std::move(reply));
}

void OnVoteReply(Replica& r, const wire::AgreementMessage& m, Elapsed now)
{
  const bool isPreVote = m.kind() == Kind::PRE_VOTE_REPLY;
  const ReplicaRole expected =
    isPreVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
  const std::uint64_t term = r.hard.term() + (isPreVote ? 1 : 0);
  const bool counts = r.role == expected && m.granted() && m.term() == term &&
                      IsVoter(r.voters, m.from());
  if (!counts) {
    return;
  }
  r.grants.insert(m.from());
  if (r.grants.size() < Quorum(r)) {
    return;
  }
  if (isPreVote) {
    StartElection(r, now);
  } else {
    BecomeLeader(r, now);
  }
}

/** A message of the leader of the current term has come. */
void HearLeader(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                absl::BitGenRef random)
{
  BecomeFollower(r, m.term(), m.from());
  ResetElectionTimer(r, now, random);
  r.noVoteBefore = now + r.timing.minElection;
}

void ReplyAppend(Replica& r, const wire::AgreementMessage& m, bool matched,
                 std::uint64_t match)
{
  auto reply = MakeMessage(r, Kind::APPEND_REPLY, m.from(), r.hard.term());
  reply.set_granted(matched);
  reply.set_match(match);
  reply.set_sent_us(m.sent_us());
  Send(r, std::move(reply));
}

void OnAppend(Replica& r, const wire::AgreementMessage& m, Elapsed now,
              absl::BitGenRef random)
{
  HearLeader(r, m, now, random);
  const std::uint64_t before = m.last_index();
  const bool known =
    before <= r.commit ||
    (before <= r.log.LastIndex() && r.log.TermAt(before) == m.last_term());
  if (!known) {
    ReplyAppend(r, m, false, std::min(before - 1, r.log.LastIndex()));
    return;
  }
  std::uint64_t last = before;
  for (const wire::LogEntry& entry : m.entries()) {
    last = entry.index();
    if (entry.index() <= r.commit) {
      continue;
    }
    if (r.log.Has(entry.index()) &&
        r.log.TermAt(entry.index()) != entry.term()) {
      TruncateLocal(r, entry.index());
    }
    if (!r.log.Has(entry.index())) {
      AppendLocal(r, entry);
    }
  }
  r.commit = std::max(r.commit, std::min(m.commit(), last));
  ReplyAppend(r, m, true, std::max(last, r.commit));
}

void OnSnapshotMessage(Replica& r, const wire::AgreementMessage& m,
                       Elapsed now, absl::BitGenRef random)
{
  HearLeader(r, m, now, random);
  const wire::Snapshot& snapshot = m.snapshot();
  if (snapshot.index() <= r.commit) {
    ReplyAppend(r, m, true, r.commit);
    return;
  }
  if (r.log.TermAt(snapshot.index()) == snapshot.term()) {
    // The entries after it may count for a quorum: they must stay.
    r.commit = snapshot.index();
    ReplyAppend(r, m, true, r.commit);
    return;
  }
  r.snapshot = snapshot;
  r.log.Reset(snapshot.index(), snapshot.term());
  r.commit = snapshot.index();
  r.applied = snapshot.index();
  r.synced = snapshot.index();
  r.actions.append.clear();
  r.actions.truncateFrom.reset();
  r.actions.install = snapshot;
  RecomputeVoters(r);
  ReplyAppend(r, m, true, snapshot.index());
}

void OnAppendReply(Replica& r, const wire::AgreementMessage& m, Elapsed now)
{
  auto found = r.peers.find(m.from());
  const bool counts = r.role == ReplicaRole::Leader &&
                      m.term() == r.hard.term() && found != r.peers.end();
  if (!counts) {
    return;
  }
  PeerProgress& peer = found->second;
  peer.acknowledgedSend =
    std::max(peer.acknowledgedSend, absl::Microseconds(m.sent_us()));
  if (!m.granted()) {
    // A late refusal must not undo what is known to match.
    peer.next = std::max(peer.match, std::min(peer.next - 1, m.match())) + 1;
    SendAppend(r, m.from(), now, AppendCause::Progress);
    return;
  }
  if (m.match() > peer.match) {
    peer.match = m.match();
    peer.lastProgress = now;
  }
  peer.next = std::max(peer.next, peer.match + 1);
  AdvanceCommit(r);
  if (r.role == ReplicaRole::Leader && r.log.Has(peer.next)) {
    SendAppend(r, m.from(), now, AppendCause::Progress);
  }
}

Elapsed QuorumAcknowledgedSend(const Replica& r, Elapsed now)
{
  return QuorumValue<Elapsed>(
    r, now, [](const PeerProgress& peer) { return peer.acknowledgedSend; });
}

void TickLeader(Replica& r, Elapsed now, absl::BitGenRef random)
{
  const Elapsed heard = QuorumValue<Elapsed>(r, now, [](const auto& peer) {
    return std::max(peer.acknowledgedSend, peer.trackedSince);
  });
  if (now - heard >= r.timing.maxElection) {
    BecomeFollower(r, r.hard.term(), 0);
    ResetElectionTimer(r, now, random);
    return;
  }
  if (now < r.heartbeatDue) {
    return;
  }
  for (auto& [id, peer] : r.peers) {
    const bool stalled = peer.next > peer.match + 1 &&
                         now - peer.lastProgress > 2 * r.timing.heartbeat;
    if (stalled) {
      peer.next = peer.match + 1;
    }
  }
  SendAppendToAll(r, now);
}

/** How many voters are in one set and not in the other. */
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
  r.commit = r.snapshot.index();
  r.applied = r.snapshot.index();
  r.synced = r.log.LastIndex();
  RecomputeVoters(r);
  ResetElectionTimer(r, now, random);
  // A leader heard before the restart may count on this replica's silence.
  r.noVoteBefore = now + r.timing.minElection;
}

void FoundCluster(Replica& r, Elapsed now)
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
  const bool isGrantAhead = isPreVoteReply && m.granted();
  if (m.term() > r.hard.term() && !isGrantAhead) {
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
    ReplyAppend(r, m, false, 0); // tells an old leader the new term
    return;
  }
  if (m.kind() == Kind::APPEND) {
    OnAppend(r, m, now, random);
  } else if (m.kind() == Kind::SNAPSHOT) {
    OnSnapshotMessage(r, m, now, random);
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
  r.heartbeatDue = now; // the next tick sends all that has gathered
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

void Applied(Replica& r, std::uint64_t index)
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
  return QuorumAcknowledgedSend(r, now) +
         r.timing.minElection * r.timing.leaseShare;
}

bool HoldsLease(const Replica& r, Elapsed now)
{
  return now < LeaseEnd(r, now);
}

ReplicaActions TakeActions(Replica& r)
{
  ReplicaActions taken = std::move(r.actions);
  r.actions = {};
  return taken;
}

} // namespace wg
