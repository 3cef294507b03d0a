// SPDX-License-Identifier: Apache-2.0
// Compares policies of rolling out a version, in virtual time.
#include <cstdio>

#include "wgRolloutFleet.h"

namespace {

using wg::test::FleetPolicy;
using wg::test::FleetResult;
using wg::test::FleetSettings;

void PrintRow(const char* name, FleetPolicy policy,
              const FleetSettings& settings)
{
  const FleetResult result = wg::test::RunFleet(policy, settings);
  std::printf("  %-22s %-9s %7.0f %14d %6d\n", name,
              result.finished ? "finished" : "held", result.seconds,
              result.minServing, result.lost);
}

void PrintTable(const char* title, const FleetSettings& settings)
{
  std::printf("%s\n  %-22s %-9s %7s %14s %6s\n", title, "way", "ends",
              "seconds", "least serving", "lost");
  PrintRow("one by one", FleetPolicy::OneByOne, settings);
  PrintRow("one by one, by name", FleetPolicy::ByName, settings);
  PrintRow("batches of 3, by name", FleetPolicy::Batches, settings);
}

} // namespace

int main()
{
  FleetSettings settings;
  PrintTable("18 engines, 60 s to load", settings);
  settings.notServing = 2;
  PrintTable("the same, 2 of them not serving", settings);
  settings.minReady = settings.replicas - settings.notServing;
  PrintTable("the same, 16 to stay ready", settings);
  settings = {};
  settings.loadFails = true;
  PrintTable("18 engines, the new version never comes up", settings);
  return 0;
}
