// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgCrashEvidence.h"
#include "wgDirectory.h"
#include "wgElapsed.h"

namespace wg {

/** \brief The requests whose attempts at one start of an endpoint were cut
 * off, until it is known whether that start has ended.
 */
struct CutAtEndpoint
{
  Elapsed first; // when the first one was cut
  std::set<CrashSuspect> suspects;
  int probes = 0; // connections that were tried since
};

/** \brief All of them, by the identity of the endpoint's start. */
struct CutAttempts
{
  std::map<std::string, CutAtEndpoint> endpoints;
};

/** \brief How a box learned that an endpoint ended without a word. */
enum class EndFoundBy
{
  NoConnection, // nothing listens at its address
  Silence,      // its heartbeats stopped
  LaterStart    // another start serves at its address, or under its name
};

/** \brief A start that ended without a word, with what it had. */
struct EndedEndpoint
{
  std::string id;
  EndFoundBy foundBy = EndFoundBy::NoConnection;
  std::vector<CrashSuspect> suspects;
};

/** \brief Keeps an attempt that was cut off. One at an endpoint that had said
 * that it leaves or ends tells nothing of its suspects.
 * \return whether this is the first one there: a connection must be tried
 */
bool NoteCut(CutAttempts& cuts, const DirectoryEndpoint& endpoint,
             absl::Span<const CrashSuspect> suspects, Elapsed now);

/** \brief The endpoint has answered a request: it has not ended. */
void NoteAlive(CutAttempts& cuts, absl::string_view endpoint);

/** \brief Nothing listens at its address any more. */
std::vector<EndedEndpoint> TakeEnded(CutAttempts& cuts,
                                     absl::string_view endpoint);

/** \brief Takes out the starts that the directory shows to have ended without
 * a word, and forgets those that said so or about which nothing came.
 */
std::vector<EndedEndpoint> TakeEnded(CutAttempts& cuts,
                                     const Directory& directory, Elapsed now);

/** \brief As it stands in log lines. */
absl::string_view NameOf(EndFoundBy foundBy);

} // namespace wg
