// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgReason.h"

namespace wg {

/** \brief What a new request will meet at one of its stages. */
struct StageOutlook
{
  double serviceSeconds = 0.0; // expected for one stage
  double spreadSeconds = 0.0;  // mean distance from that
  double ahead = 0.0;  // stages of its account that come before it, here or
                       // still on their way here
  double places = 1.0; // places that its account may use
  bool anyEndpoint = true;
};

/** \brief Limits on one account, for all entry boxes together. */
struct AccountLimits
{
  double ratePerSecond = 0.0; // 0: none
  int concurrency = 0;        // 0: none
  int boxes = 1;              // live entry boxes that share the limits
  int runningElsewhere = 0;   // its requests at the other boxes
};

/** \brief An account's use at this box. */
struct AccountUse
{
  double tokens = 0.0;
  Elapsed refilled = -absl::InfiniteDuration();
  int running = 0;
};

/** \brief Accepted (Reason::None), or refused with when to come back. */
struct Admission
{
  Reason reason = Reason::None;
  absl::Duration retryAfter;
  double finishSeconds = 0.0; // expected
};

/** \brief Expected time from now to the whole answer, in seconds. */
double ExpectedRequestSeconds(absl::Span<const StageOutlook> stages);

/** \brief The time that the stages take without any wait, in seconds. */
double ServiceSeconds(absl::Span<const StageOutlook> stages);

/** \brief Whether the request can be answered by its deadline. */
Admission AdmitByDeadline(absl::Span<const StageOutlook> stages,
                          absl::Duration timeLeft, absl::BitGenRef random);

/** \brief Whether the account is within its limits; takes one if so. */
Admission AdmitByLimits(AccountUse& use, const AccountLimits& limits,
                        Elapsed now, absl::BitGenRef random);

/** \brief When to come back, spread so that callers do not come together. */
absl::Duration SpreadRetryAfter(absl::Duration least, absl::BitGenRef random);

} // namespace wg
