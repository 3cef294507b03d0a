// SPDX-License-Identifier: Apache-2.0
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include "wgAdmission.h"
#include "wgAttempts.h"
#include "wgCostLedger.h"
#include "wgDispatch.h"
#include "wgShares.h"
#include "wgTokenStream.h"

namespace {

std::mt19937_64 Seeded()
{
  return std::mt19937_64(7);
}

wg::WaitingStage Stage(std::uint64_t ticket, const std::string& account,
                       double weight = 1.0)
{
  wg::WaitingStage stage;
  stage.ticket = ticket;
  stage.account = account;
  stage.weight = weight;
  stage.deadline = absl::Seconds(100) + absl::Milliseconds(ticket);
  stage.latestStart = absl::Seconds(90);
  stage.expectedCost = 1.0;
  stage.bytes = 10;
  return stage;
}

wg::GroupState Group(int endpoints, int slots)
{
  wg::GroupState group;
  group.name = "g";
  for (int i = 0; i < endpoints; ++i) {
    wg::EndpointState endpoint;
    endpoint.name = "e" + std::to_string(i);
    endpoint.hall = i % 2 == 0 ? "h0" : "h1";
    endpoint.distanceSeconds = i % 2 == 0 ? 0.001 : 0.0;
    endpoint.slots = slots;
    endpoint.limit.value = slots;
    group.endpoints.push_back(endpoint);
  }
  return group;
}

const wg::MayStart Anyone = [](const std::string&, int) { return true; };

} // namespace

TEST_CASE("a stage of an idle account waits for at most one of a busy account")
{
  wg::FairQueue queue;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    REQUIRE(wg::Push(queue, Stage(i, "busy")) == wg::Reason::None);
  }
  for (int i = 0; i < 5; ++i) {
    wg::PopNext(queue, Anyone);
  }
  REQUIRE(wg::Push(queue, Stage(5000, "quiet")) == wg::Reason::None);
  int before = 0;
  while (wg::PopNext(queue, Anyone)->account != "quiet") {
    ++before;
  }
  CHECK(before <= 1);
}

TEST_CASE("backlogged accounts are served by weight")
{
  wg::FairQueue queue;
  for (std::uint64_t i = 1; i <= 600; ++i) {
    wg::Push(queue, Stage(i, "three", 3.0));
    wg::Push(queue, Stage(1000 + i, "one", 1.0));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 400; ++i) {
    ++served[wg::PopNext(queue, Anyone)->account];
  }
  CHECK(served["three"] == Approx(300).margin(2));
}

TEST_CASE("an account gets no credit for the time that it was idle")
{
  wg::FairQueue queue;
  for (std::uint64_t i = 1; i <= 300; ++i) {
    wg::Push(queue, Stage(i, "steady"));
  }
  for (int i = 0; i < 100; ++i) {
    wg::PopNext(queue, Anyone);
  }
  for (std::uint64_t i = 1; i <= 300; ++i) {
    wg::Push(queue, Stage(1000 + i, "late"));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 100; ++i) {
    ++served[wg::PopNext(queue, Anyone)->account];
  }
  CHECK(served["late"] <= 51);
}

TEST_CASE("within an account the earliest deadline is served first, and the "
          "effect of priority is bounded")
{
  wg::FairQueue queue;
  wg::WaitingStage late = Stage(1, "a");
  late.deadline = absl::Seconds(50);
  wg::WaitingStage early = Stage(2, "a");
  early.deadline = absl::Seconds(20);
  wg::WaitingStage urgent = Stage(3, "a");
  urgent.deadline = absl::Seconds(21);
  urgent.priority = 3;
  for (const auto& stage : { late, early, urgent }) {
    wg::Push(queue, stage);
  }
  CHECK(wg::PopNext(queue, Anyone)->ticket == 3);
  CHECK(wg::PopNext(queue, Anyone)->ticket == 2);
  CHECK(wg::PopNext(queue, Anyone)->ticket == 1);
}

TEST_CASE("a queue is bounded by count and by bytes")
{
  wg::FairQueue queue;
  queue.limits = { 3, 25 };
  CHECK(wg::Push(queue, Stage(1, "a")) == wg::Reason::None);
  CHECK(wg::Push(queue, Stage(2, "a")) == wg::Reason::None);
  CHECK(wg::Push(queue, Stage(3, "a")) == wg::Reason::QueueBytes);
  queue.limits.bytes = 1000;
  CHECK(wg::Push(queue, Stage(3, "a")) == wg::Reason::None);
  CHECK(wg::Push(queue, Stage(4, "a")) == wg::Reason::QueueFull);
  CHECK(wg::Remove(queue, "a", 2));
  CHECK_FALSE(wg::Remove(queue, "a", 2));
  CHECK(queue.bytes == 20);
}

TEST_CASE("stages that can no longer start in time are removed at once")
{
  wg::FairQueue queue;
  wg::WaitingStage infeasible = Stage(1, "a");
  infeasible.latestStart = absl::Seconds(1);
  wg::Push(queue, infeasible);
  wg::Push(queue, Stage(2, "b"));
  const auto taken = wg::ExtractInfeasible(queue, absl::Seconds(2), 0.1);
  REQUIRE(taken.size() == 1);
  CHECK(taken[0].ticket == 1);
  CHECK(queue.count == 1);
  CHECK(queue.accounts.count("a") == 0);
}

TEST_CASE(
  "a stage is removed when the estimate of its service time rises too far")
{
  wg::FairQueue queue;
  wg::WaitingStage stage = Stage(1, "a");
  stage.deadline = absl::Seconds(10);
  stage.latestStart = absl::Seconds(9); // for an estimate of 1 s
  stage.laterStagesSeconds = 2.0;
  wg::Push(queue, stage);
  CHECK(wg::ExtractInfeasible(queue, absl::Seconds(1), 1.0).empty());
  CHECK(wg::ExtractInfeasible(queue, absl::Seconds(1), 8.0).size() == 1);
}

TEST_CASE("no slot is left idle while stages wait")
{
  std::mt19937_64 random = Seeded();
  wg::GroupState group = Group(2, 3);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    wg::Enqueue(group, Stage(i, i % 2 == 0 ? "a" : "b"), {});
  }
  CHECK(wg::Dispatch(group, absl::Seconds(0), random).grants.size() == 6);
}

TEST_CASE("a leaving, drained or removed endpoint gets no new work")
{
  std::mt19937_64 random = Seeded();
  wg::GroupState group = Group(4, 2);
  group.endpoints[0].listedLeaving = true;
  group.endpoints[1].reportsLeaving = true;
  group.endpoints[2].drained = true;
  group.endpoints[3].removed = true;
  wg::Enqueue(group, Stage(1, "a"), {});
  CHECK(wg::Dispatch(group, absl::Seconds(0), random).grants.empty());
  group.endpoints[0].listedLeaving = false;
  const auto round = wg::Dispatch(group, absl::Seconds(0), random);
  REQUIRE(round.grants.size() == 1);
  CHECK(round.grants[0].route.endpoint == 0);
}

TEST_CASE("an endpoint that fails is ejected, probed and readmitted")
{
  wg::GroupState group = Group(3, 4);
  absl::Span<wg::EndpointState> endpoints(group.endpoints);
  bool changed = false;
  for (int i = 0; i < 3; ++i) {
    ++endpoints[0].running;
    changed = wg::NoteAttemptEnd(endpoints, 0, wg::AttemptEnd::Failed, 0.1,
                                 absl::Seconds(1));
  }
  CHECK(changed);
  CHECK_FALSE(wg::TakesNewWork(endpoints[0]));
  wg::StartProbes(endpoints, absl::Seconds(1.5));
  CHECK_FALSE(wg::TakesNewWork(endpoints[0]));
  wg::StartProbes(endpoints, absl::Seconds(2.5));
  CHECK(wg::IsSlotFree(endpoints[0], wg::SlotRule::Any));
  ++endpoints[0].running;
  CHECK_FALSE(
    wg::IsSlotFree(endpoints[0], wg::SlotRule::Any)); // one probe at a time
  for (int i = 0; i < 3; ++i) {
    wg::NoteAttemptEnd(endpoints, 0, wg::AttemptEnd::Answered, 0.1,
                       absl::Seconds(3));
    ++endpoints[0].running;
  }
  CHECK(endpoints[0].health.state == wg::HealthState::Healthy);
}

TEST_CASE("no more than half of a group is ejected")
{
  wg::GroupState group = Group(4, 4);
  absl::Span<wg::EndpointState> endpoints(group.endpoints);
  for (std::size_t e = 0; e < 4; ++e) {
    for (int i = 0; i < 10; ++i) {
      ++endpoints[e].running;
      wg::NoteAttemptEnd(endpoints, e, wg::AttemptEnd::Failed, 0.1,
                         absl::Seconds(1));
    }
  }
  int open = 0;
  for (const auto& endpoint : endpoints) {
    open += wg::TakesNewWork(endpoint) ? 1 : 0;
  }
  CHECK(open == 2);
}

TEST_CASE("an endpoint much slower than its peers is ejected")
{
  wg::GroupState group = Group(4, 4);
  absl::Span<wg::EndpointState> endpoints(group.endpoints);
  for (int i = 0; i < 20; ++i) {
    for (std::size_t e = 0; e < 4; ++e) {
      ++endpoints[e].running;
      wg::NoteAttemptEnd(endpoints, e, wg::AttemptEnd::Answered,
                         e == 2 ? 0.9 : 0.1, absl::Seconds(1));
    }
  }
  CHECK(endpoints[2].health.state == wg::HealthState::Ejected);
  CHECK(endpoints[1].health.state == wg::HealthState::Healthy);
}

TEST_CASE("the router prefers the endpoint that is expected to finish first")
{
  std::mt19937_64 random = Seeded();
  wg::GroupState group = Group(3, 4);
  group.endpoints[0].report.running = 8;
  group.endpoints[1].report.running = 2;
  group.endpoints[2].report.running = 8;
  for (auto& endpoint : group.endpoints) {
    endpoint.report.at = absl::ZeroDuration();
  }
  std::uint64_t roundRobin = 0;
  const auto choice =
    wg::ChooseEndpoint(wg::RoutePolicy::ExpectedFinish, group.endpoints, {},
                       group.prefixes, roundRobin, random);
  REQUIRE(choice);
  CHECK(choice->endpoint == 1);
  CHECK(choice->compared.size() == 3);
}

TEST_CASE("a cached prefix is preferred, but not at an endpoint that is full")
{
  std::mt19937_64 random = Seeded();
  wg::GroupState group = Group(8, 4);
  wg::NotePrefix(group.prefixes, 77, 5);
  wg::RouteQuery query;
  query.prefix = 77;
  std::uint64_t roundRobin = 0;
  const auto choose = [&] {
    return wg::ChooseEndpoint(wg::RoutePolicy::ExpectedFinish, group.endpoints,
                              query, group.prefixes, roundRobin, random)
      ->endpoint;
  };
  CHECK(choose() == 5);
  group.endpoints[5].report.running = 20;
  group.endpoints[5].report.at = absl::ZeroDuration();
  CHECK(choose() != 5);
}

TEST_CASE(
  "only repeatable stages are retried once an endpoint was reached, and "
  "no stage beyond the limit")
{
  wg::RetryQuery query;
  query.repeatable = false;
  query.end = wg::AttemptEnd::Failed;
  CHECK_FALSE(wg::MayRetry(query));
  query.end = wg::AttemptEnd::Unreached;
  CHECK(wg::MayRetry(query));
  query.repeatable = true;
  query.end = wg::AttemptEnd::Failed;
  CHECK(wg::MayRetry(query));
  query.attemptsMade = 3;
  CHECK_FALSE(wg::MayRetry(query));
}

TEST_CASE("retries are limited to a fraction of the successes")
{
  wg::RetryBudget budget;
  int extra = 0;
  for (int i = 0; i < 10000; ++i) { // all endpoints of a stage are down
    extra += wg::SpendRetry(budget) ? 1 : 0;
  }
  CHECK(extra <= 3);
  for (int i = 0; i < 1000; ++i) {
    wg::EarnRetry(budget);
  }
  CHECK(wg::SpendRetry(budget));
  CHECK(budget.tokens <= budget.cap);
}

TEST_CASE(
  "late, duplicate and mismatched answers are classified and not accepted")
{
  wg::RequestAttempts attempts;
  attempts.request = "r1";
  const wg::AttemptId first = wg::OpenAttempt(attempts, 0);
  wg::AbandonAttempt(attempts, first, wg::AttemptEnd::Failed);
  const wg::AttemptId second = wg::OpenAttempt(attempts, 0);
  CHECK(wg::ClassifyAnswer(attempts, first) == wg::AnswerVerdict::Late);
  CHECK(wg::ClassifyAnswer(attempts, { "r2", 0, 2 }) ==
        wg::AnswerVerdict::Mismatched);
  CHECK(wg::ClassifyAnswer(attempts, { "r1", 0, 9 }) ==
        wg::AnswerVerdict::Mismatched);
  CHECK(wg::ClassifyAnswer(attempts, { "r1", 5, 1 }) ==
        wg::AnswerVerdict::Mismatched);
  CHECK(wg::ClassifyAnswer(attempts, { "r1", -1, -1 }) ==
        wg::AnswerVerdict::Mismatched);
  CHECK(wg::ClassifyAnswer(attempts, second) == wg::AnswerVerdict::Accept);
  CHECK(wg::ClassifyAnswer(attempts, second) == wg::AnswerVerdict::Duplicate);
}

TEST_CASE("a request counts as not run only if no attempt can have run")
{
  wg::RequestAttempts attempts;
  attempts.request = "r";
  CHECK(wg::RunStateOf(attempts) == wg::RunState::NotRun);
  const wg::AttemptId first = wg::OpenAttempt(attempts, 0);
  CHECK(wg::RunStateOf(attempts) == wg::RunState::MayHaveRun);
  wg::AbandonAttempt(attempts, first, wg::AttemptEnd::Unreached);
  CHECK(wg::RunStateOf(attempts) == wg::RunState::NotRun);
  const wg::AttemptId second = wg::OpenAttempt(attempts, 0);
  wg::AbandonAttempt(attempts, second, wg::AttemptEnd::Cancelled);
  CHECK(wg::RunStateOf(attempts) == wg::RunState::MayHaveRun);
}

TEST_CASE("a resumed stream delivers each token once, in order")
{
  wg::TokenStream stream;
  CHECK(wg::ClassifyToken(stream, 0, "a") == wg::TokenVerdict::Deliver);
  CHECK(wg::ClassifyToken(stream, 1, "b") == wg::TokenVerdict::Deliver);
  CHECK(wg::ClassifyToken(stream, 1, "b") == wg::TokenVerdict::Duplicate);
  CHECK(wg::ClassifyToken(stream, 3, "d") == wg::TokenVerdict::Gap);
  CHECK(wg::ClassifyToken(stream, 2, "c") == wg::TokenVerdict::Deliver);
  CHECK(stream.text == "abc");
}

TEST_CASE("slots are divided by weight and demand, and none is left over")
{
  const auto division = wg::DivideSlots(
    12.0, std::vector<wg::ShareDemand>{ { "busy", 1.0, "box1", 90 },
                                        { "busy", 1.0, "box2", 10 },
                                        { "quiet", 1.0, "box2", 2 } });
  const auto& shares = division.shares;
  CHECK(division.unused == Approx(0.0));
  CHECK(wg::SlotsIfBacklogged(division, 1.0, 2.0) == Approx(10.0));
  REQUIRE(shares.size() == 3);
  CHECK(shares[0].slots == Approx(9.0));
  CHECK(shares[1].slots == Approx(1.0));
  CHECK(shares[2].slots == Approx(2.0));
}

TEST_CASE("a request that cannot meet its deadline is refused at once")
{
  std::mt19937_64 random = Seeded();
  std::vector<wg::StageEstimate> stages(2);
  stages[0] = { 0.1, 0.0, 0.0, 4.0, true };
  stages[1] = { 1.0, 0.0, 40.0, 10.0, true };
  CHECK(wg::ExpectedRequestSeconds(stages) == Approx(4.0));
  CHECK(wg::AdmitByDeadline(stages, absl::Seconds(5), random).reason ==
        wg::Reason::None);
  const auto refused = wg::AdmitByDeadline(stages, absl::Seconds(2), random);
  CHECK(refused.reason == wg::Reason::DeadlineUnreachable);
  CHECK(refused.retryAfter >= absl::Seconds(2));
  CHECK(refused.retryAfter <= absl::Seconds(4));
  stages[0].anyEndpoint = false;
  CHECK(wg::AdmitByDeadline(stages, absl::Seconds(5), random).reason ==
        wg::Reason::NoEndpoint);
}

TEST_CASE("an account's rate and concurrency hold over all boxes")
{
  std::mt19937_64 random = Seeded();
  wg::AccountUse use;
  wg::AccountLimits limits;
  limits.ratePerSecond = 90;
  limits.boxes = 9;
  int admitted = 0;
  for (int ms = 0; ms < 10000; ++ms) { // 1000 requests per second at this box
    const auto admission =
      wg::AdmitByLimits(use, limits, absl::Milliseconds(ms), random);
    admitted += admission.reason == wg::Reason::None ? 1 : 0;
  }
  // A burst of 10, then 10 per second for 10 s.
  CHECK(admitted == Approx(110).margin(2));
  limits = {};
  limits.concurrency = 5;
  limits.runningElsewhere = 4;
  wg::AccountUse other;
  CHECK(
    wg::AdmitByLimits(other, limits, absl::ZeroDuration(), random).reason ==
    wg::Reason::None);
  CHECK(
    wg::AdmitByLimits(other, limits, absl::ZeroDuration(), random).reason ==
    wg::Reason::AccountConcurrency);
}

TEST_CASE("useful and wasted costs are counted separately and add up")
{
  wg::CostLedger ledger;
  const wg::CostKey key{ "a", "p", "s" };
  wg::AddCost(ledger, key, { wg::CostKind::Useful, false, 1.0, 5 });
  wg::AddCost(ledger, key, { wg::CostKind::Wasted, true, 0.5, 0 });
  CHECK(ledger[key].tries == 2);
  CHECK(ledger[key].retries == 1);
  CHECK(ledger[key].usefulSeconds + ledger[key].wastedSeconds == Approx(1.5));
}
