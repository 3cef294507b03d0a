// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief A request that ran at a start of an endpoint when the start ended.
 */
struct CrashKey
{
  std::string request;  // fingerprint of the request
  std::string endpoint; // identity of the start
};
bool operator<(const CrashKey& left, const CrashKey& right);

/** \brief The evidence of one crash against one request. */
struct CrashRecord
{
  Elapsed noted;              // when any box first noted it, by this clock
  bool outweighed = false;    // the request was answered, or the start is live
  std::uint64_t revision = 0; // of the evidence, at the last change
};

/** \brief How crashes are counted, and how long they are kept. */
struct CrashRules
{
  /** Operators tolerate three endpoints that one request ends. */
  std::size_t endsToQuarantine = 3;
  /** Within this time, an innocent request that met a crash is answered or
   * cancelled by its caller.
   */
  absl::Duration suspectFor = absl::Minutes(10);
  /** From its last crash on. A defect is fixed within a day; otherwise the
   * request ends three more endpoints a day.
   */
  absl::Duration quarantineFor = absl::Hours(24);
  /** Some 150 bytes each: 64 crashes with 64 requests each. */
  std::size_t maxRecords = 4096;
};

/** \brief The evidence against requests that ran at endpoints which ended.
 *
 * Each process has its own copy. Merging is commutative and idempotent. A
 * request that ran at three endpoints when they ended is quarantined: it is
 * sent to no endpoint any more. Other requests ran beside it, so an end counts
 * only against the request with the most ends, and not at all if a later
 * answer outweighs it.
 */
struct CrashEvidence
{
  CrashRules rules;
  std::uint64_t revision = 0;
  std::map<CrashKey, CrashRecord> records;
  std::set<std::string> quarantined; // fingerprints, derived from the records
};

/** \brief Merges a crash that this process noted or received.
 * \return whether the evidence changed
 */
bool MergeCrash(CrashEvidence& evidence, const wire::Crash& crash,
                Elapsed now);

/** \brief Records that an endpoint answered a request, which outweighs its
 * crashes up to now.
 * \return whether the evidence changed
 */
bool NoteAnswered(CrashEvidence& evidence, absl::string_view request);

/** \brief Whether the end of this start counts against any request. */
bool IsPresumedEnded(const CrashEvidence& evidence,
                     absl::string_view endpoint);

/** \brief Records that the start is live: it was unreachable, and resets of
 * connections to it looked like its end.
 * \return whether the evidence changed
 */
bool NoteLive(CrashEvidence& evidence, absl::string_view endpoint);

/** \brief Whether crashes count against the request. */
bool IsSuspect(const CrashEvidence& evidence, absl::string_view request);
bool IsQuarantined(const CrashEvidence& evidence, absl::string_view request);

/** \brief Removes expired records. To be called at most once a second. */
void ExpireCrashes(CrashEvidence& evidence, Elapsed now);

wire::Crash MakeCrashMessage(const CrashKey& key, const CrashRecord& record,
                             Elapsed now);

/** \brief Returns the records changed after a revision, oldest change first.
 */
std::vector<wire::Crash> CrashesSince(const CrashEvidence& evidence,
                                      std::uint64_t revision,
                                      std::size_t maxCount, Elapsed now);

} // namespace wg
