// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgCompression.h"
#include "wgDocumentTransfer.h"

namespace {

using wg::DocumentOffer;
using wg::DocumentTransfer;
using wg::Elapsed;
using wg::wire::DocumentChunk;
using wg::wire::DocumentChunkRequest;

const Elapsed Start = absl::Seconds(10);

/** Letters that don't compress. */
std::string Content(std::uint64_t number, std::size_t size)
{
  std::mt19937_64 random(number);
  std::string content(size, ' ');
  for (char& letter : content) {
    letter = static_cast<char>(random());
  }
  return content;
}

DocumentChunk ChunkOf(std::uint64_t number, const std::string& packed,
                      const DocumentChunkRequest& request)
{
  DocumentChunk chunk;
  chunk.set_number(number);
  chunk.set_offset(request.offset());
  chunk.set_size(packed.size());
  chunk.set_digest(wg::Digest(packed));
  chunk.set_content(packed.substr(request.offset(), request.most()));
  return chunk;
}

std::vector<DocumentOffer> Offers(std::size_t count, std::uint64_t number)
{
  std::vector<DocumentOffer> offers;
  for (std::size_t i = 0; i < count; ++i) {
    offers.push_back({ absl::StrCat("10.0.0.", i, ":7000"), number });
  }
  return offers;
}

} // namespace

TEST_CASE("What has arrived stays when control boxes fail")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const std::string content = Content(seed, 600000);
    const std::string packed = wg::Compress(content);
    const auto offers = Offers(3, 7);
    DocumentTransfer transfer;
    Elapsed now = Start;
    std::size_t sent = 0;
    bool isWhole = false;
    for (int calls = 0; calls < 2000 && !isWhole; ++calls) {
      now += absl::Milliseconds(50);
      const auto request = wg::NextChunk(transfer, offers, 6, "box", now);
      REQUIRE(request);
      CHECK_FALSE(wg::NextChunk(transfer, offers, 6, "box", now)); // one only
      if (random() % 3 == 0) {
        now += absl::Milliseconds(800);
        wg::NoteChunkLost(transfer, now);
        continue;
      }
      const DocumentChunk chunk = ChunkOf(7, packed, *request);
      sent += chunk.content().size();
      const auto outcome = wg::TakeChunk(transfer, chunk, 6, now);
      if (const auto* whole = std::get_if<wg::ReceivedDocument>(&outcome)) {
        CHECK(whole->number == 7);
        CHECK(whole->content == content);
        isWhole = true;
      }
    }
    CHECK(isWhole);
    CHECK(sent == packed.size()); // nothing that had arrived came twice
  }
}

TEST_CASE("Chunks become as small as a link needs")
{
  // A link that carries 4 kB within a call's time.
  const std::string packed = wg::Compress(Content(1, 100000));
  const auto offers = Offers(1, 7);
  DocumentTransfer transfer;
  Elapsed now = Start;
  bool isWhole = false;
  int calls = 0;
  while (!isWhole && calls < 100) {
    ++calls;
    const auto request = wg::NextChunk(transfer, offers, 0, "box", now);
    REQUIRE(request);
    now += absl::Milliseconds(800);
    if (request->most() > 4096) {
      wg::NoteChunkLost(transfer, now);
      continue;
    }
    const auto outcome =
      wg::TakeChunk(transfer, ChunkOf(7, packed, *request), 0, now);
    isWhole = std::holds_alternative<wg::ReceivedDocument>(outcome);
  }
  CHECK(isWhole);
  CHECK(calls < 32);
}

TEST_CASE("A transfer ends before a newer document is asked for")
{
  const std::string packed = wg::Compress(Content(1, 300000));
  DocumentTransfer transfer;
  std::uint64_t number = 7;
  Elapsed now = Start;
  bool isWhole = false;
  for (int calls = 0; calls < 20 && !isWhole; ++calls) {
    // A newer document with each chunk.
    const auto offers = Offers(3, number++);
    const auto request = wg::NextChunk(transfer, offers, 6, "box", now);
    REQUIRE(request);
    CHECK(request->number() == (calls == 0 ? 0U : 7U));
    now += absl::Milliseconds(50);
    const auto outcome =
      wg::TakeChunk(transfer, ChunkOf(7, packed, *request), 6, now);
    isWhole = std::holds_alternative<wg::ReceivedDocument>(outcome);
  }
  CHECK(isWhole);
  const auto next = wg::NextChunk(transfer, Offers(3, number), 7, "box", now);
  REQUIRE(next);
  CHECK(next->number() == 0);
  CHECK(next->offset() == 0);
}

TEST_CASE("A document that is no longer kept is left for the newest")
{
  const std::string old = wg::Compress(Content(1, 200000));
  const std::string newer = wg::Compress(Content(2, 1000));
  const auto offers = Offers(1, 9);
  DocumentTransfer transfer;
  auto request = wg::NextChunk(transfer, offers, 6, "box", Start);
  REQUIRE(request);
  wg::TakeChunk(transfer, ChunkOf(7, old, *request), 6, Start);
  request = wg::NextChunk(transfer, offers, 6, "box", Start);
  REQUIRE(request);
  CHECK(request->offset() > 0);
  const auto outcome = wg::TakeChunk(
    transfer, ChunkOf(9, newer, DocumentChunkRequest()), 6, Start);
  // An empty chunk would be no answer.
  CHECK(std::holds_alternative<wg::Error>(outcome));
  request = wg::NextChunk(transfer, offers, 6, "box", Start);
  REQUIRE(request);
  DocumentChunkRequest fromItsBeginning;
  fromItsBeginning.set_most(request->most());
  const auto whole =
    wg::TakeChunk(transfer, ChunkOf(9, newer, fromItsBeginning), 6, Start);
  REQUIRE(std::holds_alternative<wg::ReceivedDocument>(whole));
  CHECK(std::get<wg::ReceivedDocument>(whole).number == 9);
}

TEST_CASE("Two packings of one document are not mixed")
{
  const std::string content = Content(1, 200000);
  const std::string first = wg::Compress(content);
  std::string second = first;
  second += wg::Compress(""); // an empty frame behind it
  const auto offers = Offers(2, 7);
  DocumentTransfer transfer;
  auto request = wg::NextChunk(transfer, offers, 6, "box", Start);
  REQUIRE(request);
  wg::TakeChunk(transfer, ChunkOf(7, first, *request), 6, Start);
  request = wg::NextChunk(transfer, offers, 6, "box", Start);
  REQUIRE(request);
  wg::TakeChunk(transfer, ChunkOf(7, second, *request), 6, Start);
  CHECK(transfer.received.empty());
}

TEST_CASE("Bytes that are no document are told and asked for again")
{
  const std::string packed = "no frame";
  const auto offers = Offers(1, 7);
  DocumentTransfer transfer;
  const auto request = wg::NextChunk(transfer, offers, 6, "box", Start);
  REQUIRE(request);
  const auto outcome =
    wg::TakeChunk(transfer, ChunkOf(7, packed, *request), 6, Start);
  CHECK(std::holds_alternative<wg::Error>(outcome));
  CHECK(transfer.failures == 1);
  CHECK(wg::NextChunk(transfer, offers, 6, "box", Start));
}

TEST_CASE("Boxes ask different control boxes, and not those that failed")
{
  const auto offers = Offers(6, 7);
  std::map<std::string, int> asked;
  constexpr int boxes = 85;
  for (int i = 0; i < boxes; ++i) {
    const std::string box = absl::StrCat("box-", i);
    DocumentTransfer transfer;
    REQUIRE(wg::NextChunk(transfer, offers, 6, box, Start));
    ++asked[transfer.source];
    const std::string failed = transfer.source;
    wg::NoteChunkLost(transfer, Start);
    REQUIRE(wg::NextChunk(transfer, offers, 6, box, Start));
    CHECK(transfer.source != failed);
  }
  CHECK(asked.size() == offers.size());
  for (const auto& [source, count] : asked) {
    CHECK(count < boxes / 3);
  }
  // One that has not heard of the document is not asked.
  DocumentTransfer transfer;
  CHECK_FALSE(wg::NextChunk(transfer, Offers(6, 6), 6, "box", Start));
}

// Chunks of a document that never ends were kept, as many as came.
TEST_CASE("A length that no document has is refused")
{
  const auto offers = Offers(1, 7);
  DocumentTransfer transfer;
  DocumentChunk chunk;
  chunk.set_number(7);
  chunk.set_content(std::string(1000, 'x'));
  for (const std::uint64_t size :
       { std::uint64_t{ 999 }, std::uint64_t{ 1 } << 62U }) {
    CAPTURE(size);
    REQUIRE(wg::NextChunk(transfer, offers, 0, "box", Start));
    chunk.set_size(size);
    const auto outcome = wg::TakeChunk(transfer, chunk, 0, Start);
    CHECK(std::holds_alternative<wg::Error>(outcome));
    CHECK(transfer.received.empty());
  }
}
