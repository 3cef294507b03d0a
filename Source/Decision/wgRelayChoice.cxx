// SPDX-License-Identifier: Apache-2.0
#include "wgRelayChoice.h"

#include <algorithm>

namespace wg {
namespace {

/** Offers are asked for twice a second. */
constexpr absl::Duration OfferMemory = absl::Seconds(2);
/** Relaying must leave a box its own work. */
constexpr std::uint32_t MilliPerCall = 4;
constexpr int LeastRelayed = 8;
constexpr std::uint32_t UnknownMilli = 250;
constexpr int MostRelayed = 512;
constexpr double OtherHallLoad = 0.25;

double LoadOf(const RelayOffer& offer)
{
  const double share =
    static_cast<double>(offer.open + offer.openHere) / offer.most;
  return offer.isNear ? share : share + OtherHallLoad;
}

} // namespace

int MostRelayedCalls(std::uint32_t cpuMilli)
{
  const std::uint32_t milli = cpuMilli == 0 ? UnknownMilli : cpuMilli;
  const auto calls = static_cast<int>(
    std::min<std::uint32_t>(milli / MilliPerCall, MostRelayed));
  return std::max(calls, LeastRelayed);
}

bool IsUsable(const RelayOffer& offer, Elapsed now)
{
  return now - offer.told <= OfferMemory && now >= offer.avoidUntil &&
         offer.open + offer.openHere < offer.most;
}

bool IsReachedByAny(absl::Span<const RelayOffer> offers,
                    absl::string_view endpoint, Elapsed now)
{
  return std::any_of(
    offers.begin(), offers.end(),
    [reached = std::string(endpoint), now](const RelayOffer& offer) {
      return offer.reached.count(reached) > 0 &&
             now - offer.told <= OfferMemory;
    });
}

std::optional<std::size_t> ChooseRelay(absl::Span<const RelayOffer> offers,
                                       absl::string_view endpoint, Elapsed now)
{
  const std::string reached(endpoint);
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const bool isReached =
      reached.empty() || offers[i].reached.count(reached) > 0;
    const bool isBetter = isReached && IsUsable(offers[i], now) &&
                          (!best || LoadOf(offers[i]) < LoadOf(offers[*best]));
    if (isBetter) {
      best = i;
    }
  }
  return best;
}

} // namespace wg
