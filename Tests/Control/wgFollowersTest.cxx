// SPDX-License-Identifier: Apache-2.0
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "wgFollowers.h"

namespace {

using wg::wire::Registration;

Registration Heartbeat(std::uint64_t sequence, const std::string& hall)
{
  Registration heartbeat;
  heartbeat.set_endpoint("e-" + hall);
  heartbeat.set_service("svc");
  heartbeat.set_address("10.0.0.1:80");
  heartbeat.set_hall(hall);
  heartbeat.set_slots(4);
  heartbeat.set_state(Registration::READY);
  heartbeat.set_sequence(sequence);
  return heartbeat;
}

/** A control box with an endpoint in each of two halls. */
struct ControlBox
{
  ControlBox()
  {
    registry.incarnation = 7;
    wg::TakeHeartbeat(registry, Heartbeat(1, "h1"), now);
    wg::TakeHeartbeat(registry, Heartbeat(1, "h2"), now);
  }

  void Order(bool evacuate)
  {
    wg::wire::OrderHall order;
    order.set_hall("h1");
    order.set_evacuate(evacuate);
    order.set_seen(wg::FindHallOrder(service.halls, "h1").number);
    REQUIRE(wg::ApplyHallOrder(service.halls, order) ==
            wg::HallOrderResult::Holds);
    wg::NoteHallOrder(registry, "h1", evacuate);
  }

  /** What a gateway is told at once; nothing if it would have to wait. */
  std::optional<wg::wire::FollowReply> Ask(wg::wire::FollowRequest request)
  {
    request.set_box("g");
    request.set_wants_registry(true);
    request.set_wait_ms(1000);
    std::optional<wg::wire::FollowReply> told;
    wg::FollowWaiter waiter{ request, {}, [&told](const std::string& bytes) {
                              REQUIRE(told.emplace().ParseFromString(bytes));
                            } };
    wg::TakeFollow(followers, std::move(waiter),
                   { &service, &registry, &crashes, {}, {} }, now);
    followers.waiting.clear();
    return told;
  }

  wg::Elapsed now = absl::Seconds(100);
  wg::ServiceState service;
  wg::EndpointRegistry registry;
  wg::CrashEvidence crashes;
  wg::Followers followers;
};

wg::wire::FollowRequest After(const wg::wire::FollowReply& reply)
{
  wg::wire::FollowRequest request;
  request.set_registry(reply.registry());
  request.set_have_registrations(reply.registrations_revision());
  request.set_have_followers(reply.followers_revision());
  return request;
}

const Registration* Find(const wg::wire::FollowReply& reply,
                         const std::string& endpoint)
{
  for (const Registration& told : reply.registrations()) {
    if (told.endpoint() == endpoint) {
      return &told;
    }
  }
  return nullptr;
}

} // namespace

TEST_CASE("Gateways are told of each newer order on a hall")
{
  ControlBox box;
  wg::wire::FollowRequest request;
  request.set_knows_hall_orders(true);
  const auto first = box.Ask(request);
  REQUIRE(first);
  CHECK_FALSE(first->has_hall_orders());
  box.Order(true);
  request = After(*first);
  request.set_knows_hall_orders(true);
  const auto second = box.Ask(request);
  REQUIRE(second);
  CHECK(second->hall_orders().newest() == 1);
  // It goes by the order, whatever its endpoints say.
  REQUIRE(Find(*second, "e-h1") != nullptr);
  CHECK(Find(*second, "e-h1")->state() == Registration::READY);
  request = After(*second);
  request.set_knows_hall_orders(true);
  request.set_have_hall_orders(1);
  CHECK_FALSE(box.Ask(request));
}

TEST_CASE("A gateway of an older program takes an evacuated hall's endpoints "
          "to be silent")
{
  ControlBox box;
  const auto first = box.Ask({});
  REQUIRE(first);
  CHECK(Find(*first, "e-h1")->state() == Registration::READY);
  box.Order(true);
  const auto second = box.Ask(After(*first));
  REQUIRE(second);
  REQUIRE(Find(*second, "e-h1") != nullptr);
  CHECK(Find(*second, "e-h1")->state() == Registration::SILENT);
  CHECK(Find(*second, "e-h2") == nullptr);
  // Heartbeats go on meanwhile; it must hear of a newer one to use it again.
  wg::TakeHeartbeat(box.registry, Heartbeat(2, "h1"), box.now);
  box.Order(false);
  wg::TakeHeartbeat(box.registry, Heartbeat(3, "h1"), box.now);
  const auto third = box.Ask(After(*second));
  REQUIRE(third);
  REQUIRE(Find(*third, "e-h1") != nullptr);
  CHECK(Find(*third, "e-h1")->state() == Registration::READY);
  CHECK(Find(*third, "e-h1")->sequence() == 3);
}

TEST_CASE("Endpoints of a hall that was taken back are told as cold until "
          "their next heartbeat")
{
  ControlBox box;
  box.Order(true);
  box.Order(false);
  const auto told = box.Ask({});
  REQUIRE(told);
  CHECK(Find(*told, "e-h1")->warmup_ms() > 0);
  CHECK(Find(*told, "e-h2")->warmup_ms() == 0);
  CHECK(wg::TakeHeartbeat(box.registry, Heartbeat(2, "h1"), box.now) ==
        wg::HeartbeatTaken::News);
  const auto next = box.Ask(After(*told));
  REQUIRE(next);
  CHECK(Find(*next, "e-h1")->warmup_ms() == 0);
}

namespace {

/** A gateway's call, and what it is told at once. */
std::optional<wg::wire::FollowReply> AskAs(ControlBox& box,
                                           const std::string& name,
                                           std::uint32_t cpuMilli,
                                           wg::wire::FollowRequest request)
{
  request.set_box(name);
  request.set_hall("h1");
  request.set_address("10.0.0.1:1");
  request.set_cpu_milli(cpuMilli);
  request.set_wants_registry(true);
  request.set_wait_ms(1000);
  std::optional<wg::wire::FollowReply> told;
  wg::FollowWaiter waiter{ request, {}, [&told](const std::string& bytes) {
                            REQUIRE(told.emplace().ParseFromString(bytes));
                          } };
  wg::TakeFollow(box.followers, std::move(waiter),
                 { &box.service, &box.registry, &box.crashes, {}, {} },
                 box.now);
  box.followers.waiting.clear();
  return told;
}

std::uint32_t ShareIn(const wg::wire::FollowReply& reply,
                      const std::string& box)
{
  for (const wg::wire::Follower& follower : reply.followers()) {
    if (follower.box() == box) {
      return follower.cpu_milli();
    }
  }
  FAIL("not listed: " << box);
  return 0;
}

} // namespace

TEST_CASE("A box's share of a core is told to the others, and when it changes")
{
  ControlBox box;
  AskAs(box, "large", 300, {});
  const auto first = AskAs(box, "small", 90, {});
  REQUIRE(first);
  CHECK(ShareIn(*first, "large") == 300);
  CHECK(ShareIn(*first, "small") == 90);
  CHECK_FALSE(AskAs(box, "small", 90, After(*first)));
  AskAs(box, "large", 500, {});
  const auto second = AskAs(box, "small", 90, After(*first));
  REQUIRE(second);
  CHECK(ShareIn(*second, "large") == 500);
}

TEST_CASE("A box that tells no share, or an impossible one, keeps the last")
{
  ControlBox box;
  AskAs(box, "large", 300, {});
  AskAs(box, "older", 0, {});
  const auto first = AskAs(box, "small", 90, {});
  REQUIRE(first);
  CHECK(ShareIn(*first, "older") == 0);
  AskAs(box, "large", 0, {});
  AskAs(box, "large", 4000000000U, {});
  CHECK(box.followers.unsoundShares == 1);
  // Nothing has changed: nobody is told.
  CHECK_FALSE(AskAs(box, "small", 90, After(*first)));
  const auto whole = AskAs(box, "small", 90, {});
  REQUIRE(whole);
  CHECK(ShareIn(*whole, "large") == 300);
}
