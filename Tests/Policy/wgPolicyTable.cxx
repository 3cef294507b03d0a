// SPDX-License-Identifier: Apache-2.0
// Prints the policy measurements of each load and of its baselines.
#include <cstdio>
#include <string>
#include <vector>

#include "wgPolicySimulation.h"

namespace {

using wg::test::PolicyFault;
using wg::test::PolicyResult;
using wg::test::PolicyRun;

void PrintRow(const std::string& policy, const PolicyResult& r)
{
  std::printf("  %-22s %7d %7d %8.4f %8.4f %7.2f %7.3f %7.3f %8.4f %7.2f "
              "%7.3f\n",
              policy.c_str(), r.requests, r.attained, r.attainment,
              r.ofMaxAttainable, r.p99Seconds, r.retriesPerRequest,
              r.wastedFraction, r.quietAttainment, r.quietLongestWait,
              r.secondsPerAnswer);
}

void PrintLoad(PolicyRun run, const std::string& title)
{
  std::printf("%s, load %.1f, %s\n", run.shape.name.c_str(), run.load,
              title.c_str());
  PrintRow("weirgate", wg::test::Simulate(run));
  run.admission = false;
  run.fair = false;
  run.routing = wg::RoutePolicy::LeastOutstanding;
  PrintRow("fifo+least-outstanding", wg::test::Simulate(run));
  run.routing = wg::RoutePolicy::RoundRobin;
  PrintRow("fifo+round-robin", wg::test::Simulate(run));
  run.routing = wg::RoutePolicy::Random;
  PrintRow("fifo+random", wg::test::Simulate(run));
}

void PrintRouting(PolicyRun run, double lag)
{
  run.reportLagSeconds = lag;
  std::printf("%s, load %.1f, only routing differs, reports %.1f s late\n",
              run.shape.name.c_str(), run.load, lag);
  const std::vector<std::pair<std::string, wg::RoutePolicy>> policies = {
    { "expected-finish", wg::RoutePolicy::ExpectedFinish },
    { "least-outstanding", wg::RoutePolicy::LeastOutstanding },
    { "round-robin", wg::RoutePolicy::RoundRobin },
    { "random", wg::RoutePolicy::Random }
  };
  for (const auto& [name, policy] : policies) {
    run.routing = policy;
    PrintRow(name, wg::test::Simulate(run));
  }
}

} // namespace

int main()
{
  std::printf("  %-22s %7s %7s %8s %8s %7s %7s %7s %8s %7s %7s\n", "policy",
              "sent", "whole", "attain", "of-poss", "p99-s", "extra", "wasted",
              "quiet", "q-wait", "cost-s");
  for (const auto& shape :
       { wg::test::HinokuniShape(), wg::test::WindwardShape() }) {
    PolicyRun run;
    run.shape = shape;
    for (const double load : { 0.5, 1.0, 1.5, 3.0 }) {
      run.load = load;
      run.fault = PolicyFault::None;
      PrintLoad(run, "no fault");
    }
    run.load = 0.8;
    const std::vector<std::pair<PolicyFault, std::string>> faults = {
      { PolicyFault::SlowEndpoint, "one endpoint five times slower" },
      { PolicyFault::EndpointDown, "one endpoint down" },
      { PolicyFault::SlowStage, "bottleneck stage at half speed" },
      { PolicyFault::StageDown, "bottleneck stage down for 24 of 40 s" },
      { PolicyFault::HallPartition, "one hall partitioned" },
      { PolicyFault::Flood, "one account at 20 times its rate" },
      { PolicyFault::Burst, "bursts of twice the rate" }
    };
    for (const auto& [fault, title] : faults) {
      run.fault = fault;
      PrintLoad(run, title);
    }
    run.fault = PolicyFault::None;
    run.load = 0.3;
    run.onlyQuiet = true;
    PrintLoad(run, "only the quiet account");
    run.onlyQuiet = false;
    for (const double load : { 0.5, 1.0, 1.5, 3.0 }) {
      run.load = load;
      for (const double lag : { 0.5, 2.0 }) {
        PrintRouting(run, lag);
      }
    }
  }
  return 0;
}
