// SPDX-License-Identifier: Apache-2.0
#include "wgReplication.h"

#include <algorithm>
#include <utility>

#include "wgReplicaDetail.h"

namespace wg::detail {
namespace {

/** Approximate size of an entry in a message without its change. */
constexpr std::size_t EntryOverheadBytes = 64;

enum class AppendCause
{
  Heartbeat,
  Progress
};

/** Sends entries or a snapshot; heartbeats continue meanwhile. */
void SendBulk(Replica& r, wire::AgreementMessage message, std::size_t bytes,
              std::uint64_t last, Elapsed now)
{
  InFlight& inFlight = r.peers[message.to()].inFlight;
  NoteSent(inFlight, bytes, last, now);
  Send(r, std::move(message), false);
  r.actions.messages.back().minTimeout = AckTimeout(inFlight);
}

void SendSnapshot(Replica& r, std::uint64_t to, Elapsed now)
{
  const InFlight& inFlight = r.peers[to].inFlight;
  if (inFlight.bytes > 0 || inFlight.probing) {
    return;
  }
  auto message = MakeMessage(r, Kind::SNAPSHOT, to, r.hard.term());
  message.set_sent_us(absl::ToInt64Microseconds(now));
  *message.mutable_snapshot() = r.snapshot;
  const std::size_t bytes = r.snapshot.state().size() + EntryOverheadBytes;
  SendBulk(r, std::move(message), bytes, r.snapshot.index(), now);
}

/** Adds as many entries as the send window allows; returns their bytes. */
std::size_t AddEntries(const Replica& r, PeerProgress& peer,
                       wire::AgreementMessage& message)
{
  const std::size_t window = SendWindow(peer.inFlight);
  std::size_t bytes = 0;
  while (r.log.Has(peer.next) && bytes < window &&
         message.entries_size() < r.timing.maxEntriesInMessage) {
    const wire::LogEntry& entry = r.log.At(peer.next);
    bytes += entry.change().size() + EntryOverheadBytes;
    *message.add_entries() = entry;
    if (entry.index() <= peer.sent) {
      peer.retransmittedBytes += entry.change().size();
    }
    peer.sent = std::max(peer.sent, entry.index());
    ++peer.next;
  }
  return bytes;
}

/** Returns the index of the entry that the entries of a message follow. During
 * a large transfer it is one that the replica is known to hold: a heartbeat
 * overtakes the transfer and would be rejected otherwise.
 */
std::uint64_t PrecedingIndex(const Replica& r, const PeerProgress& peer)
{
  if (IsLarge(peer.inFlight)) {
    return peer.match;
  }
  const bool needsSnapshot = peer.next < r.log.FirstIndex();
  return needsSnapshot ? r.log.LastIndex() : peer.next - 1;
}

void SendAppend(Replica& r, std::uint64_t to, Elapsed now, AppendCause cause)
{
  PeerProgress& peer = r.peers[to];
  const bool needsSnapshot = peer.next < r.log.FirstIndex();
  if (needsSnapshot) {
    SendSnapshot(r, to, now);
  }
  const bool mayAdd =
    !needsSnapshot && !IsLarge(peer.inFlight) && !peer.inFlight.probing;
  if (!mayAdd && cause != AppendCause::Heartbeat) {
    return;
  }
  auto message = MakeMessage(r, Kind::APPEND, to, r.hard.term());
  message.set_commit(r.commit);
  message.set_sent_us(absl::ToInt64Microseconds(now));
  const std::uint64_t preceding = PrecedingIndex(r, peer);
  message.set_last_index(preceding);
  message.set_last_term(r.log.TermAt(preceding));
  const std::size_t bytes = mayAdd ? AddEntries(r, peer, message) : 0;
  if (bytes > 0) {
    SendBulk(r, std::move(message), bytes, peer.next - 1, now);
  } else {
    Send(r, std::move(message), false);
  }
}

std::int64_t SentUs(const InFlight& inFlight)
{
  return absl::ToInt64Microseconds(inFlight.sent);
}

/** Restarts after the last entry that the replica is known to hold. */
void ResendTo(PeerProgress& peer)
{
  NoteLost(peer.inFlight);
  peer.next = peer.match + 1;
}

/** Handles contact with the leader of the current term. */
void OnLeaderContact(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                     absl::BitGenRef random)
{
  BecomeFollower(r, m.term(), m.from());
  ResetElectionTimer(r, now, random);
  r.noVoteBefore = now + r.timing.minElection;
  r.deferredPreVote.reset();
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
  // Only entries of this term commit by quorum; earlier ones commit with them.
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
  OnLeaderContact(r, m, now, random);
  const std::uint64_t preceding = m.last_index();
  const bool known =
    preceding <= r.commit || (preceding <= r.log.LastIndex() &&
                              r.log.TermAt(preceding) == m.last_term());
  if (!known) {
    ReplyAppend(r, m, false, std::min(preceding - 1, r.log.LastIndex()));
    return;
  }
  std::uint64_t last = preceding;
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
  OnLeaderContact(r, m, now, random);
  const wire::Snapshot& snapshot = m.snapshot();
  if (snapshot.index() <= r.commit) {
    ReplyAppend(r, m, true, r.commit);
    return;
  }
  if (r.log.TermAt(snapshot.index()) == snapshot.term()) {
    // Entries after the snapshot may count towards a quorum and must stay.
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
  peer.ackedSendTime =
    std::max(peer.ackedSendTime, absl::Microseconds(m.sent_us()));
  NoteReply(peer.inFlight);
  if (!m.granted()) {
    const bool isTransferReply = m.sent_us() == SentUs(peer.inFlight);
    if (IsLarge(peer.inFlight) && !isTransferReply) {
      return; // reply to a message that overtook the transfer
    }
    // A delayed rejection must not undo what is known to match.
    peer.inFlight = {};
    peer.next = std::max(peer.match, std::min(peer.next - 1, m.match())) + 1;
    SendAppend(r, m.from(), now, AppendCause::Progress);
    return;
  }
  if (m.match() > peer.match) {
    peer.match = m.match();
    NoteAcknowledged(peer.inFlight, peer.match, now);
  }
  peer.next = std::max(peer.next, peer.match + 1);
  AdvanceCommit(r);
  if (r.role == ReplicaRole::Leader && r.log.Has(peer.next)) {
    SendAppend(r, m.from(), now, AppendCause::Progress);
  }
}

void HandleDeliveryFailure(Replica& r, std::uint64_t to, std::int64_t sentUs)
{
  auto found = r.peers.find(to);
  if (found == r.peers.end()) {
    return;
  }
  InFlight& inFlight = found->second.inFlight;
  if (inFlight.bytes > 0 && sentUs == SentUs(inFlight)) {
    ResendTo(found->second);
  }
}

Elapsed QuorumAckedSendTime(const Replica& r, Elapsed now)
{
  return QuorumValue<Elapsed>(
    r, now, [](const PeerProgress& peer) { return peer.ackedSendTime; });
}

void TickLeader(Replica& r, Elapsed now, absl::BitGenRef random)
{
  const Elapsed lastContact =
    QuorumValue<Elapsed>(r, now, [](const auto& peer) {
      return std::max(peer.ackedSendTime, peer.trackedSince);
    });
  if (now - lastContact >= r.timing.maxElection) {
    BecomeFollower(r, r.hard.term(), 0);
    ResetElectionTimer(r, now, random);
    return;
  }
  if (now < r.heartbeatDue) {
    return;
  }
  for (auto& [id, peer] : r.peers) {
    const InFlight& inFlight = peer.inFlight;
    const bool isLost =
      inFlight.bytes > 0 && now - inFlight.noAckSince > AckTimeout(inFlight);
    if (isLost) {
      ResendTo(peer);
    }
  }
  SendAppendToAll(r, now);
}

} // namespace wg::detail
