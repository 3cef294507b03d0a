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
  /** The slowdown: time that work takes there, as a multiple of the usual
   * time; none: the service does not report it.
   */
  std::optional<double> pace;
  Elapsed reported;  // arrival of the answer
  std::string start; // identity of the reporting start
};

/** \brief The load report in the header fields of one answer. */
struct EndpointLoadReport
{
  std::optional<EndpointLoad> load; // without time and start
  bool isUnreadable = false;
};

/** \brief The load that answers of an endpoint have reported. */
struct KnownLoad
{
  std::optional<EndpointLoad> load; // the last readable one
  int unreadable = 0;               // number of reports
};

/** \brief Older reports are not used, as the slowdown changes several times a
 * second.
 */
constexpr absl::Duration ReportMemory = absl::Milliseconds(200);

/** \brief Applies the report of an answer that arrived now. If it is missing
 * or unreadable, the previous one stays and continues to age.
 */
void ApplyLoadReport(KnownLoad& known, const EndpointLoadReport& report,
                     absl::string_view start, Elapsed now);

/** \brief Returns the load that this start reported within ReportMemory, or
 * null.
 */
const EndpointLoad* FreshLoad(const KnownLoad& known, absl::string_view start,
                              Elapsed now);

/** \brief Whether an endpoint's load reports are trusted. */
struct ReportTrust
{
  int contradicted = 0; // calls in a row
  Elapsed ignoredUntil;
};

/** \brief Compares the time of a call with the one expected from the load
 * report. Reports are ignored for 5 s after three calls in a row that took at
 * least twice or at most half of the expected time.
 * \return whether the reports are ignored from now on
 */
bool NoteReportedCall(ReportTrust& trust, double reportedSeconds,
                      double tookSeconds, Elapsed now);

bool IsTrusted(const ReportTrust& trust, Elapsed now);

} // namespace wg
