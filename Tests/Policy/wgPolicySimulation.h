// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "wgAttempts.h"
#include "wgDispatch.h"
#include "wgPolicyShapes.h"

namespace wg::test {

/** \brief Faults of endpoints and links, and disturbances of the load.
 *
 * The bottleneck group is the one with the least capacity for its requests.
 */
enum class PolicyFault
{
  None,
  SlowEndpoint, // one endpoint of the bottleneck group, five times slower
  EndpointDown, // one endpoint of the bottleneck group refuses connections
  SlowStage,    // the bottleneck group runs at half speed
  StageDown,    // the bottleneck group refuses connections for 60 % of the run
  HallPartition, // the first hall reaches only its own endpoints
  Flood,         // one account at twenty times its request rate
  Burst          // twice the request rate and none, in turn
};

/** \brief Parameters of a simulation run. */
struct PolicyRun
{
  Shape shape;
  double load = 1.0; // arrival rate as a multiple of the capacity
  PolicyFault fault = PolicyFault::None;
  RoutePolicy routing = RoutePolicy::ExpectedFinish;
  bool admission = true; // reject requests that can't meet their deadline
  bool fair = true;      // fair queueing between accounts; false: FIFO
  double reportLagSeconds = 1.0; // delay of load reports
  double seconds = 40.0;
  std::uint64_t seed = 1;
  bool onlyQuiet = false; // only the quiet account sends requests
};

/** \brief Result of a simulation run. */
struct PolicyResult
{
  int requests = 0;
  int attained = 0;        // requests answered by their deadline
  int refused = 0;         // at admission
  int failed = 0;          // after admission; excludes requests that timed out
  int maxAttainable = 0;   // upper bound of `attained` under any policy
  double attainment = 0.0; // attained / requests
  double ofMaxAttainable = 0.0; // attained / upper bound
  double p99Seconds = 0.0;      // latency of the attained requests
  double retriesPerRequest = 0.0;
  double wastedFraction = 0.0;   // of endpoint seconds, on lost requests
  double quietAttainment = 0.0;  // attainment of the quiet account
  double quietLongestWait = 0.0; // of the quiet account at one stage, seconds
  double secondsPerAnswer = 0.0; // endpoint seconds per attained request
};

/** \brief Simulates a run in virtual time; equal runs give equal results. */
PolicyResult Simulate(const PolicyRun& run);

} // namespace wg::test
