// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace wg {

/** \brief Up to this number, each box follows all control boxes, which then do
 * not exchange updates about endpoints: any one that is left has them all.
 */
constexpr std::size_t MaxFollowedByAll = 6;

/** \brief With more control boxes, a box follows this number in its own hall.
 * It reaches them even if the hall is unreachable from others, and one remains
 * after a failure.
 */
constexpr std::size_t FollowedInHall = 2;

/** \brief It also follows this number in other halls, for updates that the
 * control boxes of its own hall don't receive.
 */
constexpr std::size_t FollowedElsewhere = 1;

/** \brief A control box that may be followed. */
struct ControlCandidate
{
  std::string address;
  std::string hall;      // empty: unknown
  bool isReached = true; // or not tried yet
};

/** \brief Returns the indices of the control boxes that a box follows.
 *
 * Each follower costs a control box a call a second and a copy of all updates.
 * If all boxes followed all control boxes, this load would grow with boxes
 * times control boxes. A bound on the control boxes that a box follows keeps
 * the followers of each control box constant at any size.
 *
 * Rendezvous hashing spreads the boxes, so that adding or removing a control
 * box moves only its own followers. An unreached control box is replaced by
 * the next in order until it is reached again.
 */
std::vector<std::size_t> ChooseControls(
  absl::Span<const ControlCandidate> candidates, absl::string_view box,
  absl::string_view hall);

} // namespace wg
