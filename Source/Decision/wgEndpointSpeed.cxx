// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointSpeed.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wg {
namespace {

/** Samples closer together than this are not independent: machines are busy
 * for some 600 ms at a time.
 */
constexpr double IndependentSeconds = 0.25;
/** The lasting mean covers 480 independent samples, two minutes of work. */
constexpr double MaxMeanSamples = 480.0;
/** Bounds the weight of outliers, as a logarithm (1.65 times): a machine that
 * is busy for 15% of the time, and 2.5 times slower then, would shift a plain
 * mean by 15%.
 */
constexpr double MaxLogError = 0.5;
/** After this many samples, an endpoint's own mean weighs as much as the
 * median of its peers.
 */
constexpr double PriorSamples = 4.0;
constexpr double KnownConfidence = 0.5;
/** As a logarithm (22%): lasting slowdowns closer to the peers' median than
 * this are within the measurement noise. After four samples of which one fell
 * into a busy moment, equal endpoints differ by up to 15%.
 */
constexpr double NoiseLog = 0.2;
constexpr double TransientMemorySeconds = 0.5;
/** Applies after a sample beyond FaultFactor, which a busy machine does not
 * explain. Prefills of a faulty engine end 0.9 s apart: with the shorter
 * memory it got as many prompts as before until its fault was detected.
 */
constexpr double SuspectMemorySeconds = 2.0;
/** Between the noise of a healthy endpoint and the 2.5 of a busy machine. */
constexpr double SignificantTransient = 1.5;
constexpr double MaxFactor = 20.0;
constexpr double MinFactor = 0.2;
/** Between the 2.5 of a busy machine and the 5 of a faulty endpoint. */
constexpr double FaultFactor = 3.5;
constexpr int FaultSamples = 3;
/** A faulty endpoint is healthy again below this slowdown. */
constexpr double RecoveryFactor = 2.0;
constexpr int RecoverySamples = 2;
/** Faults last for some 6 s, and each probe may delay a request as long. */
constexpr absl::Duration ProbePeriod = absl::Seconds(1);
constexpr absl::Duration RecentTime = absl::Seconds(1);

double Decay(const EndpointSpeed& speed, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - speed.noted);
  const double memory =
    speed.consecutiveSlow > 0 ? SuspectMemorySeconds : TransientMemorySeconds;
  return std::exp(-std::max(age, 0.0) / memory);
}

double Confidence(const EndpointSpeed& speed)
{
  return speed.samples / (speed.samples + PriorSamples);
}

double LastingLog(const EndpointSpeed& speed, const PeerSpeeds& peers)
{
  const double common = std::log(peers.median);
  return common + Confidence(speed) * (speed.lastingLog - common);
}

void NoteLasting(EndpointSpeed& speed, const PeerSpeeds& peers,
                 double sampleLog, Elapsed now)
{
  double weight = 1.0;
  if (speed.samples == 0.0) {
    speed.lastingLog = std::log(peers.median);
  } else {
    weight = std::clamp(
      absl::ToDoubleSeconds(now - speed.noted) / IndependentSeconds, 0.0, 1.0);
  }
  speed.samples = std::min(speed.samples + weight, MaxMeanSamples);
  if (speed.samples > 0.0) {
    const double error =
      std::clamp(sampleLog - speed.lastingLog, -MaxLogError, MaxLogError);
    speed.lastingLog += weight / speed.samples * error;
  }
}

void NoteTransient(EndpointSpeed& speed, double excessLog, Elapsed now)
{
  const double before = speed.transientSamples * Decay(speed, now);
  speed.transientSamples = before + 1.0;
  speed.transientLog += (excessLog - speed.transientLog) / (before + 1.0);
}

/** If most peers are slow too, the service has more work than estimated and no
 * single endpoint is at fault.
 */
bool CanShowFault(const EndpointSpeed& speed, const PeerSpeeds& peers)
{
  const bool isComparable =
    Confidence(speed) >= KnownConfidence || peers.known >= 2;
  const bool areMostSlow = peers.recent > 1 && 2 * peers.slow > peers.recent;
  return isComparable && !areMostSlow;
}

SpeedChange EvaluateRecovery(EndpointSpeed& speed, double excess, Elapsed now)
{
  speed.probed = now;
  speed.consecutiveHealthy =
    excess < RecoveryFactor ? speed.consecutiveHealthy + 1 : 0;
  if (speed.consecutiveHealthy < RecoverySamples) {
    return SpeedChange::None;
  }
  speed.isFaulty = false;
  speed.consecutiveSlow = 0;
  return SpeedChange::Healthy;
}

SpeedChange EvaluateFault(EndpointSpeed& speed, const PeerSpeeds& peers,
                          double excess, double minExcess, Elapsed now)
{
  if (minExcess >= FaultFactor) {
    ++speed.consecutiveSlow;
  } else if (excess < FaultFactor) {
    speed.consecutiveSlow = 0;
  }
  if (speed.consecutiveSlow < FaultSamples || !CanShowFault(speed, peers)) {
    return SpeedChange::None;
  }
  speed.isFaulty = true;
  speed.consecutiveHealthy = 0;
  speed.probed = now;
  return SpeedChange::Faulty;
}

} // namespace

PeerSpeeds SummarizeSpeeds(absl::Span<const EndpointSpeed* const> peers,
                           Elapsed now)
{
  PeerSpeeds summary;
  std::vector<double> logs;
  logs.reserve(peers.size());
  for (const EndpointSpeed* peer : peers) {
    if (Confidence(*peer) >= KnownConfidence) {
      logs.push_back(peer->lastingLog);
    }
    if (peer->samples > 0.0 && now - peer->noted <= RecentTime) {
      ++summary.recent;
      summary.slow +=
        std::exp(peer->transientLog) >= SignificantTransient ? 1 : 0;
    }
  }
  summary.known = static_cast<int>(logs.size());
  if (!logs.empty()) {
    const auto middle =
      logs.begin() + static_cast<std::ptrdiff_t>((logs.size() - 1) / 2);
    std::nth_element(logs.begin(), middle, logs.end());
    summary.median = std::exp(*middle);
  }
  return summary;
}

SpeedChange NoteSpeed(EndpointSpeed& speed, const PeerSpeeds& peers,
                      const SpeedSample& sample, Elapsed now)
{
  if (std::isnan(sample.factor) || std::isnan(sample.minFactor)) {
    return SpeedChange::None;
  }
  const double factor = std::clamp(sample.factor, MinFactor, MaxFactor);
  const double least = std::clamp(sample.minFactor, MinFactor, factor);
  const double lasting = LastingLog(speed, peers);
  const double excessLog = std::log(factor) - lasting;
  const double excess = std::exp(excessLog);
  const SpeedChange change =
    speed.isFaulty
      ? EvaluateRecovery(speed, excess, now)
      : EvaluateFault(speed, peers, excess, least / std::exp(lasting), now);
  // Samples of a fault must not change the lasting mean, the reference for it.
  if (!speed.isFaulty && change == SpeedChange::None) {
    NoteLasting(speed, peers, std::log(factor), now);
  }
  NoteTransient(speed, excessLog, now);
  speed.noted = now;
  return change;
}

void NoteWorkWithoutSample(EndpointSpeed& speed, Elapsed now)
{
  if (speed.isFaulty) {
    speed.probed = now;
    speed.consecutiveHealthy = 0;
  }
}

SlowdownEstimate LastingSlowdown(const EndpointSpeed& speed,
                                 const PeerSpeeds& peers)
{
  return { std::exp(LastingLog(speed, peers)), Confidence(speed) };
}

SlowdownEstimate TransientSlowdown(const EndpointSpeed& speed, Elapsed now)
{
  const double samples = speed.transientSamples * Decay(speed, now);
  return { std::exp(std::max(speed.transientLog, 0.0)),
           samples / (samples + 1.0) };
}

SlowdownEstimate FaultSlowdown(const EndpointSpeed& speed)
{
  const double confidence =
    std::min(1.0, static_cast<double>(speed.consecutiveSlow) / FaultSamples);
  return { speed.isFaulty ? FaultFactor : 1.0, confidence };
}

double ExpectedSlowdown(const EndpointSpeed& speed, const PeerSpeeds& peers,
                        Elapsed now)
{
  const double common = std::log(peers.median);
  const double lasting = LastingLog(speed, peers);
  const bool differs = std::abs(lasting - common) > NoiseLog;
  const SlowdownEstimate transient = TransientSlowdown(speed, now);
  const double transientFactor =
    transient.factor >= SignificantTransient
      ? std::pow(transient.factor, transient.confidence)
      : 1.0;
  return std::exp(differs ? lasting : common) * transientFactor;
}

bool IsEjected(const EndpointSpeed& speed, std::size_t open, Elapsed now)
{
  const bool isProbeDue = open == 0 && (speed.consecutiveHealthy > 0 ||
                                        now - speed.probed >= ProbePeriod);
  return speed.isFaulty && !isProbeDue;
}

} // namespace wg
