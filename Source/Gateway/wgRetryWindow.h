// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "absl/random/bit_gen_ref.h"
#include "absl/random/distributions.h"
#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief What all boxes together may repeat at a service. */
struct RetryRules
{
  double ratio = 0.1; // of the requests within the window
  double slack = 10;  // and as many more
  absl::Duration window = absl::Seconds(10);
};

/** \brief This box's requests to a service, and what it sent once more. */
struct RetryWindow
{
  std::deque<Elapsed> requests;
  std::deque<Elapsed> retries;
  /** What is added to this box's share before it is rounded down, from 0 to 1;
   * below 0: not drawn yet.
   */
  double rounding = -1.0;
};

namespace detail {
inline void DropBefore(std::deque<Elapsed>& times, Elapsed start)
{
  while (!times.empty() && times.front() < start) {
    times.pop_front();
  }
}
} // namespace detail

inline void NoteRequest(RetryWindow& window, Elapsed now)
{
  window.requests.push_back(now);
}

/** \brief Draws once how this box's share is rounded.
 *
 * The load: a thousand boxes that share a slack of some hundreds have less
 * than one repetition each. Rounded down it would be used by none of them;
 * rounded by chance all boxes together use what they share. Drawn anew each
 * window, windows that overlap two draws would exceed it.
 */
inline void DrawRounding(RetryWindow& window, absl::BitGenRef random)
{
  if (window.rounding < 0.0) {
    window.rounding = absl::Uniform<double>(random, 0.0, 1.0);
  }
}

/** \brief Whether this box's share allows one more repetition.
 * \param boxes how many share the slack
 */
inline bool HasRetry(RetryWindow& window, const RetryRules& rules,
                     std::size_t boxes, Elapsed now)
{
  // The rest covers boxes that are not known, and what is under way.
  constexpr double usedShare = 0.7;
  detail::DropBefore(window.requests, now - rules.window);
  detail::DropBefore(window.retries, now - rules.window);
  const double allowed =
    usedShare * (rules.ratio * static_cast<double>(window.requests.size()) +
                 rules.slack / static_cast<double>(boxes == 0 ? 1 : boxes));
  return static_cast<double>(window.retries.size()) + 1.0 <=
         allowed + std::max(window.rounding, 0.0);
}

/** \brief Takes a repetition out of this box's share, if there is one. */
inline bool SpendRetry(RetryWindow& window, const RetryRules& rules,
                       std::size_t boxes, Elapsed now)
{
  if (!HasRetry(window, rules, boxes, now)) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

} // namespace wg
