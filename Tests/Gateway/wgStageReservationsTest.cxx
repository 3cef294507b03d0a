// SPDX-License-Identifier: Apache-2.0
#include <cstdint>
#include <limits>
#include <string>

#include <catch2/catch.hpp>

#include "wgStageReservations.h"

namespace {

const wg::Elapsed Now = absl::Seconds(100);

/** Four endpoints that start 540 pieces a second. */
wg::StagePool MakePool()
{
  wg::StagePool pool;
  pool.limits.batch = 50;
  pool.limits.callSeconds = 0.2;
  pool.limits.pieceSeconds = 0.0034;
  for (int i = 0; i < 4; ++i) {
    wg::StageServer server;
    server.id = "s" + std::to_string(i);
    pool.servers.push_back(server);
  }
  return pool;
}

wg::wire::StageReserve Ask(std::uint64_t number, std::int64_t startByMs)
{
  wg::wire::StageReserve ask;
  ask.set_box("b");
  ask.set_number(number);
  ask.set_pieces(540);
  ask.set_start_by_ms(startByMs);
  ask.set_finish_by_ms(startByMs + 400);
  ask.set_late_start_by_ms(-1);
  return ask;
}

} // namespace

// Failure: two boxes are both granted the capacity for one.
TEST_CASE("Capacity is granted once")
{
  const wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  CHECK(wg::Reserve(pool, reservations, Ask(1, 500), Now).granted());
  const auto second = wg::Reserve(pool, reservations, Ask(2, 500), Now);
  CHECK_FALSE(second.granted());
  CHECK(second.clear_ms() > 500);
  CHECK(second.retry_ms() >= 990);
  CHECK(reservations.held.size() == 1);
}

// Failure: an answer is lost and the same capacity is asked for again.
TEST_CASE("A second request for the same reservation replaces the first")
{
  const wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  CHECK(wg::Reserve(pool, reservations, Ask(1, 500), Now).granted());
  CHECK(wg::Reserve(pool, reservations, Ask(1, 500), Now).granted());
  CHECK(reservations.held.size() == 1);
}

// Failure: a box is killed with reservations that nobody ends.
TEST_CASE("Reservations of a box that is gone expire")
{
  const wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  CHECK(wg::Reserve(pool, reservations, Ask(1, 500), Now).granted());
  CHECK(wg::DropExpired(reservations, Now + absl::Milliseconds(900)) == 0);
  CHECK(wg::DropExpired(reservations, Now + absl::Milliseconds(1100)) == 1);
  CHECK(reservations.held.empty());
}

TEST_CASE("What waits counts like what is reserved")
{
  wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  for (std::uint32_t i = 0; i < 540; ++i) {
    wg::StagePiece piece;
    piece.request = "r" + std::to_string(i / 6);
    piece.ticket = i;
    piece.arrived = Now;
    piece.finishBy = Now + absl::Milliseconds(600);
    piece.due = piece.finishBy;
    piece.deadline = piece.due;
    pool.waiting.push_back(piece);
  }
  CHECK(wg::PendingOf(pool, reservations, Now).size() == 90);
  CHECK_FALSE(wg::Reserve(pool, reservations, Ask(1, 500), Now).granted());
}

// Failure: requests that came back and can only be late take the capacity of
// those that can still be in time.
TEST_CASE("Late work is granted only behind all that is in time")
{
  const wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  CHECK(wg::Reserve(pool, reservations, Ask(1, 900), Now).granted());
  wg::wire::StageReserve late = Ask(2, -1);
  late.set_came_back(true);
  late.set_late_start_by_ms(800);
  CHECK_FALSE(wg::Reserve(pool, reservations, late, Now).granted());
  late.set_late_start_by_ms(20000);
  const auto answer = wg::Reserve(pool, reservations, late, Now);
  CHECK(answer.granted());
  CHECK(answer.late());
  CHECK(wg::Reserve(pool, reservations, Ask(3, 1500), Now).granted());
}

// Failure: a message that can't be meant changes what others are granted.
TEST_CASE("Unsound requests for capacity are told apart")
{
  CHECK(wg::IsSound(Ask(1, 500)));
  wg::wire::StageReserve ask = Ask(1, 500);
  ask.set_pieces(0);
  CHECK_FALSE(wg::IsSound(ask));
  ask.set_pieces(1000000);
  CHECK_FALSE(wg::IsSound(ask));
  ask = Ask(1, 500);
  ask.set_start_by_ms(std::numeric_limits<std::int64_t>::max());
  CHECK_FALSE(wg::IsSound(ask));
  ask = Ask(1, 500);
  ask.set_earliest_ms(-5);
  CHECK_FALSE(wg::IsSound(ask));
}

// Failure: an account that sends most of a burst is granted all capacity, and
// the others are refused.
TEST_CASE("An account above its share is granted what others leave")
{
  wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  const auto ask = [](std::uint64_t number, const std::string& account) {
    wg::wire::StageReserve asked = Ask(number, 1500);
    asked.set_pieces(54);
    asked.set_account(account);
    return asked;
  };
  wg::ChargeWork(pool.shares, { "large", 3000.0 }, Now);
  wg::ChargeWork(pool.shares, { "small", 100.0 }, Now);
  wg::wire::StageReserve later = ask(1, "small");
  later.set_finish_by_ms(5000);
  later.set_pieces(270);
  REQUIRE(wg::Reserve(pool, reservations, later, Now).granted());
  const auto large = wg::Reserve(pool, reservations, ask(2, "large"), Now);
  const auto small = wg::Reserve(pool, reservations, ask(3, "small"), Now);
  CHECK(large.clear_ms() > small.clear_ms() + 300);
}

// Failure: a pool that was slow while it was busy refuses work with all its
// places free.
TEST_CASE("A pool with free places is taken at its full rate")
{
  wg::StagePool pool = MakePool();
  wg::StageReservations reservations;
  wg::NoteBusy(reservations.busy, true, Now - absl::Seconds(2));
  wg::NoteBusy(reservations.busy, true, Now);
  wg::wire::StageReserve urgent = Ask(1, -1); // refused, but asked for
  REQUIRE_FALSE(wg::Reserve(pool, reservations, urgent, Now).granted());
  wg::wire::StageReserve first = Ask(2, 1500);
  first.set_rank(1);
  REQUIRE(wg::Reserve(pool, reservations, first, Now).granted());
  wg::wire::StageReserve second = Ask(3, 1500);
  second.set_rank(1);
  CHECK(wg::Reserve(pool, reservations, second, Now).granted());
}
