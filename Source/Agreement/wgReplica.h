// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgInFlight.h"
#include "wgPeer.pb.h"
#include "wgReplicaLog.h"

namespace wg {

/** \brief The periods of the agreement; the same on every replica. */
struct AgreementTiming
{
  absl::Duration heartbeat = absl::Milliseconds(50);
  absl::Duration minElection = absl::Milliseconds(400);
  absl::Duration maxElection = absl::Milliseconds(800);
  int maxEntriesInMessage = 256;
  /** What is known to be committed is written at the latest after this time.
   * A change takes some 50 ms, so that it does not wait for this write.
   */
  absl::Duration keepCommitAfter = absl::Milliseconds(250);
  /** Part of minElection that a lease lasts; the rest covers clock drift. */
  double leaseShare = 0.8;
};

enum class ReplicaRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/** \brief What a leader knows of one other replica. */
struct PeerProgress
{
  std::uint64_t next = 1;
  std::uint64_t match = 0;
  Elapsed acknowledgedSend = -absl::InfiniteDuration();
  Elapsed trackedSince = -absl::InfiniteDuration();
  InFlight inFlight;
  std::uint64_t sent = 0;      // the newest entry that was ever sent
  std::uint64_t sentAgain = 0; // bytes of entries that had been sent before
};

/** \brief A message, and whether it must wait for the disk. */
struct OutgoingMessage
{
  wire::AgreementMessage message;
  bool afterSync = true;
  /** How long it may take; a call that ends sooner would never get a large
   * message over a poor link.
   */
  absl::Duration patience = absl::ZeroDuration();
};

/** \brief What the caller must do after a step, in this order: install the
 * snapshot, truncate, append, save the hard state, send what need not wait,
 * sync, call OnSynced, send the rest.
 */
struct ReplicaActions
{
  std::optional<wire::Snapshot> install;
  std::optional<std::uint64_t> truncateFrom;
  std::vector<wire::LogEntry> append;
  bool saveHardState = false;
  std::vector<OutgoingMessage> messages;

  bool NeedsSync() const
  {
    return install || truncateFrom || !append.empty() || saveHardState;
  }
};

/** \brief One replica of the replicated log. Changed only by the functions
 * below; they take time, chance and events and leave what is to be done in
 * `actions`.
 */
struct Replica
{
  wire::Voter self;
  std::string cluster;
  AgreementTiming timing;

  // Durable once synced.
  wire::HardState hard;
  ReplicaLog log;
  wire::Snapshot snapshot;

  // Volatile.
  ReplicaRole role = ReplicaRole::Follower;
  std::uint64_t leader = 0;
  std::uint64_t commit = 0;
  std::uint64_t applied = 0;
  std::uint64_t synced = 0;
  wire::VoterSet voters;
  std::uint64_t votersIndex = 0;
  Elapsed commitKeepDue = absl::InfiniteDuration();
  Elapsed electionDue;
  Elapsed heartbeatDue;
  Elapsed noVoteBefore; // a leader was heard, or a restart was, before it
  bool knowsMoreThanCandidate = false; // than the last that asked for a vote
  /** Came before this replica may vote; answered once it may. */
  std::optional<wire::AgreementMessage> waitingPreVote;
  std::set<std::uint64_t> grants;
  std::map<std::uint64_t, PeerProgress> peers;
  ReplicaActions actions;
};

/** \brief Bytes of entries that this leader has sent more than once. */
std::uint64_t BytesSentAgain(const Replica& replica);

/** \brief Starts a replica from what its disk holds. */
void StartReplica(Replica& replica, Elapsed now, absl::BitGenRef random);

/** \brief Makes this replica the only voter of a new cluster. */
void FoundCluster(Replica& replica, Elapsed now);

void OnTick(Replica& replica, Elapsed now, absl::BitGenRef random);
void OnMessage(Replica& replica, const wire::AgreementMessage& message,
               Elapsed now, absl::BitGenRef random);

/** \brief A message with entries or a snapshot did not reach a replica. */
void OnNotDelivered(Replica& replica, std::uint64_t to, std::int64_t sentUs);

/** \brief All that `actions` asked to be written is on the disk. */
void OnSynced(Replica& replica);

/** \brief Appends a change; its index, or nothing when not the leader. */
std::optional<std::uint64_t> Propose(Replica& replica, std::string change,
                                     Elapsed now);

/** \brief Appends a new voter set that differs in one voter at most; nothing
 * when that is not allowed now.
 */
std::optional<std::uint64_t> ProposeVoters(Replica& replica,
                                           const wire::VoterSet& voters,
                                           Elapsed now);

/** \brief The next entry to apply, or null. Call Applied after applying. */
const wire::LogEntry* NextCommitted(const Replica& replica);
void Applied(Replica& replica, std::uint64_t index);

/** \brief Takes the state at the applied index as the new snapshot and
 * forgets all but the last `retain` entries before it.
 */
void Compact(Replica& replica, std::string state, std::uint64_t retain);

/** \brief Until when this leader's lease lasts, as far as it knows now; long
 * past when it has none.
 */
Elapsed LeaseEnd(const Replica& replica, Elapsed now);

/** \brief Whether a read of the applied state can not be stale. */
bool HoldsLease(const Replica& replica, Elapsed now);

bool IsVoter(const wire::VoterSet& voters, std::uint64_t id);
bool IsLearner(const wire::VoterSet& voters, std::uint64_t id);

/** \brief Takes what is to be done, and leaves nothing. */
ReplicaActions TakeActions(Replica& replica);

} // namespace wg
