// SPDX-License-Identifier: Apache-2.0
#include "wgReplication.h"

#include <algorithm>
#include <utility>

#include "wgReplicaDetail.h"

namespace wg::detail {
namespace {

constexpr std::size_t MaxBytesInMessage = 1U << 20U;

enum class AppendCause
{
  Heartbeat,
  Progress
};

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
    if (entry.index() <= peer.sent) {
      peer.sentAgain += entry.change().size();
    }
    peer.sent = std::max(peer.sent, entry.index());
    ++peer.next;
  }
  Send(r, std::move(message), false);
}

/** A message of the leader of the current term has come. */
void HearLeader(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                absl::BitGenRef random)
{
  BecomeFollower(r, m.term(), m.from());
  ResetElectionTimer(r, now, random);
  r.noVoteBefore = now + r.timing.minElection;
  r.waitingPreVote.reset();
}

} // namespace

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

} // namespace wg::detail
