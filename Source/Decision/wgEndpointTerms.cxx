// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointTerms.h"

#include <algorithm>

namespace wg {

bool TakeLimit(EndpointTerms& known, std::optional<double> perSecond,
               Elapsed reported)
{
  if (reported < known.limitTold) {
    return false;
  }
  const bool isChanged = known.perSecond != perSecond;
  known.perSecond = perSecond;
  known.limitTold = reported;
  return isChanged;
}

TermsChange TakeTerms(EndpointTerms& known, const SenderTerms& reported,
                      Elapsed sent, Elapsed now)
{
  TermsChange change;
  if (reported.perSecond || (reported.endsLimit && sent >= known.limitTold)) {
    change.limit = TakeLimit(known, reported.perSecond, now);
  }
  if (reported.isLeaving) {
    change.leaving = !known.isLeaving;
    known.isLeaving = true;
    known.leavingReported = now;
  }
  if (now + reported.rest > std::max(known.restUntil, now)) {
    change.rest = true;
    known.restUntil = now + reported.rest;
  }
  return change;
}

bool IsResting(const EndpointTerms& terms, Elapsed now)
{
  return now < terms.restUntil;
}

void ForgetLeaving(EndpointTerms& terms, Elapsed now)
{
  terms.isLeaving =
    terms.isLeaving && now < terms.leavingReported + LeavingMemory;
}

} // namespace wg
