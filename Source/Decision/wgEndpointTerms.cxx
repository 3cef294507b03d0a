// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointTerms.h"

#include <algorithm>

namespace wg {

bool operator==(const SendLimits& left, const SendLimits& right)
{
  return left.perSecond == right.perSecond &&
         left.refusalsPerSecond == right.refusalsPerSecond;
}

bool ApplyLimits(EndpointTerms& known, const SendLimits& limits,
                 Elapsed reported)
{
  if (reported < known.limitReported) {
    return false;
  }
  const bool isChanged = known.limits != limits;
  known.limits = limits;
  known.limitReported = reported;
  return isChanged;
}

TermsChange ApplyTerms(EndpointTerms& known, const SenderTerms& reported,
                       Elapsed sent, Elapsed now)
{
  TermsChange change;
  const bool clears = reported.clearsLimit && sent >= known.limitReported;
  if (clears) {
    change.limit = ApplyLimits(known, reported.limits, now);
  } else if (IsAnyGiven(reported.limits)) {
    SendLimits limits = reported.limits;
    if (!limits.perSecond) {
      limits.perSecond = known.limits.perSecond;
    }
    if (!limits.refusalsPerSecond) {
      limits.refusalsPerSecond = known.limits.refusalsPerSecond;
    }
    change.limit = ApplyLimits(known, limits, now);
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
