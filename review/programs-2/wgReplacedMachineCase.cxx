// SPDX-License-Identifier: Apache-2.0
// A machine of the core is replaced as planned: the new one first, then the
// old one gets SIGTERM and is gone for good. Then another one loses its disk.
// Is what was acknowledged still there?
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "wgCaseSite.h"

namespace {

using wgcase::NowMs;
using wgcase::SleepMs;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

constexpr long FirstMs = 10000;
/** catchUpS is 4 s: from then on a new machine no longer counts as lost, and
 * one that was removed stops counting.
 */
constexpr long CatchUpMs = 4000;
constexpr long MarginMs = 2000;
constexpr long GraceMs = 8000;
constexpr long WipedAfterMs = 1000;
constexpr long DownMs = 700;
/** After all are back the rules allow recoveryS, 12 s. */
constexpr long RecoveryMs = 12000;
constexpr long ReadMs = 40000;
constexpr long CallMs = 1000;

bool IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string Document(int version)
{
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-one","host":"one.example",)"
         R"("pathPrefix":"/one/","type":"idempotent","timeoutMs":3000,)"
         R"("latencyGoalMs":300,"priority":1,"service":"plain",)"
         R"("maxAttempts":2,"public":true}],"services":[{"name":"plain",)"
         R"("healthPath":"/healthz","maxConnections":110,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"tenants":[{"name":"t-one",)"
         R"("apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]})";
}

/** One machine after the other, until one acknowledges. */
bool PublishUntil(wgcase::Site& site,
                  const std::vector<wgcase::Machine*>& core, int version,
                  wgcase::Record& record, long untilMs)
{
  for (std::size_t i = 0; NowMs() < untilMs; ++i) {
    const wgcase::Machine& machine = *core[i % core.size()];
    const int status = wgcase::Publish(site.ControlPlane(machine),
                                       Document(version), NowMs() + CallMs);
    record.Note("PUT /-/config, version " + std::to_string(version) + ", at " +
                machine.name + ": " + std::to_string(status));
    if (status == 200) {
      return true;
    }
    SleepMs(200);
  }
  return false;
}

/** Asks one machine after the other for the newest configuration.
 * \return whether one of them gave what was acknowledged
 */
bool ReadBackUntil(wgcase::Site& site,
                   const std::vector<wgcase::Machine*>& core,
                   wgcase::Record& record, long untilMs)
{
  for (std::size_t i = 0; NowMs() < untilMs; ++i) {
    const wgcase::Machine& machine = *core[i % core.size()];
    const std::string at = site.ControlPlane(machine);
    const auto answer = wgcase::Call(
      at,
      wgcase::PrintRequest("GET", "/-/config",
                           { { "Host", at }, { "Connection", "close" } }, ""),
      NowMs() + CallMs);
    record.Note("GET /-/config at " + machine.name + ": " +
                (answer ? std::to_string(answer->Status()) : "no answer"));
    if (answer && answer->Status() == 200) {
      return answer->body.find("\"version\":1,") != std::string::npos;
    }
    SleepMs(500);
  }
  return false;
}

/** \return whether the machine is gone, as its process had the time for */
bool Remove(wgcase::Site& site, wgcase::Machine& machine,
            wgcase::Record& record)
{
  site.Signal(machine, SIGTERM);
  const long until = NowMs() + GraceMs;
  while (site.IsUp(machine) && NowMs() < until) {
    SleepMs(10);
  }
  const bool isGone = !site.IsUp(machine);
  site.Kill(machine);
  record.Note(machine.name + " is gone for good");
  return isGone;
}

int Run(const std::string& root, wgcase::Record& record)
{
  wgcase::Site site(root, record);
  wgcase::Machine& first = site.Add("core-a", "zone-a", true);
  wgcase::Machine& second = site.Add("core-b", "zone-b", true);
  wgcase::Machine& third = site.Add("core-c", "zone-c", true);
  site.Add("edge-a", "zone-a", false);
  site.Add("edge-b", "zone-b", false);
  for (auto* machine : site.Core()) {
    site.Start(*machine, true);
  }
  for (auto* machine : site.Edge()) {
    site.Start(*machine, true);
  }
  if (!PublishUntil(site, site.Core(), 1, record, FirstMs)) {
    return CouldNotRun;
  }
  SleepMs(std::max(0L, FirstMs - NowMs()));
  wgcase::Machine& successor = site.Add("core-d", "zone-a", true);
  site.Start(successor, false);
  SleepMs(CatchUpMs + MarginMs);
  if (!Remove(site, first, record)) {
    return CouldNotRun;
  }
  SleepMs(WipedAfterMs);
  if (IsTroubled()) {
    site.Kill(second);
    site.LoseDisk(second);
    SleepMs(DownMs);
    site.Start(second, false);
  }
  SleepMs(RecoveryMs);
  const std::vector<wgcase::Machine*> core = { &second, &third, &successor };
  const bool isThere = ReadBackUntil(site, core, record, NowMs() + ReadMs);
  const bool isTaken =
    PublishUntil(site, core, 2, record, NowMs() + RecoveryMs);
  for (auto* machine : core) {
    if (!site.IsUp(*machine)) {
      record.Note("a process of the core has ended by itself");
      return CouldNotRun;
    }
  }
  if (!isThere || !isTaken) {
    record.Note("BROKEN: three machines of the core are up, and the "
                "acknowledged configuration " +
                std::string(isThere ? "is read back" : "can't be read back") +
                ", a new one " +
                std::string(isTaken ? "is taken" : "is not taken"));
    return Broken;
  }
  record.Note("held: read back, and a new one was taken");
  return Held;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: wgReplacedMachineCase ROOT RECORD\n";
    return CouldNotRun;
  }
  wgcase::Record record(argv[2]);
  NowMs();
  return Run(argv[1], record);
}
