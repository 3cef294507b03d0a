// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cmath>

#include "wgElapsed.h"

namespace wg {

/** \brief The share of recent attempts that failed. It fades with time, or
 * what failed once would never be tried again.
 */
struct FailureShare
{
  double share = 0.0;
  Elapsed noted;
};

namespace detail {

constexpr double FailureDecay = 0.85;
constexpr double FailureMemorySeconds = 4.0;

} // namespace detail

/** \return from 0 to 1 */
inline double ShareNow(const FailureShare& failures, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - failures.noted);
  return failures.share * std::exp(-age / detail::FailureMemorySeconds);
}

inline void NoteOutcome(FailureShare& failures, bool failed, Elapsed now)
{
  failures.share = detail::FailureDecay * ShareNow(failures, now) +
                   (failed ? 1.0 - detail::FailureDecay : 0.0);
  failures.noted = now;
}

} // namespace wg
