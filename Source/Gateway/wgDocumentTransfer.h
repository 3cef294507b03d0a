// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgOutcome.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief A control box and the newest document that it has told of. */
struct DocumentOffer
{
  std::string source; // its address
  std::uint64_t number = 0;
};

/** \brief A document that a gateway is taking in, chunk by chunk from one
 * control box at a time. What has arrived stays when a call fails or another
 * control box goes on; a transfer that has begun is ended before a newer
 * document is asked for, so that a series of changes can't keep a gateway from
 * all of them.
 */
struct DocumentTransfer
{
  std::uint64_t number = 0; // 0: none has begun
  std::uint64_t digest = 0;
  std::uint64_t size = 0; // packed, in bytes
  std::string received;   // packed
  std::string source;     // asked now; empty: none
  std::uint32_t chunkBytes = 64U << 10U;
  Elapsed askedAt;
  Elapsed begun;
  int failures = 0;                      // in a row
  std::map<std::string, Elapsed> failed; // sources, and when
};

/** \brief A document that is there whole. */
struct ReceivedDocument
{
  std::uint64_t number = 0;
  std::string content;
};

/** \brief The next chunk is to be asked for. */
struct MoreChunks
{
};

using ChunkOutcome = std::variant<MoreChunks, ReceivedDocument, Error>;

/** \brief What to ask which control box for, if there is anything to ask for
 * and nothing is being asked.
 * \param held the newest document that was received
 */
std::optional<wire::DocumentChunkRequest> NextChunk(
  DocumentTransfer& transfer, absl::Span<const DocumentOffer> offers,
  std::uint64_t held, absl::string_view box, Elapsed now);

/** \brief Takes in the answer of the box that was asked. After an error the
 * next chunk is to be asked for as after a lost one.
 */
ChunkOutcome TakeChunk(DocumentTransfer& transfer,
                       const wire::DocumentChunk& chunk, std::uint64_t held,
                       Elapsed now);

/** \brief The box that was asked gave no answer. */
void NoteChunkLost(DocumentTransfer& transfer, Elapsed now);

} // namespace wg
