// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

/** \brief How often a part of prompts was counted lately. */
struct PartCount
{
  Elapsed windowStart;
  int inWindow = 0;
  int inFormerWindow = 0;
};

/** \brief Parts of prompts that requests or answers had, of bounded size. */
struct PartCounts
{
  /** Counts are kept for this time and the window before. */
  absl::Duration window = absl::Seconds(30);
  std::size_t maxParts = 4096; // some 100 bytes each
  std::map<std::string, PartCount, std::less<>> parts;
};

/** \brief Counts a part. When full, parts that were not counted within two
 * windows are forgotten, else all.
 */
void CountPart(PartCounts& counts, absl::string_view part, Elapsed now);

/** \brief Returns how often the part was counted in the last one to two
 * windows.
 */
int TimesCounted(const PartCounts& counts, absl::string_view part,
                 Elapsed now);

} // namespace wg
