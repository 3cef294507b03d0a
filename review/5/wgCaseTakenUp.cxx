// SPDX-License-Identifier: Apache-2.0
// Servers of two versions serve side by side, and all gateways are killed and
// come back. Do streams that were cut go on, once the gateways are in touch?
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "../common/wgReviewStreams.h"

namespace {

constexpr int Servers = 3; // of each version
constexpr long StreamMs = 3000;
constexpr int LimitMs = 20000;
constexpr std::size_t Count = 30;
constexpr std::size_t LeastTakenUp = 12; // by the rule

void Pause(long ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Streams that were asked for at machines in touch, and those of them that
 * got events.
 */
struct Share
{
  std::size_t all = 0;
  std::size_t served = 0;
};

Share ShareOf(const std::vector<wg::review::Stream>& streams, bool takesUp,
              long from)
{
  Share share;
  for (const wg::review::Stream& stream : streams) {
    bool isAsked = false;
    bool isServed = false;
    for (const wg::review::Try& one : stream.tries) {
      const bool counts = one.takesUp == takesUp && one.sentMs >= from;
      isAsked |= counts;
      isServed |= counts && one.hasEvents;
    }
    share.all += isAsked ? 1 : 0;
    share.served += isServed ? 1 : 0;
  }
  return share;
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
  for (Engines* engines : { &older, &newer }) {
    for (const auto& engine : *engines) {
      engine->Begin();
    }
  }
  if (!site.Publish(StreamDocument(), LimitMs) || !site.AwaitReady(LimitMs)) {
    CannotRun("the site does not come up");
  }
  Pause(ContactMs);
  StreamCallers callers(site, Count, record);
  callers.Begin();
  Pause(StreamMs);
  if (hasTrouble) {
    KillGateways(site, record);
  }
  const long inTouch = NowMs() + ContactMs;
  Pause(ContactMs);
  record.Write("the gateways are in touch");
  StreamCallers others(site, Count, record);
  others.Begin();
  callers.Await();
  others.Await();
  const Share takenUp = ShareOf(callers.Streams(), true, inTouch);
  const Share begun = ShareOf(others.Streams(), false, inTouch);
  const bool isBroken =
    takenUp.all >= LeastTakenUp &&
    2 * takenUp.served * begun.all < takenUp.all * begun.served;
  const std::string summary =
    "at machines in touch: streams taken up " + std::to_string(takenUp.all) +
    ", of which go on " + std::to_string(takenUp.served) + "; new streams " +
    std::to_string(begun.all) + ", of which begin " +
    std::to_string(begun.served) + (isBroken ? "; LOST" : "");
  record.Write(summary);
  std::cout << summary << "\n";
  return isBroken ? 1 : 0;
}
