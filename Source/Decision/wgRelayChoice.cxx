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

bool IsReachedBy(const RelayOffer& offer, const std::string& endpoint,
                 Elapsed now)
{
  const auto told = offer.reached.find(endpoint);
  return told != offer.reached.end() && now - told->second <= OfferMemory;
}

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

void NoteReached(RelayOffer& offer, absl::Span<const std::string> asked,
                 absl::Span<const std::string> reached, Elapsed now)
{
  for (auto it = offer.reached.begin(); it != offer.reached.end();) {
    const auto current = it++;
    const bool isAsked =
      std::find(asked.begin(), asked.end(), current->first) != asked.end();
    if (isAsked || now - current->second > OfferMemory) {
      offer.reached.erase(current);
    }
  }
  for (const std::string& endpoint : asked) {
    if (std::find(reached.begin(), reached.end(), endpoint) != reached.end()) {
      offer.reached[endpoint] = now;
    }
  }
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
    [address = std::string(endpoint), now](const RelayOffer& offer) {
      return IsReachedBy(offer, address, now);
    });
}

std::optional<std::size_t> ChooseRelay(absl::Span<const RelayOffer> offers,
                                       absl::string_view endpoint, Elapsed now)
{
  const std::string address(endpoint);
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const bool isReached =
      address.empty() || IsReachedBy(offers[i], address, now);
    const bool isBetter = isReached && IsUsable(offers[i], now) &&
                          (!best || LoadOf(offers[i]) < LoadOf(offers[*best]));
    if (isBetter) {
      best = i;
    }
  }
  return best;
}

} // namespace wg
