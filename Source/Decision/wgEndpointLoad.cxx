// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointLoad.h"

namespace wg {
namespace {

/** A slowdown that changes during the call explains a smaller factor only. */
constexpr double ContradictingFactor = 2.0;
/** One or two calls may be slow by chance. */
constexpr int ContradictingCalls = 3;
constexpr absl::Duration IgnoreTime = absl::Seconds(5);

} // namespace

void ApplyLoadReport(KnownLoad& known, const EndpointLoadReport& report,
                     absl::string_view start, Elapsed now)
{
  known.unreadable += report.isUnreadable ? 1 : 0;
  if (report.load) {
    known.load = report.load;
    known.load->reported = now;
    known.load->start = std::string(start);
  }
}

const EndpointLoad* FreshLoad(const KnownLoad& known, absl::string_view start,
                              Elapsed now)
{
  const bool isUsable = known.load && known.load->start == start &&
                        known.load->reported <= now &&
                        now - known.load->reported <= ReportMemory;
  return isUsable ? &*known.load : nullptr;
}

bool NoteReportedCall(ReportTrust& trust, double reportedSeconds,
                      double tookSeconds, Elapsed now)
{
  const bool isContradicted =
    tookSeconds >= ContradictingFactor * reportedSeconds ||
    tookSeconds * ContradictingFactor <= reportedSeconds;
  trust.contradicted = isContradicted ? trust.contradicted + 1 : 0;
  if (trust.contradicted < ContradictingCalls) {
    return false;
  }
  trust.contradicted = 0;
  trust.ignoredUntil = now + IgnoreTime;
  return true;
}

bool IsTrusted(const ReportTrust& trust, Elapsed now)
{
  return trust.ignoredUntil <= now;
}

} // namespace wg
