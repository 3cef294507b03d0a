// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

#include "absl/time/time.h"

#include "wgReason.h"

namespace wg {

/** \brief Events counted besides refusals and retries. */
enum class Event
{
  RequestAccepted,
  RequestAnswered,
  StageStarted,
  StageFinished,
  AnswerLate,
  AnswerDuplicate,
  AnswerForeign,
  StreamResumed,
  StageCancelled,
  EndpointEjected,
  EndpointReadmitted,
  PeerRejected,
  PeerMessage,
  PeerBytes,
  ClaimTaken,
  ClaimReleased,
  ConfigInForce,
  CutAtStop,
  HeartbeatRefused, // of another writer
  EndKept,          // on as many disks as it must outlast, and acknowledged
  EndNotKept,       // in time; its endpoint calls another control box
  Count
};

/** \class LatencyHistogram
 * \brief Times from 0.1 ms to 100 s in logarithmic bins; safe to share.
 */
class LatencyHistogram
{
public:
  LatencyHistogram();
  void Record(absl::Duration time);
  /** \brief Prometheus text of the cumulative buckets, in seconds. */
  void Print(const std::string& name, std::string& out) const;

private:
  using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<Cell>;
  boost::histogram::histogram<std::tuple<Axis>, Storage> bins_;
};

/** \class Counters
 * \brief One atomic counter for each refusal reason, retry reason and event.
 */
class Counters
{
public:
  void Add(Reason reason);
  void Add(RetryReason reason);
  void Add(Event event, std::uint64_t amount = 1);
  std::uint64_t Get(Reason reason) const;
  std::uint64_t Get(RetryReason reason) const;
  std::uint64_t Get(Event event) const;
  LatencyHistogram& RequestTime() { return requestTime_; }
  LatencyHistogram& FirstTokenTime() { return firstTokenTime_; }
  /** \brief All counters in the Prometheus text format. */
  std::string Print() const;

private:
  template <class E>
  using Cells =
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(E::Count)>;
  Cells<Reason> refusals_{};
  Cells<RetryReason> retries_{};
  Cells<Event> events_{};
  LatencyHistogram requestTime_;
  LatencyHistogram firstTokenTime_;
};

absl::string_view Name(Event event);

} // namespace wg
