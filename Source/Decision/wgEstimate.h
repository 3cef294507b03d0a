// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/time/time.h"

namespace wg {

/** \brief Moving mean and mean absolute deviation of a time, in seconds. */
struct TimeEstimate
{
  double mean = 0.0;
  double spread = 0.0;
  int samples = 0;
};

/** \brief Adds one observation. */
void Observe(TimeEstimate& estimate, double seconds);

/** \brief Returns the mean, blended with the prior while there are few
 * observations.
 */
double ExpectedSeconds(const TimeEstimate& estimate, double priorSeconds);

} // namespace wg
