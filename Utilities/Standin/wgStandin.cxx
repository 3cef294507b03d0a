// SPDX-License-Identifier: Apache-2.0
#include "wgStandinEngine.h"
#include "wgStandinPlatform.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <vector>

#include <tclap/CmdLine.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace {

constexpr int ExitBadArguments = 2;
constexpr int ExitCannotStart = 1;

std::atomic<bool> Ended{ false };

void OnSignal(int)
{
  Ended = true;
}

/** Reads kind:port:slots:ms. */
std::optional<wg::StandinSettings> ParseServe(const std::string& text)
{
  const std::vector<std::string> words = absl::StrSplit(text, ':');
  wg::StandinSettings settings;
  const bool sound =
    words.size() == 4 && absl::SimpleAtoi(words[1], &settings.port) &&
    absl::SimpleAtoi(words[2], &settings.slots) && settings.slots > 0 &&
    absl::SimpleAtod(words[3], &settings.stageMs);
  settings.kind = words[0];
  return sound ? std::optional(settings) : std::nullopt;
}

void WaitUntilEnded(int lifetimeSeconds)
{
  const absl::Time end = absl::Now() + absl::Seconds(lifetimeSeconds);
  while (!Ended && absl::Now() < end) {
    absl::SleepFor(absl::Milliseconds(50));
  }
}

} // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine line("Stand-in endpoints for tests and the demo; listens on "
                      "127.0.0.1 and ends by itself.",
                      ' ', WG_VERSION);
  TCLAP::MultiArg<std::string> serve(
    "", "serve",
    "kind:port:slots:ms, where kind is encode, retrieve, "
    "rerank, generate or service",
    false, "endpoint", line);
  TCLAP::ValueArg<int> platform("", "platform", "port of a platform's list",
                                false, 0, "port", line);
  TCLAP::ValueArg<double> lag("", "load-lag-ms",
                              "how old a report of the load may be", false, 0,
                              "ms", line);
  TCLAP::ValueArg<int> lifetime("", "lifetime", "seconds until it ends", false,
                                600, "seconds", line);
  line.parse(argc, argv);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::unique_ptr<wg::StandinEngine>> engines;
  for (const std::string& text : serve.getValue()) {
    auto settings = ParseServe(text);
    if (!settings) {
      std::cerr << "\"" << text << "\" is not of the form kind:port:slots:ms; "
                << "correct it.\n";
      return ExitBadArguments;
    }
    settings->loadLagMs = lag.getValue();
    engines.push_back(std::make_unique<wg::StandinEngine>(*settings));
    if (!engines.back()->Start()) {
      std::cerr << "Port " << settings->port << " is in use; free it.\n";
      return ExitCannotStart;
    }
  }
  wg::StandinPlatform list(platform.getValue());
  if (platform.getValue() != 0 && !list.Start()) {
    std::cerr << "Port " << platform.getValue() << " is in use; free it.\n";
    return ExitCannotStart;
  }
  WaitUntilEnded(lifetime.getValue());
  return 0;
}
