// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

/** \brief A request for which the endpoint was chosen here: the reports of its
 * box do not count it until the box has the answer.
 */
struct UnreportedGrant
{
  std::uint64_t number = 0;
  Elapsed granted;
};

/** \brief The requests that one box has open at an endpoint. */
struct BoxRequests
{
  int open = 0;
  std::uint64_t sequence = 0; // of the box's last report
  Elapsed reported;
  std::vector<UnreportedGrant> unreported;
};

/** \brief What a box reports of its requests to an endpoint. */
struct OpenRequestReport
{
  int open = 0;
  std::uint64_t sequence = 0;
  std::uint64_t grant = 0; // the last UnreportedGrant that it has received
};

/** \brief What all boxes have open at a brittle endpoint, as the box that
 * grants their permits knows. Requests in its queue may be refused at any
 * time, so that no more are open than it works on at once.
 */
struct BrittleRoom
{
  std::map<std::string, BoxRequests> boxes;
  /** Requests that were open when it last refused some; 0: it did not. */
  int refusedAt = 0;
  Elapsed refused;
  Elapsed pausedUntil;
};

/** \brief What bounds the requests that are open at an endpoint. */
struct BrittleBounds
{
  int slots = 1;                  // requests that it works on at once
  double refusalsPerSecond = 1.0; // above which it falls over
  /** Whether this box has granted the permits for long enough to know what all
   * boxes have open.
   */
  bool isSettled = true;
};

/** \brief Reports of a box are dropped after this time: it repeats them at
 * ReportPeriod while it has requests open.
 */
constexpr absl::Duration OpenMemory = absl::Seconds(2);
constexpr absl::Duration ReportPeriod = absl::Milliseconds(500);
/** A box has abandoned its question when the answer takes longer. */
constexpr absl::Duration GrantMemory = absl::Milliseconds(200);

/** \brief Applies a box's report unless a later one is known. */
void NoteOpen(BrittleRoom& room, absl::string_view box,
              const OpenRequestReport& report, Elapsed now);

/** \brief One more request of the box is granted.
 * \param number of an UnreportedGrant; 0: a permit, which the box counts in
 * its reports from the time that it asks
 */
void NoteGranted(BrittleRoom& room, absl::string_view box,
                 std::uint64_t number, Elapsed now);

/** \brief The endpoint has refused requests: none are granted for as long as
 * it takes to bear so many, a second at most, and fewer for a while after.
 */
void NoteRefused(BrittleRoom& room, int refused, const BrittleBounds& bounds,
                 Elapsed now);

/** \brief Whether one more request will find room, as far as is known. */
bool HasRoom(const BrittleRoom& room, const BrittleBounds& bounds,
             Elapsed now);

/** \brief The time in which an endpoint bears one refusal. */
absl::Duration RefusalPause(double refusalsPerSecond);

} // namespace wg
