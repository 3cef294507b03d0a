// SPDX-License-Identifier: Apache-2.0
// The last servers of an old version leave; all processes are killed and come
// back. Do streams that were cut go on at servers of the new version?
#include <chrono>
#include <cstdlib>
#include <thread>

#include "../common/wgReviewStreams.h"

namespace {

constexpr long DrainMs = 2000;
constexpr long LingerMs = 1500; // beyond that
constexpr long StepMs = 1000;
constexpr long DownMs = 700;
constexpr int LimitMs = 20000;
constexpr std::size_t Streams = 24;
constexpr int Servers = 3;

void Pause(long ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

int main(int argc, char** argv)
{
  using namespace wg::review;
  if (argc < 4) {
    CannotRun("usage: ROOT FOLDER RECORD");
  }
  const char* told = std::getenv("TROUBLE");
  const bool hasTrouble = told == nullptr || std::string(told) != "0";
  Record record(argv[3]);
  Site site(argv[1], argv[2], 3, record);
  Ledger ledger(record);
  constexpr int olderPlace = 101;
  constexpr int newerPlace = 111;
  Engines older = MakeEngines(site, "v1", Servers, olderPlace, ledger, record);
  Engines newer = MakeEngines(site, "v2", Servers, newerPlace, ledger, record);
  site.StartAll();
  for (const auto& engine : older) {
    engine->Begin();
  }
  if (!site.Publish(StreamDocument(), LimitMs) || !site.AwaitReady(LimitMs)) {
    CannotRun("the site does not come up");
  }
  Pause(ContactMs);
  StreamCallers callers(site, Streams, record);
  callers.Begin();
  Pause(StepMs);
  record.Write("servers of v2 start");
  for (const auto& engine : newer) {
    engine->Begin();
  }
  Pause(StepMs);
  for (const auto& engine : older) {
    const bool isTaken = engine->Leave();
    record.Write("server " + engine->Id() + " of v1 leaves, " +
                 (isTaken ? "acknowledged" : "not acknowledged"));
  }
  Pause(DrainMs);
  if (hasTrouble) {
    KillAll(site, record);
  } else {
    Pause(DownMs);
  }
  Pause(LingerMs - DownMs);
  record.Write("servers of v1 end");
  older.clear();
  return callers.End();
}
