// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief Another box that would relay calls to endpoints for this one, as it
 * last told.
 */
struct RelayOffer
{
  std::string box;
  std::string address;                    // IP:port of its relay
  bool isNear = false;                    // in this box's hall
  int open = 0;                           // calls of all boxes that it relayed
  int most = 0;                           // that it relays at once
  int openHere = 0;                       // of this box, since it told
  Elapsed told;                           // when it did
  Elapsed avoidUntil;                     // after it failed
  std::map<std::string, Elapsed> reached; // when it told, by IP:port
};

/** \brief The calls that a box relays at once beside its own work, by its
 * share of a core.
 * \param cpuMilli thousandths of a core; 0: not known
 */
int MostRelayedCalls(std::uint32_t cpuMilli);

/** \brief Takes in which endpoints (IP:port) of those that the box was asked
 * about it reaches. What it has told of others lately still holds.
 */
void NoteReached(RelayOffer& offer, absl::Span<const std::string> asked,
                 absl::Span<const std::string> reached, Elapsed now);

/** \brief Whether the box may be asked to relay one more call. */
bool IsUsable(const RelayOffer& offer, Elapsed now);

/** \brief Whether a box has told lately that it reaches the endpoint
 * (IP:port), even if it takes no call now.
 */
bool IsReachedByAny(absl::Span<const RelayOffer> offers,
                    absl::string_view endpoint, Elapsed now);

/** \brief Of the offers, the least loaded one; one of another hall only where
 * those of this hall are loaded more by a quarter of what they take.
 * \param endpoint that it must have reached, IP:port; empty: any
 */
std::optional<std::size_t> ChooseRelay(absl::Span<const RelayOffer> offers,
                                       absl::string_view endpoint,
                                       Elapsed now);

} // namespace wg
