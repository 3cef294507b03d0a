// SPDX-License-Identifier: Apache-2.0
#include "wgDocumentTransfer.h"

#include <algorithm>
#include <utility>

#include "wgCompression.h"
#include "wgEndpointChoice.h"

namespace wg {
namespace {

/** 52 ms of a link of 10 Mbit/s; news on the same connection waits for no
 * more. Smaller after a loss, so that any link gets through.
 */
constexpr std::uint32_t MostChunkBytes = 64U << 10U;
constexpr std::uint32_t LeastChunkBytes = 2U << 10U;
/** A chunk that came sooner may be followed by a larger one. */
constexpr absl::Duration QuickChunk = absl::Milliseconds(100);
/** A control box that gave no answer is asked last for so long. */
constexpr absl::Duration AvoidAfterFailure = absl::Seconds(5);
/** Twice what control boxes take from operators; packed or not. */
constexpr std::size_t MaxDocumentBytes = 64U << 20U;

bool FailedLately(const DocumentTransfer& transfer, const std::string& source,
                  Elapsed now)
{
  auto found = transfer.failed.find(source);
  return found != transfer.failed.end() &&
         now - found->second < AvoidAfterFailure;
}

/** Each gateway has an order of its own, so that all are not sent the same
 * document by one control box.
 */
std::string ChooseSource(const DocumentTransfer& transfer,
                         absl::Span<const DocumentOffer> offers,
                         std::uint64_t least, absl::string_view box,
                         Elapsed now)
{
  std::string chosen;
  std::pair<bool, std::uint64_t> best{ false, 0 };
  for (const DocumentOffer& offer : offers) {
    if (offer.number < least) {
      continue;
    }
    const std::pair<bool, std::uint64_t> weight{
      !FailedLately(transfer, offer.source, now),
      RendezvousWeight(box, offer.source)
    };
    if (chosen.empty() || weight > best) {
      chosen = offer.source;
      best = weight;
    }
  }
  return chosen;
}

Error Fail(DocumentTransfer& transfer, const std::string& source, Elapsed now,
           std::string why)
{
  ++transfer.failures;
  transfer.failed[source] = now;
  return Error{ std::move(why) };
}

void BeginAgain(DocumentTransfer& transfer, const wire::DocumentChunk& chunk)
{
  transfer.number = chunk.number();
  transfer.digest = chunk.digest();
  transfer.size = chunk.size();
  transfer.received.clear();
  transfer.begun = transfer.askedAt;
}

bool IsOfSame(const DocumentTransfer& transfer,
              const wire::DocumentChunk& chunk)
{
  return chunk.number() == transfer.number &&
         chunk.digest() == transfer.digest && chunk.size() == transfer.size;
}

/** All bytes are there; ready for another document afterwards. */
ChunkOutcome Unpack(DocumentTransfer& transfer, const std::string& source,
                    Elapsed now)
{
  const bool isWhole = Digest(transfer.received) == transfer.digest;
  auto content =
    isWhole
      ? Decompress(transfer.received, MaxDocumentBytes)
      : Outcome<std::string>(Error{ "The chunks don't make the document." });
  const std::uint64_t number = std::exchange(transfer.number, 0);
  transfer.received = {};
  if (!Succeeded(content)) {
    return Fail(transfer, source, now, Message(content));
  }
  return ReceivedDocument{ number, std::move(Value(content)) };
}

} // namespace

std::optional<wire::DocumentChunkRequest> NextChunk(
  DocumentTransfer& transfer, absl::Span<const DocumentOffer> offers,
  std::uint64_t held, absl::string_view box, Elapsed now)
{
  if (!transfer.source.empty()) {
    return std::nullopt;
  }
  const std::uint64_t least = std::max(transfer.number, held + 1);
  transfer.source = ChooseSource(transfer, offers, least, box, now);
  if (transfer.source.empty()) {
    return std::nullopt;
  }
  transfer.askedAt = now;
  wire::DocumentChunkRequest request;
  request.set_number(transfer.number);
  request.set_offset(transfer.received.size());
  request.set_most(transfer.chunkBytes);
  return request;
}

ChunkOutcome TakeChunk(DocumentTransfer& transfer,
                       const wire::DocumentChunk& chunk, std::uint64_t held,
                       Elapsed now)
{
  const std::string source = std::exchange(transfer.source, {});
  if (chunk.number() <= held || chunk.content().empty()) {
    return Fail(transfer, source, now,
                "The control box does not have the document.");
  }
  const bool isTooLong =
    chunk.size() > MaxDocumentBytes || chunk.content().size() > chunk.size();
  if (isTooLong) {
    return Fail(transfer, source, now,
                "The control box names a length that no document has.");
  }
  if (!IsOfSame(transfer, chunk)) {
    BeginAgain(transfer, chunk);
  }
  if (chunk.offset() != transfer.received.size()) {
    return MoreChunks{};
  }
  transfer.received.append(chunk.content());
  transfer.failures = 0;
  if (now - transfer.askedAt < QuickChunk) {
    transfer.chunkBytes = std::min(2 * transfer.chunkBytes, MostChunkBytes);
  }
  if (transfer.received.size() < transfer.size) {
    return MoreChunks{};
  }
  return Unpack(transfer, source, now);
}

void NoteChunkLost(DocumentTransfer& transfer, Elapsed now)
{
  const std::string source = std::exchange(transfer.source, {});
  transfer.chunkBytes = std::max(transfer.chunkBytes / 2, LeastChunkBytes);
  Fail(transfer, source, now, "");
}

} // namespace wg
