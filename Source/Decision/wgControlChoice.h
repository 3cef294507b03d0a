// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace wg {

/** \brief Up to so many control boxes are all followed by each box, and do not
 * tell each other of endpoints: the loss of all but one is borne without any
 * of them passing news on.
 */
constexpr std::size_t MostFollowedWhole = 6;

/** \brief Where there are more, a box follows so many of its own hall, which
 * it still reaches if the hall is cut off; each failure leaves one.
 */
constexpr std::size_t FollowedNear = 2;

/** \brief And so many of other halls, which hear of what the own hall's boxes
 * are cut off from.
 */
constexpr std::size_t FollowedFar = 1;

/** \brief A control box that may be followed. */
struct ControlCandidate
{
  std::string address;
  std::string hall;      // empty: not known
  bool isReached = true; // or was not tried
};

/** \brief The indices of the control boxes that a box follows.
 *
 * The load: each box that follows a control box costs it a call a second and a
 * copy of all news. Boxes that follow all of them make this grow with boxes
 * times control boxes; a bound on how many a box follows leaves each control
 * box the same number of boxes at any size.
 *
 * Rendezvous hashing spreads the boxes, so that a control box which comes or
 * goes moves those boxes only that follow it. One that is not reached is
 * replaced by the next in order until it is reached again.
 */
std::vector<std::size_t> ChooseControls(
  absl::Span<const ControlCandidate> candidates, absl::string_view box,
  absl::string_view hall);

} // namespace wg
