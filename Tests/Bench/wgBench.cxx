// SPDX-License-Identifier: Apache-2.0
// Slopes for docs/CAPACITY.md: reports, not verdicts.
#include <filesystem>
#include <random>
#include <string>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "absl/strings/str_cat.h"

#include "wgChange.h"
#include "wgConfigText.h"
#include "wgMembership.h"
#include "wgPeerAuth.h"
#include "wgReplicaStore.h"
#include "wgServiceState.h"
#include "wgStageEstimate.h"
#include "wgStagePool.h"

namespace {

std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks;
}

wg::GroupState MakeGroup(std::int64_t endpoints)
{
  wg::GroupState group;
  for (std::int64_t i = 0; i < endpoints; ++i) {
    wg::EndpointState endpoint;
    endpoint.name = absl::StrCat("llm-", i);
    endpoint.hall = absl::StrCat("hall-", i % 7);
    endpoint.slots = 8;
    endpoint.limit.value = 8;
    group.endpoints.push_back(std::move(endpoint));
  }
  return group;
}

wg::Config MakeConfig(std::int64_t accounts, std::int64_t endpoints)
{
  wg::Config config;
  config.halls.push_back({ "h1" });
  wg::GroupConfig group;
  group.name = "llm";
  config.groups.push_back(group);
  for (std::int64_t i = 0; i < endpoints; ++i) {
    wg::EndpointConfig endpoint;
    endpoint.name = absl::StrCat("endpoint-", i);
    endpoint.group = "llm";
    endpoint.hall = "h1";
    endpoint.address = "127.0.0.1";
    endpoint.port = 1000 + static_cast<int>(i % 60000);
    config.endpoints.push_back(endpoint);
  }
  for (std::int64_t i = 0; i < accounts; ++i) {
    wg::AccountConfig account;
    account.name = absl::StrCat("account-", i);
    config.accounts.push_back(account);
  }
  return config;
}

void DecideOne(benchmark::State& state)
{
  std::mt19937_64 random(1);
  const std::size_t before = AllocatedBytes();
  wg::GroupState group = MakeGroup(state.range(0));
  state.counters["bytes_per_endpoint"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(state.range(0));
  std::uint64_t ticket = 1;
  for (auto _ : state) {
    wg::WaitingStage stage;
    stage.ticket = ticket++;
    stage.account = "a";
    stage.latestStart = absl::Hours(1);
    stage.deadline = absl::Hours(2);
    wg::Enqueue(group, std::move(stage), {});
    auto round = wg::Dispatch(group, absl::Seconds(1), random);
    for (const wg::Grant& grant : round.grants) {
      wg::Finish(group, grant, wg::AttemptEnd::Answered, 0.1,
                 absl::Seconds(1));
    }
  }
}
BENCHMARK(DecideOne)->RangeMultiplier(10)->Range(10, 10000);

void FairTurn(benchmark::State& state)
{
  const std::size_t before = AllocatedBytes();
  wg::FairQueue queue;
  queue.limits.count = 1U << 30U;
  std::uint64_t ticket = 1;
  const auto push = [&queue, &ticket](std::int64_t account) {
    wg::WaitingStage stage;
    stage.ticket = ticket++;
    stage.account = absl::StrCat("account-", account);
    stage.expectedCost = 0.1;
    wg::Push(queue, std::move(stage));
  };
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    push(i);
  }
  state.counters["bytes_per_account"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(state.range(0));
  std::int64_t next = 0;
  for (auto _ : state) {
    const auto stage =
      wg::PopNext(queue, [](const std::string&, int) { return true; });
    wg::Settle(queue, stage->account, 0.1, 0.1);
    push(next++ % state.range(0));
  }
}
BENCHMARK(FairTurn)->RangeMultiplier(10)->Range(10, 10000);

/** One box's division of a group's places, by accounts that ask. */
void DivideQuota(benchmark::State& state)
{
  wg::GroupState group = MakeGroup(100);
  std::vector<wg::ShareDemand> demands;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    for (int box = 0; box < 9; ++box) {
      demands.push_back(
        { absl::StrCat("account-", i), 1.0, absl::StrCat("box-", box), 3, 1 });
    }
  }
  for (auto _ : state) {
    wg::SetQuota(group, "box-4", demands);
  }
}
BENCHMARK(DivideQuota)->RangeMultiplier(10)->Range(10, 10000);

void GossipRound(benchmark::State& state)
{
  std::mt19937_64 random(1);
  const std::size_t before = AllocatedBytes();
  wg::Membership membership;
  membership.self.set_box("self");
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    wg::wire::Gossip gossip;
    wg::wire::Member& member = *gossip.add_members();
    member.set_box(absl::StrCat("box-", i));
    member.set_address(absl::StrCat("10.0.0.1:", i));
    for (int d = 0; d < 8; ++d) {
      wg::wire::Demand& demand = *member.add_demands();
      demand.set_group("llm");
      demand.set_account(absl::StrCat("account-", d));
      demand.set_running(3);
    }
    wg::MergeGossip(membership, gossip, absl::Seconds(1));
  }
  state.counters["bytes_per_member"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(state.range(0));
  double bytes = 0.0;
  for (auto _ : state) {
    const auto messages = wg::NextGossip(membership, absl::Seconds(1), random);
    bytes = 0.0;
    for (const auto& message : messages) {
      bytes += static_cast<double>(message.gossip.SerializeAsString().size());
      wg::MergeGossip(membership, message.gossip, absl::Seconds(1));
    }
  }
  state.counters["bytes_sent"] = bytes;
}
BENCHMARK(GossipRound)->Arg(9)->Arg(100)->Arg(1000)->Arg(3800);

/** What a full mesh would take for the same: the own state to every other
 * member, signed for each.
 */
void MeshRound(benchmark::State& state)
{
  wg::wire::Gossip gossip;
  wg::wire::Member& member = *gossip.add_members();
  member.set_box("self");
  member.set_address("10.0.0.1:7002");
  for (int d = 0; d < 8; ++d) {
    wg::wire::Demand& demand = *member.add_demands();
    demand.set_group("llm");
    demand.set_account(absl::StrCat("account-", d));
    demand.set_running(3);
  }
  double bytes = 0.0;
  for (auto _ : state) {
    bytes = 0.0;
    for (std::int64_t i = 1; i < state.range(0); ++i) {
      const std::string body = gossip.SerializeAsString();
      bytes += static_cast<double>(
        body.size() +
        wg::SignRequest("key", "peer", "gossip", "", body).size());
    }
  }
  state.counters["bytes_sent"] = bytes;
}
BENCHMARK(MeshRound)->Arg(9)->Arg(100)->Arg(1000)->Arg(3800);

void ApplyOneChange(benchmark::State& state)
{
  const std::size_t before = AllocatedBytes();
  wg::ServiceState service;
  service.config = MakeConfig(state.range(0), state.range(0));
  state.counters["bytes_per_account_and_endpoint"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(state.range(0));
  wg::wire::Change change;
  change.set_author("operator");
  change.mutable_set_account()->set_account("account-5");
  change.mutable_set_account()->set_field("weight");
  change.mutable_set_account()->set_value(2);
  std::int64_t id = 1;
  for (auto _ : state) {
    change.set_id(absl::StrCat(id++, "-x"));
    benchmark::DoNotOptimize(wg::ApplyChange(service, change));
  }
  state.counters["bytes_per_change"] =
    static_cast<double>(change.SerializeAsString().size());
}
BENCHMARK(ApplyOneChange)->RangeMultiplier(10)->Range(10, 10000);

void ApplyOneClaim(benchmark::State& state)
{
  wg::ServiceState service;
  wg::wire::Change change;
  change.mutable_take_claim()->set_account("account");
  change.mutable_take_claim()->set_request("0123456789abcdef0123456789abcdef");
  const std::size_t before = AllocatedBytes();
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    change.mutable_take_claim()->set_key(absl::StrCat("filler-", i));
    wg::ApplyChange(service, change);
  }
  state.counters["bytes_per_claim"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(state.range(0));
  std::int64_t next = 0;
  for (auto _ : state) {
    change.mutable_take_claim()->set_key(absl::StrCat("key-", next++));
    benchmark::DoNotOptimize(wg::ApplyChange(service, change));
  }
}
BENCHMARK(ApplyOneClaim)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);

void ReadWholeConfig(benchmark::State& state)
{
  const std::string text =
    wg::PrintConfig(MakeConfig(state.range(0), state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(wg::ReadConfig(text));
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ReadWholeConfig)
  ->RangeMultiplier(10)
  ->Range(10, 10000)
  ->Unit(benchmark::kMillisecond);

void SignOneMessage(benchmark::State& state)
{
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    benchmark::DoNotOptimize(
      wg::SignRequest("key", "peer", "/agreement", "nonce", body));
  }
}
BENCHMARK(SignOneMessage)->Arg(100)->Arg(1000)->Arg(10000);

/** A coordinator's judging of what waits in a contended pool, by accounts: as
 * many pieces as waited in the worst second seen, one of two of one account.
 * With one account it is judged as without any. The time is for all pieces.
 */
void JudgeWaitingPieces(benchmark::State& state)
{
  constexpr int pieces = 2300;
  const wg::Elapsed now = absl::Seconds(100);
  std::mt19937_64 random(1);
  std::uniform_int_distribution<std::int64_t> account(0, state.range(0) - 1);
  std::uniform_int_distribution<int> ms(0, 3000);
  wg::StagePool pool;
  pool.limits.batch = 64;
  pool.limits.callSeconds = 0.2;
  pool.limits.pieceSeconds = 0.003;
  pool.servers.resize(5);
  for (int i = 0; i < pieces; ++i) {
    wg::StagePiece piece;
    piece.ticket = static_cast<std::uint64_t>(i);
    piece.account = absl::StrCat("account-", i % 2 == 0 ? 0 : account(random));
    piece.rank = i % 3;
    piece.due = now + absl::Milliseconds(ms(random));
    piece.finishBy = piece.due;
    piece.deadline = now + absl::Hours(1);
    pool.waiting.push_back(piece);
  }
  const std::size_t before = AllocatedBytes();
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    wg::ChargeWork(pool.shares, { absl::StrCat("account-", i), 100.0 }, now);
  }
  wg::ChargeWork(pool.shares, { "account-0", 5000.0 }, now);
  state.counters["bytes_per_account"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(wg::TakeHopelessPieces(pool, now));
  }
  state.SetItemsProcessed(state.iterations() * pieces);
  state.counters["exceeding"] =
    static_cast<double>(wg::EvaluateAccounts(pool, now).exceeded.size());
}
BENCHMARK(JudgeWaitingPieces)
  ->Arg(1)
  ->Arg(16)
  ->Arg(10000)
  ->Unit(benchmark::kMicrosecond);

/** How long new work would wait, as each submitted work is judged. */
void JudgeNewWork(benchmark::State& state)
{
  const wg::Elapsed now = absl::Seconds(100);
  wg::StagePool pool;
  pool.limits.batch = 64;
  pool.limits.callSeconds = 0.2;
  pool.limits.pieceSeconds = 0.003;
  pool.servers.resize(5);
  wg::StagePiece piece;
  for (int i = 0; i < 2300; ++i) {
    piece.ticket = static_cast<std::uint64_t>(i);
    piece.account = absl::StrCat("account-", i % state.range(0));
    piece.finishBy = now + absl::Milliseconds(i);
    piece.due = piece.finishBy;
    pool.waiting.push_back(piece);
    wg::ChargeWork(pool.shares, { piece.account, 100.0 }, now);
  }
  wg::ChargeWork(pool.shares, { "account-0", 5000.0 }, now);
  for (auto _ : state) {
    benchmark::DoNotOptimize(wg::ExpectedWaitSeconds(pool, piece, 6, now));
  }
}
BENCHMARK(JudgeNewWork)
  ->Arg(1)
  ->Arg(16)
  ->Arg(10000)
  ->Unit(benchmark::kMicrosecond);

void WriteAndSync(benchmark::State& state)
{
  std::string pattern =
    std::filesystem::temp_directory_path() / "wg-bench-XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  wg::Replica replica;
  auto store =
    wg::ReplicaStore::Open(wg::SystemFileOperations(), folder, 1, replica);
  std::uint64_t index = 1;
  for (auto _ : state) {
    wg::ReplicaActions actions;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      wg::wire::LogEntry entry;
      entry.set_index(index++);
      entry.set_change(std::string(80, 'c'));
      actions.append.push_back(std::move(entry));
    }
    if (!wg::Succeeded(wg::Value(store)->Write(replica, actions))) {
      state.SkipWithError("the write failed");
    }
  }
  std::filesystem::remove_all(folder);
}
BENCHMARK(WriteAndSync)
  ->Arg(1)
  ->Arg(10)
  ->Arg(100)
  ->Arg(1000)
  ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
