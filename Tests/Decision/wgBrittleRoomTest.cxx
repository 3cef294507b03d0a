// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgBrittleRoom.h"

namespace {

using wg::BrittleBounds;
using wg::BrittleRoom;
using wg::Elapsed;

constexpr Elapsed Start = absl::Seconds(100);
constexpr BrittleBounds Bounds{ 4, 2.0, true };

Elapsed At(double seconds)
{
  return Start + absl::Seconds(seconds);
}

int Grantable(BrittleRoom room, Elapsed now, const BrittleBounds& bounds)
{
  int granted = 0;
  while (HasRoom(room, bounds, now)) {
    NoteGranted(room, "another", 0, now);
    ++granted;
  }
  return granted;
}

} // namespace

TEST_CASE("No more requests are open than an endpoint works on at once")
{
  BrittleRoom room;
  CHECK(Grantable(room, At(0), Bounds) == 4);
  NoteOpen(room, "a", { 1, 1 }, At(0));
  NoteOpen(room, "b", { 2, 1 }, At(0));
  CHECK(Grantable(room, At(0), Bounds) == 1);
  NoteGranted(room, "a", 0, At(0));
  CHECK_FALSE(HasRoom(room, Bounds, At(0)));
  NoteOpen(room, "b", { 1, 2 }, At(0.1));
  CHECK(Grantable(room, At(0.1), Bounds) == 1);
}

TEST_CASE("A report that was overtaken changes nothing")
{
  BrittleRoom room;
  NoteOpen(room, "a", { 4, 7 }, At(0));
  NoteOpen(room, "a", { 0, 6 }, At(0.1));
  CHECK_FALSE(HasRoom(room, Bounds, At(0.1)));
  // A box that was restarted counts its reports anew.
  NoteOpen(room, "a", { 1, 1 }, At(0) + wg::OpenMemory);
  CHECK(Grantable(room, At(0) + wg::OpenMemory, Bounds) == 3);
}

TEST_CASE("A report that crosses a grant hides it")
{
  // The box does not know yet that its request was given to this endpoint.
  BrittleRoom room;
  NoteGranted(room, "a", 11, At(0));
  NoteGranted(room, "a", 12, At(0));
  NoteOpen(room, "a", { 0, 1, 10 }, At(0.01));
  CHECK(Grantable(room, At(0.01), Bounds) == 2);
  NoteOpen(room, "a", { 1, 2, 11 }, At(0.02));
  CHECK(Grantable(room, At(0.02), Bounds) == 2);
  NoteOpen(room, "a", { 2, 3, 12 }, At(0.03));
  CHECK(Grantable(room, At(0.03), Bounds) == 2);
  NoteOpen(room, "a", { 0, 4, 12 }, At(0.04));
  CHECK(Grantable(room, At(0.04), Bounds) == 4);
}

TEST_CASE("A grant whose answer was lost stays counted")
{
  BrittleRoom room;
  NoteGranted(room, "a", 11, At(0));
  NoteOpen(room, "a", { 0, 1, 0 }, At(0.1));
  CHECK(Grantable(room, At(0.1), Bounds) == 3);
  NoteOpen(room, "a", { 0, 2, 0 }, At(0) + wg::GrantMemory);
  CHECK(Grantable(room, At(0) + wg::GrantMemory, Bounds) == 4);
}

TEST_CASE("What a lost box had open is forgotten")
{
  BrittleRoom room;
  NoteOpen(room, "a", { 4, 1 }, At(0));
  CHECK_FALSE(HasRoom(room, Bounds, At(0) + wg::OpenMemory / 2));
  CHECK(HasRoom(room, Bounds, At(0) + wg::OpenMemory));
}

TEST_CASE("A box that has just begun to grant leaves room for what it missed")
{
  CHECK(Grantable({}, At(0), { 4, 2.0, false }) == 2);
  CHECK(Grantable({}, At(0), { 1, 2.0, false }) == 1);
}

TEST_CASE("A refusal pauses grants and lowers their bound for a while")
{
  BrittleRoom room;
  NoteOpen(room, "a", { 3, 1 }, At(0));
  NoteRefused(room, 1, Bounds, At(0));
  CHECK_FALSE(HasRoom(room, Bounds, At(0.4)));
  NoteOpen(room, "a", { 0, 2 }, At(0.5));
  CHECK(Grantable(room, At(0.5), Bounds) == 2);
  CHECK(Grantable(room, At(1), Bounds) == 3);
  CHECK(Grantable(room, At(9), Bounds) == 4);
}

TEST_CASE("Many refusals pause grants for no longer than they count")
{
  BrittleRoom room;
  NoteRefused(room, 50, Bounds, At(0));
  CHECK_FALSE(HasRoom(room, Bounds, At(0.9)));
  CHECK(HasRoom(room, Bounds, At(1)));
  // Nor does an endpoint that bears less than one a second wait for ever.
  NoteRefused(room, 1, { 4, 0.0, true }, At(2));
  CHECK_FALSE(HasRoom(room, Bounds, At(2.9)));
  CHECK(HasRoom(room, Bounds, At(3)));
}
