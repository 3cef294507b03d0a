// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief A multiple of the usual time, and how far it is known: from 0,
 * nothing, to 1.
 */
struct SpeedValue
{
  double factor = 1.0;
  double confidence = 0.0;
};

/** \brief What is known of how fast one start of an endpoint works. Times are
 * multiples of the usual one, kept as natural logarithms.
 */
struct EndpointSpeed
{
  double lastingLog = 0.0;
  double samples = 0.0; // independent ones, of the lasting speed
  double transientLog = 0.0;
  double transientSamples = 0.0; // those of the last moments
  Elapsed noted;                 // the last sample
  int slowInRow = 0;
  int soundInRow = 0;
  bool isFaulty = false;
  Elapsed probed; // while faulty: the last evidence
};

/** \brief What the endpoints of a service have in common. */
struct PeerSpeeds
{
  double median = 1.0; // of the lasting speeds that are known; 1: none is
  int known = 0;       // endpoints with a known lasting speed
  int recent = 0;      // endpoints that were measured in the last moments
  int slow = 0;        // of these, clearly slower than they last
};

PeerSpeeds SummarizeSpeeds(absl::Span<const EndpointSpeed* const> peers,
                           Elapsed now);

/** \brief One piece of work that an endpoint has done. Values out of range
 * count as the nearest one within, and NaN is no sample.
 */
struct SpeedSample
{
  double factor = 1.0; // time taken, as a multiple of the usual time
  /** The same if the endpoint had to do all that it was taken to have done
   * before. No more than this is evidence of a fault.
   */
  double leastFactor = 1.0;
};

/** \brief What a sample has changed. */
enum class SpeedChange
{
  None,
  Faulty, // judged faulty from now on
  Sound   // no longer
};

SpeedChange NoteSpeed(EndpointSpeed& speed, const PeerSpeeds& peers,
                      const SpeedSample& sample, Elapsed now);

/** \brief Work at a faulty endpoint has ended without a sample. */
void NoteNoSample(EndpointSpeed& speed, Elapsed now);

/** \brief The lasting speed, remembered for minutes. With few samples it is
 * near the median of the peers.
 */
SpeedValue LastingSpeed(const EndpointSpeed& speed, const PeerSpeeds& peers);

/** \brief How much slower than it lasts the endpoint is at this moment,
 * remembered for half a second.
 */
SpeedValue TransientSlowness(const EndpointSpeed& speed, Elapsed now);

/** \brief Whether it is at fault: the factor is how much slower it is than it
 * was at least, 1 for a sound one.
 */
SpeedValue FaultSlowness(const EndpointSpeed& speed);

/** \brief The multiple of the usual time that work is expected to take there.
 * Endpoints that do not clearly differ from their peers all get the same.
 */
double ExpectedFactor(const EndpointSpeed& speed, const PeerSpeeds& peers,
                      Elapsed now);

/** \brief Whether a faulty endpoint gets no work now: single requests probe
 * it.
 * \param open requests that it has
 */
bool IsEjected(const EndpointSpeed& speed, std::size_t open, Elapsed now);

/** \brief What was measured is forgotten after so long without samples. */
constexpr absl::Duration SpeedMemory = absl::Minutes(10);

} // namespace wg
