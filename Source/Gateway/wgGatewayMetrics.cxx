// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayMetrics.h"

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

std::string Bucket(const std::string& what, absl::string_view bound,
                   std::uint64_t count)
{
  return absl::StrCat("weirgate_latency_seconds_bucket{of=\"", what,
                      "\",le=\"", bound, "\"} ", count, "\n");
}

} // namespace

void GatewayMetrics::Count(absl::string_view counter, std::uint64_t by)
{
  auto found = counters_.find(counter);
  if (found == counters_.end()) {
    found = counters_.emplace(std::string(counter), 0).first;
  }
  found->second += by;
}

void GatewayMetrics::NoteLatency(absl::string_view what,
                                 absl::Duration latency)
{
  auto found = latencies_.find(what);
  if (found == latencies_.end()) {
    const Axis axis{ 0.0, 0.01, 0.025, 0.05, 0.1, 0.2,
                     0.4, 0.8,  1.6,   3.2,  6.4, 12.8 };
    found =
      latencies_
        .emplace(std::string(what), boost::histogram::make_histogram(axis))
        .first;
  }
  const double seconds = absl::ToDoubleSeconds(latency);
  found->second(seconds);
  sums_[std::string(what)] += seconds;
}

std::string GatewayMetrics::Print() const
{
  std::string text;
  for (const auto& [name, value] : counters_) {
    absl::StrAppend(&text, "weirgate_gateway_total{event=\"", name, "\"} ",
                    value, "\n");
  }
  for (const auto& [what, histogram] : latencies_) {
    double below = 0.0;
    const auto& axis = histogram.axis();
    for (int i = 0; i < axis.size(); ++i) {
      below += histogram.at(i);
      absl::StrAppend(&text, Bucket(what, absl::StrCat(axis.bin(i).upper()),
                                    static_cast<std::uint64_t>(below)));
    }
    below += histogram.at(axis.size());
    const auto all = static_cast<std::uint64_t>(below);
    absl::StrAppend(
      &text, Bucket(what, "+Inf", all), "weirgate_latency_seconds_sum{of=\"",
      what, "\"} ", sums_.find(what)->second, "\n",
      "weirgate_latency_seconds_count{of=\"", what, "\"} ", all, "\n");
  }
  return text;
}

} // namespace wg
