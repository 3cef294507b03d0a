// SPDX-License-Identifier: Apache-2.0
#include "wgCoordinatorChoice.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace wg {
namespace {

constexpr double MilliInCore = 1000.0;
/** Bounds the table if names of boxes are made up: some 400 kB. */
constexpr std::size_t MostBoxes = 4096;
/** 2^64, above all hashes. */
constexpr double HashRange = 18446744073709551616.0;

/** What the shares of all candidates say of one. */
struct ShareBounds
{
  std::uint32_t untold = 1; // the share of those that told none
  std::uint32_t largestNear = 0;
  std::uint32_t largestFar = 0;
};

std::uint32_t ShareOf(const CoordinatorCandidate& candidate,
                      const ShareBounds& bounds)
{
  return IsSoundShare(candidate.cpuMilli) ? candidate.cpuMilli : bounds.untold;
}

ShareBounds FindBounds(absl::Span<const CoordinatorCandidate> candidates)
{
  ShareBounds bounds;
  std::uint32_t smallest = MostCpuMilli + 1;
  for (const CoordinatorCandidate& candidate : candidates) {
    if (IsSoundShare(candidate.cpuMilli)) {
      smallest = std::min(smallest, candidate.cpuMilli);
    }
  }
  if (smallest <= MostCpuMilli) {
    bounds.untold = smallest;
  }
  for (const CoordinatorCandidate& candidate : candidates) {
    std::uint32_t& largest =
      candidate.isNear ? bounds.largestNear : bounds.largestFar;
    largest = std::max(largest, ShareOf(candidate, bounds));
  }
  return bounds;
}

/** How often a share must be doubled to be at least half of the largest. */
int TierOf(std::uint64_t share, std::uint64_t largest)
{
  int tier = 0;
  for (; 2 * share < largest; share *= 2) {
    ++tier;
  }
  return tier;
}

double RendezvousScore(std::uint64_t hash, std::uint32_t weight)
{
  const double h = (static_cast<double>(hash) + 1.0) / HashRange;
  return -std::log(h) / weight;
}

/** Whether the first goes before the second. */
bool GoesBefore(const CoordinatorCandidate& first,
                const CoordinatorCandidate& second, const ShareBounds& bounds)
{
  if (first.isNear != second.isNear) {
    return first.isNear;
  }
  const std::uint32_t share = ShareOf(first, bounds);
  const std::uint32_t otherShare = ShareOf(second, bounds);
  if (share == otherShare) {
    // Not by score: rounding would make some equal.
    return first.hash > second.hash;
  }
  const std::uint32_t largest =
    first.isNear ? bounds.largestNear : bounds.largestFar;
  const int tier = TierOf(share, largest);
  const int otherTier = TierOf(otherShare, largest);
  if (tier != otherTier) {
    return tier < otherTier;
  }
  return RendezvousScore(first.hash, share) <
         RendezvousScore(second.hash, otherShare);
}

} // namespace

bool IsSoundShare(std::uint32_t cpuMilli)
{
  return cpuMilli > 0 && cpuMilli <= MostCpuMilli;
}

std::uint32_t ReadCpuShare(absl::string_view text)
{
  double cores = 0;
  const bool isRead =
    absl::SimpleAtod(absl::StripAsciiWhitespace(text), &cores);
  const double milli = std::round(cores * MilliInCore);
  const bool isSound = isRead && milli >= 1 && milli <= MostCpuMilli;
  return isSound ? static_cast<std::uint32_t>(milli) : 0;
}

std::size_t ChooseByShare(absl::Span<const CoordinatorCandidate> candidates)
{
  const ShareBounds bounds = FindBounds(candidates);
  std::size_t best = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const CoordinatorCandidate& candidate = candidates[i];
    const bool isBetter =
      candidate.isAlive && (!candidates[best].isAlive ||
                            GoesBefore(candidate, candidates[best], bounds));
    if (isBetter) {
      best = i;
    }
  }
  return best;
}

std::uint32_t NoteShare(BoxShares& shares, const std::string& box,
                        std::uint32_t told, Elapsed now)
{
  const std::uint32_t sound = IsSoundShare(told) ? told : 0;
  auto found = shares.boxes.find(box);
  if (found == shares.boxes.end()) {
    if (shares.boxes.size() >= MostBoxes) {
      return 0;
    }
    shares.boxes[box] = { sound, sound };
    return sound;
  }
  BoxShares::Share& share = found->second;
  if (sound > 0 && sound != share.told) {
    share.told = sound;
    shares.firstNews = std::min(shares.firstNews, now);
    shares.lastNews = now;
  }
  return share.inEffect;
}

void SettleShares(BoxShares& shares, Elapsed now)
{
  const bool isDue =
    HasUnsettled(shares) && (now - shares.lastNews >= ShareSettleTime ||
                             now - shares.firstNews >= ShareSettleMost);
  if (!isDue) {
    return;
  }
  for (auto& [box, share] : shares.boxes) {
    share.inEffect = share.told;
  }
  shares.firstNews = absl::InfiniteDuration();
  shares.lastNews = absl::InfiniteDuration();
}

bool HasUnsettled(const BoxShares& shares)
{
  return shares.firstNews != absl::InfiniteDuration();
}

} // namespace wg
