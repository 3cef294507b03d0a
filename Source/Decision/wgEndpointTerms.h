// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The limits of an endpoint on what all boxes together send; none:
 * not given.
 */
struct SendLimits
{
  std::optional<double> perSecond; // requests
  /** The endpoint is brittle: it falls over when it refuses more requests per
   * second for want of room.
   */
  std::optional<double> refusalsPerSecond;
};

bool operator==(const SendLimits& left, const SendLimits& right);
inline bool operator!=(const SendLimits& left, const SendLimits& right)
{
  return !(left == right);
}
inline bool IsAnyGiven(const SendLimits& limits)
{
  return limits.perSecond || limits.refusalsPerSecond;
}

/** \brief What the header fields of one answer request of its endpoint's
 * senders.
 */
struct SenderTerms
{
  SendLimits limits;
  bool isLeaving = false;
  /** Backoff requested of the box whose request was just refused. */
  absl::Duration backoff;
  int unreadable = 0; // such fields that could not be parsed
  /** Whether the absence of a limit ends an earlier one. It does not in a
   * refusal or failure, which may leave the limit out.
   */
  bool clearsLimit = false;
};

/** \brief The terms of one start of an endpoint, as known to a box. */
struct EndpointTerms
{
  SendLimits limits;
  /** When the limits or their end were last reported; zero: never. */
  Elapsed limitReported;
  Elapsed backoffUntil; // of this box
  bool isLeaving = false;
  Elapsed leavingReported;
};

/** \brief The terms that an answer has changed. */
struct TermsChange
{
  bool limit = false;
  bool backoff = false;
  bool leaving = false;
};

inline bool HasChange(const TermsChange& change)
{
  return change.limit || change.backoff || change.leaving;
}

/** \brief How long an announced leave holds, longer than any drain takes. An
 * endpoint whose release is called off then returns to service.
 */
constexpr absl::Duration LeavingMemory = absl::Minutes(5);

/** \brief Applies the terms of an answer. As answers may overtake each other,
 * a limit is ended only by an answer to a request that was sent after the
 * limit was last reported. Answers do not withdraw an announced leave.
 *
 * \param sent when the request was sent
 */
TermsChange ApplyTerms(EndpointTerms& known, const SenderTerms& reported,
                       Elapsed sent, Elapsed now);

/** \brief Applies limits, or their end, unless newer ones are known.
 * \param reported when they were reported, to this or another box
 * \return whether the known limits changed
 */
bool ApplyLimits(EndpointTerms& known, const SendLimits& limits,
                 Elapsed reported);

bool IsBackingOff(const EndpointTerms& terms, Elapsed now);
/** \brief Clears a leave that was announced LeavingMemory ago or earlier. */
void ForgetLeaving(EndpointTerms& terms, Elapsed now);

} // namespace wg
