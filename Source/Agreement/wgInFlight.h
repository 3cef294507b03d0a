// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>

#include "wgElapsed.h"

namespace wg {

/** \brief What a leader has sent to one replica and has not been confirmed:
 * entries, or a snapshot.
 */
struct InFlight
{
  std::size_t bytes = 0;  // 0: nothing
  std::uint64_t last = 0; // index of the newest entry
  Elapsed sent;           // when the newest of it was
  Elapsed quietSince;     // since when nothing of it has been confirmed
  int losses = 0;         // in a row, without anything confirmed between
  /** After a loss: only heartbeats until one is answered, as the replica may
   * be down.
   */
  bool awaitsAnswer = false;
};

namespace detail {

/** \brief Whether it takes a link long enough for heartbeats to overtake it.
 */
bool IsLarge(const InFlight& inFlight);

/** \brief How many bytes more may be sent before any is confirmed; at least
 * one entry may while nothing is in flight.
 */
std::size_t RoomInFlight(const InFlight& inFlight);

/** \brief After how long without confirmation it is taken for lost. */
absl::Duration LostAfter(const InFlight& inFlight);

void NoteSent(InFlight& inFlight, std::size_t bytes, std::uint64_t last,
              Elapsed now);

/** \brief The replica has told that it holds all up to an index. */
void NoteConfirmed(InFlight& inFlight, std::uint64_t match, Elapsed now);

/** \brief The replica has answered something. */
void NoteAnswer(InFlight& inFlight);

/** \brief Nothing of it is expected to arrive any more. */
void NoteLost(InFlight& inFlight);

} // namespace detail
} // namespace wg
