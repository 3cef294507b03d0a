// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <limits>

#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The share of its expected time after which a call has fetched its
 * inputs. Fetching 25 MB over 10 Gbit/s takes some 20 ms, at the start of a
 * call of at least 200 ms.
 */
constexpr double FetchedAfterShare = 0.5;

/** \brief For so long a pool releases no inputs early after an endpoint
 * lacked some that had been released. Two coordinators that serve a pool at
 * the same time queue calls behind each other; boxes agree on one within
 * seconds.
 */
constexpr absl::Duration InputLossMemory = absl::Seconds(10);

/** \brief For so long an answer without room bounds what its endpoint is sent.
 * Then one call as large as the refused one may be tried; each further period
 * allows as much again.
 */
constexpr absl::Duration RoomRetryPeriod = absl::Milliseconds(400);

/** \brief After so long no result is left that an endpoint held when it
 * answered: the usual lifetime of results.
 */
constexpr absl::Duration RoomBoundMemory = absl::Seconds(4);

/** \brief Of the room of a pool's endpoints that results take before early
 * release is worth its price: where a piece fails whose inputs were released,
 * all stages of its request are executed again. Below it, calls are full: two
 * of three calls' results fit beside a third.
 */
constexpr double ScarceRoomShare = 0.5;

/** \param used, total bytes at all endpoints of the pool; a total of zero
 * means no limit
 */
bool IsRoomScarce(std::int64_t used, std::int64_t total);

/** \brief A call that carries pieces of a work. */
struct InputUse
{
  Elapsed started;
  absl::Duration expected;
  bool lacksRoom = false; // its endpoint has lately refused results
};

/** \brief Whether the inputs of a work may be released, or why not. */
enum class InputVerdict
{
  Release,
  TooEarly,    // pieces wait, or a call may not have fetched its inputs
  CallOverdue, // a call takes longer than expected and may be repeated
  RoomShort,   // an endpoint may refuse results, which are then made again
  RecentLoss   // an endpoint lacked inputs that were released early
};

/** \brief Decides on the inputs of a work of which so many pieces wait, and
 * whose other pieces are made or in these calls. Releasing them early frees
 * room at endpoints of the stage before, for the load at which that room
 * bounds the size of calls.
 */
InputVerdict JudgeInputs(int waiting, absl::Span<const InputUse> calls,
                         Elapsed lastLoss, Elapsed now);

/** \brief A time that is long over for all rules here. */
constexpr Elapsed NeverLost = -absl::InfiniteDuration();

/** \brief What an answer that refused results for lack of room tells, in
 * bytes. Recorded is what the coordinator counts as taken at the endpoint,
 * with all pieces of the call.
 */
struct RoomAnswer
{
  std::int64_t recordedAtSend = 0;
  std::int64_t recordedAtEnd = 0;
  std::int64_t notMade = 0;         // pieces of the call without a result
  std::int64_t refused = 0;         // of these, for lack of room
  std::int64_t smallestRefused = 0; // one piece
};

/** \brief What the last refusal for lack of room proves of an endpoint. */
struct RoomEvidence
{
  bool isKnown = false;
  std::int64_t held = 0; // recorded bytes that fitted
  std::int64_t refused = 0;
  std::int64_t smallestRefused = 0;
  Elapsed noted;
};

constexpr std::int64_t UnboundedRoom =
  std::numeric_limits<std::int64_t>::max();

/** \brief What an answer proves. Results may have been released while its
 * call ran: the larger of the records at both ends counts.
 */
RoomEvidence EvidenceOf(const RoomAnswer& answer, Elapsed now);

/** \brief Up to how many recorded bytes an endpoint may be sent work. It is
 * for endpoints that hold more than is recorded, as after a change of the
 * coordinator: filling them on wastes a call for each refused piece.
 */
std::int64_t RoomBound(const RoomEvidence& evidence, Elapsed now);

/** \brief Whether the evidence still counts. */
bool IsRoomShort(const RoomEvidence& evidence, Elapsed now);

} // namespace wg
