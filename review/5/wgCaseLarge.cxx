// SPDX-License-Identifier: Apache-2.0
// One caller's requests have many pieces; do processes end, and are requests
// of others at work in them lost?
#include <cstdlib>
#include <iostream>
#include <thread>

#include "../common/wgReviewPipeline.h"

namespace {

constexpr long CalmMs = 6000;
constexpr long TroubleMs = 30000;
constexpr int MostLost = 3; // by the rule
constexpr int ManyPieces = 2600;
constexpr int FewPieces = 40;

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
  Pipeline pipeline(site, record,
                    [](const StageServer&) { return Fault::None; });
  pipeline.Begin();
  pipeline.AddCallers("order", 6, 40);
  int ends = 0;
  const auto run = [&](long ms) {
    for (const long until = NowMs() + ms; NowMs() < until;) {
      ends += site.TendEnded();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  };
  run(CalmMs);
  pipeline.AddUnusualCaller(0, 4000,
                            { 2, hasTrouble ? ManyPieces : FewPieces }, "");
  run(TroubleMs);
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
