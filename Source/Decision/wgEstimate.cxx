// SPDX-License-Identifier: Apache-2.0
#include "wgEstimate.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

constexpr double SmallestGain = 0.04;
constexpr int FullTrustSamples = 4;

} // namespace

void Observe(TimeEstimate& estimate, double seconds)
{
  ++estimate.samples;
  const double gain = std::max(SmallestGain, 1.0 / estimate.samples);
  const double error = seconds - estimate.mean;
  estimate.mean += gain * error;
  estimate.spread += gain * (std::abs(error) - estimate.spread);
}

double ExpectedSeconds(const TimeEstimate& estimate, double priorSeconds)
{
  const double trust =
    std::min(1.0, static_cast<double>(estimate.samples) / FullTrustSamples);
  return trust * estimate.mean + (1.0 - trust) * priorSeconds;
}

} // namespace wg
