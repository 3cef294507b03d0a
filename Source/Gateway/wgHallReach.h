// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

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
  std::string own; // the hall that this box is in
  std::map<std::string, HallEvidence> halls;
};

/** \brief Halls exist that this box may reach: it knows endpoints there. */
void NoteHall(HallReach& reach, absl::string_view hall);

/** \brief An endpoint of the hall has answered.
 * \return whether the hall was taken to be cut off until now
 */
bool NoteReached(HallReach& reach, absl::string_view hall);

/** \brief Connecting to an endpoint of the hall took too long. Two of them
 * without an answer from the hall between make it cut off: one alone may be
 * down. With the second hall that is cut off from this box, this box's own is
 * taken to be the one: no other hall can be reached until one answers.
 * \return the halls that are taken to be cut off only from now on
 */
std::vector<std::string> NoteUnreached(HallReach& reach,
                                       absl::string_view hall,
                                       absl::string_view endpoint,
                                       Elapsed now);

bool IsCutOff(const HallReach& reach, absl::string_view hall);

} // namespace wg
