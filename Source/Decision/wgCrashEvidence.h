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

/** \brief Which request ran at which start of an endpoint when that ended. */
struct CrashKey
{
  std::string request;  // its fingerprint
  std::string endpoint; // the identity of the start
};
bool operator<(const CrashKey& left, const CrashKey& right);

/** \brief What is known of one of them. */
struct CrashRecord
{
  Elapsed noted;           // when it was first noted anywhere, by this clock
  bool outweighed = false; // the request was answered, or the start lives
  std::uint64_t revision = 0; // of the evidence, when this last changed
};

/** \brief How a crash is weighed, and for how long it is kept. */
struct CrashRules
{
  /** The operators bear three endpoints that end under a request. */
  std::size_t endsToQuarantine = 3;
  /** An innocent request that met a crash is answered, or given up by its
   * caller, within this time.
   */
  absl::Duration suspectFor = absl::Minutes(10);
  /** From its last crash on. A defect is mended within a day, or the request
   * ends three more endpoints a day.
   */
  absl::Duration quarantineFor = absl::Hours(24);
  /** Some 150 bytes each: 64 crashes of endpoints with 64 requests. */
  std::size_t maxRecords = 4096;
};

/** \brief All that is known of requests that ran at endpoints which ended.
 *
 * Each process has its own copy; merging them in any order, and any number of
 * times, gives the same. A request that ran at three endpoints when they
 * ended is quarantined: it is sent to none any more. Others ran beside it, so
 * an end counts against one request only, that with most of them, and none
 * counts that a later answer outweighs.
 */
struct CrashEvidence
{
  CrashRules rules;
  std::uint64_t revision = 0;
  std::map<CrashKey, CrashRecord> records;
  std::set<std::string> quarantined; // fingerprints, found from the records
};

/** \brief Takes a crash in that this process noted or was told of.
 * \return whether that was news
 */
bool MergeCrash(CrashEvidence& evidence, const wire::Crash& crash,
                Elapsed now);

/** \brief A request was answered by an endpoint: what it was suspected of
 * until now is outweighed.
 * \return whether that was news
 */
bool NoteAnswered(CrashEvidence& evidence, absl::string_view request);

/** \brief Whether it counts against any request that this start has ended. */
bool IsTakenToHaveEnded(const CrashEvidence& evidence,
                        absl::string_view endpoint);

/** \brief The start lives: it was cut off, which looks like an end from where
 * connections to it are reset.
 * \return whether that was news
 */
bool NoteLives(CrashEvidence& evidence, absl::string_view endpoint);

/** \brief Whether crashes count against it. */
bool IsSuspect(const CrashEvidence& evidence, absl::string_view request);
bool IsQuarantined(const CrashEvidence& evidence, absl::string_view request);

/** \brief Forgets what is too old. To be called once a second or less. */
void ExpireCrashes(CrashEvidence& evidence, Elapsed now);

/** \brief As it is told to others, with its age. */
wire::Crash TellCrash(const CrashKey& key, const CrashRecord& record,
                      Elapsed now);

/** \brief What changed after a revision, the oldest change first, so many at
 * the most.
 */
std::vector<wire::Crash> CrashesSince(const CrashEvidence& evidence,
                                      std::uint64_t revision, std::size_t most,
                                      Elapsed now);

} // namespace wg
