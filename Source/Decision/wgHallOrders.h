// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"

#include "wgPeer.pb.h"

namespace wg {

/** \brief The order in force for a hall. */
struct HallOrder
{
  bool evacuated = false;   // the endpoints of the hall get no new work
  std::uint64_t number = 0; // one sequence for all halls
};

/** \brief Operators' orders on halls: part of the replicated state, and its
 * copy in a gateway.
 */
struct HallOrders
{
  std::uint64_t newest = 0; // number of the newest order
  std::map<std::string, HallOrder> halls;
};

enum class HallOrderResult
{
  Holds,      // in force from now on, or already before
  Superseded, // a newer order follows the one that its author saw
  Refused     // it names no hall, or there are too many halls
};

/** \brief Applies an order. An order that repeats the one in force changes
 * nothing. Nor does one based on a superseded order, so that a late copy can't
 * undo newer orders.
 */
HallOrderResult ApplyHallOrder(HallOrders& orders,
                               const wire::OrderHall& order);

bool IsEvacuated(const HallOrders& orders, absl::string_view hall);

/** \brief The order in force for the hall; number 0 if there was none. */
HallOrder FindHallOrder(const HallOrders& orders, absl::string_view hall);

wire::HallOrders ToWire(const HallOrders& orders);
HallOrders FromWire(const wire::HallOrders& orders);

} // namespace wg
