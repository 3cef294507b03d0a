// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <set>
#include <string>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

/** \brief What tells whether a hall can be reached from this box. */
struct HallEvidence
{
  std::set<std::string> unreached; // endpoints, since one was reached
  Elapsed firstUnreached;
  bool isCut = false;
};

/** \brief Which halls this box takes to be cut off from it. */
struct HallReach
{
  std::map<std::string, HallEvidence> halls;
};

/** \brief An endpoint of the hall has answered.
 * \return whether the hall was taken to be cut off until now
 */
bool NoteReached(HallReach& reach, absl::string_view hall);

/** \brief Connecting to an endpoint of the hall took too long. Two of them
 * without an answer from the hall between make it cut off: one alone may be
 * down.
 * \return whether the hall is taken to be cut off only from now on
 */
bool NoteUnreached(HallReach& reach, absl::string_view hall,
                   absl::string_view endpoint, Elapsed now);

bool IsCutOff(const HallReach& reach, absl::string_view hall);

} // namespace wg
