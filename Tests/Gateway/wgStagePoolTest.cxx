// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <limits>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "wgStagePool.h"

namespace {

wg::StagePool MakePool(int servers)
{
  wg::StagePool pool;
  pool.limits.slots = 1;
  pool.limits.batch = 4;
  pool.limits.callSeconds = 0.15;
  pool.limits.pieceSeconds = 0.01;
  pool.limits.roomBytes = 1000000;
  for (int i = 0; i < servers; ++i) {
    wg::StageServer server;
    server.id = "s" + std::to_string(i);
    server.hall = "h" + std::to_string(i);
    pool.servers.push_back(server);
  }
  return pool;
}

wg::StagePiece MakePiece(std::uint64_t ticket, wg::Elapsed due)
{
  wg::StagePiece piece;
  piece.ticket = ticket;
  piece.due = due;
  piece.finishBy = due;
  piece.deadline = due + absl::Seconds(10);
  return piece;
}

std::vector<std::uint64_t> Tickets(const wg::StageCall& call)
{
  std::vector<std::uint64_t> tickets;
  for (const wg::StagePiece& piece : call.pieces) {
    tickets.push_back(piece.ticket);
  }
  return tickets;
}

void Begin(wg::StagePool& pool, const wg::StageCall& call, wg::Elapsed now)
{
  for (wg::StageServer& server : pool.servers) {
    if (server.id == call.server) {
      server.calls[call.pieces.front().ticket] = { now, call.expectedSeconds };
    }
  }
}

const wg::Elapsed Now = absl::Seconds(100);

} // namespace

TEST_CASE("All that waits goes into one call, the earliest due first")
{
  wg::StagePool pool = MakePool(1);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(7 - i)));
  }
  const auto call = wg::NextStageCall(pool, Now);
  REQUIRE(call);
  CHECK(Tickets(*call) == std::vector<std::uint64_t>{ 6, 5, 4, 3 });
  CHECK(call->expectedSeconds == Approx(0.19));
  Begin(pool, *call, Now);
  CHECK_FALSE(wg::NextStageCall(pool, Now));
  CHECK(pool.waiting.size() == 2);
}

TEST_CASE("What is late goes last, whatever its rank")
{
  wg::StagePool pool = MakePool(1);
  pool.limits.batch = 1;
  pool.waiting.push_back(MakePiece(1, Now - absl::Seconds(1)));
  pool.waiting.push_back(MakePiece(2, Now + absl::Seconds(1)));
  pool.waiting.back().rank = 2;
  CHECK(Tickets(*wg::NextStageCall(pool, Now)) ==
        std::vector<std::uint64_t>{ 2 });
}

TEST_CASE("A better rank goes before what is due somewhat earlier")
{
  wg::StagePool pool = MakePool(1);
  pool.limits.batch = 1;
  pool.waiting.push_back(MakePiece(1, Now + absl::Milliseconds(900)));
  pool.waiting.back().rank = 1;
  pool.waiting.push_back(MakePiece(2, Now + absl::Milliseconds(1000)));
  CHECK(Tickets(*wg::NextStageCall(pool, Now)) ==
        std::vector<std::uint64_t>{ 2 });
}

TEST_CASE("No result is made where there is no room for it")
{
  wg::StagePool pool = MakePool(1);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
    pool.waiting.back().resultBytes = 400000;
  }
  const auto call = wg::NextStageCall(pool, Now);
  REQUIRE(call);
  CHECK(call->pieces.size() == 2);
  CHECK(pool.servers[0].roomUsed == 800000);
  CHECK_FALSE(wg::NextStageCall(pool, Now));
  pool.servers[0].roomUsed = 0;
  CHECK(wg::NextStageCall(pool, Now));
}

TEST_CASE("Late pieces get room only after those in time")
{
  wg::StagePool pool = MakePool(1); // room for three of these
  for (std::uint64_t i = 1; i <= 3; ++i) {
    pool.waiting.push_back(MakePiece(i, Now - absl::Milliseconds(1)));
    pool.waiting.back().resultBytes = 300000;
  }
  for (std::uint64_t i = 4; i <= 5; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
    pool.waiting.back().resultBytes = 300000;
  }
  CHECK(Tickets(*wg::NextStageCall(pool, Now)) ==
        std::vector<std::uint64_t>{ 4, 5, 1 });
}

TEST_CASE("What moves much waits for its own hall until it would be late")
{
  wg::StagePool pool = MakePool(2);
  pool.servers[1].calls[9] = { Now, 0.15 };
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(3)));
  pool.waiting.back().hall = "h1";
  pool.waiting.back().crossingBytes = 3000000;
  CHECK_FALSE(wg::NextStageCall(pool, Now));
  SECTION("its time runs out")
  {
    const wg::Elapsed later = Now + absl::Milliseconds(2700);
    pool.servers[1].calls[9].started = later;
    const auto call = wg::NextStageCall(pool, later);
    REQUIRE(call);
    CHECK(call->server == "s0");
  }
  SECTION("its hall has no endpoint that takes work")
  {
    pool.servers[1].avoidUntil = Now + absl::Seconds(1);
    CHECK(wg::NextStageCall(pool, Now)->server == "s0");
  }
  SECTION("once it is late it is not worth the move")
  {
    CHECK_FALSE(wg::NextStageCall(pool, Now + absl::Seconds(4)));
  }
}

TEST_CASE("A slow endpoint is left, and tried again after a while")
{
  // It was never tried again: one about to be free always looked better.
  wg::StagePool pool = MakePool(2);
  wg::NoteCallTime(pool.servers[0], 0.16, 3.2, Now);
  pool.servers[1].calls[9] = { Now, 0.16 };
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(60)));
  CHECK_FALSE(wg::NextStageCall(pool, Now));
  const wg::Elapsed later = Now + absl::Seconds(8);
  pool.servers[1].calls[9].started = later;
  CHECK(wg::NextStageCall(pool, later)->server == "s0");
}

TEST_CASE("A call that is overdue does not promise to end at once")
{
  wg::StagePool pool = MakePool(2);
  wg::NoteCallTime(pool.servers[0], 0.16, 0.8, Now);
  pool.servers[1].calls[9] = { Now - absl::Seconds(5), 0.16 };
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(60)));
  CHECK(wg::NextStageCall(pool, Now)->server == "s0");
}

TEST_CASE("A late piece is kept as long as its caller may still be served")
{
  wg::StagePool pool = MakePool(1);
  pool.waiting.push_back(MakePiece(1, Now - absl::Seconds(1)));
  pool.waiting.back().deadline = Now + absl::Seconds(3);
  // Seven full calls of 0.19 s go before it: it is made after 1.3 s.
  for (std::uint64_t i = 2; i < 30; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
  }
  CHECK(wg::TakeHopelessPieces(pool, Now).empty());
}

TEST_CASE("What is known to end unserved is given up at once")
{
  wg::StagePool pool = MakePool(1);
  SECTION("its own call would end after its caller has left")
  {
    pool.waiting.push_back(MakePiece(30, Now));
    pool.waiting.back().deadline = Now + absl::Milliseconds(100);
  }
  SECTION("what comes after it would")
  {
    pool.waiting.push_back(MakePiece(30, Now + absl::Milliseconds(900)));
    pool.waiting.back().finishBy = Now; // 0.9 s come after it
    pool.waiting.back().deadline = Now + absl::Seconds(1);
  }
  SECTION("what waits before it takes too long")
  {
    for (std::uint64_t i = 1; i < 30; ++i) {
      pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
    }
    pool.waiting.push_back(MakePiece(30, Now));
    pool.waiting.back().deadline = Now + absl::Seconds(1);
  }
  SECTION("pieces in time, which go before it, leave few places")
  {
    for (std::uint64_t i = 1; i < 10; ++i) {
      pool.waiting.push_back(MakePiece(i, Now));
    }
    pool.waiting.push_back(MakePiece(30, Now));
    pool.waiting.back().deadline = Now + absl::Seconds(1);
    CHECK(wg::TakeHopelessPieces(pool, Now).empty());
    pool.spareShare = 0.25; // eight calls of 0.19 s for the two before it
  }
  const auto hopeless = wg::TakeHopelessPieces(pool, Now);
  REQUIRE(hopeless.size() == 1);
  CHECK(hopeless.front().ticket == 30);
}

TEST_CASE("Places that are left free are counted, and taken by late pieces")
{
  wg::StagePool pool = MakePool(1);
  pool.waiting.push_back(MakePiece(1, Now - absl::Seconds(1)));
  pool.waiting.push_back(MakePiece(2, Now + absl::Seconds(1)));
  pool.waiting.push_back(MakePiece(3, Now + absl::Seconds(2)));
  const auto call = wg::NextStageCall(pool, Now);
  REQUIRE(call);
  CHECK(Tickets(*call) == std::vector<std::uint64_t>{ 2, 3, 1 });
  CHECK(pool.spareShare < 1.0); // two of four places
  CHECK(pool.spareShare > 0.9);
}

TEST_CASE("Of late pieces, better ranks and those near their end go first")
{
  wg::StagePool pool = MakePool(1);
  pool.limits.batch = 1;
  const wg::Elapsed due = Now - absl::Seconds(1);
  pool.waiting.push_back(MakePiece(1, due));
  pool.waiting.back().rank = 1;
  pool.waiting.push_back(MakePiece(2, due));
  pool.waiting.back().finishBy = due - absl::Milliseconds(400);
  pool.waiting.push_back(MakePiece(3, due + absl::Milliseconds(500)));
  std::vector<std::uint64_t> order;
  while (auto call = wg::NextStageCall(pool, Now)) {
    order.push_back(call->pieces.front().ticket);
  }
  CHECK(order == std::vector<std::uint64_t>{ 3, 2, 1 });
}

TEST_CASE("The expected wait counts what is in time")
{
  wg::StagePool pool = MakePool(2);
  CHECK(wg::ExpectedWaitSeconds(pool, Now) == Approx(0.0));
  for (wg::StageServer& server : pool.servers) {
    server.calls[1] = { Now, 0.1 };
  }
  CHECK(wg::ExpectedWaitSeconds(pool, Now) == Approx(0.1));
  for (std::uint64_t i = 1; i <= 8; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
  }
  // Two full calls of 0.19 s over two endpoints.
  CHECK(wg::ExpectedWaitSeconds(pool, Now) == Approx(0.29));
  // All of it late by then; the calls are overdue by 1.9 s.
  CHECK(wg::ExpectedWaitSeconds(pool, Now + absl::Seconds(2)) == Approx(1.9));
}

TEST_CASE("What can't be in time any more goes after what still can")
{
  wg::StagePool pool = MakePool(1);
  pool.limits.batch = 1;
  // A call takes 0.16 s: the first would end 10 ms after it has to.
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(1)));
  pool.waiting.back().finishBy = Now + absl::Milliseconds(150);
  pool.waiting.push_back(MakePiece(2, Now + absl::Seconds(1)));
  pool.waiting.back().finishBy = Now + absl::Milliseconds(800);
  CHECK(Tickets(*wg::NextStageCall(pool, Now)) ==
        std::vector<std::uint64_t>{ 2 });
  CHECK(wg::TakeHopelessPieces(pool, Now).empty()); // it is made all the same
}

TEST_CASE("What a piece would wait follows from those that go before it")
{
  // A call of four takes 0.19 s; eight pieces wait, all due before the new
  // one, and one endpoint is free.
  wg::StagePool pool = MakePool(1);
  for (std::uint64_t i = 1; i <= 8; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
  }
  wg::StagePiece piece = MakePiece(99, Now + absl::Seconds(2));
  CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(0.38));
  SECTION("the last piece of its work counts")
  {
    CHECK(wg::ExpectedWaitSeconds(pool, piece, 5, Now) == Approx(0.57));
  }
  SECTION("one that is due earlier waits for none of them")
  {
    piece.finishBy = Now + absl::Milliseconds(500);
    CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(0.0));
  }
  SECTION("a worse rank lets others go first")
  {
    piece.finishBy = Now + absl::Milliseconds(500);
    piece.rank = 1;
    CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(0.38));
  }
  SECTION("late ones give way")
  {
    for (wg::StagePiece& other : pool.waiting) {
      other.finishBy = Now;
    }
    CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(0.0));
  }
}

TEST_CASE("Pieces are taken in for endpoints that all rest for longer")
{
  wg::StagePool pool = MakePool(2);
  pool.servers[0].closedUntil = Now + absl::Seconds(3);
  pool.servers[1].closedUntil = Now + absl::Seconds(5);
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(1)));
  CHECK_FALSE(wg::NextStageCall(pool, Now));
  CHECK(wg::ExpectedWaitSeconds(pool, Now) >= 3.0);
  pool.waiting[0].deadline = Now + absl::Seconds(2.9);
  CHECK(wg::TakeHopelessPieces(pool, Now).size() == 1);
  pool.waiting.push_back(MakePiece(2, Now + absl::Seconds(1)));
  CHECK(wg::TakeHopelessPieces(pool, Now).empty());
  const auto call = wg::NextStageCall(pool, Now + absl::Seconds(3));
  REQUIRE(call);
  CHECK(call->server == "s0");
}

namespace {

constexpr int Accounts = 16;
constexpr int PiecesOfWork = 6;
constexpr double BurstDemand = 2.4; // of what the pool serves

/** A pool of five endpoints that serves 816 pieces a second. */
wg::StagePool MakeBurstPool()
{
  wg::StagePool pool;
  pool.limits.batch = 64;
  pool.limits.callSeconds = 0.2;
  pool.limits.pieceSeconds = 0.003;
  for (int i = 0; i < 5; ++i) {
    wg::StageServer server;
    server.id = "s" + std::to_string(i);
    pool.servers.push_back(server);
  }
  return pool;
}

/** Account 0 sends `largest` of the works, the others the same each. */
int DrawAccount(double largest, std::mt19937_64& random)
{
  std::uniform_real_distribution<double> share(0.0, 1.0);
  std::uniform_int_distribution<int> other(1, Accounts - 1);
  return share(random) < largest ? 0 : other(random);
}

struct ReplayLoad
{
  double largest = 0.5; // the share of the works that account 0 sends
  int chatsInTen = 0;   // chats of rank 1; the others are summaries of rank 2
  unsigned seed = 1;
};

struct ReplayWork
{
  int account = 0;
  int missing = PiecesOfWork;
  wg::Elapsed finishBy;
  bool inBurst = false;
  bool refused = false;
  bool late = false;
};

/** Plays 3 s of 0.7 of what the pool serves, a burst of 6 s, and 4 s of rest.
 * Works are refused as by the coordinator, at three quarters of their aim.
 */
class BurstReplay
{
public:
  BurstReplay(const ReplayLoad& load, bool tellsAccounts)
    : load_(load)
    , tellsAccounts_(tellsAccounts)
    , random_(load.seed)
  {
    for (int ms = 0; ms < 13000; ms += 5) {
      Tick(ms);
    }
  }

  /** The share of an account's works in the burst that were in time. */
  double Served(int account) const
  {
    return ServedOf(
      [account](const ReplayWork& w) { return w.account == account; });
  }
  double ServedOfAll() const
  {
    return ServedOf([](const ReplayWork&) { return true; });
  }
  double ServedOfSmallest() const
  {
    double least = 1.0;
    for (int account = 1; account < Accounts; ++account) {
      least = std::min(least, Served(account));
    }
    return least;
  }

private:
  using Calls = std::vector<std::pair<wg::Elapsed, wg::StageCall>>;

  template <class Counts>
  double ServedOf(Counts counts) const
  {
    int all = 0;
    int served = 0;
    for (const ReplayWork& work : works_) {
      if (work.inBurst && counts(work)) {
        ++all;
        served += work.missing == 0 && !work.refused && !work.late ? 1 : 0;
      }
    }
    return static_cast<double>(served) / std::max(all, 1);
  }

  void Tick(int ms)
  {
    const wg::Elapsed now = Now + absl::Milliseconds(ms);
    EndCalls(now);
    const bool inBurst = ms >= 3000 && ms < 9000;
    const double demand = inBurst ? BurstDemand : ms < 3000 ? 0.7 : 0.0;
    std::poisson_distribution<int> works(demand * 816 / PiecesOfWork * 0.005);
    for (int i = demand > 0.0 ? works(random_) : 0; i > 0; --i) {
      Submit(inBurst, now);
    }
    if (ms % 25 == 0) {
      wg::TakeHopelessPieces(pool_, now);
    }
    while (auto call = wg::NextStageCall(pool_, now)) {
      for (wg::StageServer& server : pool_.servers) {
        if (server.id == call->server) {
          server.calls[++calls_] = { now, call->expectedSeconds };
        }
      }
      running_.emplace_back(now, std::move(*call));
    }
  }

  void Submit(bool inBurst, wg::Elapsed now)
  {
    std::uniform_int_distribution<int> tenth(0, 9);
    const bool isChat = tenth(random_) < load_.chatsInTen;
    const absl::Duration aim = absl::Milliseconds(isChat ? 1500 : 3000);
    ReplayWork work;
    work.account = DrawAccount(load_.largest, random_);
    work.inBurst = inBurst;
    wg::StagePiece piece;
    piece.ticket = std::numeric_limits<std::uint64_t>::max();
    piece.rank = isChat ? 1 : 2;
    piece.due = now + aim;
    piece.finishBy = piece.due - absl::Milliseconds(400);
    piece.deadline = now + absl::Seconds(isChat ? 15 : 6);
    piece.account =
      tellsAccounts_ ? "account-" + std::to_string(work.account) : "";
    work.finishBy = piece.finishBy;
    work.refused =
      absl::Seconds(wg::ExpectedWaitSeconds(pool_, piece, PiecesOfWork, now)) >
      0.75 * aim;
    for (int i = 0; i < PiecesOfWork && !work.refused; ++i) {
      piece.ticket = works_.size() * PiecesOfWork + i;
      pool_.waiting.push_back(piece);
    }
    works_.push_back(work);
  }

  void EndCalls(wg::Elapsed now)
  {
    Calls left;
    for (auto& [started, call] : running_) {
      if (now < started + absl::Seconds(call.expectedSeconds)) {
        left.emplace_back(started, std::move(call));
        continue;
      }
      for (wg::StageServer& server : pool_.servers) {
        if (server.id == call.server) {
          server.calls.clear();
        }
      }
      for (const wg::StagePiece& piece : call.pieces) {
        ReplayWork& work = works_[piece.ticket / PiecesOfWork];
        --work.missing;
        work.late |= now > work.finishBy;
      }
      wg::SettleStageCall(pool_, call, call.expectedSeconds, started, now);
    }
    running_ = std::move(left);
  }

  ReplayLoad load_;
  bool tellsAccounts_;
  std::mt19937_64 random_;
  wg::StagePool pool_ = MakeBurstPool();
  std::vector<ReplayWork> works_;
  Calls running_;
  std::uint64_t calls_ = 0;
};

/** Pieces of three accounts and ranks, some of them late; five endpoints at
 * work, and one that is free.
 */
wg::StagePool DrawPool(std::mt19937_64& random, std::size_t pieces)
{
  wg::StagePool pool = MakeBurstPool();
  pool.limits.batch = 1; // each call tells the next piece of the order
  std::uniform_int_distribution<int> number(0, 2);
  std::uniform_int_distribution<int> ms(-500, 3000);
  for (std::size_t i = 0; i < pieces; ++i) {
    wg::StagePiece piece = MakePiece(i, Now + absl::Milliseconds(ms(random)));
    piece.finishBy -= absl::Milliseconds(100 * number(random));
    piece.account = "account-" + std::to_string(number(random));
    piece.rank = number(random);
    pool.waiting.push_back(piece);
  }
  return pool;
}

/** Judging orders what waits, and gives up nothing with such deadlines. */
std::vector<wg::StagePiece> InOrder(wg::StagePool pool)
{
  for (wg::StagePiece& piece : pool.waiting) {
    piece.deadline = Now + absl::Hours(1);
  }
  CHECK(wg::TakeHopelessPieces(pool, Now).empty());
  return pool.waiting;
}

std::vector<std::uint64_t> Tickets(const std::vector<wg::StagePiece>& pieces)
{
  std::vector<std::uint64_t> tickets;
  for (const wg::StagePiece& piece : pieces) {
    tickets.push_back(piece.ticket);
  }
  return tickets;
}

std::vector<std::uint64_t> TicketsWithoutAccounts(wg::StagePool pool)
{
  for (wg::StagePiece& piece : pool.waiting) {
    piece.account.clear();
  }
  return Tickets(InOrder(std::move(pool)));
}

} // namespace

TEST_CASE("A large account does not crowd out others in a burst")
{
  // Half of a burst of 2.4 times what the pool serves is from one of 16
  // accounts. Without shares, all accounts are served alike, and two of five
  // works of the small ones are in time.
  ReplayLoad load;
  load.seed = GENERATE(1U, 2U, 3U);
  const BurstReplay before(load, false);
  const BurstReplay after(load, true);
  CAPTURE(load.seed);
  CAPTURE(before.ServedOfAll(), before.ServedOfSmallest(), before.Served(0));
  CAPTURE(after.ServedOfAll(), after.ServedOfSmallest(), after.Served(0));
  CHECK(after.ServedOfSmallest() > 1.5 * before.ServedOfSmallest());
  CHECK(after.ServedOfAll() > 0.95 * before.ServedOfAll());
}

TEST_CASE("Its urgent work goes before less urgent work of others only")
{
  ReplayLoad load;
  load.chatsInTen = 3;
  load.seed = GENERATE(1U, 2U, 3U);
  const BurstReplay before(load, false);
  const BurstReplay after(load, true);
  CAPTURE(load.seed);
  CAPTURE(before.ServedOfAll(), before.ServedOfSmallest(), before.Served(0));
  CAPTURE(after.ServedOfAll(), after.ServedOfSmallest(), after.Served(0));
  CHECK(after.ServedOfSmallest() > 1.2 * before.ServedOfSmallest());
  CHECK(after.ServedOfAll() > 0.95 * before.ServedOfAll());
}

TEST_CASE("Accounts of equal demand lose nothing by being compared")
{
  ReplayLoad load;
  load.largest = 1.0 / Accounts;
  load.seed = GENERATE(1U, 2U, 3U);
  const BurstReplay before(load, false);
  const BurstReplay after(load, true);
  CAPTURE(load.seed);
  CAPTURE(before.ServedOfAll(), before.ServedOfSmallest());
  CAPTURE(after.ServedOfAll(), after.ServedOfSmallest());
  CHECK(after.ServedOfAll() > 0.95 * before.ServedOfAll());
}

TEST_CASE("Work of accounts above their shares goes behind others of its rank")
{
  std::mt19937_64 random(3);
  for (int round = 0; round < 50; ++round) {
    CAPTURE(round);
    wg::StagePool pool = DrawPool(random, 600);
    wg::ChargeWork(pool.shares, { "account-0", 5000.0 }, Now);
    wg::ChargeWork(pool.shares, { "account-1", 1000.0 }, Now);
    const std::vector<wg::StagePiece> order = InOrder(pool);
    const auto exceeds = [](const wg::StagePiece& piece) {
      return piece.account == "account-0";
    };
    // No piece of account 0 before one of others of its rank, or a better one.
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
      for (std::size_t j = i + 1; j < order.size() && exceeds(order[i]); ++j) {
        wrong += !exceeds(order[j]) && order[j].rank <= order[i].rank &&
                     wg::IsLate(order[i], pool.limits, Now) ==
                       wg::IsLate(order[j], pool.limits, Now)
                   ? 1
                   : 0;
      }
    }
    CHECK(wrong == 0);
    CHECK(std::is_partitioned(order.begin(), order.end(),
                              [&pool](const wg::StagePiece& piece) {
                                return !wg::IsLate(piece, pool.limits, Now);
                              }));
    // The pieces of others stand as they would without the account.
    std::vector<wg::StagePiece> others = order;
    others.erase(std::remove_if(others.begin(), others.end(), exceeds),
                 others.end());
    wg::StagePool rest = pool;
    rest.waiting = others;
    CHECK(Tickets(others) == TicketsWithoutAccounts(rest));
    // The order is one of the pieces, not of how they stood before.
    std::shuffle(pool.waiting.begin(), pool.waiting.end(), random);
    CHECK(Tickets(InOrder(pool)) == Tickets(order));
  }
}

TEST_CASE("An account above its share has its urgent work done first")
{
  // Its less urgent piece, due early, would go before its urgent one, which
  // stands behind the urgent work of others that is due late.
  wg::StagePool pool = MakePool(1);
  pool.limits.batch = 1;
  pool.waiting.push_back(MakePiece(1, Now + absl::Milliseconds(400)));
  pool.waiting.back().account = "large";
  pool.waiting.back().rank = 1;
  pool.waiting.push_back(MakePiece(2, Now + absl::Milliseconds(500)));
  pool.waiting.back().account = "large";
  pool.waiting.push_back(MakePiece(3, Now + absl::Seconds(3)));
  pool.waiting.back().account = "small";
  wg::ChargeWork(pool.shares, { "large", 1000.0 }, Now);
  CHECK(Tickets(InOrder(pool)) == std::vector<std::uint64_t>{ 3, 2, 1 });
}

TEST_CASE("The order has no accounts while the pool is not contended")
{
  std::mt19937_64 random(4);
  for (int round = 0; round < 50; ++round) {
    wg::StagePool pool = DrawPool(random, 20);
    pool.limits.batch = 64; // all go into one call
    wg::ChargeWork(pool.shares, { "account-0", 100.0 }, Now);
    CHECK(Tickets(InOrder(pool)) == TicketsWithoutAccounts(pool));
  }
}

TEST_CASE("The order has no accounts where all work is of one, or of none")
{
  std::mt19937_64 random(5);
  for (const std::string account : { "", "account-0" }) {
    wg::StagePool pool = DrawPool(random, 600);
    for (wg::StagePiece& piece : pool.waiting) {
      piece.account = account;
    }
    wg::ChargeWork(pool.shares, { account, 5000.0 }, Now);
    CHECK(Tickets(InOrder(pool)) == TicketsWithoutAccounts(pool));
    SECTION("others had their work done before")
    {
      wg::ChargeWork(pool.shares, { "account-1", 1000.0 }, Now);
      CHECK(Tickets(InOrder(pool)) == TicketsWithoutAccounts(pool));
    }
  }
}

TEST_CASE("A call is charged to accounts by their pieces, and settled")
{
  wg::StagePool pool = MakePool(1); // a call of four takes 0.19 s
  for (std::uint64_t i = 1; i <= 4; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(1)));
    pool.waiting.back().account = i == 1 ? "a" : "b";
  }
  const auto call = wg::NextStageCall(pool, Now);
  REQUIRE(call);
  CHECK(wg::UsedMs(pool.shares, "a", Now) == Approx(47.5));
  CHECK(wg::UsedMs(pool.shares, "b", Now) == Approx(142.5));
  const wg::Elapsed end = Now + absl::Milliseconds(400);
  SECTION("it took longer")
  {
    CHECK(wg::SettleStageCall(pool, *call, 0.4, Now, end));
    CHECK(wg::UsedMs(pool.shares, "a", end) == Approx(100.0));
    CHECK(wg::UsedMs(pool.shares, "b", end) == Approx(300.0));
  }
  SECTION("it was not run")
  {
    CHECK(wg::SettleStageCall(pool, *call, 0.0, Now, end));
    CHECK(wg::UsedMs(pool.shares, "a", end) == 0.0);
    CHECK(wg::UsedMs(pool.shares, "b", end) == 0.0);
  }
  SECTION("its time is not valid")
  {
    CHECK_FALSE(wg::SettleStageCall(pool, *call, -1.0, Now, end));
    CHECK(wg::UsedMs(pool.shares, "a", end) == Approx(47.5));
  }
}

TEST_CASE("New work of an account above its share waits for all others")
{
  // Calls of one piece of 0.16 s at one endpoint; eight pieces of another
  // account wait, all due after the new one.
  wg::StagePool pool = MakePool(1);
  pool.limits.batch = 1;
  for (std::uint64_t i = 1; i <= 8; ++i) {
    pool.waiting.push_back(MakePiece(i, Now + absl::Seconds(3)));
    pool.waiting.back().account = "small";
  }
  wg::StagePiece piece = MakePiece(99, Now + absl::Seconds(2));
  piece.account = "large";
  CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(0.0));
  wg::ChargeWork(pool.shares, { "large", 1000.0 }, Now);
  CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(1.28));
  piece.account = "small";
  CHECK(wg::ExpectedWaitSeconds(pool, piece, 1, Now) == Approx(0.0));
}

TEST_CASE("A coordinator without history treats all accounts alike")
{
  std::mt19937_64 random(6);
  const wg::StagePool pool = DrawPool(random, 600);
  CHECK(wg::EvaluateAccounts(pool, Now).exceeded.empty());
  CHECK(Tickets(InOrder(pool)) == TicketsWithoutAccounts(pool));
}

namespace {

wg::KnownLoad Reported(const wg::StageServer& server, double running,
                       std::optional<double> pace, wg::Elapsed when)
{
  wg::EndpointLoadReport report;
  report.load = wg::EndpointLoad();
  report.load->running = running;
  report.load->slots = 1.0;
  report.load->pace = pace;
  wg::KnownLoad known;
  wg::ApplyLoadReport(known, report, server.id, when);
  return known;
}

/** A call of four pieces, 0.19 s at the usual pace. */
wg::StageCall FullCall(double pace, bool followsReport)
{
  wg::StageCall call;
  call.pieces.resize(4);
  call.pace = pace;
  call.followsReport = followsReport;
  return call;
}

} // namespace

// Guards against calls to an endpoint that has just reported that its machine
// is busy, while another one is free.
TEST_CASE("A call goes where the reported pace is as usual")
{
  wg::StagePool pool = MakePool(2);
  pool.servers[1].hall = pool.servers[0].hall;
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(60)));
  const auto report = [&pool](double pace) {
    TakeReport(pool.servers[0], Reported(pool.servers[0], 0, pace, Now), Now);
  };
  SECTION("it takes 2.5 times as long at the first")
  {
    report(2.5);
    const auto call = wg::NextStageCall(pool, Now + absl::Milliseconds(200));
    CHECK(call->server == "s1");
    CHECK(call->expectedSeconds == Approx(0.16));
  }
  SECTION("the report is old")
  {
    report(2.5);
    CHECK(wg::NextStageCall(pool, Now + absl::Milliseconds(201))->server ==
          "s0");
  }
  SECTION("what calls differ by anyway")
  {
    report(1.2);
    CHECK(wg::NextStageCall(pool, Now)->server == "s0");
  }
  SECTION("the timer of the call allows for the pace")
  {
    report(2.5);
    pool.servers[1].avoidUntil = Now + absl::Seconds(1);
    const auto call = wg::NextStageCall(pool, Now);
    CHECK(call->server == "s0");
    CHECK(call->expectedSeconds == Approx(0.4));
    CHECK(call->pace == 2.5);
  }
}

// Guards against a call that waits at an endpoint behind the work of another
// box that believes it is the coordinator.
TEST_CASE("An endpoint that works for others is busy for their time")
{
  wg::StagePool pool = MakePool(2);
  pool.servers[1].hall = pool.servers[0].hall;
  wg::StageServer& first = pool.servers[0];
  const auto report = [&first](double running, wg::Elapsed when) {
    TakeReport(first, Reported(first, running, std::nullopt, when), when);
  };
  pool.waiting.push_back(MakePiece(1, Now + absl::Seconds(60)));
  SECTION("two run, one of them has just been answered")
  {
    report(2.0, Now);
    CHECK(wg::OthersBusySeconds(first, pool.limits, Now) == Approx(0.095));
    CHECK(wg::NextStageCall(pool, Now)->server == "s1");
  }
  SECTION("until they are done")
  {
    report(2.0, Now);
    const wg::Elapsed later = Now + absl::Milliseconds(96);
    CHECK(wg::NextStageCall(pool, later)->server == "s0");
  }
  SECTION("nor for ever if it goes on to say so: no call would show it")
  {
    report(1000.0, Now);
    CHECK(wg::OthersBusySeconds(first, pool.limits, Now) == Approx(1.0));
    const wg::Elapsed later = Now + absl::Milliseconds(1001);
    CHECK(wg::NextStageCall(pool, later)->server == "s0");
  }
  SECTION("the request that was answered is not another's")
  {
    report(1.0, Now);
    CHECK(wg::NextStageCall(pool, Now)->server == "s0");
  }
  SECTION("nor is a call of this pool")
  {
    pool.limits.slots = 2;
    first.calls[7] = { Now - absl::Milliseconds(50), 0.19 };
    report(2.0, Now);
    CHECK(wg::OthersBusySeconds(first, pool.limits, Now) == 0.0);
  }
  SECTION("an earlier start's report is not taken")
  {
    wg::KnownLoad known = Reported(first, 9.0, 5.0, Now);
    known.load->start = "s0 of before";
    TakeReport(first, known, Now);
    CHECK(wg::NextStageCall(pool, Now)->server == "s0");
  }
}

// Guards against an endpoint that gains or loses calls by a false report.
TEST_CASE("A report that calls contradict loses its weight")
{
  wg::StagePool pool = MakePool(1);
  wg::StageServer& server = pool.servers[0];
  const auto report = [&server](double pace, wg::Elapsed when) {
    TakeReport(server, Reported(server, 0, pace, when), when);
  };
  SECTION("it says that it is fast, and takes five times as long")
  {
    for (int i = 0; i < 3; ++i) {
      const wg::Elapsed then = Now + absl::Seconds(i);
      report(0.5, then);
      REQUIRE(wg::ReportedPace(server, then) == 0.5);
      const bool ends =
        wg::NoteCallTime(server, pool.limits, FullCall(0.5, true), 0.95, then);
      CHECK(ends == (i == 2));
    }
    const wg::Elapsed later = Now + absl::Seconds(3);
    report(0.5, later);
    CHECK(wg::ReportedPace(server, later) == 1.0);
    // Its measured slowness remains.
    CHECK(wg::SlownessNow(server, later) > 2.0);
  }
  SECTION("it is frozen at idle while others use it")
  {
    for (int i = 0; i < 3; ++i) {
      const wg::Elapsed then = Now + absl::Milliseconds(500 * i);
      report(1.0, then);
      wg::NoteCallTime(server, pool.limits, FullCall(1.0, true), 0.475, then);
    }
    // What the times show counts as if there were no report.
    const wg::Elapsed then = Now + absl::Milliseconds(1000);
    wg::StageServer silent;
    for (int i = 0; i < 3; ++i) {
      wg::NoteCallTime(silent, 0.19, 0.475, Now + absl::Milliseconds(500 * i));
    }
    CHECK(wg::SlownessNow(server, then) ==
          Approx(wg::SlownessNow(silent, then)));
    report(1.0, then + absl::Milliseconds(10));
    CHECK_FALSE(wg::IsTrusted(server.reports.trust, then));
  }
  SECTION("it says that it is slow, and is not: it does not seem fast then")
  {
    for (int i = 0; i < 3; ++i) {
      wg::NoteCallTime(server, pool.limits, FullCall(5.0, true), 0.19, Now);
    }
    CHECK_FALSE(wg::IsTrusted(server.reports.trust, Now));
    CHECK(wg::SlownessNow(server, Now) == Approx(1.0));
  }
}

// Guards against one cause of slowness being counted twice.
TEST_CASE("What the reported pace explains is not the endpoint's slowness")
{
  wg::StagePool pool = MakePool(1);
  wg::StageServer& server = pool.servers[0];
  for (int i = 0; i < 5; ++i) {
    wg::NoteCallTime(server, pool.limits, FullCall(2.5, true), 0.475, Now);
  }
  CHECK(wg::SlownessNow(server, Now) == Approx(1.0));
  CHECK(wg::IsTrusted(server.reports.trust, Now));
}
