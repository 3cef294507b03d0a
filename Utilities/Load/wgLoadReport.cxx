// SPDX-License-Identifier: Apache-2.0
#include "wgLoadReport.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace wg {
namespace {

using Json = nlohmann::json;

constexpr double MsPerSecond = 1000.0;

double Quantile(std::vector<double> values, double q)
{
  if (values.empty()) {
    return -1.0;
  }
  const auto at =
    std::min(values.size() - 1,
             static_cast<std::size_t>(q * static_cast<double>(values.size())));
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(at);
  std::nth_element(values.begin(), middle, values.end());
  return *middle * MsPerSecond;
}

Json Quantiles(const std::vector<double>& values)
{
  return { { "p50_ms", Quantile(values, 0.5) },
           { "p95_ms", Quantile(values, 0.95) },
           { "p99_ms", Quantile(values, 0.99) } };
}

Json Summarize(absl::Span<const LoadResult> results)
{
  std::vector<double> whole;
  std::vector<double> refused;
  std::vector<double> firstTokens;
  std::vector<double> gaps;
  std::map<std::string, int> reasons;
  int wrong = 0;
  int lost = 0;
  for (const LoadResult& result : results) {
    if (result.whole) {
      whole.push_back(result.seconds);
    } else if (result.wrong) {
      ++wrong;
    } else if (!result.reason.empty()) {
      refused.push_back(result.seconds);
      ++reasons[result.reason];
    } else {
      ++lost;
    }
    if (result.firstTokenSeconds >= 0) {
      firstTokens.push_back(result.firstTokenSeconds);
    }
    if (result.longestGapSeconds >= 0) {
      gaps.push_back(result.longestGapSeconds);
    }
  }
  const double attained = results.empty()
                            ? 0.0
                            : static_cast<double>(whole.size()) /
                                static_cast<double>(results.size());
  return { { "sent", results.size() },
           { "whole", whole.size() },
           { "attained", attained },
           { "wrong", wrong },
           { "no_answer", lost },
           { "refusals", reasons },
           { "answer", Quantiles(whole) },
           { "refusal", Quantiles(refused) },
           { "first_token", Quantiles(firstTokens) },
           { "longest_gap", Quantiles(gaps) } };
}

/** Sums by stage over all answers. */
Json SumCosts(absl::Span<const LoadResult> results)
{
  std::map<std::string, LoadStageCost> sums;
  for (const LoadResult& result : results) {
    for (const LoadStageCost& cost : result.costs) {
      LoadStageCost& sum = sums[cost.stage];
      sum.tries += cost.tries;
      sum.tokens += cost.tokens;
      sum.usefulSeconds += cost.usefulSeconds;
      sum.wastedSeconds += cost.wastedSeconds;
    }
  }
  Json stages = Json::object();
  for (const auto& [stage, sum] : sums) {
    stages[stage] = { { "tries", sum.tries },
                      { "tokens", sum.tokens },
                      { "useful_s", sum.usefulSeconds },
                      { "wasted_s", sum.wastedSeconds } };
  }
  return stages;
}

std::string Row(const std::string& name, const Json& part)
{
  return absl::StrFormat(
    "%-16s %6d %6d %8.4f %6d %6d %9.1f %9.1f %9.1f\n", name,
    part["sent"].get<int>(), part["whole"].get<int>(),
    part["attained"].get<double>(), part["wrong"].get<int>(),
    part["no_answer"].get<int>(), part["answer"]["p50_ms"].get<double>(),
    part["answer"]["p95_ms"].get<double>(),
    part["answer"]["p99_ms"].get<double>());
}

} // namespace

Json MakeLoadReport(absl::Span<const LoadResult> results, double seconds)
{
  std::map<std::string, std::vector<LoadResult>> byAccount;
  for (const LoadResult& result : results) {
    byAccount[result.account].push_back(result);
  }
  Json report = Summarize(results);
  report["seconds"] = seconds;
  report["cost_by_stage"] = SumCosts(results);
  for (const auto& [account, part] : byAccount) {
    report["accounts"][account] = Summarize(part);
  }
  return report;
}

std::string PrintLoadReport(const Json& report)
{
  std::string out = absl::StrFormat(
    "%-16s %6s %6s %8s %6s %6s %9s %9s %9s\n", "account", "sent", "whole",
    "attained", "wrong", "none", "p50_ms", "p95_ms", "p99_ms");
  if (report.contains("accounts")) {
    for (const auto& [account, part] : report["accounts"].items()) {
      out += Row(account, part);
    }
  }
  out += Row("all", report);
  if (report["first_token"]["p50_ms"].get<double>() >= 0) {
    absl::StrAppendFormat(
      &out,
      "first token: p50 %.1f ms, p95 %.1f ms; longest gap: p95 %.1f ms\n",
      report["first_token"]["p50_ms"].get<double>(),
      report["first_token"]["p95_ms"].get<double>(),
      report["longest_gap"]["p95_ms"].get<double>());
  }
  for (const auto& [reason, count] : report["refusals"].items()) {
    absl::StrAppendFormat(&out, "refused, %s: %d\n", reason, count.get<int>());
  }
  for (const auto& [stage, cost] : report["cost_by_stage"].items()) {
    absl::StrAppendFormat(
      &out, "cost of %s: %d tries, %d tokens, %.3f s useful, %.3f s wasted\n",
      stage, cost["tries"].get<int>(), cost["tokens"].get<int>(),
      cost["useful_s"].get<double>(), cost["wasted_s"].get<double>());
  }
  return out;
}

} // namespace wg
