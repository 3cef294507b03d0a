// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointSpeed.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wg {
namespace {

/** Samples that are closer together than this share one cause: machines are
 * busy for some 600 ms at a time.
 */
constexpr double IndependentSeconds = 0.25;
/** 480 independent samples are two minutes of work. */
constexpr double LongestMean = 480.0;
/** A sample beyond this (1.65 times) moves the lasting speed no further: a
 * machine that is busy for 15% of the time, 2.5 times slower then, would shift
 * a plain mean by 15%.
 */
constexpr double MostError = 0.5;
/** The samples after which an endpoint's own measurements weigh as much as its
 * peers' median.
 */
constexpr double PriorSamples = 4.0;
constexpr double KnownConfidence = 0.5;
/** A lasting speed within 22% of the peers' median is no evidence of a
 * difference: after four samples of which one fell into a busy moment, equal
 * endpoints differ by up to 15%.
 */
constexpr double UnclearLog = 0.2;
constexpr double TransientMemorySeconds = 0.5;
/** A sample beyond FaultFactor is more than a busy machine explains. Reads of
 * a faulty engine end 0.9 s apart: with the shorter memory it was given
 * prompts as before between the samples that show its fault.
 */
constexpr double SuspectMemorySeconds = 2.0;
/** Between the spread of times at a sound endpoint and 2.5 times slower. */
constexpr double ClearTransient = 1.5;
constexpr double MostFactor = 20.0;
constexpr double LeastFactor = 0.2;
/** Between the 2.5 times of a busy machine and the 5 times of a fault. */
constexpr double FaultFactor = 3.5;
constexpr int FaultSamples = 3;
/** A faulty endpoint that works at less than this is sound again. */
constexpr double SoundFactor = 2.0;
constexpr int SoundSamples = 2;
/** Faults last for some 6 s, and each probe may delay a request by that. */
constexpr absl::Duration ProbePeriod = absl::Seconds(1);
/** Measured so recently that it describes this moment. */
constexpr absl::Duration RecentTime = absl::Seconds(1);

double Decay(const EndpointSpeed& speed, Elapsed now)
{
  const double age = absl::ToDoubleSeconds(now - speed.noted);
  const double memory =
    speed.slowInRow > 0 ? SuspectMemorySeconds : TransientMemorySeconds;
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
  speed.samples = std::min(speed.samples + weight, LongestMean);
  if (speed.samples > 0.0) {
    const double error =
      std::clamp(sampleLog - speed.lastingLog, -MostError, MostError);
    speed.lastingLog += weight / speed.samples * error;
  }
}

void NoteTransient(EndpointSpeed& speed, double excessLog, Elapsed now)
{
  const double before = speed.transientSamples * Decay(speed, now);
  speed.transientSamples = before + 1.0;
  speed.transientLog += (excessLog - speed.transientLog) / (before + 1.0);
}

/** That most of the peers are slow too is no fault of one of them: the service
 * has more work than it was taken to have.
 */
bool MayBeJudged(const EndpointSpeed& speed, const PeerSpeeds& peers)
{
  const bool isComparable =
    Confidence(speed) >= KnownConfidence || peers.known >= 2;
  const bool areMostSlow = peers.recent > 1 && 2 * peers.slow > peers.recent;
  return isComparable && !areMostSlow;
}

SpeedChange JudgeSound(EndpointSpeed& speed, double excess, Elapsed now)
{
  speed.probed = now;
  speed.soundInRow = excess < SoundFactor ? speed.soundInRow + 1 : 0;
  if (speed.soundInRow < SoundSamples) {
    return SpeedChange::None;
  }
  speed.isFaulty = false;
  speed.slowInRow = 0;
  return SpeedChange::Sound;
}

SpeedChange JudgeFaulty(EndpointSpeed& speed, const PeerSpeeds& peers,
                        double excess, double leastExcess, Elapsed now)
{
  if (leastExcess >= FaultFactor) {
    ++speed.slowInRow;
  } else if (excess < FaultFactor) {
    speed.slowInRow = 0;
  }
  if (speed.slowInRow < FaultSamples || !MayBeJudged(speed, peers)) {
    return SpeedChange::None;
  }
  speed.isFaulty = true;
  speed.soundInRow = 0;
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
      summary.slow += std::exp(peer->transientLog) >= ClearTransient ? 1 : 0;
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
  if (std::isnan(sample.factor) || std::isnan(sample.leastFactor)) {
    return SpeedChange::None;
  }
  const double factor = std::clamp(sample.factor, LeastFactor, MostFactor);
  const double least = std::clamp(sample.leastFactor, LeastFactor, factor);
  const double lasting = LastingLog(speed, peers);
  const double excessLog = std::log(factor) - lasting;
  const double excess = std::exp(excessLog);
  const SpeedChange change =
    speed.isFaulty
      ? JudgeSound(speed, excess, now)
      : JudgeFaulty(speed, peers, excess, least / std::exp(lasting), now);
  // A fault is measured against what the endpoint was before.
  if (!speed.isFaulty && change == SpeedChange::None) {
    NoteLasting(speed, peers, std::log(factor), now);
  }
  NoteTransient(speed, excessLog, now);
  speed.noted = now;
  return change;
}

void NoteNoSample(EndpointSpeed& speed, Elapsed now)
{
  if (speed.isFaulty) {
    speed.probed = now;
    speed.soundInRow = 0;
  }
}

SpeedValue LastingSpeed(const EndpointSpeed& speed, const PeerSpeeds& peers)
{
  return { std::exp(LastingLog(speed, peers)), Confidence(speed) };
}

SpeedValue TransientSlowness(const EndpointSpeed& speed, Elapsed now)
{
  const double samples = speed.transientSamples * Decay(speed, now);
  return { std::exp(std::max(speed.transientLog, 0.0)),
           samples / (samples + 1.0) };
}

SpeedValue FaultSlowness(const EndpointSpeed& speed)
{
  const double confidence =
    std::min(1.0, static_cast<double>(speed.slowInRow) / FaultSamples);
  return { speed.isFaulty ? FaultFactor : 1.0, confidence };
}

double ExpectedFactor(const EndpointSpeed& speed, const PeerSpeeds& peers,
                      Elapsed now)
{
  const double common = std::log(peers.median);
  const double lasting = LastingLog(speed, peers);
  const bool differs = std::abs(lasting - common) > UnclearLog;
  const SpeedValue transient = TransientSlowness(speed, now);
  const double slowness = transient.factor >= ClearTransient
                            ? std::pow(transient.factor, transient.confidence)
                            : 1.0;
  return std::exp(differs ? lasting : common) * slowness;
}

bool IsEjected(const EndpointSpeed& speed, std::size_t open, Elapsed now)
{
  const bool isProbeDue =
    open == 0 && (speed.soundInRow > 0 || now - speed.probed >= ProbePeriod);
  return speed.isFaulty && !isProbeDue;
}

} // namespace wg
