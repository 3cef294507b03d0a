// SPDX-License-Identifier: Apache-2.0
// Regression bounds on the policy measurements, in virtual time.
#include <catch2/catch.hpp>

#include "wgPolicySimulation.h"

namespace {

using wg::test::PolicyFault;
using wg::test::PolicyResult;
using wg::test::PolicyRun;

PolicyRun MakeRun(wg::test::Shape shape, double load,
                  PolicyFault fault = PolicyFault::None)
{
  PolicyRun run;
  run.shape = std::move(shape);
  run.load = load;
  run.fault = fault;
  run.seconds = 20.0;
  return run;
}

PolicyResult Baseline(PolicyRun run)
{
  run.admission = false;
  run.fair = false;
  run.routing = wg::RoutePolicy::LeastOutstanding;
  return wg::test::Simulate(run);
}

} // namespace

TEST_CASE("attainment holds up at half, full and more than full load")
{
  for (const auto& shape :
       { wg::test::HinokuniShape(), wg::test::WindwardShape() }) {
    INFO(shape.name);
    CHECK(wg::test::Simulate(MakeRun(shape, 0.5)).ofPossible >= 0.98);
    CHECK(wg::test::Simulate(MakeRun(shape, 1.0)).ofPossible >= 0.95);
    for (const double load : { 1.5, 3.0 }) {
      const PolicyRun run = MakeRun(shape, load);
      const PolicyResult result = wg::test::Simulate(run);
      INFO("load " << load);
      CHECK(result.ofPossible >= 0.64);
      CHECK(result.wastedWork <= 0.03);
      CHECK(result.attained > 1.1 * Baseline(run).attained);
    }
  }
}

TEST_CASE("one slow, one dead endpoint and a cut hall cost little")
{
  for (const PolicyFault fault :
       { PolicyFault::SlowEndpoint, PolicyFault::DeadEndpoint,
         PolicyFault::HallCut }) {
    const PolicyRun run = MakeRun(wg::test::HinokuniShape(), 0.8, fault);
    const PolicyResult result = wg::test::Simulate(run);
    INFO(static_cast<int>(fault));
    CHECK(result.ofPossible >= 0.98);
    CHECK(result.ofPossible >= Baseline(run).ofPossible - 0.005);
    CHECK(result.extraTries <= 0.1);
  }
}

TEST_CASE("a stage that is down makes no storm of retries")
{
  const PolicyResult result = wg::test::Simulate(
    MakeRun(wg::test::HinokuniShape(), 0.8, PolicyFault::StageDown));
  CHECK(result.extraTries <= 0.1);
  CHECK(result.wastedWork <= 0.05);
}

TEST_CASE("a flood by one account leaves a quiet one what it had")
{
  for (const auto& shape :
       { wg::test::HinokuniShape(), wg::test::WindwardShape() }) {
    PolicyRun run = MakeRun(shape, 0.8, PolicyFault::Flood);
    const PolicyResult flooded = wg::test::Simulate(run);
    run.onlyQuiet = true;
    run.fault = PolicyFault::None;
    const PolicyResult alone = wg::test::Simulate(run);
    INFO(shape.name);
    CHECK(flooded.quietAttainment >= alone.quietAttainment - 0.01);
    const double longestService = 1.5 * 1.2;
    CHECK(flooded.quietLongestWait <= alone.quietLongestWait + longestService);
    run.onlyQuiet = false;
    run.fault = PolicyFault::Flood;
    CHECK(Baseline(run).quietAttainment < 0.5);
  }
}
