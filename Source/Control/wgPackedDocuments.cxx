// SPDX-License-Identifier: Apache-2.0
#include "wgPackedDocuments.h"

#include <algorithm>

#include "wgCompression.h"

namespace wg {
namespace {

/** A gateway ends what it has begun before it takes the newest: of a series of
 * changes it needs the one before the last for as long as that takes.
 */
constexpr std::size_t KeptDocuments = 3;
/** A reply that is no larger leaves room for others on the connection. */
constexpr std::uint32_t MaxChunkBytes = 256U << 10U;

void Pack(PackedDocuments& packed, const wire::PublishDocument& newest)
{
  auto& recent = packed.recent;
  if (!recent.empty() && recent.back().number == newest.number()) {
    return;
  }
  std::string bytes = Compress(newest.content());
  const std::uint64_t digest = Digest(bytes);
  recent.push_back({ newest.number(), std::move(bytes), digest });
  if (recent.size() > KeptDocuments) {
    recent.pop_front();
  }
}

} // namespace

wire::DocumentChunk ReadChunk(PackedDocuments& packed,
                              const wire::PublishDocument& newest,
                              const wire::DocumentChunkRequest& request)
{
  wire::DocumentChunk chunk;
  if (newest.number() == 0) {
    return chunk;
  }
  Pack(packed, newest);
  const auto& recent = packed.recent;
  auto found = std::find_if(recent.begin(), recent.end(),
                            [&request](const PackedDocument& document) {
                              return document.number == request.number();
                            });
  const bool isKept =
    found != recent.end() && request.offset() <= found->bytes.size();
  const PackedDocument& document = isKept ? *found : recent.back();
  const std::uint64_t offset = isKept ? request.offset() : 0;
  chunk.set_number(document.number);
  chunk.set_offset(offset);
  chunk.set_size(document.bytes.size());
  chunk.set_digest(document.digest);
  chunk.set_content(
    document.bytes.substr(offset, std::min(request.most(), MaxChunkBytes)));
  return chunk;
}

} // namespace wg
