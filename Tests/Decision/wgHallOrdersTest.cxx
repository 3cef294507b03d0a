// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgHallOrders.h"

namespace {

using wg::HallOrderResult;

wg::wire::OrderHall Order(const std::string& hall, bool evacuate,
                          std::uint64_t seen)
{
  wg::wire::OrderHall order;
  order.set_hall(hall);
  order.set_evacuate(evacuate);
  order.set_seen(seen);
  return order;
}

} // namespace

TEST_CASE("A repeated order is applied once")
{
  wg::HallOrders orders;
  REQUIRE(ApplyHallOrder(orders, Order("h1", true, 0)) ==
          HallOrderResult::Holds);
  CHECK(ApplyHallOrder(orders, Order("h1", true, 0)) ==
        HallOrderResult::Holds);
  CHECK(orders.newest == 1);
  CHECK(wg::IsEvacuated(orders, "h1"));
  CHECK_FALSE(wg::IsEvacuated(orders, "h2"));
}

TEST_CASE("A late copy of an order does not undo newer orders")
{
  // Two operators send it, or one sends an order again that seemed lost. The
  // copy is based on the state before the hall returned to service.
  wg::HallOrders orders;
  ApplyHallOrder(orders, Order("h1", true, 0));
  REQUIRE(ApplyHallOrder(orders, Order("h1", false, 1)) ==
          HallOrderResult::Holds);
  CHECK(ApplyHallOrder(orders, Order("h1", true, 0)) ==
        HallOrderResult::Superseded);
  CHECK_FALSE(wg::IsEvacuated(orders, "h1"));
  CHECK(ApplyHallOrder(orders, Order("h1", true, 2)) ==
        HallOrderResult::Holds);
  CHECK(wg::FindHallOrder(orders, "h1").number == 3);
}

TEST_CASE("Orders that name no hall, or too many halls, are refused")
{
  wg::HallOrders orders;
  CHECK(ApplyHallOrder(orders, Order("", true, 0)) ==
        HallOrderResult::Refused);
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(ApplyHallOrder(orders, Order(absl::StrCat("h", i), true, 0)) ==
            HallOrderResult::Holds);
  }
  CHECK(ApplyHallOrder(orders, Order("one-more", true, 0)) ==
        HallOrderResult::Refused);
  CHECK(ApplyHallOrder(orders, Order("h7", false, 8)) ==
        HallOrderResult::Holds);
}

TEST_CASE("Orders keep all fields in a message")
{
  wg::HallOrders orders;
  ApplyHallOrder(orders, Order("h1", true, 0));
  ApplyHallOrder(orders, Order("h2", true, 0));
  ApplyHallOrder(orders, Order("h1", false, 1));
  const wg::HallOrders result = wg::FromWire(wg::ToWire(orders));
  CHECK(result.newest == 3);
  CHECK(wg::FindHallOrder(result, "h1").number == 3);
  CHECK_FALSE(wg::IsEvacuated(result, "h1"));
  CHECK(wg::IsEvacuated(result, "h2"));
}
