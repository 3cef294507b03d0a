// SPDX-License-Identifier: Apache-2.0
// Servers of stages spoil some of their answers: in some times the reason of
// an item is no text, in others handles are far too long. Do processes end,
// and are requests at work in them lost?
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

#include "../common/wgReviewPipeline.h"

namespace {

constexpr long CalmMs = 4000; // before and after
constexpr long TroubleMs = 5500;
constexpr int Times = 6;
constexpr int MostLost = 3; // by the rule

/** What came of one way to spoil answers. */
struct Toll
{
  int ends = 0;
  int lost = 0;
};

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
  std::atomic<Fault> fault{ Fault::None };
  std::mutex mutex;
  std::mt19937 random(std::random_device{}());
  // Two of five servers of one service, 2 of 100 answers. Handles that are
  // too long are of the last stage: these go to the model server.
  const auto choose = [&](const StageServer& server) {
    const Fault now = fault;
    const bool isChosen =
      server.Plan().service == (now == Fault::Long ? "emb" : "enc") &&
      server.Plan().number < 2;
    const std::lock_guard<std::mutex> lock(mutex);
    constexpr double share = 0.02;
    const bool spoils =
      isChosen && std::uniform_real_distribution<>(0, 1)(random) < share;
    return spoils ? now : Fault::None;
  };
  Pipeline pipeline(site, record, choose);
  pipeline.Begin();
  pipeline.AddCallers("sum", 6, 150);
  pipeline.AddCallers("order", 6, 40);
  const Outcomes& outcomes = pipeline.Results();
  const auto run = [&](long ms) {
    int ends = 0;
    for (const long until = NowMs() + ms; NowMs() < until;) {
      ends += site.TendEnded();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return ends;
  };
  run(CalmMs);
  Toll ofReasons;
  Toll ofHandles;
  for (int time = 0; time < Times; ++time) {
    const bool isLong = time % 2 == 1;
    Toll& toll = isLong ? ofHandles : ofReasons;
    const int before = outcomes.lost;
    record.Write(isLong ? "servers begin to give handles that are too long"
                        : "servers begin to give reasons that are no text");
    fault = !hasTrouble ? Fault::None : isLong ? Fault::Long : Fault::Spoiled;
    toll.ends += run(TroubleMs);
    fault = Fault::None;
    record.Write("servers are sound again");
    toll.ends += run(CalmMs);
    toll.lost += outcomes.lost - before;
  }
  pipeline.End();
  const auto describe = [](const Toll& toll) {
    return std::to_string(toll.ends) + " processes ended by themselves, " +
           std::to_string(toll.lost) + " requests lost";
  };
  const std::string summary =
    "sent " + std::to_string(outcomes.sent) + ", served " +
    std::to_string(outcomes.served) + ", refused " +
    std::to_string(outcomes.refused) + ", failed " +
    std::to_string(outcomes.failed) +
    "; reasons that are no text: " + describe(ofReasons) +
    "; long handles: " + describe(ofHandles) + "; LOST " +
    std::to_string(outcomes.lost) + " (bound " + std::to_string(MostLost) +
    ")";
  record.Write(summary);
  std::cout << summary << "\n";
  return outcomes.lost > MostLost ? 1 : 0;
}
