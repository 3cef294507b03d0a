// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <limits>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The fraction of its expected time after which a call has fetched its
 * inputs. Fetching 25 MB over 10 Gbit/s takes some 20 ms, at the start of a
 * call of at least 200 ms.
 */
constexpr double FetchedAfterFraction = 0.5;

/** \brief After an endpoint missed inputs that had been released, its pool
 * releases none early for this long. Two coordinators that serve a pool at the
 * same time queue calls behind each other; boxes agree on one within seconds.
 */
constexpr absl::Duration InputLossHoldTime = absl::Seconds(10);

/** \brief For this long, an answer with refused results bounds the bytes that
 * its endpoint may hold. After it, and after each further period, the bound
 * grows by the refused bytes.
 */
constexpr absl::Duration BufferRetryPeriod = absl::Milliseconds(400);

/** \brief The usual lifetime of results: after it, an endpoint holds none of
 * the results that it held when it answered.
 */
constexpr absl::Duration ResultLifetime = absl::Seconds(4);

/** \brief The fill ratio of a pool's result buffers from which early release
 * is worth its price: if a piece fails after its inputs were released, all
 * stages of its request are executed again. Below this ratio, calls are full:
 * the results of two of three calls fit beside a third.
 */
constexpr double ScarceBufferFraction = 0.5;

/** \param used, total bytes at all endpoints of the pool; a total of zero
 * means no limit
 */
bool AreBuffersScarce(std::int64_t used, std::int64_t total);

/** \brief A call with pieces of a work. */
struct InputUse
{
  Elapsed started;
  absl::Duration expected;
  bool isBufferFull = false; // its endpoint recently refused results
};

/** \brief Whether the inputs of a work may be released, or why not. */
enum class InputVerdict
{
  Release,
  TooEarly,    // pieces wait, or a call may still fetch its inputs
  CallOverdue, // a call exceeds its expected time and may be repeated
  BufferFull,  // an endpoint may refuse results, which are then recomputed
  RecentLoss   // an endpoint missed inputs that were released early
};

/** \brief Decides whether the inputs of a work may be released early. This
 * frees result buffers of the stage before, for loads at which these bound the
 * size of calls.
 * \param waiting number of pieces of the work that wait
 * \param calls that execute its other pieces
 */
InputVerdict EvaluateInputs(int waiting, absl::Span<const InputUse> calls,
                            Elapsed lastLoss, Elapsed now);

/** \brief The time of the last loss where there was none. */
constexpr Elapsed NeverLost = -absl::InfiniteDuration();

/** \brief An answer that refused results because the endpoint's buffer was
 * full, in bytes. Recorded bytes are those that the coordinator counts as
 * buffered at the endpoint, with all pieces of the call.
 */
struct BufferFullAnswer
{
  std::int64_t recordedAtSend = 0;
  std::int64_t recordedAtEnd = 0;
  std::int64_t notExecuted = 0;     // pieces of the call without a result
  std::int64_t refused = 0;         // of these, because the buffer was full
  std::int64_t smallestRefused = 0; // one piece
};

/** \brief What the last refused results show of an endpoint's buffer. */
struct BufferEvidence
{
  bool isKnown = false;
  std::int64_t held = 0; // recorded bytes that fit
  std::int64_t refused = 0;
  std::int64_t smallestRefused = 0;
  Elapsed noted;
};

constexpr std::int64_t UnboundedBuffer =
  std::numeric_limits<std::int64_t>::max();

/** \brief Derives the evidence from an answer. Results may have been released
 * during its call, so the larger of both recorded sizes counts.
 */
BufferEvidence EvidenceOf(const BufferFullAnswer& answer, Elapsed now);

/** \brief Returns the recorded bytes up to which an endpoint may get work. The
 * bound matters for endpoints that hold more than is recorded, as after a
 * change of the coordinator: each refused piece wastes a call.
 */
std::int64_t BufferBound(const BufferEvidence& evidence, Elapsed now);

bool IsBufferFull(const BufferEvidence& evidence, Elapsed now);

} // namespace wg
