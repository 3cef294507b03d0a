// SPDX-License-Identifier: Apache-2.0
#include "wgPartCounts.h"

namespace wg {
namespace {

void MoveWindow(PartCount& part, absl::Duration window, Elapsed now)
{
  const absl::Duration since = now - part.windowStart;
  if (since < window) {
    return;
  }
  part.inFormerWindow = since < 2 * window ? part.inWindow : 0;
  part.inWindow = 0;
  part.windowStart = now;
}

void ForgetOld(PartCounts& counts, Elapsed now)
{
  for (auto it = counts.parts.begin(); it != counts.parts.end();) {
    const auto current = it++;
    if (now - current->second.windowStart >= 2 * counts.window) {
      counts.parts.erase(current);
    }
  }
  if (counts.parts.size() >= counts.maxParts) {
    counts.parts.clear();
  }
}

} // namespace

void CountPart(PartCounts& counts, absl::string_view part, Elapsed now)
{
  auto found = counts.parts.find(part);
  if (found == counts.parts.end()) {
    if (counts.parts.size() >= counts.maxParts) {
      ForgetOld(counts, now);
    }
    found = counts.parts.emplace(std::string(part), PartCount{ now }).first;
  }
  MoveWindow(found->second, counts.window, now);
  ++found->second.inWindow;
}

int TimesCounted(const PartCounts& counts, absl::string_view part, Elapsed now)
{
  const auto found = counts.parts.find(part);
  if (found == counts.parts.end()) {
    return 0;
  }
  PartCount moved = found->second;
  MoveWindow(moved, counts.window, now);
  return moved.inWindow + moved.inFormerWindow;
}

} // namespace wg
