// SPDX-License-Identifier: Apache-2.0
// Servers of two versions serve side by side; after a calm minute all
// processes are killed and come back. Do streams that were cut go on at
// servers of the other version?
#include <chrono>
#include <cstdlib>
#include <thread>

#include "../common/wgReviewStreams.h"

namespace {

constexpr long CalmMs = 63000;
constexpr long StreamMs = 3000; // before all are killed
constexpr long BetweenMs = 200; // heartbeats come one after the other
constexpr int LimitMs = 20000;
constexpr std::size_t Streams = 144;
constexpr int OlderServers = 3;
constexpr int NewerServers = 3;

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
  Engines older =
    MakeEngines(site, "v1", OlderServers, olderPlace, ledger, record);
  Engines newer =
    MakeEngines(site, "v2", NewerServers, newerPlace, ledger, record);
  site.StartAll();
  for (Engines* engines : { &older, &newer }) {
    for (const auto& engine : *engines) {
      engine->Begin();
      Pause(BetweenMs);
    }
  }
  if (!site.Publish(StreamDocument(), LimitMs) || !site.AwaitReady(LimitMs)) {
    CannotRun("the site does not come up");
  }
  Pause(CalmMs);
  StreamCallers callers(site, Streams, record);
  callers.Begin();
  Pause(StreamMs);
  if (hasTrouble) {
    KillAll(site, record);
  }
  return callers.End();
}
