// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgKeptFile.h"
#include "wgPeer.pb.h"

namespace wg {

/** \class EndpointFile
 * \brief What a control box knows of endpoints, kept over a restart.
 *
 * Of the endpoints it is a hint, as they register again: without it boxes know
 * none of them after all power was lost, and the last of 44 with heartbeats
 * every 1.2 s was heard 1.4 s after the first control box had started. The
 * versions that served must be there before boxes are told of them.
 */
class EndpointFile
{
public:
  EndpointFile(FileOperations& files, std::string folder);

  /** \brief What the process before kept; nothing where there is no sound
   * file, and no endpoints where it is too old for them to be of use.
   */
  std::optional<wire::RememberedEndpoints> Read(absl::Time now) const;

  /** \brief Writes soon; returns at once. What was handed over before and is
   * not yet written is left out.
   * \param versions revision of the versions that served
   */
  void Keep(wire::RememberedEndpoints endpoints, std::uint64_t versions,
            absl::Time now);

  /** \brief The revision of the versions that was written last; 0: none. */
  std::uint64_t WrittenVersions() const { return file_.WrittenRevision(); }

private:
  KeptFile file_;
};

/** \brief The revisions of what is kept. */
struct KeptRevisions
{
  std::uint64_t endpoints = 0;
  std::uint64_t crashes = 0;
  std::uint64_t versions = 0;
};

/** \brief The revisions that are kept, and since when. */
struct KeepTurns
{
  KeptRevisions revisions;
  Elapsed kept = -absl::InfiniteDuration();
};

/** \brief 300 endpoints are some 30 kB, a write and two syncs. */
constexpr absl::Duration KeepEndpointsPeriod = absl::Seconds(1);
/** \brief What does not change is kept anew at this period, as the age of the
 * file tells how long ago its process ran.
 */
constexpr absl::Duration RefreshEndpointsPeriod = absl::Seconds(20);

/** \brief Whether these revisions are to be kept now: a change at once, in a
 * burst at most once a period. A new version waits for no period.
 */
bool TakeKeepTurn(KeepTurns& turns, const KeptRevisions& revisions,
                  Elapsed now);

} // namespace wg
