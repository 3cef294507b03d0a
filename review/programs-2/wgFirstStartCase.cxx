// SPDX-License-Identifier: Apache-2.0
// At the first start of the whole system the machine of the first seed starts
// 0.25 s before the others, and loses its disk 0.15 s after its start; it is
// back half a second later. Can the deployment be used?
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "wgCaseSite.h"

namespace {

using wgcase::NowMs;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/** Machines start in any order within 0.3 s of each other. */
constexpr long OthersAfterMs = 250;
constexpr long LostAfterMs = 150;
constexpr long DownMs = 500;
constexpr long ContactMs = 3000;
constexpr long AckTimeoutMs = 4000;
/** Of calm time after the disruption in which the operator goes on sending:
 * more than ten times ackTimeoutMs.
 */
constexpr long OperatorMs = 60000;
constexpr long CallMs = 1000;

constexpr const char* Document =
  R"({"version":1,"routes":[{"name":"r-one","host":"one.example",)"
  R"("pathPrefix":"/one/","type":"idempotent","timeoutMs":3000,)"
  R"("latencyGoalMs":300,"priority":1,"service":"plain","maxAttempts":2,)"
  R"("public":true}],"services":[{"name":"plain","healthPath":"/healthz",)"
  R"("maxConnections":110,"protocol":"h1","tls":false}],"limits":)"
  R"({"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
  R"("idleTimeoutMs":15000},"tenants":[{"name":"t-one",)"
  R"("apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]})";

bool IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/** Sends the first document to one machine after the other, with a pause that
 * grows, as the operator does.
 * \return when it was acknowledged; -1: never
 */
long PublishUntil(wgcase::Site& site, wgcase::Record& record, long untilMs)
{
  const auto core = site.Core();
  long pause = 100;
  for (std::size_t i = 0; NowMs() < untilMs; ++i) {
    const wgcase::Machine& machine = *core[i % core.size()];
    const int status =
      wgcase::Publish(site.ControlPlane(machine), Document, NowMs() + CallMs);
    record.Note("PUT /-/config at " + machine.name + ": " +
                (status == 0 ? "no answer" : std::to_string(status)));
    if (status == 200) {
      return NowMs();
    }
    wgcase::SleepMs(pause);
    pause = std::min(2 * pause, 1000L);
  }
  return -1;
}

int Run(const std::string& root, wgcase::Record& record)
{
  wgcase::Site site(root, record);
  wgcase::Machine& seed = site.Add("core-a", "zone-a", true);
  site.Add("core-b", "zone-b", true);
  site.Add("core-c", "zone-c", true);
  site.Add("edge-a", "zone-a", false);
  site.Add("edge-b", "zone-b", false);
  site.Start(seed, true);
  wgcase::SleepMs(LostAfterMs);
  if (IsTroubled()) {
    site.Kill(seed);
    site.LoseDisk(seed);
  }
  wgcase::SleepMs(OthersAfterMs - LostAfterMs);
  for (auto* machine : site.Core()) {
    if (machine != &seed) {
      site.Start(*machine, true);
    }
  }
  for (auto* machine : site.Edge()) {
    site.Start(*machine, true);
  }
  if (IsTroubled()) {
    wgcase::SleepMs(LostAfterMs + DownMs - OthersAfterMs);
    site.Start(seed, false);
  }
  wgcase::SleepMs(ContactMs);
  const long calm = NowMs();
  const long acknowledged = PublishUntil(site, record, calm + OperatorMs);
  bool allUp = true;
  for (auto* machine : site.Core()) {
    allUp = site.IsUp(*machine) && allUp;
  }
  if (!allUp) {
    record.Note("a process of the core has ended by itself");
    return CouldNotRun;
  }
  if (acknowledged < 0 || acknowledged - calm > AckTimeoutMs) {
    record.Note(
      "BROKEN: " + std::to_string(NowMs() - calm) +
      " ms of calm, all three machines of the core up, and the "
      "first configuration is " +
      (acknowledged < 0 ? "never acknowledged" : "acknowledged too late"));
    return Broken;
  }
  record.Note("held: acknowledged " + std::to_string(acknowledged - calm) +
              " ms after the calm began");
  return Held;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: wgFirstStartCase ROOT RECORD\n";
    return CouldNotRun;
  }
  wgcase::Record record(argv[2]);
  NowMs();
  return Run(argv[1], record);
}
