// SPDX-License-Identifier: Apache-2.0
#include "wgHallReach.h"

#include <utility>

namespace wg {
namespace {

constexpr std::size_t EnoughUnreached = 2;
/** What failed longer ago says nothing of now. */
constexpr absl::Duration EvidenceAge = absl::Seconds(2);

} // namespace

bool NoteReached(HallReach& reach, absl::string_view hall)
{
  auto found = reach.halls.find(std::string(hall));
  if (found == reach.halls.end()) {
    return false;
  }
  found->second.unreached.clear();
  return std::exchange(found->second.isCut, false);
}

bool NoteUnreached(HallReach& reach, absl::string_view hall,
                   absl::string_view endpoint, Elapsed now)
{
  HallEvidence& evidence = reach.halls[std::string(hall)];
  const bool stale = now - evidence.firstUnreached > EvidenceAge;
  if (evidence.unreached.empty() || stale) {
    evidence.unreached.clear();
    evidence.firstUnreached = now;
  }
  evidence.unreached.emplace(endpoint);
  if (evidence.unreached.size() < EnoughUnreached) {
    return false;
  }
  return !std::exchange(evidence.isCut, true);
}

bool IsCutOff(const HallReach& reach, absl::string_view hall)
{
  auto found = reach.halls.find(std::string(hall));
  return found != reach.halls.end() && found->second.isCut;
}

} // namespace wg
