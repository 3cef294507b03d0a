// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"
#include "wgStreamOrigin.h"

namespace wg {

/** \brief The software versions of each service that a control box has told
 * boxes of, now and lately.
 *
 * A version is on the disk before boxes are told of its first endpoint, so
 * that no restart forgets one that has begun a stream.
 */
struct VersionHistory
{
  struct Version
  {
    Elapsed served;          // when it was last known to serve
    std::uint64_t added = 0; // revision that added it
  };
  std::map<std::pair<std::string, std::string>, Version> versions;
  std::uint64_t revision = 1; // of the set of versions
  std::uint64_t written = 0;  // revision that is on the disk
  /** No version that served later is missing. */
  Elapsed coveredSince = -absl::InfiniteDuration();
  /** Revision of a version that boxes were told of before it was written; 0:
   * none.
   */
  std::uint64_t toldUnwritten = 0;
};

/** \brief The most versions that are kept; heartbeats may name any. */
constexpr std::size_t MaxVersions = 4096;

/** \brief How often the endpoints that serve are looked through. */
constexpr absl::Duration VersionsPeriod = absl::Seconds(5);

/** \brief The version of the service serves.
 * \return false if there is no room for another version
 */
bool NoteServing(VersionHistory& history, const std::string& service,
                 const std::string& version, Elapsed now);

/** \brief Whether a restart would not forget the version. */
bool IsWritten(const VersionHistory& history, const std::string& service,
               const std::string& version);

/** \brief Boxes are told of a version that is not written. */
void NoteToldUnwritten(VersionHistory& history);

/** \brief Takes in what the process before kept: its versions may have served
 * until now.
 * \param isFirstStart of the whole system; what nothing is known of did not
 * serve then
 */
void RecallVersions(VersionHistory& history,
                    const wire::RememberedEndpoints* remembered,
                    bool isFirstStart, Elapsed now);

/** \brief Adds the versions to what is kept. */
void RememberVersions(const VersionHistory& history,
                      wire::RememberedEndpoints& remembered);

/** \brief Forgets versions that can't have begun a stream that is taken up
 * now.
 */
void ExpireVersions(VersionHistory& history, Elapsed now);

/** \brief Versions of these services that may have begun a stream. */
std::vector<StreamOrigin> ServedVersions(
  const VersionHistory& history, absl::Span<const std::string> services);

/** \brief Whether no version that may have begun a stream is missing. */
bool IsWholeHistory(const VersionHistory& history, Elapsed now);

} // namespace wg
