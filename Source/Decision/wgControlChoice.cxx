// SPDX-License-Identifier: Apache-2.0
#include "wgControlChoice.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

#include <xxhash.h>

namespace wg {
namespace {

std::uint64_t RendezvousHash(absl::string_view box, absl::string_view control)
{
  const XXH64_hash_t seed = XXH64(box.data(), box.size(), 0);
  return XXH64(control.data(), control.size(), seed);
}

/** Returns the indices of all candidates, the most preferred first. */
std::vector<std::size_t> Rank(absl::Span<const ControlCandidate> candidates,
                              absl::string_view box)
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(candidates.size());
  for (const ControlCandidate& candidate : candidates) {
    hashes.push_back(RendezvousHash(box, candidate.address));
  }
  std::vector<std::size_t> ranked(candidates.size());
  std::iota(ranked.begin(), ranked.end(), std::size_t{ 0 });
  std::sort(ranked.begin(), ranked.end(),
            [&hashes](std::size_t left, std::size_t right) {
              return hashes[left] > hashes[right];
            });
  return ranked;
}

} // namespace

std::vector<std::size_t> ChooseControls(
  absl::Span<const ControlCandidate> candidates, absl::string_view box,
  absl::string_view hall)
{
  std::vector<std::size_t> ranked = Rank(candidates, box);
  if (ranked.size() <= MaxFollowedByAll) {
    return ranked;
  }
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  for (const std::size_t i : ranked) {
    if (candidates[i].isReached) {
      (candidates[i].hall == hall ? near : far).push_back(i);
    }
  }
  std::size_t fromNear = std::min(near.size(), FollowedInHall);
  const std::size_t fromFar =
    std::min(far.size(), FollowedInHall + FollowedElsewhere - fromNear);
  fromNear =
    std::min(near.size(), FollowedInHall + FollowedElsewhere - fromFar);
  std::vector<std::size_t> chosen(near.begin(), near.begin() + fromNear);
  chosen.insert(chosen.end(), far.begin(), far.begin() + fromFar);
  return chosen;
}

} // namespace wg
