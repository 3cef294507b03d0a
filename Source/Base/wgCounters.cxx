// SPDX-License-Identifier: Apache-2.0
#include "wgCounters.h"

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr unsigned HistogramBins = 48;
constexpr double ShortestSeconds = 0.0001;
constexpr double LongestSeconds = 100.0;

constexpr std::array<absl::string_view, static_cast<std::size_t>(Event::Count)>
  EventNames = { {
    "request_accepted",    "request_answered",
    "stage_started",       "stage_finished",
    "answer_late",         "answer_duplicate",
    "answer_foreign",      "stream_resumed",
    "stage_cancelled",     "endpoint_ejected",
    "endpoint_readmitted", "peer_rejected",
    "peer_message",        "peer_bytes",
    "claim_taken",         "claim_released",
    "config_in_force",     "cut_at_stop",
    "heartbeat_refused",   "end_kept",
    "end_not_kept",
  } };

template <class E>
std::size_t Slot(E value)
{
  return static_cast<std::size_t>(value);
}

template <class E, class Cells>
void PrintFamily(absl::string_view family, absl::string_view label,
                 const Cells& cells, std::string& out)
{
  absl::StrAppend(&out, "# TYPE ", family, " counter\n");
  for (std::size_t i = 0; i < cells.size(); ++i) {
    absl::StrAppend(&out, family, "{", label, "=\"", Name(static_cast<E>(i)),
                    "\"} ", cells[i].load(), "\n");
  }
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : bins_(boost::histogram::make_histogram_with(
      Storage(), Axis(HistogramBins, ShortestSeconds, LongestSeconds)))
{
}

void LatencyHistogram::Record(absl::Duration time)
{
  bins_(absl::ToDoubleSeconds(time));
}

void LatencyHistogram::Print(const std::string& name, std::string& out) const
{
  absl::StrAppend(&out, "# TYPE ", name, " histogram\n");
  const auto& axis = bins_.axis(0);
  std::uint64_t total = bins_.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    total += bins_.at(i);
    absl::StrAppend(&out, name, "_bucket{le=\"", axis.bin(i).upper(), "\"} ",
                    total, "\n");
  }
  total += bins_.at(axis.size());
  absl::StrAppend(&out, name, "_bucket{le=\"+Inf\"} ", total, "\n", name,
                  "_count ", total, "\n");
}

absl::string_view Name(Event event)
{
  return EventNames[Slot(event)];
}

void Counters::Add(Reason reason)
{
  refusals_[Slot(reason)].fetch_add(1, std::memory_order_relaxed);
}

void Counters::Add(RetryReason reason)
{
  retries_[Slot(reason)].fetch_add(1, std::memory_order_relaxed);
}

void Counters::Add(Event event, std::uint64_t amount)
{
  events_[Slot(event)].fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t Counters::Get(Reason reason) const
{
  return refusals_[Slot(reason)].load();
}

std::uint64_t Counters::Get(RetryReason reason) const
{
  return retries_[Slot(reason)].load();
}

std::uint64_t Counters::Get(Event event) const
{
  return events_[Slot(event)].load();
}

std::string Counters::Print() const
{
  std::string out;
  PrintFamily<Reason>("weirgate_refusals_total", "reason", refusals_, out);
  PrintFamily<RetryReason>("weirgate_retries_total", "reason", retries_, out);
  PrintFamily<Event>("weirgate_events_total", "event", events_, out);
  requestTime_.Print("weirgate_request_seconds", out);
  firstTokenTime_.Print("weirgate_first_token_seconds", out);
  return out;
}

} // namespace wg
