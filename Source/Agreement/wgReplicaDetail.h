// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "wgReplica.h"

// Helpers of both elections and replication.
namespace wg::detail {

using Kind = wire::AgreementMessage;

void ResetElectionTimer(Replica& r, Elapsed now, absl::BitGenRef random);

wire::AgreementMessage MakeMessage(const Replica& r, Kind::Kind kind,
                                   std::uint64_t to, std::uint64_t term);

void Send(Replica& r, wire::AgreementMessage message, bool afterSync = true);

/** \brief Sets the voters to the newest set in the log, else the snapshot's.
 */
void RecomputeVoters(Replica& r);

/** \brief Adds and removes peers to match the voters and learners. */
void TrackPeers(Replica& r, Elapsed now);

void AppendLocal(Replica& r, wire::LogEntry entry);
void TruncateLocal(Replica& r, std::uint64_t from);
void BecomeFollower(Replica& r, std::uint64_t term, std::uint64_t leader);

/** \brief Returns the size of a majority of the voters. */
std::size_t Quorum(const Replica& r);

/** \brief Returns the highest value that a quorum has reached, self included.
 */
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
