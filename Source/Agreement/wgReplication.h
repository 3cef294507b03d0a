// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgReplica.h"

// Replication of entries and snapshots from the leader to its peers.
namespace wg::detail {

/** \brief Appends an entry of this leader; returns its index. */
std::uint64_t AppendOwn(Replica& r, wire::LogEntry entry);

/** \brief Sends each peer the entries it lacks, or a heartbeat. */
void SendAppendToAll(Replica& r, Elapsed now);

/** \brief Advances the commit index to what a quorum has synced. */
void AdvanceCommit(Replica& r);

void ReplyAppend(Replica& r, const wire::AgreementMessage& m, bool matched,
                 std::uint64_t match);
void OnAppend(Replica& r, const wire::AgreementMessage& m, Elapsed now,
              absl::BitGenRef random);
void OnSnapshotMessage(Replica& r, const wire::AgreementMessage& m,
                       Elapsed now, absl::BitGenRef random);
void OnAppendReply(Replica& r, const wire::AgreementMessage& m, Elapsed now);

/** \brief Schedules a retransmission if the failed message is in flight. */
void HandleDeliveryFailure(Replica& r, std::uint64_t to, std::int64_t sentUs);

/** \brief Returns the latest send time that a quorum has acknowledged. */
Elapsed QuorumAckedSendTime(const Replica& r, Elapsed now);

/** \brief Steps down without a quorum; else sends heartbeats when due. */
void TickLeader(Replica& r, Elapsed now, absl::BitGenRef random);

} // namespace wg::detail
