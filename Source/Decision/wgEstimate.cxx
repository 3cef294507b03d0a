// SPDX-License-Identifier: Apache-2.0
#include "wgEstimate.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

constexpr double MinGain = 0.04;
/** Number of observations from which the prior is ignored. */
constexpr int SamplesWithoutPrior = 4;

} // namespace

void Observe(TimeEstimate& estimate, double seconds)
{
  ++estimate.samples;
  const double gain = std::max(MinGain, 1.0 / estimate.samples);
  const double error = seconds - estimate.mean;
  estimate.mean += gain * error;
  estimate.spread += gain * (std::abs(error) - estimate.spread);
}

double ExpectedSeconds(const TimeEstimate& estimate, double priorSeconds)
{
  const double meanWeight =
    std::min(1.0, static_cast<double>(estimate.samples) / SamplesWithoutPrior);
  return meanWeight * estimate.mean + (1.0 - meanWeight) * priorSeconds;
}

} // namespace wg
