// SPDX-License-Identifier: Apache-2.0
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "wgCompression.h"
#include "wgPackedDocuments.h"

namespace {

using wg::wire::DocumentChunk;

wg::wire::PublishDocument Document(std::uint64_t number)
{
  std::mt19937_64 random(number);
  std::string content(10000, ' ');
  for (char& letter : content) {
    letter = static_cast<char>(random() % 256);
  }
  wg::wire::PublishDocument document;
  document.set_number(number);
  document.set_content(content);
  return document;
}

DocumentChunk Ask(wg::PackedDocuments& packed,
                  const wg::wire::PublishDocument& newest,
                  std::uint64_t number, std::uint64_t offset)
{
  wg::wire::DocumentChunkRequest request;
  request.set_number(number);
  request.set_offset(offset);
  request.set_most(4096);
  return wg::ReadChunk(packed, newest, request);
}

} // namespace

TEST_CASE("The chunks of a document make it")
{
  wg::PackedDocuments packed;
  const auto document = Document(3);
  std::string bytes;
  DocumentChunk chunk = Ask(packed, document, 0, 0);
  while (!chunk.content().empty()) {
    CHECK(chunk.number() == 3);
    CHECK(chunk.content().size() <= 4096);
    REQUIRE(chunk.offset() == bytes.size());
    bytes += chunk.content();
    chunk = Ask(packed, document, 3, bytes.size());
  }
  CHECK(bytes.size() == chunk.size());
  CHECK(wg::Digest(bytes) == chunk.digest());
  const auto content = wg::Decompress(bytes, 1U << 20U);
  REQUIRE(wg::Succeeded(content));
  CHECK(wg::Value(content) == document.content());
}

TEST_CASE("What gateways have begun is kept for a while")
{
  wg::PackedDocuments packed;
  for (std::uint64_t number = 1; number <= 4; ++number) {
    Ask(packed, Document(number), number, 0);
  }
  const DocumentChunk kept = Ask(packed, Document(4), 2, 4096);
  CHECK(kept.number() == 2);
  CHECK(kept.offset() == 4096);
  const DocumentChunk gone = Ask(packed, Document(4), 1, 4096);
  CHECK(gone.number() == 4);
  CHECK(gone.offset() == 0);
  CHECK_FALSE(gone.content().empty());
}

TEST_CASE("Without a document, or beyond its end, there is no chunk of it")
{
  wg::PackedDocuments packed;
  CHECK(Ask(packed, {}, 0, 0).number() == 0);
  const DocumentChunk beyond = Ask(packed, Document(1), 1, 1U << 30U);
  CHECK(beyond.number() == 1);
  CHECK(beyond.offset() == 0); // from its beginning
}
