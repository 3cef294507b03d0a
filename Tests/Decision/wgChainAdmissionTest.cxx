// SPDX-License-Identifier: Apache-2.0
#include <vector>

#include <catch2/catch.hpp>

#include "wgChainAdmission.h"

namespace {

/** Three stages in sequence, and one beside them that no stage follows. */
wg::StagePlan Plan()
{
  wg::StagePlan plan;
  plan.stages = {
    { {}, 0.21 }, { {}, 0.2 }, { { 1 }, 0.22 }, { { 2 }, 0.22 }
  };
  plan.prefillSeconds = 0.03;
  return plan;
}

const std::vector<double> FullCalls(4, 0.37);

wg::ChainLimits Limits(double aim, double deadline = 6.0)
{
  wg::ChainLimits limits;
  limits.aim = absl::Seconds(aim);
  limits.deadline = absl::Seconds(deadline);
  return limits;
}

double Seconds(absl::Duration time)
{
  return absl::ToDoubleSeconds(time);
}

} // namespace

// Failure: pools are filled to the last moment, and a call that takes longer
// than forecast makes all admitted work late.
TEST_CASE("Each stage leaves time for the full calls that follow it")
{
  const auto windows = wg::PlanChain(Plan(), FullCalls, Limits(1.8));
  REQUIRE(windows.isFeasible);
  // The chain can wait 0.48 s in all; it uses half.
  CHECK(Seconds(windows.stages[1].startBy) == Approx(0.24));
  CHECK(Seconds(windows.stages[2].startBy) == Approx(0.24 + 0.37));
  CHECK(Seconds(windows.stages[3].startBy) == Approx(0.24 + 0.74));
  CHECK(Seconds(windows.stages[1].earliest) == 0.0);
  CHECK(Seconds(windows.stages[3].earliest) == Approx(0.42));
  // The short branch starts with the last stage of the long one.
  CHECK(windows.stages[0].startBy == windows.stages[3].startBy);
  CHECK(windows.stages[1].lateStartBy == wg::NoStart);
}

TEST_CASE(
  "Where full calls leave no time, the request's own calls are counted")
{
  const auto windows = wg::PlanChain(Plan(), FullCalls, Limits(1.2));
  REQUIRE(windows.isFeasible);
  CHECK(Seconds(windows.stages[1].startBy) ==
        Approx((1.08 - 0.03 - 0.64) / 2));
}

TEST_CASE(
  "A request that can't meet its latency target is planned for its deadline")
{
  const auto windows = wg::PlanChain(Plan(), FullCalls, Limits(0.5));
  REQUIRE(windows.isFeasible);
  CHECK(windows.stages[1].startBy == wg::NoStart);
  CHECK(Seconds(windows.stages[1].lateStartBy) ==
        Approx((5.4 - 0.03 - 0.64) / 2));
  CHECK_FALSE(wg::PlanChain(Plan(), FullCalls, Limits(0.5, 0.6)).isFeasible);
}

TEST_CASE("A retry is planned for its latency target and its deadline")
{
  wg::ChainLimits limits = Limits(3.0, 4.5);
  limits.spent = absl::Seconds(1.5);
  limits.isRetry = true;
  const auto windows = wg::PlanChain(Plan(), FullCalls, limits);
  CHECK(Seconds(windows.stages[1].startBy) == Approx((1.2 - 0.03 - 1.11) / 2));
  CHECK(Seconds(windows.stages[1].lateStartBy) ==
        Approx((4.05 - 0.03 - 0.64) / 2));
}

TEST_CASE("A skipped stage needs no grant")
{
  wg::StagePlan plan = Plan();
  plan.stages[0].ownSeconds = 0.0;
  const auto windows = wg::PlanChain(plan, FullCalls, Limits(1.8));
  CHECK_FALSE(windows.stages[0].runs);
  std::vector<wg::PoolAnswer> answers(4);
  for (std::size_t i = 1; i < answers.size(); ++i) {
    answers[i].granted = true;
  }
  CHECK(wg::EvaluateChain(windows, answers).admitted);
}

// Failure: a request whose later stage has no capacity is admitted by its
// first stage, and is refused only after that has run.
TEST_CASE(
  "One pool without capacity refuses the chain until the longest retry "
  "delay")
{
  const auto windows = wg::PlanChain(Plan(), FullCalls, Limits(1.8));
  std::vector<wg::PoolAnswer> answers(4);
  for (wg::PoolAnswer& answer : answers) {
    answer.granted = true;
  }
  CHECK(wg::EvaluateChain(windows, answers).admitted);
  answers[2].granted = false;
  answers[2].retry = absl::Seconds(2);
  answers[3].granted = false;
  answers[3].retry = absl::Seconds(3);
  const wg::ChainVerdict verdict = wg::EvaluateChain(windows, answers);
  CHECK_FALSE(verdict.admitted);
  CHECK(verdict.refusedBy == 2);
  CHECK(verdict.retry == absl::Seconds(3));
}

TEST_CASE("A chain is late if one of its stages is late")
{
  const auto windows = wg::PlanChain(Plan(), FullCalls, Limits(1.8));
  std::vector<wg::PoolAnswer> answers(4);
  for (wg::PoolAnswer& answer : answers) {
    answer.granted = true;
  }
  CHECK_FALSE(wg::EvaluateChain(windows, answers).isLate);
  answers[3].isLate = true;
  CHECK(wg::EvaluateChain(windows, answers).isLate);
}

// Failure: coordinators don't answer in a burst, and boxes admit all requests
// or refuse all.
TEST_CASE("Without an answer a box uses half of the time that work may wait")
{
  wg::StageWindow window;
  window.runs = true;
  window.startBy = absl::Seconds(1);
  CHECK(wg::EstimateAnswer(window, absl::ZeroDuration()).granted);
  CHECK(wg::EstimateAnswer(window, absl::Milliseconds(450)).granted);
  CHECK_FALSE(wg::EstimateAnswer(window, absl::Milliseconds(550)).granted);
  window.earliest = absl::Milliseconds(600); // the wait is over by then
  CHECK(wg::EstimateAnswer(window, absl::Milliseconds(550)).granted);
  window.startBy = wg::NoStart;
  CHECK_FALSE(wg::EstimateAnswer(window, absl::ZeroDuration()).granted);
  window.lateStartBy = absl::Seconds(2);
  CHECK(wg::EstimateAnswer(window, absl::ZeroDuration()).isLate);
}
