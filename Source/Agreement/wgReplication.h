// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgReplica.h"

// How entries and snapshots get from the leader to the other replicas.
namespace wg::detail {

/** \brief Appends an entry of the leader's own; its index. */
std::uint64_t AppendOwn(Replica& r, wire::LogEntry entry);

/** \brief Sends each peer what it lacks, or a heartbeat. */
void SendAppendToAll(Replica& r, Elapsed now);

/** \brief Takes in that more is synced on a quorum. */
void AdvanceCommit(Replica& r);

void ReplyAppend(Replica& r, const wire::AgreementMessage& m, bool matched,
                 std::uint64_t match);
void OnAppend(Replica& r, const wire::AgreementMessage& m, Elapsed now,
              absl::BitGenRef random);
void OnSnapshotMessage(Replica& r, const wire::AgreementMessage& m,
                       Elapsed now, absl::BitGenRef random);
void OnAppendReply(Replica& r, const wire::AgreementMessage& m, Elapsed now);

/** \brief What was sent to a replica at a time will not arrive. */
void NotDelivered(Replica& r, std::uint64_t to, std::int64_t sentUs);

/** \brief The latest time at which something was sent that a quorum has
 * acknowledged.
 */
Elapsed QuorumAckedSendTime(const Replica& r, Elapsed now);

/** \brief Steps down without a quorum; else heartbeats when they are due. */
void TickLeader(Replica& r, Elapsed now, absl::BitGenRef random);

} // namespace wg::detail
