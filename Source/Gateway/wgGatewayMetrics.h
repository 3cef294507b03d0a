// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/histogram.hpp>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace wg {

/** \class GatewayMetrics
 * \brief Counters by name and reason, and histograms of latencies. Used on
 * one loop.
 */
class GatewayMetrics
{
public:
  void Count(absl::string_view counter, std::uint64_t by = 1);
  void NoteLatency(absl::string_view what, absl::Duration latency);
  /** \brief All as Prometheus text. */
  std::string Print() const;

private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
    decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, Histogram, std::less<>> latencies_;
  std::map<std::string, double, std::less<>> sums_;
};

} // namespace wg
