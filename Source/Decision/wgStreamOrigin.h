// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief Where the first event of a stream came from. Only endpoints of the
 * same service and software version may continue the stream, since what two
 * versions write does not fit together.
 */
struct StreamOrigin
{
  std::string service;
  std::string version; // empty: not known
};
bool operator==(const StreamOrigin& left, const StreamOrigin& right);

/** \brief An origin that is kept for as long as the stream may be taken up. */
struct OriginRecord
{
  StreamOrigin origin;
  Elapsed until;
};

/** \brief The origins of streams that a box keeps, its own and copies for
 * other boxes, by the request that brought the first event.
 */
struct OriginRecords
{
  /** Some 300 bytes each: 6 MB of a box with 160 MB. */
  std::size_t maxRecords = 20000;
  std::map<std::string, OriginRecord> byRequest;
  std::set<std::pair<Elapsed, std::string>> byExpiry;
};

/** \brief The longest name of a request, a service or a version of which an
 * origin is kept.
 */
constexpr std::size_t MaxOriginNameBytes = 128;

/** \brief For so long an origin is kept where its caller has no deadline. */
constexpr absl::Duration MaxStreamTime = absl::Minutes(10);

/** \brief Longer than callers' deadlines: no endpoint that ended and no route
 * that led elsewhere before has begun a stream that is taken up now.
 */
constexpr absl::Duration StreamMemory = absl::Seconds(30);

/** \brief Whether an origin is kept under the name. */
bool IsOriginName(absl::string_view request);

/** \brief Keeps an origin. If another one is kept for the same request, the
 * name stands for two streams, and neither version is known any more. Where
 * there is no room, the record that expires first gives way.
 */
void KeepOrigin(OriginRecords& records, const std::string& request,
                const OriginRecord& record, Elapsed now);

/** \return null if no origin is kept */
const OriginRecord* FindOrigin(const OriginRecords& records,
                               const std::string& request, Elapsed now);

void ExpireOrigins(OriginRecords& records, Elapsed now);

/** \brief A box that may keep copies of an origin. */
struct OriginKeeper
{
  std::uint64_t weight = 0; // rendezvous weight of the request and the box
  std::string hall;
  bool isReachable = true;
};

/** \brief Indices of the boxes for copies of an origin, the best first: those
 * in the hall of the box that passed the first event on, where its caller most
 * likely comes back, and those in other halls.
 */
struct OriginKeepers
{
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
};

/** \brief Copies in the own hall, and in others. With them an origin outlasts
 * the box that began the stream and two more, and the loss of a hall.
 */
constexpr std::size_t NearCopies = 2;
constexpr std::size_t FarCopies = 1;

/** \brief Copies at control boxes: with them an origin outlasts all gateways
 * and one control box, or the cut of its hall.
 */
constexpr std::size_t ControlCopies = 2;

/** \brief Indices of the control boxes for copies of an origin, the best
 * first; the first two are in two halls where there are so many.
 */
std::vector<std::size_t> RankOriginControls(
  absl::Span<const OriginKeeper> controls);

OriginKeepers RankOriginKeepers(absl::Span<const OriginKeeper> boxes,
                                absl::string_view ownHall);

/** \brief The boxes to query for an origin: the first of each hall by their
 * weights, more than there are copies, as boxes may have come and gone since.
 */
std::vector<std::size_t> ChooseOriginSources(
  absl::Span<const OriginKeeper> boxes);

/** \brief The answer of a box that was asked what began a stream. */
struct OriginAnswer
{
  /** Of a control box, which keeps the versions that it has told boxes of;
   * empty: a gateway.
   */
  std::string control;
  bool hasAnswered = false;
  std::optional<StreamOrigin> origin; // if it is kept there
  std::vector<StreamOrigin> possible; // as far as it knows
  /** Of a control box: it has told boxes of no other version that may have
   * begun the stream.
   */
  bool isWhole = false;
  /** Of a control box: this box has heard it within StreamMemory. */
  bool isFollowed = false;
  std::vector<std::string> members; // control boxes of its cluster
};

/** \brief How an origin is known. */
enum class OriginEvidence
{
  None,
  Kept,       // by this box
  Reported,   // by another box
  OnlyVersion // no other version can have begun the stream
};

/** \return none, kept, reported or only_version */
absl::string_view NameOf(OriginEvidence evidence);

/** \brief What a verdict rests on, for the log. */
struct OriginBasis
{
  std::size_t asked = 0;    // boxes and control boxes
  std::size_t answered = 0; // of these
  std::size_t controls = 0; // of these, control boxes with a whole history
  std::vector<StreamOrigin> possible; // distinct
};

struct OriginVerdict
{
  OriginEvidence evidence = OriginEvidence::None;
  StreamOrigin origin;
  bool isFinal = true; // a retry does not help
  OriginBasis basis;
};

/** \brief Evaluates what began a stream of which this box keeps no origin.
 *
 * Without a record, the origin is known only if all endpoints that may have
 * begun the stream run one version of one service. A box knows an endpoint
 * from a control box, which keeps its version over restarts. All of them were
 * asked after the question had come, so that no news can be on its way.
 *
 * If the caller has named the request that began the stream, there was a
 * record, and whoever kept it is gone or cut off: each control box must have
 * answered that is a member of the cluster or was heard lately. If it has not,
 * those that answer are enough.
 * \param own what this box itself knows
 * \param answers of all boxes and control boxes that are known, and one
 * without an answer for each that could not be asked
 */
OriginVerdict EvaluateOrigin(bool isNamed, absl::Span<const StreamOrigin> own,
                             absl::Span<const OriginAnswer> answers);

OriginBasis DescribeBasis(absl::Span<const StreamOrigin> own,
                          absl::Span<const OriginAnswer> answers);

} // namespace wg
