// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <google/protobuf/repeated_field.h>

#include "wgElapsed.h"
#include "wgPeer.pb.h"
#include "wgVersionRollout.h"

namespace wg {

/** \brief What a control box knows of roll-outs in progress besides the
 * replicated state: when it learned of them, and what boxes have seen. Each
 * keeps it, so that one that begins to lead goes on at once.
 */
struct VersionConductor
{
  struct Watch
  {
    std::uint64_t number = 0;
    Elapsed began;
    absl::Duration before;      // elapsed since the order, when it began
    wire::MoveVersion proposed; // the last one
    Elapsed proposedAt = -absl::InfiniteDuration();
    std::string faults; // of the version, as of the last decision
  };
  /** Box, number of the order, route. */
  using EvidenceKey = std::tuple<std::string, std::uint64_t, std::string>;

  std::map<std::string, Watch> watches; // by service
  std::map<EvidenceKey, wire::VersionEvidence> evidence;
  Elapsed next; // when the orders are looked at again
};

using VersionEvidences =
  google::protobuf::RepeatedPtrField<wire::VersionEvidence>;

/** \brief Takes in what boxes saw, as far as it is of an order in progress.
 * A box's counts only grow; of two words of one the larger is the later.
 */
void TakeEvidence(VersionConductor& conductor, const VersionRollouts& rollouts,
                  const VersionEvidences& evidence);

/** \brief Notes new orders and forgets ended ones, at most every 100 ms.
 * \return what the leader decides now
 */
std::vector<wire::MoveVersion> NextMoves(VersionConductor& conductor,
                                         const VersionRollouts& rollouts,
                                         Elapsed now);

/** \brief All evidence, for another control box. */
void AddEvidence(const VersionConductor& conductor,
                 wire::FollowRequest& request);

} // namespace wg
