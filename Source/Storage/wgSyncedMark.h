// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief How much of a log was synced at some time. */
struct SyncedMark
{
  std::uint64_t generation = 0; // of the log, see ReplicaStore
  std::uint64_t bytes = 0;
};

/** \brief Number of places for marks in their file.
 *
 * Marks are overwritten in place and not synced. They are written to the
 * places in turn, so that one that is torn leaves an older one.
 */
inline constexpr std::size_t SyncedMarkPlaces = 2;
/** \brief Size of a place in bytes. */
inline constexpr std::size_t SyncedMarkBytes = 64;

/** \brief Returns the text of a mark, of SyncedMarkBytes. */
std::string PrintSyncedMark(const SyncedMark& mark);

/** \brief Returns the longest synced length that an intact mark tells of a
 * generation.
 * \param file  content of the file of marks
 * \return a lower bound in bytes; nothing if no mark is intact
 */
std::optional<std::uint64_t> ReadSyncedBytes(absl::string_view file,
                                             std::uint64_t generation);

} // namespace wg
