// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/time/time.h"

namespace wg {

/** \brief A moving mean of a time, and of its spread, in seconds. */
struct TimeEstimate
{
  double mean = 0.0;
  double spread = 0.0;
  int samples = 0;
};

/** \brief Takes one more observation in. */
void Observe(TimeEstimate& estimate, double seconds);

/** \brief The mean, or the prior while there are few observations. */
double ExpectedSeconds(const TimeEstimate& estimate, double priorSeconds);

} // namespace wg
