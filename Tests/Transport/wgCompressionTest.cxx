// SPDX-License-Identifier: Apache-2.0
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "wgCompression.h"

TEST_CASE("What is compressed comes back")
{
  std::string text;
  for (int i = 0; i < 5000; ++i) {
    text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\"}";
  }
  for (const std::string& content : { std::string(), text }) {
    const std::string frame = wg::Compress(content);
    const auto back = wg::Decompress(frame, text.size());
    REQUIRE(wg::Succeeded(back));
    CHECK(wg::Value(back) == content);
  }
  CHECK(wg::Compress(text).size() < text.size() / 3);
  CHECK_FALSE(
    wg::Succeeded(wg::Decompress(wg::Compress(text), text.size() - 1)));
}

TEST_CASE("Damaged bytes are told, not believed")
{
  std::mt19937_64 random(1);
  const std::string text(3000, 'x');
  const std::string frame = wg::Compress(text + "end");
  for (int i = 0; i < 2000; ++i) {
    std::string damaged = frame;
    damaged.resize(random() % (frame.size() + 1));
    for (char& letter : damaged) {
      letter = random() % 8 == 0 ? static_cast<char>(random()) : letter;
    }
    const auto back = wg::Decompress(damaged, 1U << 16U);
    CHECK((!wg::Succeeded(back) || wg::Value(back).size() <= 1U << 16U));
  }
  CHECK(wg::Digest(frame) != wg::Digest(text));
}
