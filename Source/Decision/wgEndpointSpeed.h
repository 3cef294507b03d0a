// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief An estimated slowdown and the confidence in it. */
struct SlowdownEstimate
{
  double factor = 1.0;     // time taken, as a multiple of the usual time
  double confidence = 0.0; // from 0 (nothing known) to 1
};

/** \brief The measured speed of one start of an endpoint. Logs are natural
 * logarithms of slowdowns.
 */
struct EndpointSpeed
{
  double lastingLog = 0.0;
  double samples = 0.0; // independent ones, in lastingLog
  double transientLog = 0.0;
  double transientSamples = 0.0; // weighted by recency
  Elapsed noted;                 // time of the last sample
  int consecutiveSlow = 0;
  int consecutiveHealthy = 0;
  bool isFaulty = false;
  Elapsed probed; // while faulty: end of the last work
};

/** \brief A summary of the speeds of a service's endpoints. */
struct PeerSpeeds
{
  double median = 1.0; // of the known lasting slowdowns; 1: none is known
  int known = 0;       // endpoints with a known lasting slowdown
  int recent = 0;      // endpoints with a sample in the last second
  int slow = 0;        // of these, significantly slower than usual for them
};

PeerSpeeds SummarizeSpeeds(absl::Span<const EndpointSpeed* const> peers,
                           Elapsed now);

/** \brief One piece of work that an endpoint has done. Values out of range
 * are clamped; NaN is ignored.
 */
struct SpeedSample
{
  double factor = 1.0; // time taken, as a multiple of the usual time
  /** The slowdown if the endpoint had nothing cached. A prompt prefix that was
   * wrongly assumed to be cached must not look like a fault.
   */
  double minFactor = 1.0;
};

enum class SpeedChange
{
  None,
  Faulty,
  Healthy
};

SpeedChange NoteSpeed(EndpointSpeed& speed, const PeerSpeeds& peers,
                      const SpeedSample& sample, Elapsed now);

/** \brief Notes that work ended without a sample, which at a faulty endpoint
 * postpones the next probe.
 */
void NoteWorkWithoutSample(EndpointSpeed& speed, Elapsed now);

/** \brief Returns the mean slowdown over minutes. With few samples it is near
 * the median of the peers.
 */
SlowdownEstimate LastingSlowdown(const EndpointSpeed& speed,
                                 const PeerSpeeds& peers);

/** \brief Returns the slowdown over about half a second, relative to the
 * lasting one.
 */
SlowdownEstimate TransientSlowdown(const EndpointSpeed& speed, Elapsed now);

/** \brief Returns the least slowdown, relative to the lasting one, that the
 * fault of an endpoint proves; 1 if it is healthy.
 */
SlowdownEstimate FaultSlowdown(const EndpointSpeed& speed);

/** \brief Returns the slowdown expected of new work. Endpoints that do not
 * differ significantly from their peers all get the same value.
 */
double ExpectedSlowdown(const EndpointSpeed& speed, const PeerSpeeds& peers,
                        Elapsed now);

/** \brief Returns whether the endpoint is faulty and no probe is due. Probes
 * are single requests.
 * \param open requests in flight there
 */
bool IsEjected(const EndpointSpeed& speed, std::size_t open, Elapsed now);

/** \brief Measurements expire after this time without a sample. */
constexpr absl::Duration SpeedMemory = absl::Minutes(10);

} // namespace wg
