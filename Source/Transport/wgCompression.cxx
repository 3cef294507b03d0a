// SPDX-License-Identifier: Apache-2.0
#include "wgCompression.h"

#include <xxhash.h>
#include <zstd.h>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

/** Zstandard's default. */
constexpr int Level = 3;

} // namespace

std::string Compress(absl::string_view content)
{
  std::string frame(ZSTD_compressBound(content.size()), '\0');
  const std::size_t size = ZSTD_compress(
    frame.data(), frame.size(), content.data(), content.size(), Level);
  // There is room enough, so that only a lack of memory can fail.
  frame.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return frame;
}

Outcome<std::string> Decompress(absl::string_view frame, std::size_t most)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(frame.data(), frame.size());
  const bool told =
    size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
  if (!told || size > most) {
    return Error{ absl::StrCat("The ", frame.size(),
                               " bytes are no compressed content of at most ",
                               most, " bytes; ask for them again.") };
  }
  std::string content(static_cast<std::size_t>(size), '\0');
  const std::size_t got = ZSTD_decompress(content.data(), content.size(),
                                          frame.data(), frame.size());
  if (ZSTD_isError(got) != 0 || got != content.size()) {
    return Error{ "The compressed content is damaged; ask for it again." };
  }
  return content;
}

std::uint64_t Digest(absl::string_view content)
{
  return XXH3_64bits(content.data(), content.size());
}

} // namespace wg
