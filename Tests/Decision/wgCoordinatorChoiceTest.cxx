// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgCoordinatorChoice.h"

namespace {

constexpr std::uint32_t Small = 90;
constexpr std::uint32_t Large = 300;

/** FNV-1a with a final mix: a fixed hash, so that failures repeat. */
std::uint64_t Hash(const std::string& text)
{
  std::uint64_t hash = 14695981039346656037U;
  for (const unsigned char c : text) {
    hash = (hash ^ c) * 1099511628211U;
  }
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53U;
  return hash ^ (hash >> 33);
}

struct Box
{
  std::string name;
  std::string hall;
  std::uint32_t cpuMilli = 0;
  bool isReachable = true;
};

struct Pool
{
  std::string service;
  std::string hall;
};

std::vector<wg::CoordinatorCandidate> Candidates(const std::vector<Box>& boxes,
                                                 const Pool& pool)
{
  std::vector<wg::CoordinatorCandidate> candidates;
  candidates.reserve(boxes.size());
  for (const Box& box : boxes) {
    candidates.push_back(
      { Hash(absl::StrCat(pool.service, "@", pool.hall, "/", box.name)),
        box.cpuMilli, pool.hall.empty() || box.hall == pool.hall,
        box.isReachable });
  }
  return candidates;
}

const Box& Choose(const std::vector<Box>& boxes, const Pool& pool)
{
  return boxes[wg::ChooseByCpuShare(Candidates(boxes, pool))];
}

/** The choice of versions without shares: the largest hash in the hall. */
std::size_t ChooseByHash(
  const std::vector<wg::CoordinatorCandidate>& candidates)
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const auto order = [&candidates](std::size_t at) {
      return std::make_pair(candidates[at].isNear, candidates[at].hash);
    };
    if (candidates[i].isReachable && order(i) > order(best)) {
      best = i;
    }
  }
  return best;
}

/** 50 boxes with 0.09 and 16 with 0.3 of a core in three halls. */
std::vector<Box> UnevenFleet()
{
  std::vector<Box> boxes;
  for (int i = 0; i < 66; ++i) {
    boxes.push_back({ absl::StrCat("edge-", i), absl::StrCat("h", i % 3),
                      i < 50 ? Small : Large });
  }
  return boxes;
}

std::vector<Pool> TwelvePools()
{
  std::vector<Pool> pools;
  for (const char* service : { "enc", "fuse", "rank", "sum" }) {
    for (const char* hall : { "h0", "h1", "h2" }) {
      pools.push_back({ service, hall });
    }
  }
  return pools;
}

Box& Find(std::vector<Box>& boxes, const std::string& name)
{
  return *std::find_if(boxes.begin(), boxes.end(),
                       [&name](const Box& box) { return box.name == name; });
}

} // namespace

TEST_CASE("Pools are coordinated by large boxes and spread over them")
{
  const std::vector<Box> boxes = UnevenFleet();
  std::map<std::string, int> pools;
  for (const Pool& pool : TwelvePools()) {
    const Box& chosen = Choose(boxes, pool);
    CHECK(chosen.cpuMilli == Large);
    CHECK(chosen.hall == pool.hall);
    ++pools[chosen.name];
  }
  CHECK(pools.size() >= 7);
  for (const auto& [box, count] : pools) {
    CHECK(count <= 3);
  }
}

TEST_CASE("A box that leaves or is unreachable moves only its own pools")
{
  const std::vector<Box> boxes = UnevenFleet();
  for (std::size_t gone = 0; gone < boxes.size(); ++gone) {
    std::vector<Box> without = boxes;
    without.erase(without.begin() + static_cast<std::ptrdiff_t>(gone));
    std::vector<Box> unreachable = boxes;
    unreachable[gone].isReachable = false;
    for (const Pool& pool : TwelvePools()) {
      const Box& before = Choose(boxes, pool);
      const Box& after = Choose(without, pool);
      CHECK(Choose(unreachable, pool).name == after.name);
      if (before.name == boxes[gone].name) {
        CHECK(after.name != before.name);
        CHECK(after.cpuMilli == Large);
      } else {
        CHECK(after.name == before.name);
      }
    }
  }
}

TEST_CASE("An unreachable box with the largest share moves no other pool")
{
  // If the limit of half of the largest share fell while a box is unreachable,
  // boxes that were too small would take over pools and lose them again.
  const std::vector<Box> boxes = {
    { "a", "h", 1000 }, { "b", "h", 600 }, { "c", "h", 400 }, { "d", "h", 400 }
  };
  std::vector<Box> unreachable = boxes;
  unreachable[0].isReachable = false;
  for (int i = 0; i < 200; ++i) {
    const Pool pool{ absl::StrCat("svc", i), "h" };
    const std::string before = Choose(boxes, pool).name;
    CHECK((before == "a" || before == "b"));
    CHECK(Choose(unreachable, pool).name == "b");
  }
}

TEST_CASE("The largest hash wins if shares are equal or not reported")
{
  for (const std::uint32_t share : { 0U, Small, Large, wg::MaxCpuMilli }) {
    std::vector<Box> boxes = UnevenFleet();
    for (Box& box : boxes) {
      box.cpuMilli = share;
    }
    boxes[7].isReachable = false;
    for (int i = 0; i < 1000; ++i) {
      const Pool pool{ absl::StrCat("svc", i),
                       i % 4 == 3 ? "" : absl::StrCat("h", i % 4) };
      const auto candidates = Candidates(boxes, pool);
      CHECK(wg::ChooseByCpuShare(candidates) == ChooseByHash(candidates));
    }
  }
}

TEST_CASE("Between equal shares the largest hash wins, however close")
{
  const std::uint64_t most = ~std::uint64_t{ 0 };
  CHECK(wg::ChooseByCpuShare(std::vector<wg::CoordinatorCandidate>{
          { most - 1, 5 }, { most, 5 }, { most - 2, 5 } }) == 1);
  CHECK(wg::ChooseByCpuShare(std::vector<wg::CoordinatorCandidate>{
          { 0, 5 }, { 1, 5 }, { 0, 5 } }) == 1);
}

TEST_CASE(
  "Small boxes coordinate only if no large one in the hall is reachable")
{
  for (const Pool& pool : TwelvePools()) {
    std::vector<Box> boxes = UnevenFleet();
    std::set<std::string> seen;
    while (Choose(boxes, pool).cpuMilli == Large) {
      const Box& chosen = Choose(boxes, pool);
      REQUIRE(chosen.hall == pool.hall);
      REQUIRE(seen.insert(chosen.name).second);
      Find(boxes, chosen.name).isReachable = false;
    }
    CHECK(seen.size() >= 5);
    // A small box of the hall goes before a large one elsewhere.
    CHECK(Choose(boxes, pool).hall == pool.hall);
    CHECK(Choose(boxes, pool).isReachable);
  }
}

TEST_CASE("Pools are divided by share among boxes with enough of a core")
{
  const std::vector<Box> boxes = { { "a", "h", 300 },
                                   { "b", "h", 200 },
                                   { "c", "h", 149 } };
  std::map<std::string, int> pools;
  for (int i = 0; i < 2000; ++i) {
    ++pools[Choose(boxes, { absl::StrCat("svc", i), "h" }).name];
  }
  CHECK(pools["a"] > 1100); // 1200 expected
  CHECK(pools["a"] < 1300);
  CHECK(pools["c"] == 0);
}

TEST_CASE("A box without a valid share counts as the smallest reported")
{
  for (const std::uint32_t invalid : { 0U, wg::MaxCpuMilli + 1, ~0U }) {
    std::vector<Box> boxes = UnevenFleet();
    std::vector<Box> valid = boxes;
    for (std::size_t i = 0; i < boxes.size(); i += 5) {
      boxes[i].cpuMilli = invalid;
      valid[i].cpuMilli = Small;
    }
    for (const Pool& pool : TwelvePools()) {
      CHECK(Choose(boxes, pool).name == Choose(valid, pool).name);
    }
    // If only one box reports its share, it changes nothing.
    for (Box& box : boxes) {
      box.cpuMilli = invalid;
    }
    boxes[60].cpuMilli = Large;
    for (const Pool& pool : TwelvePools()) {
      const auto candidates = Candidates(boxes, pool);
      CHECK(wg::ChooseByCpuShare(candidates) == ChooseByHash(candidates));
    }
  }
}

TEST_CASE("CPU shares are parsed strictly")
{
  CHECK(wg::ParseCpuShare("0.09") == 90);
  CHECK(wg::ParseCpuShare(" 0.3 ") == 300);
  CHECK(wg::ParseCpuShare("2") == 2000);
  CHECK(wg::ParseCpuShare("1000") == wg::MaxCpuMilli);
  for (const char* text :
       { "", "0", "0.0004", "-1", "nan", "inf", "-inf", "1e300", "1000.1",
         "0.3 cores", "9%", "0,3", "{{limits.cpuQuota}}" }) {
    CHECK(wg::ParseCpuShare(text) == 0);
  }
}

TEST_CASE("Shares that become known in turn change the choice of a pool once")
{
  // The first control box of a newer version starts: 66 known boxes report
  // their shares to it within a second. If each took effect at once, the first
  // large box would get all pools of its hall.
  std::vector<Box> boxes = UnevenFleet();
  wg::BoxShares shares;
  wg::Elapsed now = absl::Seconds(100);
  for (const Box& box : boxes) {
    REQUIRE(wg::NoteShare(shares, box.name, 0, now) == 0);
  }
  std::map<std::string, std::vector<std::string>> chosen; // by pool, in turn
  std::vector<Box> seen = boxes;
  for (Box& box : seen) {
    box.cpuMilli = 0;
  }
  for (int step = 0; step < 40; ++step) {
    now += absl::Milliseconds(100);
    wg::ApplyPendingShares(shares, now);
    for (std::size_t i = 0; i < boxes.size(); ++i) {
      const bool isReported =
        static_cast<int>(i * 7 % boxes.size()) < step * 7;
      seen[i].cpuMilli = wg::NoteShare(
        shares, boxes[i].name, isReported ? boxes[i].cpuMilli : 0, now);
    }
    for (const Pool& pool : TwelvePools()) {
      auto& turns = chosen[absl::StrCat(pool.service, "@", pool.hall)];
      const std::string name = Choose(seen, pool).name;
      if (turns.empty() || turns.back() != name) {
        turns.push_back(name);
      }
    }
  }
  CHECK_FALSE(wg::HasPendingShares(shares));
  for (const Pool& pool : TwelvePools()) {
    const auto& turns = chosen[absl::StrCat(pool.service, "@", pool.hall)];
    CHECK(turns.size() <= 2);
    CHECK(turns.back() == Choose(boxes, pool).name);
  }
}

TEST_CASE("A reported share stays if a list gives none")
{
  wg::BoxShares shares;
  const wg::Elapsed now = absl::Seconds(100);
  // The share of a newly listed box takes effect at once.
  CHECK(wg::NoteShare(shares, "a", Large, now) == Large);
  CHECK(wg::NoteShare(shares, "a", 0, now) == Large);
  CHECK(wg::NoteShare(shares, "a", ~0U, now) == Large);
  CHECK_FALSE(wg::HasPendingShares(shares));
  // A changed share takes effect after ShareSettleTime.
  CHECK(wg::NoteShare(shares, "a", Small, now) == Large);
  wg::ApplyPendingShares(shares, now + absl::Seconds(1));
  CHECK(wg::NoteShare(shares, "a", Small, now) == Large);
  wg::ApplyPendingShares(shares, now + wg::ShareSettleTime);
  CHECK(wg::NoteShare(shares, "a", Small, now) == Small);
}

TEST_CASE("A box whose share keeps changing does not hold up others")
{
  wg::BoxShares shares;
  const wg::Elapsed began = absl::Seconds(100);
  wg::NoteShare(shares, "a", 0, began);
  wg::NoteShare(shares, "b", 0, began);
  wg::NoteShare(shares, "a", Large, began);
  for (int s = 1; s <= 10; ++s) {
    const wg::Elapsed now = began + absl::Seconds(s);
    wg::NoteShare(shares, "b", s % 2 == 0 ? Small : Large, now);
    wg::ApplyPendingShares(shares, now);
  }
  CHECK(wg::NoteShare(shares, "a", Large, began) == Large);
}
