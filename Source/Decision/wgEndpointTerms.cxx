// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointTerms.h"

#include <algorithm>

namespace wg {

bool ApplyLimit(EndpointTerms& known, std::optional<double> perSecond,
                Elapsed reported)
{
  if (reported < known.limitReported) {
    return false;
  }
  const bool isChanged = known.perSecond != perSecond;
  known.perSecond = perSecond;
  known.limitReported = reported;
  return isChanged;
}

TermsChange ApplyTerms(EndpointTerms& known, const SenderTerms& reported,
                       Elapsed sent, Elapsed now)
{
  TermsChange change;
  if (reported.perSecond ||
      (reported.clearsLimit && sent >= known.limitReported)) {
    change.limit = ApplyLimit(known, reported.perSecond, now);
  }
  if (reported.isLeaving) {
    change.leaving = !known.isLeaving;
    known.isLeaving = true;
    known.leavingReported = now;
  }
  if (now + reported.backoff > std::max(known.backoffUntil, now)) {
    change.backoff = true;
    known.backoffUntil = now + reported.backoff;
  }
  return change;
}

bool IsBackingOff(const EndpointTerms& terms, Elapsed now)
{
  return now < terms.backoffUntil;
}

void ForgetLeaving(EndpointTerms& terms, Elapsed now)
{
  terms.isLeaving =
    terms.isLeaving && now < terms.leavingReported + LeavingMemory;
}

} // namespace wg
