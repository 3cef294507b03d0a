// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "wgRollout.h"

namespace wg::test {

/** \brief Who decides what is updated next. */
enum class FleetPolicy
{
  OneByOne, // NextRolloutStep
  ByName,   // baseline: one by one, in the order of names
  Batches   // baseline: so many at once, in the order of names
};

/** \brief A group of engines in virtual time; times in seconds. */
struct FleetSettings
{
  int replicas = 18;
  int notServing = 0; // the last ones, until they are updated
  int minReady = 0;
  int batch = 3;
  double drainSeconds = 4.0;
  double loadSeconds = 60.0;
  bool loadFails = false;
  double limitSeconds = 4000.0;
};

/** \brief What came of it. */
struct FleetResult
{
  bool finished = false;
  double seconds = 0.0;
  int leastServing = 0;
  int lost = 0; // served before, and do not at the end
};

FleetResult RunFleet(FleetPolicy policy, const FleetSettings& settings);

} // namespace wg::test
