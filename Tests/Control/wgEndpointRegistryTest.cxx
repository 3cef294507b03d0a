// SPDX-License-Identifier: Apache-2.0
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "wgEndpointRegistry.h"
#include "wgFollowers.h"
#include "wgServiceState.h"

namespace {

using Registration = wg::wire::Registration;

const wg::Elapsed Now = absl::Seconds(10);

Registration Heartbeat(std::uint64_t sequence,
                       Registration::State state = Registration::READY)
{
  Registration heartbeat;
  heartbeat.set_endpoint("e");
  heartbeat.set_service("svc");
  heartbeat.set_address("127.0.0.1:1");
  heartbeat.set_sequence(sequence);
  heartbeat.set_state(state);
  return heartbeat;
}

Registration Heartbeat(std::uint64_t sequence, std::int64_t bornMs)
{
  Registration heartbeat = Heartbeat(sequence);
  heartbeat.set_born_ms(bornMs);
  return heartbeat;
}

bool IsNews(wg::EndpointRegistry& registry, const Registration& heartbeat,
            wg::Elapsed now)
{
  return wg::TakeHeartbeat(registry, heartbeat, now) ==
         wg::HeartbeatTaken::News;
}

wg::wire::FollowReply Since(const wg::EndpointRegistry& registry,
                            std::uint64_t revision)
{
  wg::wire::FollowRequest request;
  request.set_registry(registry.incarnation);
  request.set_have_registrations(revision);
  wg::wire::FollowReply reply;
  wg::RegistrationsSince(registry, request, Now + absl::Seconds(1), reply);
  return reply;
}

/** Followers of a state that a test changes, and what they are told. */
struct FollowFixture
{
  FollowFixture() { registry.incarnation = 5; }
  wg::FollowedState State()
  {
    return { &service, &registry, &crashes, { "127.0.0.1:9" }, {} };
  }
  void Follow(const std::string& box, wg::Elapsed now)
  {
    wg::FollowWaiter waiter;
    waiter.request.set_box(box);
    waiter.request.set_address(box + ":1");
    waiter.request.set_wants_registry(true);
    waiter.request.set_wait_ms(1000);
    waiter.request.set_have_document(last.document_number());
    waiter.request.set_registry(last.registry());
    waiter.request.set_have_registrations(last.registrations_revision());
    waiter.request.set_have_followers(last.followers_revision());
    waiter.request.set_wants_crashes(true);
    waiter.request.set_have_crashes(last.crashes_revision());
    waiter.respond = [this](const std::string& body) {
      ++answers;
      last.ParseFromString(body);
    };
    wg::TakeFollow(followers, std::move(waiter), State(), now);
  }
  wg::ServiceState service;
  wg::CrashEvidence crashes;
  wg::EndpointRegistry registry;
  wg::Followers followers;
  wg::wire::FollowReply last;
  int answers = 0;
};

} // namespace

TEST_CASE("Only news of an endpoint is told")
{
  wg::EndpointRegistry registry;
  CHECK(IsNews(registry, Heartbeat(1), Now));
  CHECK_FALSE(IsNews(registry, Heartbeat(2), Now));
  CHECK(IsNews(registry, Heartbeat(3, Registration::LEAVING), Now));
  // A heartbeat that was overtaken on its way.
  CHECK_FALSE(IsNews(registry, Heartbeat(2), Now));
  const auto reply = Since(registry, 1);
  REQUIRE(reply.registrations_size() == 1);
  CHECK(reply.registrations(0).state() == Registration::LEAVING);
  CHECK(Since(registry, reply.registrations_revision()).registrations_size() ==
        0);
}

TEST_CASE("Many endpoints are told in several replies")
{
  constexpr std::size_t count = 250;
  wg::EndpointRegistry registry;
  for (std::size_t i = 0; i < count; ++i) {
    Registration heartbeat = Heartbeat(1);
    heartbeat.set_endpoint("e" + std::to_string(i * 37 % count));
    wg::TakeHeartbeat(registry, heartbeat, Now);
  }
  std::set<std::string> told;
  std::uint64_t have = 0;
  int replies = 0;
  while (have != registry.revision && replies < 10) {
    const auto reply = Since(registry, have);
    CHECK(reply.ByteSizeLong() < 16U << 10U);
    for (const Registration& registration : reply.registrations()) {
      CHECK(told.insert(registration.endpoint()).second);
    }
    have = reply.registrations_revision();
    ++replies;
  }
  CHECK(told.size() == count);
  CHECK(replies == 3);
}

TEST_CASE("An endpoint that ended does not come back")
{
  wg::EndpointRegistry registry;
  CHECK(wg::TakeLeave(registry, { "e", 0 }, Now));
  CHECK_FALSE(wg::TakeLeave(registry, { "e", 0 }, Now));
  CHECK_FALSE(IsNews(registry, Heartbeat(1), Now));
  CHECK(Since(registry, 0).registrations(0).state() == Registration::GONE);
}

TEST_CASE("A start again under the same name is told at its first heartbeat")
{
  wg::EndpointRegistry registry;
  IsNews(registry, Heartbeat(40, std::int64_t{ 1000 }), Now);
  CHECK(IsNews(registry, Heartbeat(1, std::int64_t{ 2000 }), Now));
  CHECK_FALSE(IsNews(registry, Heartbeat(41, std::int64_t{ 1000 }), Now));
  const auto reply = Since(registry, 1);
  REQUIRE(reply.registrations_size() == 1);
  CHECK(reply.registrations(0).born_ms() == 2000);
}

TEST_CASE("The end of an earlier start leaves the later one")
{
  wg::EndpointRegistry registry;
  IsNews(registry, Heartbeat(40, std::int64_t{ 1000 }), Now);
  IsNews(registry, Heartbeat(1, std::int64_t{ 2000 }), Now);
  CHECK(wg::TakeLeave(registry, { "e", 1000 }, Now));
  CHECK_FALSE(wg::TakeLeave(registry, { "e", 1000 }, Now));
  CHECK(registry.endpoints.at("e@2000").registration.state() ==
        Registration::READY);
  // Its late heartbeat does not bring it back.
  CHECK_FALSE(IsNews(registry, Heartbeat(42, std::int64_t{ 1000 }), Now));
  CHECK(registry.endpoints.at("e@1000").registration.state() ==
        Registration::GONE);
}

TEST_CASE("An end without its start is told as the end of all starts")
{
  wg::EndpointRegistry registry;
  IsNews(registry, Heartbeat(1, std::int64_t{ 1000 }), Now);
  CHECK(wg::TakeLeave(registry, { "e", 0 }, Now));
  CHECK_FALSE(IsNews(registry, Heartbeat(2, std::int64_t{ 1000 }), Now));
  // Boxes that follow may know of starts that have not been told here.
  const auto reply = Since(registry, 1);
  REQUIRE(reply.registrations_size() == 2);
  for (const Registration& told : reply.registrations()) {
    CHECK(told.state() == Registration::GONE);
    CHECK(told.ended_ago_ms() == 1000);
  }
  CHECK(IsNews(registry, Heartbeat(1, std::int64_t{ 2000 }), Now));
}

TEST_CASE("A heartbeat of another service under a known start is refused")
{
  wg::EndpointRegistry registry;
  IsNews(registry, Heartbeat(1), Now);
  Registration foreign = Heartbeat(99);
  foreign.set_service("other");
  CHECK(wg::TakeHeartbeat(registry, foreign, Now) ==
        wg::HeartbeatTaken::Foreign);
  CHECK(registry.endpoints.at("e").registration.service() == "svc");
  CHECK(wg::TakeHeartbeat(registry, Heartbeat(2), Now) ==
        wg::HeartbeatTaken::Known);
}

TEST_CASE("Names that someone makes up do not fill a control box")
{
  wg::EndpointRegistry registry;
  IsNews(registry, Heartbeat(1), Now);
  constexpr int madeUp = 2 * static_cast<int>(wg::MostEndpoints);
  int taken = 0;
  for (int i = 0; i < madeUp; ++i) {
    Registration heartbeat = Heartbeat(1);
    heartbeat.set_endpoint("made-up" + std::to_string(i));
    taken += IsNews(registry, heartbeat, Now) ? 1 : 0;
    wg::TakeLeave(registry, { "gone" + std::to_string(i), 0 }, Now);
  }
  CHECK(taken < madeUp);
  CHECK(registry.endpoints.size() <= wg::MostEndpoints);
  // Who is known is still heard.
  CHECK(IsNews(registry, Heartbeat(2, Registration::LEAVING), Now));
}

TEST_CASE("A heartbeat after others that went elsewhere is told")
{
  // An endpoint told this control box its heartbeats up to 10, another one
  // those up to 20, and this one again from 21 on, all within the time after
  // which a box takes it to be silent. Number 21 was no news here, so that
  // gateways knew of number 11 at most. The silence after number 20, which the
  // other box told of, then outweighed it: the endpoint got no more work,
  // although it was heard each second.
  wg::EndpointRegistry registry;
  IsNews(registry, Heartbeat(10), Now);
  CHECK_FALSE(IsNews(registry, Heartbeat(11), Now));
  CHECK(IsNews(registry, Heartbeat(21), Now));
  const auto reply = Since(registry, 1);
  REQUIRE(reply.registrations_size() == 1);
  CHECK(reply.registrations(0).sequence() == 21);
}

TEST_CASE("What a control box knew of endpoints is told after its restart")
{
  // After all boxes had lost power, the endpoints were heard of anew one by
  // one: 16 of 44 within 0.3 s of the first control box's start, 27 within
  // 0.7 s, the last after 1.4 s; what was sent meanwhile waited for few.
  wg::EndpointRegistry before;
  IsNews(before, Heartbeat(7, std::int64_t{ 1000 }), Now);
  wg::TakeLeave(before, { "gone", 500 }, Now);
  wg::EndpointRegistry registry;
  wg::RecallEndpoints(registry, wg::RememberEndpoints(before), Now);
  auto reply = Since(registry, 0);
  REQUIRE(reply.registrations_size() == 2);
  CHECK(reply.registrations(0).endpoint() == "e");
  CHECK(reply.registrations(0).state() == Registration::READY);
  CHECK(reply.registrations(1).state() == Registration::GONE);
  CHECK(reply.registrations(1).ended_ago_ms() > 30000);
  SECTION("one that is heard again is told at once")
  {
    CHECK(IsNews(registry, Heartbeat(8, std::int64_t{ 1000 }), Now));
    CHECK_FALSE(IsNews(registry, Heartbeat(9, std::int64_t{ 1000 }), Now));
  }
  SECTION("one that is not heard falls silent as usual")
  {
    CHECK(wg::TickRegistry(registry, Now + absl::Seconds(6)));
    CHECK(registry.endpoints.at("e@1000").registration.state() ==
          Registration::SILENT);
  }
}

TEST_CASE("Endpoints fall silent, and are heard again")
{
  wg::EndpointRegistry registry;
  wg::TakeHeartbeat(registry, Heartbeat(1), Now);
  CHECK_FALSE(wg::TickRegistry(registry, Now + absl::Seconds(4)));
  CHECK(wg::TickRegistry(registry, Now + absl::Seconds(6)));
  CHECK_FALSE(wg::TickRegistry(registry, Now + absl::Seconds(7)));
  CHECK(IsNews(registry, Heartbeat(2), Now + absl::Seconds(8)));
  wg::TickRegistry(registry, Now + absl::Minutes(1));
  wg::TickRegistry(registry, Now + absl::Minutes(5));
  CHECK(registry.endpoints.empty());
}

TEST_CASE("A document is told once, also while it is being taken in")
{
  FollowFixture f;
  f.Follow("b1", Now);
  f.service.document.set_number(7);
  f.Follow("b1", Now);
  CHECK(f.answers == 2);
  f.Follow("b1", Now);
  CHECK(f.answers == 2);
}

TEST_CASE("A follower is answered when there is news, else when its wait ends")
{
  FollowFixture f;
  f.Follow("b1", Now);
  REQUIRE(f.answers == 1); // it knew nothing yet
  CHECK(f.last.followers_size() == 1);
  f.Follow("b1", Now);
  CHECK(f.answers == 1);
  SECTION("a document")
  {
    f.service.document.set_number(7);
    f.service.document.set_content("text");
    wg::AnswerFollowers(f.followers, f.State(), Now);
    CHECK(f.answers == 2);
    CHECK(f.last.document_number() == 7);
  }
  SECTION("an endpoint")
  {
    wg::TakeHeartbeat(f.registry, Heartbeat(1), Now);
    wg::AnswerFollowers(f.followers, f.State(), Now);
    CHECK(f.last.registrations_size() == 1);
  }
  SECTION("another follower")
  {
    f.Follow("b2", Now);
    CHECK(f.last.followers_size() == 2);
    wg::AnswerFollowers(f.followers, f.State(), Now);
    CHECK(f.answers == 3);
  }
  SECTION("nothing")
  {
    wg::AnswerFollowers(f.followers, f.State(), Now + absl::Seconds(2));
  }
  CHECK(f.answers >= 2);
  CHECK(f.followers.waiting.empty());
}

TEST_CASE("A box that no longer asks is no follower")
{
  FollowFixture f;
  f.Follow("b1", Now);
  f.Follow("b2", Now);
  const std::uint64_t before = f.followers.all.revision;
  f.Follow("b2", Now + absl::Seconds(4));
  wg::TickFollowers(f.followers, Now + absl::Seconds(4));
  CHECK(f.followers.all.revision > before);
  wg::AnswerFollowers(f.followers, f.State(), Now + absl::Seconds(4));
  CHECK(f.last.followers_size() == 1);
  CHECK(f.last.followers(0).box() == "b2");
}

TEST_CASE("Of two documents the higher number holds, and lasts")
{
  wg::ServiceState state;
  wg::wire::Change change;
  change.mutable_publish()->set_number(7);
  change.mutable_publish()->set_content("seven");
  CHECK(wg::ApplyChange(state, change).verdict() ==
        wg::wire::ChangeResult::ACCEPTED);
  // The same number with another content, and an older one: acknowledged,
  // and nothing changes.
  change.mutable_publish()->set_content("other");
  CHECK(wg::ApplyChange(state, change).verdict() ==
        wg::wire::ChangeResult::ACCEPTED);
  change.mutable_publish()->set_number(6);
  wg::ApplyChange(state, change);
  CHECK(state.document.content() == "seven");
  const auto loaded = wg::LoadState(wg::SaveState(state));
  REQUIRE(wg::Succeeded(loaded));
  CHECK(wg::Value(loaded).document.number() == 7);
  CHECK(wg::Value(loaded).document.content() == "seven");
}

TEST_CASE("Followers hear of crashes at once, and of all after a restart",
          "[registry]")
{
  FollowFixture f;
  f.Follow("g1", Now);
  f.Follow("g1", Now); // knows all that there is, and waits
  const int before = f.answers;
  wg::wire::Crash crash;
  crash.set_request("a");
  crash.set_endpoint("e1");
  REQUIRE(wg::MergeCrash(f.crashes, crash, Now));
  wg::AnswerFollowers(f.followers, f.State(), Now);
  CHECK(f.answers == before + 1);
  REQUIRE(f.last.crashes_size() == 1);
  CHECK(f.last.crashes(0).request() == "a");
  f.Follow("g1", Now);
  CHECK(f.answers == before + 1);
  f.registry.incarnation = 6; // the control process has started again
  f.last.set_crashes_revision(99);
  f.Follow("g1", Now);
  REQUIRE(f.last.crashes_size() == 1);
  // One that does not ask for them gets none, and no answer without news.
  wg::FollowWaiter old;
  bool isAnswered = false;
  old.request.set_box("g2");
  old.request.set_wait_ms(1000);
  old.respond = [&isAnswered](const std::string&) { isAnswered = true; };
  wg::TakeFollow(f.followers, std::move(old), f.State(), Now);
  CHECK_FALSE(isAnswered);
}
