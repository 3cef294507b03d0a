// SPDX-License-Identifier: Apache-2.0
#include "wgLoadCall.h"
#include "wgLoadReport.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "absl/random/random.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace {

constexpr int ExitBadArguments = 2;
constexpr int ExitNotWhole = 3;
constexpr absl::Duration BalancerPeriod = absl::Milliseconds(200);

std::optional<std::vector<wg::LoadInput>> ReadInputs(const std::string& path)
{
  std::ifstream file(path);
  std::vector<wg::LoadInput> inputs;
  std::string line;
  while (std::getline(file, line)) {
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object()) {
      return std::nullopt;
    }
    wg::LoadInput input;
    input.account = json.value("account", "");
    input.key = json.value("key", "");
    input.pipeline = json.value("pipeline", "");
    input.input = json.value("input", "");
    input.maxTokens = json.value("max_tokens", input.maxTokens);
    input.once = json.value("once", false);
    inputs.push_back(std::move(input));
  }
  return inputs.empty() ? std::nullopt : std::optional(std::move(inputs));
}

/** Sends at random times of a given mean rate, whatever the answers do. */
class OpenLoop
{
public:
  OpenLoop(std::vector<wg::LoadInput> inputs, wg::Balancer& balancer,
           wg::CallSettings settings)
    : inputs_(std::move(inputs))
    , balancer_(balancer)
    , settings_(settings)
  {
  }

  std::vector<wg::LoadResult> Run(double rate, std::size_t count,
                                  std::size_t workers, std::uint64_t seed)
  {
    results_.resize(count);
    due_.reserve(count);
    std::seed_seq seeds{ seed };
    absl::BitGen random(seeds);
    absl::Time at = absl::Now();
    for (std::size_t i = 0; i < count; ++i) {
      at += absl::Seconds(absl::Exponential<double>(random, rate));
      due_.push_back(at);
    }
    std::thread refresher([this] {
      while (!done_) {
        balancer_.Refresh();
        absl::SleepFor(BalancerPeriod);
      }
    });
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < workers; ++i) {
      threads.emplace_back([this] { Work(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    done_ = true;
    refresher.join();
    return std::move(results_);
  }

private:
  void Work()
  {
    for (std::size_t i = next_++; i < due_.size(); i = next_++) {
      absl::SleepFor(due_[i] - absl::Now());
      results_[i] =
        wg::SendOne(balancer_, inputs_[i % inputs_.size()], settings_);
    }
  }

  std::vector<wg::LoadInput> inputs_;
  wg::Balancer& balancer_;
  wg::CallSettings settings_;
  std::vector<absl::Time> due_;
  std::vector<wg::LoadResult> results_;
  std::atomic<std::size_t> next_{ 0 };
  std::atomic<bool> done_{ false };
};

void WriteTrace(const std::string& path,
                const std::vector<wg::LoadResult>& results)
{
  std::ofstream file(path);
  for (const wg::LoadResult& result : results) {
    file << nlohmann::json{ { "request", result.request },
                            { "account", result.account },
                            { "pipeline", result.pipeline },
                            { "status", result.status },
                            { "reason", result.reason },
                            { "run", result.run },
                            { "whole", result.whole },
                            { "wrong", result.wrong } }
              .dump()
         << "\n";
  }
}

} // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine line("Open-loop load for weirgate's entries.", ' ',
                      WG_VERSION);
  TCLAP::ValueArg<std::string> entries("", "entries",
                                       "IP:port of entries, "
                                       "separated by commas",
                                       true, "", "addresses", line);
  TCLAP::ValueArg<std::string> inputs("", "inputs",
                                      "file with one JSON "
                                      "object a line",
                                      true, "", "file", line);
  TCLAP::ValueArg<double> rate("", "rate", "requests a second", false, 20,
                               "number", line);
  TCLAP::ValueArg<std::size_t> count("", "count", "requests in all", false,
                                     200, "number", line);
  TCLAP::ValueArg<std::size_t> workers("", "workers",
                                       "requests open at once "
                                       "at the most",
                                       false, 256, "number", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the arrivals", false, 1,
                                      "number", line);
  TCLAP::ValueArg<int> deadline("", "deadline-ms",
                                "of every request; 0: the "
                                "pipeline's",
                                false, 0, "ms", line);
  TCLAP::SwitchArg stream("", "stream", "ask for streamed answers", line);
  TCLAP::ValueArg<std::string> output("", "output", "table or json", false,
                                      "table", "format", line);
  TCLAP::ValueArg<std::string> trace("", "trace",
                                     "file to write each result "
                                     "to",
                                     false, "", "file", line);
  TCLAP::SwitchArg strict("", "strict",
                          "exit with 3 unless every answer is "
                          "whole",
                          line);
  line.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  auto read = ReadInputs(inputs.getValue());
  if (!read || rate.getValue() <= 0) {
    std::cerr << "The inputs can't be read, or the rate is not above 0; "
              << "correct them.\n";
    return ExitBadArguments;
  }
  wg::Balancer balancer(absl::StrSplit(entries.getValue(), ','));
  OpenLoop loop(std::move(*read), balancer,
                { stream.getValue(), deadline.getValue() });
  const absl::Time start = absl::Now();
  const std::vector<wg::LoadResult> results = loop.Run(
    rate.getValue(), count.getValue(), workers.getValue(), seed.getValue());
  const nlohmann::json report =
    wg::MakeLoadReport(results, absl::ToDoubleSeconds(absl::Now() - start));
  if (!trace.getValue().empty()) {
    WriteTrace(trace.getValue(), results);
  }
  std::cout << (output.getValue() == "json" ? report.dump(2) + "\n"
                                            : wg::PrintLoadReport(report));
  const bool allWhole = report["whole"] == report["sent"];
  return strict.getValue() && !allWhole ? ExitNotWhole : 0;
}
