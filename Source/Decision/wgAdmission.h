// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgReason.h"

namespace wg {

/** \brief Estimates for a new request at one of its stages. */
struct StageEstimate
{
  double serviceSeconds = 0.0; // expected service time of one stage
  double spreadSeconds = 0.0;  // mean absolute deviation of the service time
  /** Stages of its account that run, wait or are upcoming, over all boxes. */
  double ahead = 0.0;
  double slots = 1.0; // slots that its account may use
  bool anyEndpoint = true;
};

/** \brief Limits on one account, for all entry boxes together. */
struct AccountLimits
{
  double ratePerSecond = 0.0; // 0: none
  int concurrency = 0;        // 0: none
  int boxes = 1;              // live entry boxes that share the limits
  int runningElsewhere = 0;   // requests of the account at the other boxes
};

/** \brief Use of one account at this box: a token bucket for its rate, and its
 * running requests.
 */
struct AccountUse
{
  double tokens = 0.0;
  Elapsed lastRefill = -absl::InfiniteDuration();
  int running = 0;
};

/** \brief Admitted (Reason::None), or refused, with the time after which the
 * caller may retry.
 */
struct Admission
{
  Reason reason = Reason::None;
  absl::Duration retryAfter;
  double finishSeconds = 0.0; // expected time to the complete answer
};

/** \brief Returns the expected time to the complete answer, in seconds. */
double ExpectedRequestSeconds(absl::Span<const StageEstimate> stages);

/** \brief Returns the sum of the service times, without waits, in seconds. */
double ServiceSeconds(absl::Span<const StageEstimate> stages);

/** \brief Admits a request if it is expected to finish by its deadline. */
Admission AdmitByDeadline(absl::Span<const StageEstimate> stages,
                          absl::Duration timeLeft, absl::BitGenRef random);

/** \brief Admits a request if its account is within its limits, and counts it
 * as running.
 */
Admission AdmitByLimits(AccountUse& use, const AccountLimits& limits,
                        Elapsed now, absl::BitGenRef random);

/** \brief Returns a retry delay with random jitter, so that callers do not
 * retry at the same time: one to two times the minimum.
 */
absl::Duration JitteredRetryAfter(absl::Duration minimum,
                                  absl::BitGenRef random);

} // namespace wg
