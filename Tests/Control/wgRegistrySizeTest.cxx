// SPDX-License-Identifier: Apache-2.0
// What control boxes tell each other and gateways at the size of a large
// deployment, in counted messages and bytes.
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgCrashEvidence.h"
#include "wgEndpointRegistry.h"
#include "wgFollowers.h"
#include "wgServiceState.h"

namespace {

using Registration = wg::wire::Registration;

constexpr std::size_t RepliesOf100 = 100;

Registration MakeHeartbeat(int i, std::uint64_t sequence,
                           Registration::State state = Registration::READY)
{
  Registration heartbeat;
  heartbeat.set_endpoint(absl::StrCat("i-", 1000000 + i));
  heartbeat.set_service("svc");
  heartbeat.set_address(absl::StrCat("10.", i / 250, ".0.", i % 250, ":80"));
  heartbeat.set_hall(absl::StrCat("h", i % 5));
  heartbeat.set_slots(4);
  heartbeat.set_state(state);
  heartbeat.set_sequence(sequence);
  heartbeat.set_born_ms(1000);
  return heartbeat;
}

/** A control box, what it was asked, and what its answers took. */
struct Control
{
  explicit Control(std::uint64_t incarnation)
  {
    registry.incarnation = incarnation;
    registry.timing.silentAfter = absl::Seconds(15);
  }

  /** What is told at once; nothing where the call waits. */
  bool Ask(const wg::wire::FollowRequest& request, wg::Elapsed now,
           wg::wire::FollowReply& told)
  {
    bool isTold = false;
    wg::FollowWaiter waiter{ request, {}, [&](const std::string& body) {
                              bytes += body.size();
                              ++messages;
                              isTold = told.ParseFromString(body);
                            } };
    wg::TakeFollow(followers, std::move(waiter),
                   { &service, &registry, &crashes, {}, {} }, now);
    followers.waiting.clear();
    return isTold;
  }

  wg::ServiceState service;
  wg::EndpointRegistry registry;
  wg::CrashEvidence crashes;
  wg::Followers followers;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
};

/** Who follows a control box, and how far it has heard. */
struct Follower
{
  wg::wire::FollowRequest request;

  Follower(const std::string& box, const std::string& control)
  {
    request.set_box(box);
    request.set_control_address(control);
    request.set_address(control.empty() ? box + ":1" : "");
    request.set_wants_registry(true);
    request.set_takes_follower_changes(true);
    request.set_wait_ms(1000);
  }
  void Note(const wg::wire::FollowReply& reply)
  {
    request.set_registry(reply.registry());
    request.set_have_registrations(reply.registrations_revision());
    request.set_have_followers(reply.followers_revision());
  }
};

/** Control boxes that hear what the others heard themselves. */
struct ControlBoxes
{
  explicit ControlBoxes(int count)
  {
    for (int i = 0; i < count; ++i) {
      boxes.push_back(std::make_unique<Control>(100 + i));
    }
    for (int from = 0; from < count; ++from) {
      for (int to = 0; to < count; ++to) {
        links.emplace_back(absl::StrCat("c", to), absl::StrCat("a", to));
      }
    }
  }

  Follower& Link(std::size_t from, std::size_t to)
  {
    return links[from * boxes.size() + to];
  }

  /** One call; whether it told anything. */
  bool Exchange(std::size_t from, std::size_t to, wg::Elapsed now)
  {
    wg::wire::FollowReply reply;
    if (!boxes[from]->Ask(Link(from, to).request, now, reply)) {
      return false;
    }
    Link(from, to).Note(reply);
    for (const Registration& told : reply.registrations()) {
      wg::TakeTold(boxes[to]->registry, told, now);
      ++told_;
    }
    wg::TakeListed(boxes[to]->followers, absl::StrCat("a", from), reply, now);
    return true;
  }

  void ExchangeAll(wg::Elapsed now)
  {
    for (std::size_t from = 0; from < boxes.size(); ++from) {
      for (std::size_t to = 0; to < boxes.size(); ++to) {
        while (from != to && Exchange(from, to, now)) {
        }
      }
    }
  }

  std::vector<std::unique_ptr<Control>> boxes;
  std::vector<Follower> links;
  std::uint64_t told_ = 0;
};

} // namespace

TEST_CASE("Each endpoint of a large deployment has a place")
{
  wg::EndpointRegistry registry;
  for (int i = 0; i < 20000; ++i) {
    REQUIRE(wg::TakeHeartbeat(registry, MakeHeartbeat(i, 1),
                              absl::Seconds(1)) == wg::HeartbeatTaken::News);
  }
  // All of them are replaced while the ended ones are remembered.
  for (int i = 0; i < 20000; ++i) {
    wg::TakeLeave(registry, { absl::StrCat("i-", 1000000 + i), 1000 },
                  absl::Seconds(2));
    REQUIRE(wg::TakeHeartbeat(registry, MakeHeartbeat(20000 + i, 1),
                              absl::Seconds(2)) == wg::HeartbeatTaken::News);
  }
}

TEST_CASE("An ended endpoint gives way to one that starts")
{
  wg::EndpointRegistry registry;
  const int most = static_cast<int>(wg::MostEndpoints);
  for (int i = 0; i < most; ++i) {
    wg::TakeHeartbeat(registry, MakeHeartbeat(i, 1), absl::Seconds(1));
  }
  REQUIRE(wg::TakeHeartbeat(registry, MakeHeartbeat(most, 1),
                            absl::Seconds(1)) == wg::HeartbeatTaken::TooMany);
  wg::TakeLeave(registry, { "i-1000000", 1000 }, absl::Seconds(2));
  CHECK(wg::TakeHeartbeat(registry, MakeHeartbeat(most, 1),
                          absl::Seconds(2)) == wg::HeartbeatTaken::News);
  CHECK(registry.endpoints.size() == wg::MostEndpoints);
}

TEST_CASE("A box that starts is told of all endpoints in full pages")
{
  const int count = GENERATE(10003, 20000);
  Control control(7);
  for (int i = 0; i < count; ++i) {
    wg::TakeHeartbeat(control.registry, MakeHeartbeat(i, 1), absl::Seconds(1));
  }
  Follower box("b", "");
  wg::wire::FollowReply reply;
  std::set<std::string> heard;
  while (control.Ask(box.request, absl::Seconds(2), reply)) {
    box.Note(reply);
    for (const Registration& told : reply.registrations()) {
      CHECK(heard.insert(told.endpoint()).second);
    }
    REQUIRE(control.messages <= count / RepliesOf100 + 2);
  }
  CHECK(heard.size() == static_cast<std::size_t>(count));
  // The link of 10 Mbit/s carries it within some seconds.
  CHECK(control.bytes < static_cast<std::uint64_t>(count) * 128);
}

TEST_CASE("Each word of an endpoint reaches each control box once")
{
  constexpr int endpoints = 2000;
  constexpr std::uint64_t toldOnce = std::uint64_t{ endpoints } * 24;
  ControlBoxes cluster(25);
  for (int i = 0; i < endpoints; ++i) {
    wg::TakeHeartbeat(cluster.boxes[i % 25]->registry, MakeHeartbeat(i, 1),
                      absl::Seconds(1));
  }
  cluster.ExchangeAll(absl::Seconds(2));
  CHECK(cluster.told_ == toldOnce);
  for (const auto& box : cluster.boxes) {
    CHECK(box->registry.endpoints.size() == endpoints);
  }
  // Heartbeats that change nothing are told to nobody.
  for (int i = 0; i < endpoints; ++i) {
    wg::TakeHeartbeat(cluster.boxes[i % 25]->registry, MakeHeartbeat(i, 2),
                      absl::Seconds(6));
  }
  cluster.ExchangeAll(absl::Seconds(7));
  CHECK(cluster.told_ == toldOnce);
  // One that leaves is told once to each.
  wg::TakeLeave(cluster.boxes[3]->registry, { "i-1000000", 1000 },
                absl::Seconds(8));
  cluster.ExchangeAll(absl::Seconds(9));
  CHECK(cluster.told_ == toldOnce + 24);
}

TEST_CASE("A box that comes or goes costs the others one line each")
{
  const int boxes = GENERATE(1000, 2000);
  Control control(7);
  std::vector<Follower> followers;
  wg::Elapsed now = absl::Seconds(1);
  wg::wire::FollowReply reply;
  for (int i = 0; i < boxes; ++i) {
    followers.emplace_back(absl::StrCat("edge-hall-", i), "");
    control.Ask(followers.back().request, now, reply);
  }
  const auto askAll = [&] {
    std::uint64_t lines = 0;
    for (Follower& follower : followers) {
      while (control.Ask(follower.request, now, reply)) {
        follower.Note(reply);
        lines += static_cast<std::uint64_t>(reply.followers_size());
      }
    }
    return lines;
  };
  CHECK(askAll() == static_cast<std::uint64_t>(boxes) * boxes);
  now += absl::Seconds(1);
  CHECK(askAll() == 0);
  control.bytes = 0;
  Follower another("edge-hall-another", "");
  control.Ask(another.request, now, reply);
  const std::uint64_t first = control.bytes;
  CHECK(askAll() == static_cast<std::uint64_t>(boxes));
  CHECK(control.bytes - first < static_cast<std::uint64_t>(boxes) * 128);
}

TEST_CASE("In a burst of news a box is told less often, and of more at once")
{
  constexpr int boxes = 1000;
  Control control(7);
  std::vector<Follower> followers;
  wg::Elapsed now = absl::Seconds(1);
  wg::wire::FollowReply reply;
  for (int i = 0; i < boxes; ++i) {
    followers.emplace_back(absl::StrCat("b", i), "");
    control.Ask(followers.back().request, now, reply);
  }
  for (Follower& follower : followers) {
    while (control.Ask(follower.request, now, reply)) {
      follower.Note(reply);
    }
  }
  wg::TickFollowers(control.followers, now);
  control.messages = 0;
  // 400 endpoints start within a second.
  for (int i = 0; i < 400; ++i) {
    now += absl::Microseconds(2500);
    wg::TakeHeartbeat(control.registry, MakeHeartbeat(i, 1), now);
    for (int b = i % 4; b < boxes; b += 4) {
      if (control.Ask(followers[b].request, now, reply)) {
        followers[b].Note(reply);
      }
    }
  }
  const auto most = static_cast<std::uint64_t>(
    boxes * (absl::Seconds(1) / wg::AnswerGap(control.followers) + 1));
  CHECK(control.messages <= most);
}

TEST_CASE("A control box watches for silence only where the heartbeats come")
{
  ControlBoxes cluster(2);
  Control& first = *cluster.boxes[0];
  Control& second = *cluster.boxes[1];
  wg::TakeHeartbeat(first.registry, MakeHeartbeat(1, 1), absl::Seconds(1));
  cluster.ExchangeAll(absl::Seconds(2));
  const std::string id = "i-1000001@1000";
  // It goes on there: the other does not take it to be silent.
  for (int i = 2; i < 20; ++i) {
    wg::TakeHeartbeat(first.registry, MakeHeartbeat(1, i),
                      absl::Seconds(5) * i);
  }
  wg::TickRegistry(second.registry, absl::Seconds(100));
  CHECK(second.registry.endpoints.at(id).registration.state() ==
        Registration::READY);
  // It moves, and the first hears so before it is missed there.
  wg::TakeHeartbeat(second.registry, MakeHeartbeat(1, 20), absl::Seconds(101));
  cluster.ExchangeAll(absl::Seconds(102));
  wg::TickRegistry(first.registry, absl::Seconds(115));
  CHECK(first.registry.endpoints.at(id).registration.state() ==
        Registration::READY);
  // It falls silent, which both then know.
  wg::TickRegistry(second.registry, absl::Seconds(120));
  cluster.ExchangeAll(absl::Seconds(121));
  CHECK(first.registry.endpoints.at(id).registration.state() ==
        Registration::SILENT);
}

TEST_CASE("In any order of news all control boxes end with the same list")
{
  const int seed = GENERATE(range(1, 31));
  CAPTURE(seed);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  constexpr int count = 4;
  constexpr int endpoints = 12;
  ControlBoxes cluster(count);
  std::map<int, std::uint64_t> sequences;
  std::set<int> ended;
  wg::Elapsed now = absl::Seconds(1);
  const auto draw = [&random](int below) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(below));
  };
  for (int step = 0; step < 600; ++step) {
    now += absl::Milliseconds(draw(400));
    const int endpoint = draw(endpoints);
    wg::EndpointRegistry& registry = cluster.boxes[draw(count)]->registry;
    const int what = draw(20);
    if (what == 0 && ended.count(endpoint) == 0) {
      wg::TakeLeave(registry, { absl::StrCat("i-", 1000000 + endpoint), 1000 },
                    now);
      ended.insert(endpoint);
    } else if (what < 10) {
      // One that has ended may still have a heartbeat on its way.
      wg::TakeHeartbeat(registry,
                        MakeHeartbeat(endpoint, ++sequences[endpoint]), now);
    } else {
      const int from = draw(count);
      const int to = draw(count);
      if (from != to) {
        cluster.Exchange(from, to, now);
      }
    }
  }
  for (int round = 0; round < 2; ++round) {
    now += absl::Seconds(1);
    cluster.ExchangeAll(now);
  }
  const auto& first = cluster.boxes[0]->registry.endpoints;
  for (const auto& box : cluster.boxes) {
    REQUIRE(box->registry.endpoints.size() == first.size());
    for (const auto& [id, endpoint] : box->registry.endpoints) {
      CAPTURE(id);
      CHECK(endpoint.registration.state() ==
            first.at(id).registration.state());
    }
  }
  for (const int endpoint : ended) {
    const std::string id = absl::StrCat("i-", 1000000 + endpoint, "@1000");
    CHECK(first.at(id).registration.state() == Registration::GONE);
  }
}

TEST_CASE("A control box that is lost no longer counts for who is there")
{
  ControlBoxes cluster(2);
  Control& first = *cluster.boxes[0];
  Control& second = *cluster.boxes[1];
  wg::wire::FollowReply reply;
  Follower box("b", "");
  first.Ask(box.request, absl::Seconds(1), reply);
  cluster.ExchangeAll(absl::Seconds(2));
  REQUIRE(second.followers.all.boxes.count("b") == 1);
  CHECK_FALSE(second.followers.all.boxes.at("b").box.gone());
  CHECK(second.followers.own.boxes.count("b") == 0);
  wg::DropListed(second.followers, "a0", absl::Seconds(3));
  CHECK(second.followers.all.boxes.at("b").box.gone());
}

TEST_CASE("A hall that control boxes no longer hear is told once to each box")
{
  constexpr int followers = 1000;
  constexpr wg::Elapsed now = absl::Seconds(10);
  Control control(100);
  std::vector<Follower> boxes;
  wg::wire::FollowReply reply;
  for (int i = 0; i < followers; ++i) {
    boxes.emplace_back(absl::StrCat("b", i), "");
    boxes.back().request.set_takes_unheard_halls(true);
    control.Ask(boxes.back().request, now, reply);
    boxes.back().Note(reply);
  }
  // Each hears of the boxes that were listed after it.
  for (Follower& box : boxes) {
    for (int page = 0;
         page < followers && control.Ask(box.request, now, reply); ++page) {
      box.Note(reply);
    }
  }
  // One of the hall's five control boxes still answers, then none.
  std::vector<wg::ControlContact> contacts(5, { "h2", false });
  contacts.push_back({ "h1", true });
  contacts.push_back({ "", false });
  contacts[4].isHeard = true;
  CHECK_FALSE(wg::NoteContacts(control.followers.unheard, contacts, "h0"));
  contacts[4].isHeard = false;
  REQUIRE(wg::NoteContacts(control.followers.unheard, contacts, "h0"));
  CHECK_FALSE(wg::NoteContacts(control.followers.unheard, contacts, "h0"));
  control.messages = 0;
  control.bytes = 0;
  for (int round = 0; round < 3; ++round) {
    for (Follower& box : boxes) {
      reply.Clear();
      const bool isTold =
        control.Ask(box.request, now + absl::Seconds(1 + round), reply);
      CHECK(isTold == (round == 0));
      if (isTold) {
        CHECK(reply.unheard_halls_size() == 1);
        CHECK(reply.unheard_halls(0) == "h2");
        box.request.set_have_unheard_halls(reply.unheard_halls_revision());
      }
    }
  }
  CHECK(control.messages == followers);
  CHECK(control.bytes < std::uint64_t{ followers } * 100);
  // An older program is not told.
  Follower older("b0", "");
  older.request = boxes.front().request;
  older.request.set_takes_unheard_halls(false);
  older.request.set_have_unheard_halls(0);
  CHECK_FALSE(control.Ask(older.request, now + absl::Seconds(5), reply));
  // A control box does not suspect its own hall.
  wg::UnheardHalls own;
  CHECK_FALSE(wg::NoteContacts(own, contacts, "h2"));
}
