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

/** \brief What is done to the endpoints or to the load. */
enum class PolicyFault
{
  None,
  SlowEndpoint, // one of the tightest group five times slower
  DeadEndpoint, // one of the tightest group refuses connections
  SlowStage,    // the tightest group at half speed
  StageDown,    // the tightest group refuses connections, for a while
  HallCut,      // the first hall reaches only its own endpoints
  Flood,        // one account at twenty times its share
  Burst         // half of the time at twice the rate, half at none
};

/** \brief One run. */
struct PolicyRun
{
  Shape shape;
  double load = 1.0; // times the capacity
  PolicyFault fault = PolicyFault::None;
  RoutePolicy routing = RoutePolicy::ExpectedFinish;
  bool admission = true; // refuse what can't be answered in time
  bool fair = true;      // else first come, first served
  double reportLagSeconds = 1.0;
  double seconds = 40.0;
  std::uint64_t seed = 1;
  bool onlyQuiet = false; // the quiet account's requests alone
};

/** \brief What came of a run. */
struct PolicyResult
{
  int requests = 0;
  int attained = 0;
  int refused = 0;
  int failed = 0;
  int possible = 0; // at most so many could have been attained by anyone
  double attainment = 0.0;
  double ofPossible = 0.0; // attained, as a share of the possible
  double p99Seconds = 0.0; // of those attained
  double extraTries = 0.0; // per request
  double wastedWork = 0.0; // share of endpoint seconds not for an answer
  double quietAttainment = 0.0;
  double quietLongestWait = 0.0; // at any one stage, seconds
  double secondsPerAnswer = 0.0; // endpoint seconds: the cost
};

PolicyResult Simulate(const PolicyRun& run);

} // namespace wg::test
