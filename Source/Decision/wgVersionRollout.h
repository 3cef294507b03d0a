// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgPeer.pb.h"

namespace wg {

using VersionState = wire::VersionRollout::State;

/** \brief An operator's order to move a service's requests to endpoints of a
 * version, and its progress.
 */
struct VersionRollout
{
  std::string version;
  std::uint64_t number = 0; // one sequence for all services
  VersionState state = wire::VersionRollout::UNSPECIFIED;
  std::uint32_t permille = 0; // of the requests, routed to the version
  absl::Duration duration;    // from the order to its deadline
  absl::Duration elapsed;     // since the order, as last replicated
};

/** \brief The newest order on each service: part of the replicated state, and
 * its copy in a gateway.
 */
struct VersionRollouts
{
  std::uint64_t newest = 0; // counts all changes
  std::uint64_t orders = 0;
  std::map<std::string, VersionRollout, std::less<>> services;
};

enum class VersionOrderResult
{
  Applied,
  InProgress, // an order on the service is in progress
  Superseded, // a newer order follows the one that its author saw
  Refused     // invalid service, version or duration, or too many services
};

/** \brief The part of the requests that a version gets from its order on.
 * Together with FinalFraction, it is less than the tenth of all requests that
 * a bad version may get.
 */
constexpr std::uint32_t FirstPermille = 40;
constexpr std::uint32_t AllPermille = 1000;

/** \brief The last part of an order's duration, in which all requests go to
 * the version, so that endpoints of other versions finish their work before
 * they stop.
 */
constexpr double FinalFraction = 0.05;

/** \brief Before the deadline: time to replicate a decision and for operators
 * to read it.
 */
constexpr absl::Duration DecisionMargin = absl::Milliseconds(300);

VersionOrderResult ApplyVersionOrder(VersionRollouts& rollouts,
                                     const wire::OrderVersion& order);

/** \brief Applies a decision of the leader. Ignored for an order that has
 * ended or is not the newest of its service.
 */
void ApplyVersionMove(VersionRollouts& rollouts,
                      const wire::MoveVersion& move);

/** \brief The newest order on the service; number 0 if there is none. */
const VersionRollout& FindVersionRollout(const VersionRollouts& rollouts,
                                         absl::string_view service);

bool IsInProgress(const VersionRollout& rollout);

/** \brief Whether the request is routed to the version. All boxes compute the
 * same, so that its attempts agree. Requests that go to the version still do
 * when its permille grows.
 */
bool GoesToVersion(const VersionRollout& rollout, absl::string_view request);

/** \brief Answers of the version and of others on one route, over all boxes.
 */
struct RouteEvidence
{
  std::string route;
  wire::VersionTally target;
  wire::VersionTally others;
};

enum class VersionVerdict
{
  Unknown, // too few answers
  Good,
  Bad
};

/** \brief What significantly distinguishes a version from the others on a
 * route.
 */
enum class VersionFault
{
  None,
  Fails,
  Late,
  Slower
};

VersionFault FindVersionFault(const RouteEvidence& route);

/** \return none, fails, late or slower */
absl::string_view NameOf(VersionFault fault);

/** \brief Describes the routes on which a version has a fault, for a log. */
std::string DescribeFaults(absl::Span<const RouteEvidence> routes);

/** \brief Compares the version with the others on the same route at the same
 * time, so that a fault of a shared dependency counts against none.
 *
 * A version is bad if it fails or is late significantly more often than the
 * others, or takes significantly longer and more than twice as long on
 * average.
 */
VersionVerdict EvaluateVersion(absl::Span<const RouteEvidence> routes);

/** \brief Makes the next decision on an order in progress.
 *
 * A bad version is rolled back on the first significant evidence. Any other
 * gets FirstPermille until shortly before the deadline, since a version may
 * turn bad late. A good one then gets all requests and is completed.
 * \param elapsed since the order
 */
wire::MoveVersion DecideVersion(const std::string& service,
                                const VersionRollout& rollout,
                                VersionVerdict verdict,
                                absl::Duration elapsed);

wire::VersionRollouts ToWire(const VersionRollouts& rollouts);
VersionRollouts FromWire(const wire::VersionRollouts& rollouts);

/** \return in_progress, completed, rolled_back or unknown */
absl::string_view NameOf(VersionState state);

} // namespace wg
