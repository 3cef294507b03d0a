// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <ctime>

#include "absl/time/time.h"

namespace wg {

/** \brief Time since the box started; never wall-clock time. */
using Elapsed = absl::Duration;

inline Elapsed ElapsedNow()
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return absl::DurationFromTimespec(now);
}

} // namespace wg
