// SPDX-License-Identifier: Apache-2.0
#include "wgHallOrders.h"

namespace wg {
namespace {

/** Deployments have three to five; all control boxes and gateways keep them.
 */
constexpr std::size_t MaxHalls = 1000;

} // namespace

HallOrderResult ApplyHallOrder(HallOrders& orders,
                               const wire::OrderHall& order)
{
  const HallOrder known = FindHallOrder(orders, order.hall());
  if (known.evacuated == order.evacuate()) {
    return HallOrderResult::Holds;
  }
  if (known.number != order.seen()) {
    return HallOrderResult::Superseded;
  }
  const bool isFull = known.number == 0 && orders.halls.size() >= MaxHalls;
  if (order.hall().empty() || isFull) {
    return HallOrderResult::Refused;
  }
  orders.halls[order.hall()] = { order.evacuate(), ++orders.newest };
  return HallOrderResult::Holds;
}

bool IsEvacuated(const HallOrders& orders, absl::string_view hall)
{
  return FindHallOrder(orders, hall).evacuated;
}

HallOrder FindHallOrder(const HallOrders& orders, absl::string_view hall)
{
  if (orders.halls.empty()) {
    return {};
  }
  const auto found = orders.halls.find(std::string(hall));
  return found == orders.halls.end() ? HallOrder{} : found->second;
}

wire::HallOrders ToWire(const HallOrders& orders)
{
  wire::HallOrders message;
  message.set_newest(orders.newest);
  for (const auto& [hall, order] : orders.halls) {
    wire::HallOrder& out = *message.add_halls();
    out.set_hall(hall);
    out.set_evacuated(order.evacuated);
    out.set_number(order.number);
  }
  return message;
}

HallOrders FromWire(const wire::HallOrders& orders)
{
  HallOrders result;
  result.newest = orders.newest();
  for (const wire::HallOrder& in : orders.halls()) {
    result.halls[in.hall()] = { in.evacuated(), in.number() };
  }
  return result;
}

} // namespace wg
