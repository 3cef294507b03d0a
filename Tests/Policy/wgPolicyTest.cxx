// SPDX-License-Identifier: Apache-2.0
// Checks the policy measurements against regression bounds.
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

TEST_CASE("attainment stays within its bounds from half to triple load")
{
  for (const auto& shape :
       { wg::test::HinokuniShape(), wg::test::WindwardShape() }) {
    INFO(shape.name);
    CHECK(wg::test::Simulate(MakeRun(shape, 0.5)).ofMaxAttainable >= 0.98);
    CHECK(wg::test::Simulate(MakeRun(shape, 1.0)).ofMaxAttainable >= 0.95);
    for (const double load : { 1.5, 3.0 }) {
      const PolicyRun run = MakeRun(shape, load);
      const PolicyResult result = wg::test::Simulate(run);
      INFO("load " << load);
      CHECK(result.ofMaxAttainable >= 0.64);
      CHECK(result.wastedFraction <= 0.03);
      CHECK(result.attained > 1.1 * Baseline(run).attained);
    }
  }
}

TEST_CASE(
  "a slow or lost endpoint or a hall partition costs little attainment")
{
  for (const PolicyFault fault :
       { PolicyFault::SlowEndpoint, PolicyFault::EndpointDown,
         PolicyFault::HallPartition }) {
    const PolicyRun run = MakeRun(wg::test::HinokuniShape(), 0.8, fault);
    const PolicyResult result = wg::test::Simulate(run);
    INFO(static_cast<int>(fault));
    CHECK(result.ofMaxAttainable >= 0.98);
    CHECK(result.ofMaxAttainable >= Baseline(run).ofMaxAttainable - 0.005);
    CHECK(result.retriesPerRequest <= 0.1);
  }
}

TEST_CASE("a stage that is down causes few retries")
{
  const PolicyResult result = wg::test::Simulate(
    MakeRun(wg::test::HinokuniShape(), 0.8, PolicyFault::StageDown));
  CHECK(result.retriesPerRequest <= 0.1);
  CHECK(result.wastedFraction <= 0.05);
}

TEST_CASE("one account's flood does not lower a quiet account's attainment")
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
