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
#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgPartCounts.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief What may have ended an endpoint: a request, or a part of its prompt
 * that others have as well.
 */
struct CrashSuspect
{
  wire::CrashCause cause = wire::WHOLE_REQUEST;
  std::string name; // fingerprint of the request, or id of the part
};
bool operator<(const CrashSuspect& left, const CrashSuspect& right);
bool operator==(const CrashSuspect& left, const CrashSuspect& right);

/** \brief A suspect that ran at a start of an endpoint when the start ended.
 */
struct CrashKey
{
  CrashSuspect suspect;
  std::string endpoint; // identity of the start
};
bool operator<(const CrashKey& left, const CrashKey& right);

CrashSuspect RequestSuspect(absl::string_view fingerprint);
CrashSuspect PartSuspect(absl::string_view part);

/** \brief The evidence of one crash against one suspect. */
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
  /** Ends of endpoints that lie closer together count once against a part: it
   * is more likely that they have another cause in common, such as their
   * power, than that as many requests with the part began at once.
   */
  absl::Duration separateEnds = absl::Milliseconds(500);
  /** An answer outweighs an end of a part that all requests have with this
   * chance, and of a rarer part as much less often: a common part ran beside
   * an end by chance, a rare one hardly.
   */
  double outweighChance = 0.25;
  /** This process takes a part to be sound that it saw answered so many times
   * for each of its ends; or that this share of all requests has, if all boxes
   * together are likely to have seen it answered once for each. A few requests
   * do not show such a share.
   */
  std::size_t answersForEnd = 3;
  double commonShare = 0.2;
  /** Within this time, an innocent request that met a crash is answered or
   * cancelled by its caller.
   */
  absl::Duration suspectFor = absl::Minutes(10);
  /** From its last crash on. A defect is fixed within a day; otherwise the
   * request ends three more endpoints a day.
   */
  absl::Duration quarantineFor = absl::Hours(24);
  /** Some 150 bytes each: 64 crashes with 64 requests and parts each. */
  std::size_t maxRecords = 4096;
};

/** \brief The evidence against requests that ran at endpoints which ended, and
 * against parts of their prompts.
 *
 * Each process has its own copy. Merging is commutative and idempotent. A
 * suspect that ran at three endpoints when they ended is quarantined: it is
 * sent to no endpoint any more. Others ran beside it, so an end counts only
 * against the suspect with the most ends, of parts with as many the one that
 * this process has seen answered least, and then least at all, and not if a
 * later answer outweighs it. Parts that this process takes to be sound do not
 * count.
 */
struct CrashEvidence
{
  CrashRules rules;
  std::size_t boxes = 1; // that send requests, this one included
  std::uint64_t revision = 0;
  std::map<CrashKey, CrashRecord> records;
  PartCounts answered; // by this process
  PartCounts arrived;  // at this process; "": all requests with parts
  std::set<CrashSuspect> quarantined; // derived from all of the above
  Elapsed derived;                    // when it was
};

/** \brief Merges a crash that this process noted or received.
 * \return whether the evidence changed
 */
bool MergeCrash(CrashEvidence& evidence, const wire::Crash& crash,
                Elapsed now);

/** \brief Records that an endpoint answered the suspect, which outweighs its
 * crashes up to now.
 * \return whether the evidence changed
 */
bool NoteAnswered(CrashEvidence& evidence, const CrashSuspect& suspect,
                  Elapsed now);

/** \brief Counts a request that has come with these parts, and derives anew
 * what is quarantined, if that was not done lately.
 */
void NotePartsArrived(CrashEvidence& evidence,
                      absl::Span<const CrashSuspect> parts, Elapsed now);

/** \brief Records that an endpoint went on to write an answer on a prompt with
 * the part, which may outweigh the first of its ends that count.
 * \param draw from 0 to 1
 * \return whether the evidence changed
 */
bool NotePartAnswered(CrashEvidence& evidence, const CrashSuspect& part,
                      double draw, Elapsed now);

/** \brief Whether the end of this start counts against anything. */
bool IsPresumedEnded(const CrashEvidence& evidence,
                     absl::string_view endpoint);

/** \brief Records that the start is live: it was unreachable, and resets of
 * connections to it looked like its end.
 * \return whether the evidence changed
 */
bool NoteLive(CrashEvidence& evidence, absl::string_view endpoint,
              Elapsed now);

/** \brief Returns how many crashes count against the suspect. */
std::size_t CountedEnds(const CrashEvidence& evidence,
                        const CrashSuspect& suspect);
bool IsQuarantined(const CrashEvidence& evidence, const CrashSuspect& suspect);

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
