// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgEndpointEnds.h"
#include "wgEndpointRegistry.h"

namespace {

using Registration = wg::wire::Registration;

Registration Word(const std::string& name, Registration::State state,
                  std::int64_t born = 7)
{
  Registration registration;
  registration.set_endpoint(name);
  registration.set_service("plain");
  registration.set_born_ms(born);
  registration.set_state(state);
  registration.set_sequence(5);
  return registration;
}

wg::Elapsed At(int seconds)
{
  return absl::Seconds(seconds);
}

wg::wire::EndpointEnds Next(const wg::EndpointEnds& ends,
                            const std::string& address, std::uint64_t& upTo)
{
  return wg::NextEndsFor(ends, address, At(10), upTo);
}

} // namespace

// An end is acknowledged that fewer disks hold than may be lost.
TEST_CASE("An end is held once enough disks have it")
{
  wg::EndpointEnds ends;
  const auto first =
    wg::NoteEnd(ends, Word("a", Registration::GONE), true, At(1));
  const auto second =
    wg::NoteEnd(ends, Word("b", Registration::GONE), true, At(2));
  CHECK_FALSE(wg::IsHeldBy(ends, first, 1));
  ends.synced = first;
  CHECK(wg::IsHeldBy(ends, first, 1));
  CHECK_FALSE(wg::IsHeldBy(ends, second, 1));
  CHECK_FALSE(wg::IsHeldBy(ends, first, 2));
  ends.holders["c1"].held = second;
  CHECK(wg::IsHeldBy(ends, first, 2));
  CHECK_FALSE(wg::IsHeldBy(ends, first, 3));
  // The own disk hangs; two others have it.
  ends.holders["c2"].held = second;
  CHECK(wg::IsHeldBy(ends, second, 2));
}

TEST_CASE("What is said again is not kept again, the end after draining is")
{
  wg::EndpointEnds ends;
  const auto drains =
    wg::NoteEnd(ends, Word("a", Registration::LEAVING), true, At(1));
  CHECK(wg::NoteEnd(ends, Word("a", Registration::LEAVING), true, At(2)) ==
        drains);
  const auto gone =
    wg::NoteEnd(ends, Word("a", Registration::GONE), true, At(3));
  CHECK(gone > drains);
  CHECK(wg::NoteEnd(ends, Word("a", Registration::LEAVING), true, At(4)) ==
        gone); // a late heartbeat
  std::uint64_t upTo = 0;
  const auto told = Next(ends, "c1", upTo);
  REQUIRE(told.ends_size() == 1);
  CHECK(told.ends(0).state() == Registration::GONE);
  CHECK(told.ends(0).ended_ago_ms() == 7000);
  CHECK(upTo == gone);
}

TEST_CASE("A control box is told of what it does not hold, in parts")
{
  wg::EndpointEnds ends;
  wg::NoteEnd(ends, Word("told", Registration::GONE), false, At(1));
  const int count = wg::MaxEndsInMessage + 1;
  for (int i = 0; i < count; ++i) {
    wg::NoteEnd(ends, Word(absl::StrCat("e", i), Registration::GONE), true,
                At(2));
  }
  std::uint64_t upTo = 0;
  CHECK(Next(ends, "c1", upTo).ends_size() == wg::MaxEndsInMessage);
  ends.holders["c1"].held = upTo;
  CHECK(Next(ends, "c1", upTo).ends_size() == 1);
  ends.holders["c1"].held = upTo;
  CHECK(Next(ends, "c1", upTo).ends().empty());
  // Another box has told of it; now the endpoint does so itself.
  const auto again =
    wg::NoteEnd(ends, Word("told", Registration::GONE), true, At(3));
  CHECK_FALSE(wg::IsHeldBy(ends, again, 1));
  const auto news = Next(ends, "c1", upTo);
  REQUIRE(news.ends_size() == 1);
  CHECK(news.ends(0).ended_ago_ms() == 9000);
}

TEST_CASE("Ends are forgotten after a while, and bounded in number")
{
  wg::EndpointEnds ends;
  wg::NoteEnd(ends, Word("a", Registration::GONE), true, At(1));
  wg::ExpireEnds(ends, At(1) + wg::EndMemory);
  CHECK(ends.ends.size() == 1);
  wg::ExpireEnds(ends, At(2) + wg::EndMemory);
  CHECK(ends.ends.empty());
  CHECK(ends.byRevision.empty());
  for (std::size_t i = 0; i < wg::MostEnds + 5; ++i) {
    wg::NoteEnd(ends, Word(absl::StrCat("e", i), Registration::GONE), true,
                At(3));
  }
  CHECK(ends.ends.size() == wg::MostEnds);
  CHECK(ends.byRevision.size() == wg::MostEnds);
  CHECK(ends.ends.count("e0@7") == 0);
}

// What a control box acknowledged before its restart ends a later start.
TEST_CASE("An end without a start ends what was known by then")
{
  wg::EndpointRegistry registry;
  Registration ready = Word("a", Registration::READY, 1);
  wg::TakeHeartbeat(registry, ready, At(1));
  ready.set_born_ms(2);
  wg::TakeHeartbeat(registry, ready, At(5));
  Registration end = Word("a", Registration::GONE, 0);
  end.set_ended_ago_ms(4000);
  CHECK(wg::TakeEnd(registry, end, At(8)));
  const auto ended = wg::EndedStarts(registry, { "a", 0 });
  REQUIRE(ended.size() == 2);
  CHECK(wg::EndedStarts(registry, { "a", 1 }).size() == 1);
  CHECK(wg::EndedStarts(registry, { "a", 2 }).empty());
}

// Draining that another box told of is kept for ever once that box is lost.
TEST_CASE("What another control box told of draining is forgotten")
{
  wg::EndpointRegistry registry;
  wg::TakeEnd(registry, Word("a", Registration::LEAVING), At(1));
  wg::TickRegistry(registry, At(1) + registry.timing.forgetAfter);
  CHECK(registry.endpoints.size() == 1);
  // A late heartbeat says nothing new.
  Registration late = Word("a", Registration::READY);
  late.set_sequence(4);
  CHECK(wg::TakeHeartbeat(registry, late, At(2)) == wg::HeartbeatTaken::Known);
  wg::TickRegistry(registry, At(2) + registry.timing.forgetAfter);
  CHECK(registry.endpoints.empty());
}
