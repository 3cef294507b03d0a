// SPDX-License-Identifier: Apache-2.0
#include <random>

#include <catch2/catch.hpp>

#include "wgDirectory.h"
#include "wgEndpointChoice.h"

namespace {

using Registration = wg::wire::Registration;

const wg::Elapsed Now = absl::Seconds(50);

Registration Told(const std::string& id, std::uint64_t sequence,
                  Registration::State state = Registration::READY)
{
  Registration told;
  told.set_endpoint(id);
  told.set_service("svc");
  told.set_address("127.0.0.1:1");
  told.set_hall("h1");
  told.set_slots(4);
  told.set_sequence(sequence);
  told.set_state(state);
  return told;
}

Registration Told(const std::string& name, std::uint64_t sequence,
                  std::int64_t bornMs,
                  Registration::State state = Registration::READY)
{
  Registration told = Told(name, sequence, state);
  told.set_born_ms(bornMs);
  return told;
}

wg::Directory Serving(int endpoints)
{
  wg::Directory directory;
  for (int i = 0; i < endpoints; ++i) {
    Registration told = Told("e" + std::to_string(i), 1);
    told.set_hall(i % 2 == 0 ? "h0" : "h1");
    wg::MergeRegistration(directory, told, Now);
  }
  return directory;
}

wg::PromptShape Prompt(const std::string& shared)
{
  return { { { "root", 2000 }, { shared, 10000 }, { "own", 3000 } },
           15000,
           100 };
}

} // namespace

TEST_CASE("An endpoint's own sequence decides between control boxes")
{
  wg::Directory directory;
  CHECK(wg::MergeRegistration(directory, Told("e", 10), Now));
  CHECK_FALSE(wg::MergeRegistration(directory, Told("e", 9), Now));
  // One control box missed it since heartbeat 8; another heard number 10.
  wg::MergeRegistration(directory, Told("e", 8, Registration::SILENT), Now);
  CHECK(wg::IsCurrent(*wg::FindEndpoint(directory, "e")));
  wg::MergeRegistration(directory, Told("e", 10, Registration::SILENT), Now);
  CHECK_FALSE(wg::IsCurrent(*wg::FindEndpoint(directory, "e")));
  wg::MergeRegistration(directory, Told("e", 11), Now);
  CHECK(wg::IsCurrent(*wg::FindEndpoint(directory, "e")));
  wg::MergeRegistration(directory, Told("e", 12, Registration::LEAVING), Now);
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
}

TEST_CASE("A delayed heartbeat does not bring work to a replaced endpoint")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("old", 10), Now);
  wg::MergeRegistration(directory, Told("new", 1), Now);
  // Sent before its end, heard after the new one has registered.
  wg::MergeRegistration(directory, Told("old", 11), Now);
  wg::NoteReplaced(directory, "old", Now);
  const auto serving = wg::ServingEndpoints(directory, "svc");
  REQUIRE(serving.size() == 1);
  CHECK(serving.front()->id == "new");
  // If it lives after all, its next heartbeat says so.
  wg::MergeRegistration(directory, Told("old", 12), Now);
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 2);
}

TEST_CASE("The end of an endpoint is final")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 10), Now);
  CHECK(
    wg::MergeRegistration(directory, Told("e", 0, Registration::GONE), Now));
  CHECK_FALSE(wg::MergeRegistration(directory, Told("e", 99), Now));
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  // Told of its end before its life: nothing revives it.
  wg::MergeRegistration(directory, Told("f", 0, Registration::GONE), Now);
  wg::MergeRegistration(directory, Told("f", 3), Now);
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
}

TEST_CASE("A start of an endpoint is another endpoint than the one before")
{
  // An endpoint crashed at heartbeat 40 and started again under its name. Its
  // heartbeats, counted anew from 1, were taken for old ones: it got no work
  // until it had counted beyond 40, 48 s later, and what had been known of
  // its failures and slowness was held against it.
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 40, 1000), Now);
  wg::NoteAttempt(*wg::FindEndpoint(directory, "e@1000"), true, Now);
  CHECK(wg::MergeRegistration(directory, Told("e", 1, 2000), Now));
  auto serving = wg::ServingEndpoints(directory, "svc");
  REQUIRE(serving.size() == 1);
  CHECK(serving.front()->id == "e@2000");
  CHECK(serving.front()->start.name == "e");
  CHECK(serving.front()->failuresInRow == 0);
  CHECK(wg::IsOver(directory, "e@1000"));
  CHECK_FALSE(wg::IsOver(directory, "e@2000"));
  // Late news and the end of the earlier start change nothing.
  wg::MergeRegistration(directory, Told("e", 41, 1000), Now);
  wg::MergeRegistration(directory, Told("e", 0, 1000, Registration::GONE),
                        Now);
  serving = wg::ServingEndpoints(directory, "svc");
  REQUIRE(serving.size() == 1);
  CHECK(serving.front()->id == "e@2000");
}

TEST_CASE("News of starts is judged alike in any order")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 1, 3000), Now);
  wg::MergeRegistration(directory, Told("e", 70, 1000), Now);
  wg::MergeRegistration(directory, Told("e", 9, 2000), Now);
  const auto serving = wg::ServingEndpoints(directory, "svc");
  REQUIRE(serving.size() == 1);
  CHECK(serving.front()->id == "e@3000");
  // Another endpoint, whose name only begins alike.
  wg::MergeRegistration(directory, Told("e2", 1, 1000), Now);
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 2);
}

TEST_CASE("The end of a start is final for that start alone")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 5, 1000), Now);
  SECTION("that was told")
  {
    wg::MergeRegistration(directory, Told("e", 0, 1000, Registration::GONE),
                          Now);
  }
  SECTION("that was not told: the one that is known")
  {
    wg::MergeRegistration(directory, Told("e", 0, 0, Registration::GONE), Now);
  }
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  wg::MergeRegistration(directory, Told("e", 6, 1000), Now);
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  wg::MergeRegistration(directory, Told("e", 1, 2000), Now);
  REQUIRE(wg::ServingEndpoints(directory, "svc").size() == 1);
}

TEST_CASE("An old end without its start does not end what serves now")
{
  // A box that starts hears from one control box of the start that serves,
  // and from another one of the end, a minute ago, of the start before it.
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 1, 2000), Now);
  Registration gone = Told("e", 0, 0, Registration::GONE);
  gone.set_ended_ago_ms(60000);
  wg::MergeRegistration(directory, gone, Now + absl::Milliseconds(5));
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 1);
}

TEST_CASE("A start whose clock was set back serves once the other is silent")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 30, 9000), Now);
  wg::MergeRegistration(directory, Told("e", 1, 4000), Now);
  REQUIRE(wg::ServingEndpoints(directory, "svc").size() == 1);
  CHECK(wg::ServingEndpoints(directory, "svc").front()->id == "e@9000");
  wg::MergeRegistration(directory, Told("e", 30, 9000, Registration::SILENT),
                        Now);
  REQUIRE(wg::ServingEndpoints(directory, "svc").size() == 1);
  CHECK(wg::ServingEndpoints(directory, "svc").front()->id == "e@4000");
}

TEST_CASE("The start that serves is found by an address that both had")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 30, 1000), Now);
  wg::MergeRegistration(directory, Told("e", 1, 2000), Now);
  const auto* found = wg::FindByAddress(directory, "127.0.0.1:1");
  REQUIRE(found != nullptr);
  CHECK(found->id == "e@2000");
}

TEST_CASE("Starts that are over are forgotten")
{
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 30, 9000), Now);
  wg::MergeRegistration(directory, Told("e", 1, 4000), Now);
  wg::MergeRegistration(directory, Told("e", 0, 9000, Registration::GONE),
                        Now);
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  wg::ForgetEnded(directory, Now + absl::Minutes(10));
  CHECK(directory.endpoints.size() == 1);
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 1);
}

TEST_CASE("Another service under a known start changes nothing")
{
  // Told to a control box that had not heard of the endpoint.
  wg::Directory directory;
  wg::MergeRegistration(directory, Told("e", 10), Now);
  Registration foreign = Told("e", 1000000);
  foreign.set_service("other");
  foreign.set_address("127.0.0.1:9");
  CHECK_FALSE(wg::MergeRegistration(directory, foreign, Now));
  foreign.set_state(Registration::SILENT);
  CHECK_FALSE(wg::MergeRegistration(directory, foreign, Now));
  REQUIRE(wg::ServingEndpoints(directory, "svc").size() == 1);
  CHECK(wg::ServingEndpoints(directory, "other").empty());
  // Its own heartbeats are still taken.
  CHECK(wg::MergeRegistration(directory, Told("e", 11, Registration::LEAVING),
                              Now));
}

TEST_CASE("Failures keep work away for a while, and fade")
{
  wg::Directory directory = Serving(2);
  wg::DirectoryEndpoint& failing = *wg::FindEndpoint(directory, "e0");
  wg::NoteAttempt(failing, true, Now);
  REQUIRE(wg::SoundEndpoints(directory, "svc", Now).size() == 1);
  CHECK(wg::SoundEndpoints(directory, "svc", Now).front()->id == "e1");
  const wg::Elapsed later = Now + absl::Seconds(1);
  CHECK(wg::SoundEndpoints(directory, "svc", later).size() == 2);
  CHECK(wg::ShareNow(failing.failures, Now) == Approx(0.15));
  CHECK(wg::ShareNow(failing.failures, Now + absl::Seconds(30)) < 0.001);
  // When all fail, all are tried.
  wg::NoteAttempt(*wg::FindEndpoint(directory, "e1"), true, Now);
  CHECK(wg::SoundEndpoints(directory, "svc", Now).size() == 2);
}

TEST_CASE("Two endpoints that can't be reached make a hall cut off")
{
  wg::Directory directory = Serving(4);
  wg::HallReach& reach = directory.reach;
  CHECK(wg::NoteUnreached(reach, "h0", "e0", Now).empty());
  CHECK(wg::NoteUnreached(reach, "h0", "e0", Now).empty());
  CHECK_FALSE(wg::IsCutOff(reach, "h0"));
  CHECK(wg::NoteUnreached(reach, "h0", "e2", Now) ==
        std::vector<std::string>{ "h0" });
  CHECK(wg::IsCutOff(reach, "h0"));
  CHECK(wg::SoundEndpoints(directory, "svc", Now).size() == 2);
  CHECK(wg::NoteReached(reach, "h0"));
  CHECK(wg::SoundEndpoints(directory, "svc", Now).size() == 4);
}

TEST_CASE("Failures long apart, or with an answer between, cut off no hall")
{
  wg::HallReach reach;
  wg::NoteUnreached(reach, "h0", "e0", Now);
  CHECK(wg::NoteUnreached(reach, "h0", "e2", Now + absl::Seconds(5)).empty());
  wg::NoteReached(reach, "h0");
  CHECK(wg::NoteUnreached(reach, "h0", "e0", Now + absl::Seconds(5)).empty());
}

TEST_CASE("The hall that loses two others is itself the one that is cut off")
{
  // A box in a hall that was cut off from four others learned of each by two
  // connections that timed out: a request tried four engines in four halls,
  // and was refused after 3.4 s with "not_connected", while engines of its
  // own hall had nothing to do.
  wg::Directory directory;
  directory.reach.own = "h0";
  for (int hall = 0; hall < 5; ++hall) {
    Registration told = Told("e" + std::to_string(hall), 1);
    told.set_hall("h" + std::to_string(hall));
    wg::MergeRegistration(directory, told, Now);
  }
  wg::HallReach& reach = directory.reach;
  wg::NoteUnreached(reach, "h1", "a", Now);
  CHECK(wg::NoteUnreached(reach, "h1", "b", Now).size() == 1);
  CHECK_FALSE(wg::IsCutOff(reach, "h3"));
  SECTION("two others are lost")
  {
    wg::NoteUnreached(reach, "h2", "c", Now);
    CHECK(wg::NoteUnreached(reach, "h2", "d", Now).size() == 3);
    CHECK(wg::IsCutOff(reach, "h3"));
    CHECK(wg::IsCutOff(reach, "h4"));
    CHECK_FALSE(wg::IsCutOff(reach, "h0"));
    // What answers is not cut off.
    CHECK(wg::NoteReached(reach, "h4"));
    CHECK_FALSE(wg::IsCutOff(reach, "h4"));
    CHECK(wg::IsCutOff(reach, "h3"));
  }
  SECTION("endpoints of its own hall say nothing of others")
  {
    wg::NoteUnreached(reach, "h0", "c", Now);
    CHECK(wg::NoteUnreached(reach, "h0", "d", Now).size() == 1);
    CHECK_FALSE(wg::IsCutOff(reach, "h2"));
  }
}

TEST_CASE("Prompts with the same shared part go to the same engine")
{
  wg::Directory directory = Serving(8);
  const auto engines = wg::ServingEndpoints(directory, "svc");
  wg::ChoiceQuery query;
  query.hall = "h0";
  const auto first = wg::ChooseEngine(engines, Prompt("p"), {}, query);
  REQUIRE(first.endpoint != nullptr);
  query.hall = "h1";
  CHECK(wg::ChooseEngine(engines, Prompt("p"), {}, query).endpoint ==
        first.endpoint);
  // What its engine holds need not be read.
  CHECK(first.prefillSeconds == Approx(3000 * 16.5e-6));
  SECTION("unless it is busy for longer than it takes to read anew")
  {
    first.endpoint->pendingSeconds = 2.0;
    const auto second = wg::ChooseEngine(engines, Prompt("p"), {}, query);
    CHECK(second.endpoint != first.endpoint);
    CHECK(second.prefillSeconds == Approx(15000 * 16.5e-6));
  }
  SECTION("or has been tried")
  {
    const std::vector<std::string> tried = { first.endpoint->id };
    query.avoid = tried;
    CHECK(wg::ChooseEngine(engines, Prompt("p"), {}, query).endpoint !=
          first.endpoint);
  }
}

TEST_CASE("Parts of prompts are spread over the engines")
{
  wg::Directory directory = Serving(4);
  const auto engines = wg::ServingEndpoints(directory, "svc");
  std::map<std::string, int> taken;
  for (int i = 0; i < 400; ++i) {
    const auto choice =
      wg::ChooseEngine(engines, Prompt("p" + std::to_string(i)), {}, {});
    ++taken[choice.endpoint->id];
  }
  for (const auto& [id, count] : taken) {
    CHECK(count > 60);
    CHECK(count < 140);
  }
}

TEST_CASE("Plain work goes to the least loaded, of equals in the own hall")
{
  wg::Directory directory = Serving(2);
  const auto endpoints = wg::ServingEndpoints(directory, "svc");
  std::mt19937_64 random(3);
  wg::ChoiceQuery query;
  query.hall = "h1";
  CHECK(wg::ChoosePlain(endpoints, query, random)->id == "e1");
  wg::FindEndpoint(directory, "e1")->running = 1;
  CHECK(wg::ChoosePlain(endpoints, query, random)->id == "e0");
  CHECK(wg::ChoosePlain({}, query, random) == nullptr);
}

TEST_CASE("Parts of prompts are read from their text")
{
  const auto parts = wg::ParsePromptParts("5c1e07a2:800, 91bd3f06:410,bad");
  REQUIRE(parts.size() == 2);
  CHECK(parts[1].id == "91bd3f06");
  CHECK(parts[1].tokens == 410);
  CHECK(wg::ParsePromptParts("").empty());
}

namespace {

wg::HallOrders Ordered(std::uint64_t number, bool evacuated)
{
  wg::HallOrders orders;
  orders.newest = number;
  orders.halls["h1"] = { evacuated, number };
  return orders;
}

} // namespace

TEST_CASE("An order on a hall holds for its endpoints, known or new")
{
  wg::Directory directory;
  const wg::Elapsed now = absl::Seconds(10);
  wg::wire::Registration news;
  news.set_endpoint("e");
  news.set_service("svc");
  news.set_hall("h1");
  news.set_sequence(4);
  news.set_state(wg::wire::Registration::READY);
  wg::MergeRegistration(directory, news, now);
  REQUIRE(wg::ServingEndpoints(directory, "svc").size() == 1);
  CHECK(wg::MergeHallOrders(directory, Ordered(3, true), now) ==
        std::vector<std::string>{ "h1" });
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  CHECK(wg::SoundEndpoints(directory, "svc", now).empty());
  CHECK(wg::IsEvacuatedWhole(directory, "svc"));
  CHECK_FALSE(wg::IsEvacuatedWhole(directory, "other"));
  news.set_endpoint("new");
  wg::MergeRegistration(directory, news, now);
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  // What another control box still tells of before is old.
  CHECK(wg::MergeHallOrders(directory, Ordered(2, false), now).empty());
  CHECK(wg::ServingEndpoints(directory, "svc").empty());
  CHECK(wg::MergeHallOrders(directory, Ordered(5, false), now).size() == 1);
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 2);
}

TEST_CASE("Endpoints of a hall that was taken back are cold until they are "
          "heard")
{
  wg::Directory directory;
  const wg::Elapsed now = absl::Seconds(10);
  wg::wire::Registration news;
  news.set_endpoint("e");
  news.set_service("svc");
  news.set_hall("h1");
  news.set_sequence(4);
  news.set_state(wg::wire::Registration::READY);
  wg::MergeRegistration(directory, news, now);
  const wg::DirectoryEndpoint& endpoint = *wg::FindEndpoint(directory, "e");
  CHECK_FALSE(wg::IsCold(endpoint, now));
  wg::MergeHallOrders(directory, Ordered(1, true), now);
  wg::MergeHallOrders(directory, Ordered(2, false), now);
  CHECK(wg::IsCold(endpoint, now + absl::Seconds(60)));
  news.set_state(wg::wire::Registration::SILENT); // says nothing of it
  wg::MergeRegistration(directory, news, now);
  CHECK(wg::IsCold(endpoint, now));
  news.set_state(wg::wire::Registration::READY);
  news.set_sequence(5);
  news.set_warmup_ms(2000);
  wg::MergeRegistration(directory, news, now);
  CHECK(wg::IsCold(endpoint, now + absl::Milliseconds(1999)));
  CHECK_FALSE(wg::IsCold(endpoint, now + absl::Milliseconds(2001)));
}

TEST_CASE("An endpoint that asked for a rest is chosen where no other is left")
{
  wg::Directory directory = Serving(2);
  wg::DirectoryEndpoint& tired = *wg::FindEndpoint(directory, "e0");
  wg::DirectoryEndpoint& failing = *wg::FindEndpoint(directory, "e1");
  wg::SenderTerms asks;
  asks.backoff = absl::Seconds(3);
  wg::ApplyTerms(tired.terms, asks, Now, Now);
  NoteAttempt(failing, true, Now);
  const auto sound = wg::SoundEndpoints(directory, "svc", Now);
  REQUIRE(sound.size() == 1);
  CHECK(sound.front()->id == "e1");
  // The backoff is this box's alone.
  CHECK(wg::SoundEndpoints(directory, "svc", Now, wg::Sender::AnyBox).size() ==
        1);
  CHECK(wg::SoundEndpoints(directory, "svc", Now, wg::Sender::AnyBox)
          .front()
          ->id == "e0");
  wg::ApplyTerms(failing.terms, asks, Now, Now + absl::Seconds(1));
  CHECK(wg::SoundEndpoints(directory, "svc", Now + absl::Seconds(1)).empty());
  CHECK(wg::TimeUntilAccepted(directory, "svc", Now + absl::Seconds(1)) ==
        absl::Seconds(2));
  CHECK(wg::TimeUntilAccepted(directory, "svc", Now + absl::Seconds(3)) ==
        absl::ZeroDuration());
  CHECK(wg::TimeUntilAccepted(directory, "other", Now) ==
        absl::ZeroDuration());
  CHECK(wg::SoundEndpoints(directory, "svc", Now + absl::Seconds(3)).size() ==
        1);
}

TEST_CASE("An endpoint gets its share again after the rest that it asked for")
{
  wg::Directory directory = Serving(3);
  wg::DirectoryEndpoint& tired = *wg::FindEndpoint(directory, "e2");
  wg::SenderTerms asks;
  asks.backoff = absl::Seconds(3);
  wg::ApplyTerms(tired.terms, asks, Now, Now);
  wg::NoteRefusal(tired, Now);
  const wg::Elapsed rested = Now + asks.backoff;
  const auto sound = wg::SoundEndpoints(directory, "svc", rested);
  REQUIRE(sound.size() == 3);
  std::mt19937_64 random(7);
  wg::ChoiceQuery query;
  query.now = rested;
  query.hall = "h0"; // of e0 and e2
  constexpr int requests = 300;
  int got = 0;
  for (int i = 0; i < requests; ++i) {
    got += wg::ChoosePlain(sound, query, random) == &tired ? 1 : 0;
  }
  CHECK(got > requests / 3);
  // One that goes on refusing is avoided like one that fails.
  wg::ApplyTerms(tired.terms, asks, rested, rested);
  wg::NoteRefusal(tired, rested);
  CHECK(wg::ShareNow(tired.failures, rested) > 0.0);
  CHECK(tired.avoidUntil > rested);
}

TEST_CASE("An endpoint that said it leaves gets new work")
{
  wg::Directory directory = Serving(2);
  wg::DirectoryEndpoint& leaving = *wg::FindEndpoint(directory, "e0");
  wg::SenderTerms says;
  says.isLeaving = true;
  wg::ApplyTerms(leaving.terms, says, Now, Now);
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 1);
  // A heartbeat that says it is ready may have been on its way.
  wg::MergeRegistration(directory, Told("e0", 2), Now);
  wg::ForgetEnded(directory, Now + wg::LeavingMemory - absl::Seconds(1));
  CHECK(wg::ServingEndpoints(directory, "svc").size() == 1);
  SECTION("of another start")
  {
    wg::MergeRegistration(directory, Told("e0", 1, std::int64_t{ 5000 }), Now);
    CHECK(wg::ServingEndpoints(directory, "svc").size() == 2);
  }
  SECTION("that was told too long ago")
  {
    wg::ForgetEnded(directory, Now + wg::LeavingMemory);
    CHECK(wg::ServingEndpoints(directory, "svc").size() == 2);
  }
}

TEST_CASE("Streams go on only at endpoints whose version is known")
{
  wg::Directory directory;
  const auto tell = [&](const std::string& id, std::uint64_t sequence,
                        const std::string& version,
                        Registration::State state = Registration::READY) {
    Registration told = Told(id, sequence, state);
    told.set_version(version);
    wg::MergeRegistration(directory, told, Now);
  };
  const auto sound = [&](const wg::VersionBound& bound) {
    std::vector<std::string> ids;
    for (const auto* endpoint : wg::SoundEndpoints(
           directory, "svc", Now, wg::Sender::ThisBox, "", bound)) {
      ids.push_back(endpoint->id);
    }
    return ids;
  };
  using Ids = std::vector<std::string>;
  tell("a", 1, "v1");
  tell("b", 1, "v2");
  tell("c", 1, "");
  CHECK(sound({}).size() == 3);
  CHECK(sound("v1") == Ids{ "a" });
  CHECK(sound("v2") == Ids{ "b" });
  CHECK(sound("v3").empty());
  CHECK(sound("").empty());
  // A control box of an older build does not tell the version.
  tell("a", 2, "");
  CHECK(sound("v1") == Ids{ "a" });
  // Under one identity two starts have told of themselves.
  tell("a", 3, "v2");
  CHECK(sound("v1").empty());
  CHECK(sound("v2") == Ids{ "b" });
  tell("a", 4, "v1");
  CHECK(sound("v1").empty());
  CHECK(sound({}).size() == 3);
  // Another version that takes requests at once says nothing of this one.
  wg::FindEndpoint(directory, "b")->deniedUntil = Now + absl::Seconds(2);
  CHECK(wg::TimeUntilAccepted(directory, "svc", Now) == absl::ZeroDuration());
  CHECK(wg::TimeUntilAccepted(directory, "svc", Now, "v2") ==
        absl::Seconds(2));
  // The only endpoint of a version is used although its attempts failed.
  wg::NoteAttempt(*wg::FindEndpoint(directory, "b"), true, Now);
  CHECK(sound("v2") == Ids{ "b" });
  CHECK(wg::IsAnySound(directory, "svc", Now));
  CHECK_FALSE(
    wg::IsAnySound(directory, "svc", Now, wg::Sender::ThisBox, "v2"));
  tell("b", 2, "v2", Registration::LEAVING);
  CHECK(sound("v2").empty());
}

TEST_CASE("Endpoints that have ended may have begun a stream")
{
  wg::Directory directory;
  const auto versions = [&](wg::Elapsed since) {
    std::vector<std::string> list;
    for (const auto& origin :
         wg::PossibleOrigins(directory, { "svc" }, since)) {
      list.push_back(origin.service + " " + origin.version);
    }
    return list;
  };
  using List = std::vector<std::string>;
  const wg::Elapsed since = Now - absl::Seconds(60);
  Registration told = Told("a", 1);
  told.set_version("v1");
  wg::MergeRegistration(directory, told, Now);
  Registration other = Told("x", 1);
  other.set_service("other");
  other.set_version("v9");
  wg::MergeRegistration(directory, other, Now);
  CHECK(versions(since) == List{ "svc v1" });
  // This box first hears of it as it has ended.
  Registration ended = Told("b", 4, Registration::GONE);
  ended.set_version("v0");
  ended.set_ended_ago_ms(20000);
  wg::MergeRegistration(directory, ended, Now);
  CHECK(versions(since) == List{ "svc v1", "svc v0" });
  CHECK(versions(Now - absl::Seconds(10)) == List{ "svc v1" });
  Registration silent = Told("c", 1, Registration::SILENT);
  silent.set_version("v2");
  wg::MergeRegistration(directory, silent, Now);
  CHECK(versions(Now + absl::Seconds(100)) == List{ "svc v1", "svc v2" });
  // Only the end of a start was heard: it may have been of any service.
  Registration unknown;
  unknown.set_endpoint("d");
  unknown.set_state(Registration::GONE);
  wg::MergeRegistration(directory, unknown, Now);
  CHECK(versions(since) == List{ "svc v1", "svc v0", "svc v2", " " });
}
