// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"

#include "wgPeer.pb.h"

namespace wg {

/** \brief The order that holds for a hall. */
struct HallOrder
{
  bool evacuated = false;   // its endpoints get no new work
  std::uint64_t number = 0; // orders on all halls are counted together
};

/** \brief Operators' orders on halls: part of the replicated state, and what
 * a gateway has heard of it.
 */
struct HallOrders
{
  std::uint64_t newest = 0; // number of the newest order
  std::map<std::string, HallOrder> halls;
};

/** \brief What became of an order. */
enum class HallOrderTaken
{
  Holds,     // from now on, or already before
  Overtaken, // another order came after the one that its author saw
  Refused    // it names no hall, or one more than can be kept
};

/** \brief Takes an order in. One that says what holds already changes
 * nothing, however often it is sent; one that is based on an order that no
 * longer holds changes nothing either, so that a late copy of it can't undo
 * what came after it.
 */
HallOrderTaken TakeHallOrder(HallOrders& orders, const wire::OrderHall& order);

bool IsEvacuated(const HallOrders& orders, absl::string_view hall);

/** \brief The order that holds for the hall; number 0 where there was none. */
HallOrder FindHallOrder(const HallOrders& orders, absl::string_view hall);

wire::HallOrders ToWire(const HallOrders& orders);
HallOrders FromWire(const wire::HallOrders& orders);

} // namespace wg
