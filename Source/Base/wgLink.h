// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

#include "absl/time/time.h"

namespace wg {

/** \brief What a link between boxes carries at least, bytes a second: the
 * slowest in use have 10 Mbit/s, shared with what callers send.
 */
constexpr double LinkBytesPerSecond = 1e6;

/** \brief What so many bytes take on such a link. */
inline absl::Duration TransferTime(std::size_t bytes)
{
  return absl::Seconds(static_cast<double>(bytes) / LinkBytesPerSecond);
}

} // namespace wg
