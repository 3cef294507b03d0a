// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>

#include "wgElapsed.h"

namespace wg {

/** \brief Unacknowledged entries or snapshot that a leader sent to one
 * replica.
 */
struct InFlight
{
  std::size_t bytes = 0;  // 0: nothing in flight
  std::uint64_t last = 0; // index of the newest entry
  Elapsed sent;           // send time of the newest message
  Elapsed noAckSince;     // last acknowledgement, or first send after idle
  int losses = 0;         // consecutive, without an acknowledgement
  /** After a loss, only heartbeats are sent until a reply, as the replica may
   * be down.
   */
  bool probing = false;
};

namespace detail {

/** \brief Returns whether the transfer is so long that heartbeats overtake it.
 */
bool IsLarge(const InFlight& inFlight);

/** \brief Returns how many bytes may be sent before the next acknowledgement;
 * above 0 while nothing is in flight.
 */
std::size_t SendWindow(const InFlight& inFlight);

/** \brief Returns the time without acknowledgement that counts as a loss. */
absl::Duration AckTimeout(const InFlight& inFlight);

void NoteSent(InFlight& inFlight, std::size_t bytes, std::uint64_t last,
              Elapsed now);

/** \brief Records that the replica holds all entries up to `match`. */
void NoteAcknowledged(InFlight& inFlight, std::uint64_t match, Elapsed now);

/** \brief Records any reply of the replica. */
void NoteReply(InFlight& inFlight);

/** \brief Records that nothing in flight is expected to arrive. */
void NoteLost(InFlight& inFlight);

} // namespace detail
} // namespace wg
