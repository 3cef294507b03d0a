// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "wgRollout.h"

namespace wg::test {

/** \brief How the next endpoint to update is chosen. */
enum class FleetPolicy
{
  OneByOne, // NextRolloutStep
  ByName,   // baseline: one by one, by name
  Batches   // baseline: FleetSettings::batch at once, by name
};

/** \brief A group of engines in virtual time; times in seconds. */
struct FleetSettings
{
  int replicas = 18;
  int notServing = 0; // the last ones by name, until their update
  int minReady = 0;
  int batch = 3;
  double drainSeconds = 4.0;
  double loadSeconds = 60.0;
  bool loadFails = false;
  double limitSeconds = 4000.0;
};

struct FleetResult
{
  bool finished = false;
  double seconds = 0.0;
  int minServing = 0;
  int lost = 0; // engines that served at first and not at the end
};

FleetResult RunFleet(FleetPolicy policy, const FleetSettings& settings);

} // namespace wg::test
