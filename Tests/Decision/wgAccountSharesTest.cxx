// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgAccountShares.h"

namespace {

using wg::Elapsed;

constexpr Elapsed Now = absl::Seconds(1000);
constexpr absl::Duration LongWait = absl::Seconds(1);
const absl::Duration Step = wg::AccountWindow / wg::AccountSteps;

bool Exceeds(const wg::AccountShares& shares,
             const wg::AccountDemands& demands, const std::string& account)
{
  return IsOverShare(EvaluateAccounts(shares, demands, LongWait, Now),
                     account);
}

} // namespace

TEST_CASE("Accounts are compared only while the pool is contended")
{
  wg::AccountShares shares;
  ChargeWork(shares, { "large", 900.0 }, Now);
  ChargeWork(shares, { "small", 100.0 }, Now);
  const wg::AccountDemands demands = { { "large", { 500.0 } },
                                       { "small", { 500.0 } } };
  CHECK(EvaluateAccounts(shares, demands, wg::ContendedWait, Now)
          .exceeded.empty());
  const auto standings = EvaluateAccounts(
    shares, demands, wg::ContendedWait + absl::Milliseconds(1), Now);
  CHECK(IsOverShare(standings, "large"));
  CHECK_FALSE(IsOverShare(standings, "small"));
  CHECK_FALSE(IsOverShare(standings, "unknown"));
}

TEST_CASE("A single account, or none, never exceeds a share")
{
  wg::AccountShares shares;
  CHECK(EvaluateAccounts(shares, {}, LongWait, Now).exceeded.empty());
  ChargeWork(shares, { "", 900.0 }, Now);
  CHECK(EvaluateAccounts(shares, {}, LongWait, Now).exceeded.empty());
  CHECK(EvaluateAccounts(shares, { { "", { 5000.0 } } }, LongWait, Now)
          .exceeded.empty());
}

TEST_CASE("Work without an account counts towards one unnamed account")
{
  wg::AccountShares shares;
  for (int i = 0; i < 10; ++i) {
    ChargeWork(shares, { "", 100.0 }, Now);
  }
  ChargeWork(shares, { "a", 100.0 }, Now);
  CHECK(wg::UsedMs(shares, "", Now) == Approx(1000.0));
  const wg::AccountDemands demands = { { "", { 100.0 } }, { "a", { 900.0 } } };
  CHECK(Exceeds(shares, demands, ""));
  CHECK_FALSE(Exceeds(shares, demands, "a"));
}

TEST_CASE("Share that an account leaves unused goes to the other accounts")
{
  // Of 1,000 ms the first account gets its demand of 100 ms, and each of the
  // others 450 ms.
  wg::AccountShares shares;
  ChargeWork(shares, { "little", 80.0 }, Now);
  ChargeWork(shares, { "middle", 350.0 }, Now);
  ChargeWork(shares, { "much", 570.0 }, Now);
  const wg::AccountDemands demands = { { "little", { 20.0 } },
                                       { "middle", { 400.0 } },
                                       { "much", { 400.0 } } };
  const auto standings = EvaluateAccounts(shares, demands, LongWait, Now);
  REQUIRE(standings.exceeded.size() == 1);
  CHECK(standings.exceeded.at("much").used == Approx(570.0));
  CHECK(standings.exceeded.at("much").share == Approx(450.0));
}

TEST_CASE("Shares are proportional to weights")
{
  // 900 ms divide into 600 and 300 ms by weights of 2 and 1.
  wg::AccountShares shares;
  ChargeWork(shares, { "double", 550.0, 2.0 }, Now);
  ChargeWork(shares, { "single", 350.0, 1.0 }, Now);
  const wg::AccountDemands demands = { { "double", { 2000.0, 2.0 } },
                                       { "single", { 2000.0, 1.0 } } };
  CHECK_FALSE(Exceeds(shares, demands, "double"));
  CHECK(Exceeds(shares, demands, "single"));
}

TEST_CASE("Accounts that differ by a few pieces are not held back")
{
  // A call carries dozens of pieces, so that 1 % above the share is chance.
  wg::AccountShares shares;
  ChargeWork(shares, { "a", 1020.0 }, Now);
  ChargeWork(shares, { "b", 1000.0 }, Now);
  const wg::AccountDemands demands = { { "a", { 2000.0 } },
                                       { "b", { 2000.0 } } };
  CHECK(EvaluateAccounts(shares, demands, LongWait, Now).exceeded.empty());
}

TEST_CASE("Work leaves the window step by step")
{
  wg::AccountShares shares;
  ChargeWork(shares, { "a", 100.0 }, Now);
  ChargeWork(shares, { "a", 200.0 }, Now + Step);
  CHECK(UsedMs(shares, "a", Now + Step) == Approx(300.0));
  CHECK(UsedMs(shares, "a", Now + wg::AccountWindow - Step) == Approx(300.0));
  CHECK(UsedMs(shares, "a", Now + wg::AccountWindow) == Approx(200.0));
  CHECK(UsedMs(shares, "a", Now + wg::AccountWindow + Step) == 0.0);
  CHECK(UsedMs(shares, "a", Now + absl::Hours(1)) == 0.0);
  SECTION("also after a pause, in steps that are reused")
  {
    const Elapsed later = Now + 3 * wg::AccountWindow;
    ChargeWork(shares, { "a", 50.0 }, later);
    CHECK(UsedMs(shares, "a", later) == Approx(50.0));
  }
  SECTION("accounts without work in the window are removed")
  {
    ChargeWork(shares, { "b", 50.0 }, Now + 2 * wg::AccountWindow);
    CHECK(shares.accounts.size() == 1);
    CHECK(shares.accounts.contains("b"));
  }
}

TEST_CASE("The charge for a call is replaced by the time that it took")
{
  wg::AccountShares shares;
  const wg::AccountWork call{ "a", 300.0 };
  ChargeWork(shares, call, Now);
  ChargeWork(shares, { "a", 100.0 }, Now);
  SECTION("the call took longer")
  {
    CHECK(SettleWork(shares, call, 700.0, Now, Now + Step));
    CHECK(UsedMs(shares, "a", Now + Step) == Approx(800.0));
    // All of its work leaves the window with the step in which it began.
    CHECK(UsedMs(shares, "a", Now + wg::AccountWindow) == 0.0);
  }
  SECTION("the call was not run")
  {
    CHECK(SettleWork(shares, call, 0.0, Now, Now + Step));
    CHECK(UsedMs(shares, "a", Now + Step) == Approx(100.0));
  }
  SECTION("the call ended after its step had left the window")
  {
    const Elapsed later = Now + wg::AccountWindow + Step;
    ChargeWork(shares, { "a", 70.0 }, later);
    CHECK(SettleWork(shares, call, 0.0, Now, later));
    CHECK(UsedMs(shares, "a", later) == Approx(70.0));
  }
  SECTION("the account was removed meanwhile")
  {
    CHECK(SettleWork(shares, { "gone", 300.0 }, 0.0, Now, Now + Step));
    CHECK(UsedMs(shares, "gone", Now + Step) == 0.0);
  }
}

TEST_CASE("Invalid work changes nothing")
{
  wg::AccountShares shares;
  const wg::AccountWork call{ "a", 100.0 };
  REQUIRE(ChargeWork(shares, call, Now));
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinite = std::numeric_limits<double>::infinity();
  for (const double bad : { nan, infinite, -infinite, -1.0, 1e9, 1e300 }) {
    CAPTURE(bad);
    CHECK_FALSE(ChargeWork(shares, { "a", bad }, Now));
    CHECK_FALSE(ChargeWork(shares, { "new", bad }, Now));
    CHECK_FALSE(ChargeWork(shares, { "a", 1.0, bad - 2.0 }, Now));
    CHECK_FALSE(SettleWork(shares, call, bad, Now, Now));
    CHECK_FALSE(SettleWork(shares, { "a", bad }, 1.0, Now, Now));
    // Invalid demand counts as none and does not affect other accounts.
    const wg::AccountDemands demands = { { "a", { bad } }, { "b", { 50.0 } } };
    CHECK_FALSE(Exceeds(shares, demands, "b"));
  }
  // Work that starts after `now` is invalid.
  CHECK_FALSE(SettleWork(shares, call, 1.0, Now + Step, Now));
  CHECK_FALSE(ChargeWork(shares, { "a", 1.0 }, -Step));
  CHECK(UsedMs(shares, "a", Now) == Approx(100.0));
  CHECK(shares.accounts.size() == 1);
}

TEST_CASE("Work charged with an earlier time counts in the newest step")
{
  wg::AccountShares shares;
  ChargeWork(shares, { "a", 100.0 }, Now);
  ChargeWork(shares, { "a", 10.0 }, Now - absl::Seconds(1));
  CHECK(UsedMs(shares, "a", Now + wg::AccountWindow - Step) == Approx(110.0));
}

TEST_CASE("Shares of random accounts equal those of weighted max-min fairness")
{
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> ms(0.0, 1000.0);
  std::uniform_real_distribution<double> weight(0.5, 4.0);
  std::uniform_int_distribution<int> coin(0, 1);
  for (int round = 0; round < 300; ++round) {
    struct Account
    {
      std::string name;
      double used, waiting, weight;
    };
    std::vector<Account> accounts(2 + random() % 30);
    wg::AccountShares shares;
    wg::AccountDemands demands;
    double used = 0.0;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
      Account& a = accounts[i];
      a = { absl::StrCat("account-", i), coin(random) * ms(random),
            coin(random) * ms(random), weight(random) };
      used += a.used;
      if (a.used > 0.0) {
        ChargeWork(shares, { a.name, a.used, a.weight }, Now);
      }
    }
    for (const Account& a : accounts) {
      if (a.waiting > 0.0) {
        demands[a.name] = { a.waiting, a.weight };
      }
    }
    // Finds by bisection the lowest level at which all used work is allotted.
    double low = 0.0;
    double high = 1e6;
    for (int i = 0; i < 100; ++i) {
      const double level = (low + high) / 2;
      double allotted = 0.0;
      for (const Account& a : accounts) {
        allotted += std::min(a.used + a.waiting, level * a.weight);
      }
      (allotted < used - 1e-6 ? low : high) = level;
    }
    const auto standings = EvaluateAccounts(shares, demands, LongWait, Now);
    for (const Account& a : accounts) {
      CAPTURE(round, a.name, a.used, a.waiting, a.weight, high);
      const bool exceeds = IsOverShare(standings, a.name);
      if (a.used > 1.06 * high * a.weight) {
        CHECK(exceeds);
      }
      if (a.used < 1.04 * high * a.weight) {
        CHECK_FALSE(exceeds);
      }
    }
    CHECK(standings.exceeded.size() < accounts.size());
  }
}

TEST_CASE("The accounts furthest above their shares are returned first")
{
  wg::AccountStandings standings;
  for (int i = 0; i < 9; ++i) {
    standings.exceeded[absl::StrCat("account-", i)] = { 200.0 + i * 10.0,
                                                        150.0 };
  }
  CHECK(FurthestOverShare(standings, 2) ==
        std::vector<std::string>{ "account-8", "account-7" });
  CHECK(FurthestOverShare(standings, 20).size() == 9);
  CHECK(wg::FurthestOverShare({}, 5).empty());
}
