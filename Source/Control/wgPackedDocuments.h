// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "wgPeer.pb.h"

namespace wg {

/** \brief A published document as gateways are sent it. */
struct PackedDocument
{
  std::uint64_t number = 0;
  std::string bytes; // compressed
  std::uint64_t digest = 0;
};

/** \brief The documents that gateways may be taking in, the newest last. */
struct PackedDocuments
{
  std::deque<PackedDocument> recent;
};

/** \brief A chunk of the document that is asked for, as long as that is kept,
 * else of the newest one; empty while there is none.
 */
wire::DocumentChunk ReadChunk(PackedDocuments& packed,
                              const wire::PublishDocument& newest,
                              const wire::DocumentChunkRequest& request);

} // namespace wg
