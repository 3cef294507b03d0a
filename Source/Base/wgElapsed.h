// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <ctime>

#include "absl/time/time.h"

namespace wg {

/** \brief Time since the box started; never wall-clock time. */
using Elapsed = absl::Duration;

/** \brief Counts the time for which a box was suspended, which the monotonic
 * clock does not: a leader that slept through its lease would wake up with it,
 * and answer reads while another one leads.
 */
inline Elapsed ElapsedNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::DurationFromTimespec(now);
}

} // namespace wg
