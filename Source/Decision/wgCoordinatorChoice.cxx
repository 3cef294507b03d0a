// SPDX-License-Identifier: Apache-2.0
#include "wgCoordinatorChoice.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace wg {
namespace {

constexpr double MilliPerCore = 1000.0;
/** Bounds the table to about 400 kB if a peer sends invented box names. */
constexpr std::size_t MaxBoxes = 4096;
/** 2^64, the number of hash values. */
constexpr double HashRange = 18446744073709551616.0;

/** In thousandths of a core. */
struct ShareBounds
{
  std::uint32_t assumedShare = 1; // of boxes without a valid one
  std::uint32_t largestNear = 0;  // of boxes in the pool's hall
  std::uint32_t largestFar = 0;   // of boxes in other halls
};

std::uint32_t ShareOf(const CoordinatorCandidate& candidate,
                      const ShareBounds& bounds)
{
  return IsValidCpuShare(candidate.cpuMilli) ? candidate.cpuMilli
                                             : bounds.assumedShare;
}

ShareBounds FindBounds(absl::Span<const CoordinatorCandidate> candidates)
{
  ShareBounds bounds;
  std::uint32_t smallest = MaxCpuMilli + 1;
  for (const CoordinatorCandidate& candidate : candidates) {
    if (IsValidCpuShare(candidate.cpuMilli)) {
      smallest = std::min(smallest, candidate.cpuMilli);
    }
  }
  if (smallest <= MaxCpuMilli) {
    bounds.assumedShare = smallest;
  }
  for (const CoordinatorCandidate& candidate : candidates) {
    std::uint32_t& largest =
      candidate.isNear ? bounds.largestNear : bounds.largestFar;
    largest = std::max(largest, ShareOf(candidate, bounds));
  }
  return bounds;
}

/** Returns how often a share must be doubled to reach half of the largest. */
int TierOf(std::uint64_t share, std::uint64_t largest)
{
  int tier = 0;
  for (; 2 * share < largest; share *= 2) {
    ++tier;
  }
  return tier;
}

/** The lowest score wins. */
double RendezvousScore(std::uint64_t hash, std::uint32_t weight)
{
  const double h = (static_cast<double>(hash) + 1.0) / HashRange;
  return -std::log(h) / weight;
}

bool IsPreferred(const CoordinatorCandidate& first,
                 const CoordinatorCandidate& second, const ShareBounds& bounds)
{
  if (first.isNear != second.isNear) {
    return first.isNear;
  }
  const std::uint32_t firstShare = ShareOf(first, bounds);
  const std::uint32_t secondShare = ShareOf(second, bounds);
  if (firstShare == secondShare) {
    // Compares hashes, as rounding can make their scores equal.
    return first.hash > second.hash;
  }
  const std::uint32_t largest =
    first.isNear ? bounds.largestNear : bounds.largestFar;
  const int firstTier = TierOf(firstShare, largest);
  const int secondTier = TierOf(secondShare, largest);
  if (firstTier != secondTier) {
    return firstTier < secondTier;
  }
  return RendezvousScore(first.hash, firstShare) <
         RendezvousScore(second.hash, secondShare);
}

} // namespace

bool IsValidCpuShare(std::uint32_t cpuMilli)
{
  return cpuMilli > 0 && cpuMilli <= MaxCpuMilli;
}

std::uint32_t ParseCpuShare(absl::string_view text)
{
  double cores = 0;
  const bool isNumber =
    absl::SimpleAtod(absl::StripAsciiWhitespace(text), &cores);
  const double milli = std::round(cores * MilliPerCore);
  const bool isValid = isNumber && milli >= 1 && milli <= MaxCpuMilli;
  return isValid ? static_cast<std::uint32_t>(milli) : 0;
}

std::size_t ChooseByCpuShare(absl::Span<const CoordinatorCandidate> candidates)
{
  const ShareBounds bounds = FindBounds(candidates);
  std::size_t best = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const CoordinatorCandidate& candidate = candidates[i];
    const bool isBetter = candidate.isReachable &&
                          (!candidates[best].isReachable ||
                           IsPreferred(candidate, candidates[best], bounds));
    if (isBetter) {
      best = i;
    }
  }
  return best;
}

std::uint32_t NoteShare(BoxShares& shares, const std::string& box,
                        std::uint32_t reported, Elapsed now)
{
  const std::uint32_t valid = IsValidCpuShare(reported) ? reported : 0;
  auto found = shares.boxes.find(box);
  if (found == shares.boxes.end()) {
    if (shares.boxes.size() >= MaxBoxes) {
      return 0;
    }
    shares.boxes[box] = { valid, valid };
    return valid;
  }
  BoxShares::Share& share = found->second;
  if (valid > 0 && valid != share.reported) {
    share.reported = valid;
    shares.firstPendingChange = std::min(shares.firstPendingChange, now);
    shares.lastPendingChange = now;
  }
  return share.inEffect;
}

void ApplyPendingShares(BoxShares& shares, Elapsed now)
{
  const bool isDue = HasPendingShares(shares) &&
                     (now - shares.lastPendingChange >= ShareSettleTime ||
                      now - shares.firstPendingChange >= MaxShareSettleTime);
  if (!isDue) {
    return;
  }
  for (auto& [box, share] : shares.boxes) {
    share.inEffect = share.reported;
  }
  shares.firstPendingChange = absl::InfiniteDuration();
  shares.lastPendingChange = absl::InfiniteDuration();
}

bool HasPendingShares(const BoxShares& shares)
{
  return shares.firstPendingChange != absl::InfiniteDuration();
}

} // namespace wg
