// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgServiceState.h"

namespace {

using wg::wire::ChangeResult;

const char* const Toml = R"(
[[hall]]
name = "h1"
[[group]]
name = "g"
kind = "service"
[[endpoint]]
name = "e"
group = "g"
hall = "h1"
address = "127.0.0.1"
port = 9000
[[account]]
name = "a"
)";

wg::wire::Change SetWeight(const std::string& id, double weight,
                           std::uint64_t base)
{
  wg::wire::Change change;
  change.set_id(id);
  change.set_author("op-" + id);
  change.set_base_revision(base);
  change.mutable_set_account()->set_account("a");
  change.mutable_set_account()->set_field("weight");
  change.mutable_set_account()->set_value(weight);
  return change;
}

wg::ServiceState Configured()
{
  wg::ServiceState state;
  wg::wire::Change change;
  change.set_id("1-first");
  change.mutable_apply()->set_toml(Toml);
  REQUIRE(wg::ApplyChange(state, change).verdict() == ChangeResult::ACCEPTED);
  return state;
}

wg::wire::Change TakeClaim(const std::string& key, const std::string& request,
                           std::int64_t now)
{
  wg::wire::Change change;
  change.mutable_take_claim()->set_account("a");
  change.mutable_take_claim()->set_key(key);
  change.mutable_take_claim()->set_request(request);
  change.mutable_take_claim()->set_now_ms(now);
  return change;
}

wg::wire::Change EndClaim(const std::string& key, const std::string& request,
                          bool notRun)
{
  wg::wire::Change change;
  change.mutable_end_claim()->set_account("a");
  change.mutable_end_claim()->set_key(key);
  change.mutable_end_claim()->set_request(request);
  change.mutable_end_claim()->set_not_run(notRun);
  return change;
}

} // namespace

TEST_CASE("of two operators with equal numbers one wins and one is told")
{
  wg::ServiceState state = Configured();
  const auto won = wg::ApplyChange(state, SetWeight("2-x", 3, 1));
  CHECK(won.verdict() == ChangeResult::ACCEPTED);
  CHECK(won.revision() == 2);
  const auto lost = wg::ApplyChange(state, SetWeight("2-y", 4, 1));
  CHECK(lost.verdict() == ChangeResult::REJECTED);
  CHECK(lost.revision() == 2);
  CHECK_THAT(lost.message(), Catch::Contains("revision 2 by op-2-x"));
  CHECK(state.config.accounts[0].weight == 3);
}

TEST_CASE("a resent command gets its first answer and runs once")
{
  wg::ServiceState state = Configured();
  const auto first = wg::ApplyChange(state, SetWeight("2-x", 3, 0));
  wg::ApplyChange(state, SetWeight("3-z", 9, 0));
  const auto again = wg::ApplyChange(state, SetWeight("2-x", 3, 0));
  CHECK(again.SerializeAsString() == first.SerializeAsString());
  CHECK(state.config.accounts[0].weight == 9);
  CHECK(state.config.revision == 3);
}

TEST_CASE("a command too old to be remembered is refused, not run")
{
  wg::ServiceState state = Configured();
  wg::ApplyChange(state, SetWeight("2-old", 3, 0));
  for (int i = 0; i < 10001; ++i) {
    wg::ApplyChange(state, SetWeight(std::to_string(10 + i) + "-n", 5, 0));
  }
  const std::uint64_t before = state.config.revision;
  const auto late = wg::ApplyChange(state, SetWeight("2-old", 3, 0));
  CHECK(late.verdict() == ChangeResult::REJECTED);
  CHECK_THAT(late.message(), Catch::Contains("older than what is remembered"));
  CHECK(state.config.revision == before);
}

TEST_CASE("a wrong clock of one operator shuts no other out")
{
  wg::ServiceState state = Configured();
  wg::ApplyChange(state, SetWeight("99999999999999-future", 3, 0));
  for (int i = 0; i < 10001; ++i) {
    wg::ApplyChange(state, SetWeight(std::to_string(10 + i) + "-n", 5, 0));
  }
  CHECK(wg::ApplyChange(state, SetWeight("20000-now", 6, 0)).verdict() ==
        ChangeResult::ACCEPTED);
}

TEST_CASE("a key runs at most once")
{
  wg::ServiceState state = Configured();
  CHECK(wg::ApplyChange(state, TakeClaim("k", "r1", 0)).verdict() ==
        ChangeResult::ACCEPTED);
  CHECK(wg::ApplyChange(state, TakeClaim("k", "r1", 0)).verdict() ==
        ChangeResult::ACCEPTED);
  const auto second = wg::ApplyChange(state, TakeClaim("k", "r2", 0));
  CHECK(second.verdict() == ChangeResult::REJECTED);
  CHECK_FALSE(second.claim_ended());
  wg::ApplyChange(state, EndClaim("k", "r1", false));
  const auto third = wg::ApplyChange(state, TakeClaim("k", "r3", 0));
  CHECK(third.verdict() == ChangeResult::REJECTED);
  CHECK(third.claim_ended());
}

TEST_CASE("a key under which nothing ran is free again, for its holder only")
{
  wg::ServiceState state = Configured();
  wg::ApplyChange(state, TakeClaim("k", "r1", 0));
  CHECK(wg::ApplyChange(state, EndClaim("k", "r2", true)).verdict() ==
        ChangeResult::REJECTED);
  CHECK(wg::ApplyChange(state, TakeClaim("k", "r2", 0)).verdict() ==
        ChangeResult::REJECTED);
  wg::ApplyChange(state, EndClaim("k", "r1", true));
  CHECK(wg::ApplyChange(state, TakeClaim("k", "r2", 0)).verdict() ==
        ChangeResult::ACCEPTED);
}

TEST_CASE("claims expire by the leaders' elapsed time, and no jump ends them")
{
  wg::ServiceState state = Configured();
  wg::ApplyChange(state, TakeClaim("k", "r1", 0));
  wg::ApplyChange(state, TakeClaim("other", "r2", 1LL << 50));
  CHECK(wg::ApplyChange(state, TakeClaim("k", "r3", 1LL << 50)).verdict() ==
        ChangeResult::REJECTED);
  for (std::int64_t t = 0; t <= wg::ClaimMemoryMs + 120000; t += 30000) {
    wg::ApplyChange(state, TakeClaim("tick", "r4", t));
  }
  CHECK(state.claims.size() < 3);
  CHECK(wg::ApplyChange(state, TakeClaim("k", "r5", 0)).verdict() ==
        ChangeResult::ACCEPTED);
}

TEST_CASE("fences rise strictly and a resent order gets the same one")
{
  wg::ServiceState state = Configured();
  wg::wire::Change change;
  change.set_id("5-f");
  change.mutable_raise_fence()->set_endpoint("e");
  const auto first = wg::ApplyChange(state, change);
  CHECK(first.fence() == 1);
  CHECK(wg::ApplyChange(state, change).fence() == 1);
  change.set_id("6-f");
  CHECK(wg::ApplyChange(state, change).fence() == 2);
}

TEST_CASE("a state saved and loaded is the same")
{
  wg::ServiceState state = Configured();
  wg::ApplyChange(state, SetWeight("2-x", 3, 0));
  wg::ApplyChange(state, TakeClaim("k", "r1", 5));
  wg::ApplyChange(state, EndClaim("k", "r1", false));
  const std::string saved = wg::SaveState(state);
  const auto loaded = wg::LoadState(saved);
  REQUIRE(wg::Succeeded(loaded));
  CHECK(wg::SaveState(wg::Value(loaded)) == saved);
}

TEST_CASE("a follower gets the changes it lacks, or the whole when far behind")
{
  wg::ServiceState state = Configured();
  for (int i = 0; i < 1500; ++i) {
    wg::ApplyChange(state, SetWeight(std::to_string(10 + i) + "-n", 5, 0));
  }
  wg::wire::FollowReply near;
  REQUIRE(wg::ChangesSince(state, state.config.revision - 3, near));
  CHECK(near.changes_size() == 3);
  wg::wire::FollowReply far;
  CHECK_FALSE(wg::ChangesSince(state, 2, far));
  CHECK_FALSE(wg::ChangesSince(state, 0, far));
}

TEST_CASE("Orders on halls are part of a snapshot, and need no id")
{
  wg::ServiceState state;
  wg::wire::Change change;
  change.mutable_order_hall()->set_hall("h1");
  change.mutable_order_hall()->set_evacuate(true);
  CHECK(wg::LevelOf(change) == wg::ChangeLevel::HallOrders);
  REQUIRE(wg::ApplyChange(state, change).verdict() == ChangeResult::ACCEPTED);
  change.mutable_order_hall()->set_evacuate(false); // it saw no order
  CHECK(wg::ApplyChange(state, change).verdict() == ChangeResult::REJECTED);
  auto loaded = wg::LoadState(wg::SaveState(state));
  REQUIRE(wg::Succeeded(loaded));
  CHECK(wg::Value(loaded).halls.newest == 1);
  CHECK(wg::IsEvacuated(wg::Value(loaded).halls, "h1"));
}
