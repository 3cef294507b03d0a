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

/** \brief Timing of the consensus protocol; the same on every replica. */
struct AgreementTiming
{
  absl::Duration heartbeat = absl::Milliseconds(50);
  // Bounds of the random election timeout.
  absl::Duration minElection = absl::Milliseconds(400);
  absl::Duration maxElection = absl::Milliseconds(800);
  int maxEntriesInMessage = 256;
  /** Longest time for which an advanced commit index stays unsaved. A change
   * completes in about 50 ms, before this extra write is due.
   */
  absl::Duration commitSaveDelay = absl::Milliseconds(250);
  /** Lease duration as a fraction of minElection; the rest covers clock drift.
   */
  double leaseFraction = 0.8;
};

enum class ReplicaRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/** \brief Replication progress of one peer, kept by the leader. */
struct PeerProgress
{
  std::uint64_t next = 1;  // index of the next entry to send
  std::uint64_t match = 0; // highest index known to be replicated
  /** Send time of the newest message that the replica has acknowledged. */
  Elapsed ackedSendTime = -absl::InfiniteDuration();
  Elapsed trackedSince = -absl::InfiniteDuration();
  InFlight inFlight;
  std::uint64_t sent = 0; // highest index sent so far
  std::uint64_t retransmittedBytes = 0;
};

/** \brief A message to another replica, with its sending constraints. */
struct OutgoingMessage
{
  wire::AgreementMessage message;
  bool afterSync = true; // send only after pending writes have been synced
  /** Minimum timeout of the call, so that a large message can complete over a
   * slow link.
   */
  absl::Duration minTimeout = absl::ZeroDuration();
};

/** \brief Work that the caller must do after a step, in this order: install
 * the snapshot, truncate the log, append entries, save the hard state, send
 * messages without `afterSync`, sync, call OnSynced, send the other messages.
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

/** \brief State machine of one replica of the replicated log.
 *
 * Only the functions below change it. They do no I/O: time, randomness and
 * events are arguments, and the resulting work is queued in `actions`.
 */
struct Replica
{
  wire::Voter self;
  std::string cluster;
  AgreementTiming timing;

  // Persistent state, durable once synced.
  wire::HardState hard;
  ReplicaLog log;
  wire::Snapshot snapshot;

  // Volatile state.
  ReplicaRole role = ReplicaRole::Follower;
  std::uint64_t leader = 0;
  std::uint64_t commit = 0;
  std::uint64_t applied = 0;
  std::uint64_t synced = 0;
  wire::VoterSet voters;
  std::uint64_t votersIndex = 0;
  Elapsed commitSaveDue = absl::InfiniteDuration();
  Elapsed electionDue;
  Elapsed heartbeatDue;
  /** Votes are refused until this time, minElection after the last contact
   * with a leader or the last restart.
   */
  Elapsed noVoteBefore;
  /** Whether the candidate of the last vote request had an older log. */
  bool hasNewerLogThanCandidate = false;
  /** Pre-vote request that came too early; answered from noVoteBefore on. */
  std::optional<wire::AgreementMessage> deferredPreVote;
  std::set<std::uint64_t> grants;
  std::map<std::uint64_t, PeerProgress> peers;
  ReplicaActions actions;
};

/** \brief Returns the bytes of log entries retransmitted to current peers. */
std::uint64_t RetransmittedBytes(const Replica& replica);

/** \brief Initializes the volatile state from the loaded persistent state. */
void StartReplica(Replica& replica, Elapsed now, absl::BitGenRef random);

/** \brief Bootstraps a new cluster with this replica as its only voter. */
void BootstrapCluster(Replica& replica, Elapsed now);

void OnTick(Replica& replica, Elapsed now, absl::BitGenRef random);
void OnMessage(Replica& replica, const wire::AgreementMessage& message,
               Elapsed now, absl::BitGenRef random);

/** \brief Handles the failed delivery of entries or of a snapshot.
 * \param sentUs  sent_us of the message
 */
void OnDeliveryFailed(Replica& replica, std::uint64_t to, std::int64_t sentUs);

/** \brief Records that all requested writes are durable. */
void OnSynced(Replica& replica);

/** \brief Appends a change; returns its index, or nothing if not the leader.
 */
std::optional<std::uint64_t> Propose(Replica& replica, std::string change,
                                     Elapsed now);

/** \brief Appends a voter set that differs in at most one voter. Returns
 * nothing unless this leader has committed an entry of its term and the last
 * voter change.
 */
std::optional<std::uint64_t> ProposeVoters(Replica& replica,
                                           const wire::VoterSet& voters,
                                           Elapsed now);

/** \brief Returns the next entry to apply, or null. Call MarkApplied after
 * applying it.
 */
const wire::LogEntry* NextCommitted(const Replica& replica);
void MarkApplied(Replica& replica, std::uint64_t index);

/** \brief Replaces the snapshot by `state`, which is that at the applied
 * index, and drops all but the last `retain` entries up to it.
 */
void Compact(Replica& replica, std::string state, std::uint64_t retain);

/** \brief Returns when the leader lease expires by the acknowledgements
 * received so far; minus infinity if there is none.
 */
Elapsed LeaseEnd(const Replica& replica, Elapsed now);

/** \brief Returns whether reads of the applied state are certain to be
 * current.
 */
bool HoldsLease(const Replica& replica, Elapsed now);

bool IsVoter(const wire::VoterSet& voters, std::uint64_t id);
bool IsLearner(const wire::VoterSet& voters, std::uint64_t id);

/** \brief Returns and clears the pending actions; if they need a sync, they
 * also save the commit index.
 */
ReplicaActions ExtractActions(Replica& replica);

} // namespace wg
