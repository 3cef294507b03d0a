// SPDX-License-Identifier: Apache-2.0
#include "wgAnsweredParts.h"

namespace wg {
namespace {

constexpr std::size_t AnswersForEnd = 3;

void MoveWindow(AnsweredPart& part, absl::Duration window, Elapsed now)
{
  const absl::Duration since = now - part.windowStart;
  if (since < window) {
    return;
  }
  part.inFormerWindow = since < 2 * window ? part.inWindow : 0;
  part.inWindow = 0;
  part.windowStart = now;
}

void ForgetOld(AnsweredParts& answered, Elapsed now)
{
  for (auto it = answered.parts.begin(); it != answered.parts.end();) {
    const auto current = it++;
    if (now - current->second.windowStart >= 2 * answered.window) {
      answered.parts.erase(current);
    }
  }
  if (answered.parts.size() >= answered.maxParts) {
    answered.parts.clear();
  }
}

} // namespace

void NotePartAnswered(AnsweredParts& answered, absl::string_view part,
                      Elapsed now)
{
  auto found = answered.parts.find(part);
  if (found == answered.parts.end()) {
    if (answered.parts.size() >= answered.maxParts) {
      ForgetOld(answered, now);
    }
    found =
      answered.parts.emplace(std::string(part), AnsweredPart{ now }).first;
  }
  MoveWindow(found->second, answered.window, now);
  ++found->second.inWindow;
}

int AnswersWithPart(const AnsweredParts& answered, absl::string_view part,
                    Elapsed now)
{
  const auto found = answered.parts.find(part);
  if (found == answered.parts.end()) {
    return 0;
  }
  AnsweredPart moved = found->second;
  MoveWindow(moved, answered.window, now);
  return moved.inWindow + moved.inFormerWindow;
}

bool IsProvedSound(const AnsweredParts& answered, absl::string_view part,
                   std::size_t ends, Elapsed now)
{
  const int answers = AnswersWithPart(answered, part, now);
  return static_cast<std::size_t>(answers) >= AnswersForEnd * ends;
}

} // namespace wg
