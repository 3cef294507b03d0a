// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The load that one start of an endpoint reported in an answer. */
struct EndpointLoad
{
  double running = 0.0; // requests
  double waiting = 0.0; // requests
  double slots = 0.0;
  /** How long work takes there, as a multiple of the usual time; none: the
   * service does not report it.
   */
  std::optional<double> pace;
  Elapsed reported;  // when the answer arrived
  std::string start; // identity of the start that reported it
};

/** \brief What the head of one answer reports of its endpoint's load. */
struct EndpointLoadReport
{
  std::optional<EndpointLoad> load; // without time and start
  bool isUnreadable = false;
};

/** \brief What the answers of a start of an endpoint have reported. */
struct KnownLoad
{
  std::optional<EndpointLoad> load; // the last one that could be read
  int unreadable = 0;               // reports
};

/** \brief The pace changes several times a second, so that an older report
 * does not describe the next call.
 */
constexpr absl::Duration ReportMemory = absl::Milliseconds(200);

/** \brief Takes in the report of an answer that arrived now. A missing or
 * unreadable report leaves the previous one, which continues to age.
 */
void TakeLoad(KnownLoad& known, const EndpointLoadReport& report,
              absl::string_view start, Elapsed now);

/** \brief The load that this start has reported within ReportMemory; null:
 * none.
 */
const EndpointLoad* LoadNow(const KnownLoad& known, absl::string_view start,
                            Elapsed now);

/** \brief How far an endpoint's reports are believed. */
struct ReportTrust
{
  int contradicted = 0; // calls in a row
  Elapsed ignoredUntil;
};

/** \brief Compares a call's time with the one that follows from the report it
 * was made under. A report is contradicted by calls that take twice or half
 * that time, three in a row; it is then ignored for 5 s.
 * \return whether the reports are ignored from now on
 */
bool NoteReportedCall(ReportTrust& trust, double reportedSeconds,
                      double tookSeconds, Elapsed now);

bool IsTrusted(const ReportTrust& trust, Elapsed now);

} // namespace wg
