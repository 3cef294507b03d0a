// SPDX-License-Identifier: Apache-2.0
#include "wgResultHandles.h"

#include <algorithm>

#include "absl/strings/ascii.h"

namespace wg {
namespace {

/** An address and port, a slash and a name of 16 digits, and the comma. */
constexpr std::size_t ExpectedHandleBytes = 40;

} // namespace

bool IsResultHandle(absl::string_view handle)
{
  return !handle.empty() && handle.size() <= MaxHandleBytes &&
         std::all_of(handle.begin(), handle.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<unsigned char>(c)) &&
                  c != ',';
         });
}

bool AreListable(absl::Span<const std::string> handles)
{
  std::size_t bytes = 0;
  for (const std::string& handle : handles) {
    if (!IsResultHandle(handle)) {
      return false;
    }
    bytes += handle.size() + 1;
  }
  return bytes <= MaxFieldBytes;
}

bool AreListable(std::size_t handles)
{
  return handles <= MaxFieldBytes / ExpectedHandleBytes;
}

} // namespace wg
