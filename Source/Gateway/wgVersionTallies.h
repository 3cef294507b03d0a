// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgDirectory.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief What this box saw of versions that are rolled out, and of the others
 * beside them, by the number of the order and the route.
 */
struct VersionTallies
{
  std::map<std::pair<std::uint64_t, std::string>, wire::VersionEvidence> seen;
};

/** \brief How an attempt ended. */
struct AttemptSeen
{
  bool failed = false;
  absl::Duration took; // until the first event, or the whole answer
  absl::Duration aim;  // within which it is in time
};

/** \brief Counts an attempt, if a roll-out of its service is in progress. */
void NoteAttemptSeen(VersionTallies& tallies, const Directory& directory,
                     const DirectoryEndpoint& endpoint,
                     absl::string_view route, const AttemptSeen& attempt);

/** \brief Adds what was seen of orders in progress to a call. */
void TellTallies(const VersionTallies& tallies, absl::string_view box,
                 wire::FollowRequest& request);

/** \brief Forgets what was seen of orders that have ended. */
void ForgetTallies(VersionTallies& tallies, const VersionRollouts& rollouts);

} // namespace wg
