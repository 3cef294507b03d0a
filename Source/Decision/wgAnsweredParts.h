// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

/** \brief How often a part of prompts was answered lately. */
struct AnsweredPart
{
  Elapsed windowStart;
  int inWindow = 0;
  int inFormerWindow = 0;
};

/** \brief Parts of prompts whose requests this box saw answered, of bounded
 * size.
 */
struct AnsweredParts
{
  /** Counts are kept for this time and the window before. */
  absl::Duration window = absl::Seconds(30);
  std::size_t maxParts = 4096; // some 100 bytes each
  std::map<std::string, AnsweredPart, std::less<>> parts;
};

/** \brief Counts an answer. When full, parts that were not answered within two
 * windows are forgotten, else all.
 */
void NotePartAnswered(AnsweredParts& answered, absl::string_view part,
                      Elapsed now);

/** \brief Returns how many answers of the last one to two windows had the
 * part.
 */
int AnswersWithPart(const AnsweredParts& answered, absl::string_view part,
                    Elapsed now);

/** \brief Whether so many answers of late had the part that it did not end
 * endpoints. Where several of them end at once for another reason, all parts
 * that their requests had seem to have ended them.
 * \param ends  of endpoints that count against the part
 */
bool IsProvedSound(const AnsweredParts& answered, absl::string_view part,
                   std::size_t ends, Elapsed now);

} // namespace wg
