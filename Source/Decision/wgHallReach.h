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

/** \brief An endpoint to which this box could not connect. */
struct UnreachedEndpoint
{
  Elapsed failed;                  // when it first did
  bool connectionsHang = false;    // open ones as well, as none was answered
  bool isHangConfirmed = false;    // by a second connection
  bool isReachedElsewhere = false; // another box has connected to it
};

/** \brief Which halls this box takes to be cut off from it, and which
 * endpoints, if any, it reaches.
 */
struct HallReach
{
  std::string own; // the hall that this box is in
  std::map<std::string, HallEvidence> halls;
  std::set<std::string> failed; // endpoints, since a connection was made
  Elapsed firstFailed;
  /** No endpoint can be reached; callers and other boxes may be. */
  bool isIsolated = false;
  std::map<std::string, UnreachedEndpoint> endpoints; // by identity
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

/** \brief Whether the hall alone is cut off. A box that reaches no endpoint
 * takes no hall to be cut off: other boxes reach them.
 */
bool IsCutOff(const HallReach& reach, absl::string_view hall);

/** \brief A new connection to an endpoint was made. Answers over connections
 * that were made before are no such sign: they may live on while new ones
 * fail.
 */
void NoteConnected(HallReach& reach);

/** \brief An endpoint refused a connection or did not answer, as one that has
 * ended does.
 * \return whether as many did without a new connection between that others
 * must be tried: it may be the path that is gone
 */
bool NoteConnectFailed(HallReach& reach, absl::string_view endpoint,
                       Elapsed now);

/** \brief A connection to the endpoint was refused or not answered.
 * \param hangs whether it was not answered
 * \return whether other boxes should be asked if they reach it: it may have
 * ended
 */
bool NoteEndpointUnreached(HallReach& reach, absl::string_view endpoint,
                           bool hangs, Elapsed now);

/** \brief A new connection to the endpoint was made.
 * \return whether the path to it was taken to be lost until now
 */
bool NoteEndpointReached(HallReach& reach, absl::string_view endpoint);

/** \brief Another box has connected to the endpoint: only this box's path to
 * it is lost, if this box does not reach it.
 * \return whether it was not taken to be lost until now
 */
bool NoteReachedElsewhere(HallReach& reach, absl::string_view endpoint);

/** \brief No other box reaches the endpoint any more. */
void NoteReachedNowhere(HallReach& reach, absl::string_view endpoint);

/** \brief Whether the endpoint is reached by other boxes and not by this one.
 */
bool IsPathLost(const HallReach& reach, absl::string_view endpoint);

/** \brief Those whose path is lost. */
std::vector<std::string> LostEndpoints(const HallReach& reach);

/** \brief Whether connections to the endpoint that are open seem to hang. */
bool ConnectionsHang(const HallReach& reach, absl::string_view endpoint);

/** \brief A second connection to an endpoint whose path is lost was not
 * answered: it is not one lost packet.
 * \return whether that was not known until now
 */
bool ConfirmHang(HallReach& reach, absl::string_view endpoint);

/** \brief Forgets failures that no other box contradicted for a while. */
void ForgetUnreached(HallReach& reach, Elapsed now);

/** \brief Connections to endpoints that were tried at the same time. */
struct PathTrial
{
  int tried = 0;
  int refused = 0;
  int unanswered = 0;
};

/** \brief Whether the trial shows that this box reaches no endpoint. One
 * endpoint alone may have ended.
 */
bool ShowsNoPath(const PathTrial& trial);

/** \return whether this box was taken to have a path until now */
bool Isolate(HallReach& reach);

/** \brief A new connection was made: all evidence is void.
 * \return whether this box was taken to be isolated until now
 */
bool EndIsolation(HallReach& reach);

} // namespace wg
