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
constexpr std::uint32_t MostPieceBytes = 64U << 10U;
constexpr std::uint32_t LeastPieceBytes = 2U << 10U;
/** A piece that came sooner may be followed by a larger one. */
constexpr absl::Duration QuickPiece = absl::Milliseconds(100);
/** A control box that gave no answer is asked last for so long. */
constexpr absl::Duration AvoidAfterFailure = absl::Seconds(5);
/** As many bytes as the platform's documents may have. */
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

void BeginAgain(DocumentTransfer& transfer, const wire::DocumentPiece& piece)
{
  transfer.number = piece.number();
  transfer.digest = piece.digest();
  transfer.size = piece.size();
  transfer.received.clear();
  transfer.begun = transfer.askedAt;
}

bool IsOfSame(const DocumentTransfer& transfer,
              const wire::DocumentPiece& piece)
{
  return piece.number() == transfer.number &&
         piece.digest() == transfer.digest && piece.size() == transfer.size;
}

/** All bytes are there; ready for another document afterwards. */
PieceOutcome Unpack(DocumentTransfer& transfer, const std::string& source,
                    Elapsed now)
{
  const bool isWhole = Digest(transfer.received) == transfer.digest;
  auto content =
    isWhole
      ? Decompress(transfer.received, MaxDocumentBytes)
      : Outcome<std::string>(Error{ "The pieces don't make the document." });
  const std::uint64_t number = std::exchange(transfer.number, 0);
  transfer.received = {};
  if (!Succeeded(content)) {
    return Fail(transfer, source, now, Message(content));
  }
  return ReceivedDocument{ number, std::move(Value(content)) };
}

} // namespace

std::optional<wire::DocumentPieceRequest> NextPiece(
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
  wire::DocumentPieceRequest request;
  request.set_number(transfer.number);
  request.set_offset(transfer.received.size());
  request.set_most(transfer.pieceBytes);
  return request;
}

PieceOutcome TakePiece(DocumentTransfer& transfer,
                       const wire::DocumentPiece& piece, std::uint64_t held,
                       Elapsed now)
{
  const std::string source = std::exchange(transfer.source, {});
  if (piece.number() <= held || piece.content().empty()) {
    return Fail(transfer, source, now,
                "The control box does not have the document.");
  }
  if (!IsOfSame(transfer, piece)) {
    BeginAgain(transfer, piece);
  }
  if (piece.offset() != transfer.received.size()) {
    return MorePieces{};
  }
  transfer.received.append(piece.content());
  transfer.failures = 0;
  if (now - transfer.askedAt < QuickPiece) {
    transfer.pieceBytes = std::min(2 * transfer.pieceBytes, MostPieceBytes);
  }
  if (transfer.received.size() < transfer.size) {
    return MorePieces{};
  }
  return Unpack(transfer, source, now);
}

void NotePieceLost(DocumentTransfer& transfer, Elapsed now)
{
  const std::string source = std::exchange(transfer.source, {});
  transfer.pieceBytes = std::max(transfer.pieceBytes / 2, LeastPieceBytes);
  Fail(transfer, source, now, "");
}

} // namespace wg
