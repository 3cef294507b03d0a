// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "wgReplica.h"

// Steps that elections and replication share.
namespace wg::detail {

using Kind = wire::AgreementMessage;

void ResetElectionTimer(Replica& r, Elapsed now, absl::BitGenRef random);

wire::AgreementMessage MakeMessage(const Replica& r, Kind::Kind kind,
                                   std::uint64_t to, std::uint64_t term);

void Send(Replica& r, wire::AgreementMessage message, bool afterSync = true);

/** \brief Finds the voter set in force: the newest in the log, or the
 * snapshot's.
 */
void RecomputeVoters(Replica& r);

/** \brief Called when the newest voter set may have gone or come. */
void TrackPeers(Replica& r, Elapsed now);

void AppendLocal(Replica& r, wire::LogEntry entry);
void TruncateLocal(Replica& r, std::uint64_t from);
void BecomeFollower(Replica& r, std::uint64_t term, std::uint64_t leader);

/** \brief How many voters are a majority. */
std::size_t Quorum(const Replica& r);

/** \brief The value that a quorum of voters has reached, self included. */
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

} // namespace wg::detail
