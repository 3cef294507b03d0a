// SPDX-License-Identifier: Apache-2.0
// Servers of the last stage give some results names that are far too long; do
// processes end, and are requests at work in them lost?
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

#include "../common/wgReviewPipeline.h"

namespace {

constexpr long CalmMs = 4000; // before and after
constexpr long TroubleMs = 5500;
constexpr int MostLost = 3; // by the rule

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
  std::atomic<bool> isFaulty{ false };
  std::mutex mutex;
  std::mt19937 random(std::random_device{}());
  // Two of five servers of one service, 2 of 100 answers.
  const auto choose = [&](const StageServer& server) {
    const bool isChosen =
      server.Plan().service == "emb" && server.Plan().number < 2;
    const std::lock_guard<std::mutex> lock(mutex);
    constexpr double share = 0.02;
    const bool spoils = hasTrouble && isFaulty && isChosen &&
                        std::uniform_real_distribution<>(0, 1)(random) < share;
    return spoils ? Fault::Long : Fault::None;
  };
  Pipeline pipeline(site, record, choose);
  pipeline.Begin();
  pipeline.AddCallers("sum", 6, 150);
  pipeline.AddCallers("order", 6, 40);
  int ends = 0;
  const auto run = [&](long ms) {
    for (const long until = NowMs() + ms; NowMs() < until;) {
      ends += site.TendEnded();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  };
  run(CalmMs);
  for (int window = 0; window < 6; ++window) {
    record.Write("servers begin to spoil answers");
    isFaulty = true;
    run(TroubleMs);
    isFaulty = false;
    record.Write("servers are sound again");
    run(CalmMs);
  }
  pipeline.End();
  const Outcomes& outcomes = pipeline.Results();
  const std::string summary =
    "sent " + std::to_string(outcomes.sent) + ", served " +
    std::to_string(outcomes.served) + ", refused " +
    std::to_string(outcomes.refused) + ", failed " +
    std::to_string(outcomes.failed) + "; processes that ended by themselves " +
    std::to_string(ends) + "; LOST " + std::to_string(outcomes.lost) +
    " (bound " + std::to_string(MostLost) + ")";
  record.Write(summary);
  std::cout << summary << "\n";
  return outcomes.lost > MostLost ? 1 : 0;
}
