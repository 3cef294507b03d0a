// SPDX-License-Identifier: Apache-2.0
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "wgCompression.h"
#include "wgPackedDocuments.h"

namespace {

using wg::wire::DocumentPiece;

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

DocumentPiece Ask(wg::PackedDocuments& packed,
                  const wg::wire::PublishDocument& newest,
                  std::uint64_t number, std::uint64_t offset)
{
  wg::wire::DocumentPieceRequest request;
  request.set_number(number);
  request.set_offset(offset);
  request.set_most(4096);
  return wg::ReadPiece(packed, newest, request);
}

} // namespace

TEST_CASE("The pieces of a document make it")
{
  wg::PackedDocuments packed;
  const auto document = Document(3);
  std::string bytes;
  DocumentPiece piece = Ask(packed, document, 0, 0);
  while (!piece.content().empty()) {
    CHECK(piece.number() == 3);
    CHECK(piece.content().size() <= 4096);
    REQUIRE(piece.offset() == bytes.size());
    bytes += piece.content();
    piece = Ask(packed, document, 3, bytes.size());
  }
  CHECK(bytes.size() == piece.size());
  CHECK(wg::Digest(bytes) == piece.digest());
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
  const DocumentPiece kept = Ask(packed, Document(4), 2, 4096);
  CHECK(kept.number() == 2);
  CHECK(kept.offset() == 4096);
  const DocumentPiece gone = Ask(packed, Document(4), 1, 4096);
  CHECK(gone.number() == 4);
  CHECK(gone.offset() == 0);
  CHECK_FALSE(gone.content().empty());
}

TEST_CASE("Without a document, or beyond its end, there is no piece of it")
{
  wg::PackedDocuments packed;
  CHECK(Ask(packed, {}, 0, 0).number() == 0);
  const DocumentPiece beyond = Ask(packed, Document(1), 1, 1U << 30U);
  CHECK(beyond.number() == 1);
  CHECK(beyond.offset() == 0); // from its beginning
}
