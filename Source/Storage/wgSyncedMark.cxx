// SPDX-License-Identifier: Apache-2.0
#include "wgSyncedMark.h"

#include <algorithm>
#include <vector>

#include <xxhash.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace wg {
namespace {

/** Builds without checksums read the first two words only. */
std::string PrintNumbers(const SyncedMark& mark)
{
  return absl::StrFormat("%20d %20d", mark.generation, mark.bytes);
}

std::optional<SyncedMark> ParseMark(absl::string_view text)
{
  const std::vector<absl::string_view> words =
    absl::StrSplit(text, ' ', absl::SkipWhitespace());
  SyncedMark mark;
  const bool hasNumbers = words.size() == 3 &&
                          absl::SimpleAtoi(words[0], &mark.generation) &&
                          absl::SimpleAtoi(words[1], &mark.bytes);
  return hasNumbers && text == PrintSyncedMark(mark) ? std::optional(mark)
                                                     : std::nullopt;
}

} // namespace

std::string PrintSyncedMark(const SyncedMark& mark)
{
  std::string text = PrintNumbers(mark);
  const std::uint64_t checksum = XXH64(text.data(), text.size(), 0);
  absl::StrAppendFormat(&text, " %016x", checksum);
  text.resize(SyncedMarkBytes - 1, ' ');
  text.push_back('\n');
  return text;
}

std::optional<std::uint64_t> ReadSyncedBytes(absl::string_view file,
                                             std::uint64_t generation)
{
  std::optional<std::uint64_t> longest;
  for (std::size_t place = 0; place < SyncedMarkPlaces; ++place) {
    const std::size_t at = place * SyncedMarkBytes;
    if (at + SyncedMarkBytes > file.size()) {
      break;
    }
    const auto mark = ParseMark(file.substr(at, SyncedMarkBytes));
    if (mark && mark->generation == generation) {
      longest = std::max(longest.value_or(0), mark->bytes);
    }
  }
  return longest;
}

} // namespace wg
