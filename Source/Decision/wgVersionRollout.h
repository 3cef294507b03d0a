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
 * version, and how far that is.
 */
struct VersionRollout
{
  std::string version;
  std::uint64_t number = 0; // orders on all services are counted together
  VersionState state = wire::VersionRollout::UNSPECIFIED;
  std::uint32_t permille = 0; // of the requests, that go to the version
  absl::Duration duration;    // from the order to its deadline
  absl::Duration elapsed;     // since the order, as last replicated
};

/** \brief The newest order on each service: part of the replicated state, and
 * what a gateway has heard of it.
 */
struct VersionRollouts
{
  std::uint64_t newest = 0; // counts all changes
  std::uint64_t orders = 0;
  std::map<std::string, VersionRollout, std::less<>> services;
};

/** \brief What became of an order. */
enum class VersionOrderTaken
{
  Taken,
  UnderWay,  // an order on the service is in progress
  Overtaken, // another order came after the one that its author saw
  Refused    // it names no service, version or time
};

/** \brief The share that a version gets from its order on: with FinalShare it
 * is less than the tenth of all requests that a bad version may get.
 */
constexpr std::uint32_t FirstPermille = 40;
constexpr std::uint32_t AllPermille = 1000;

/** \brief The last part of an order's time, in which all requests go to the
 * version: endpoints of other versions end what they run before they stop.
 */
constexpr double FinalShare = 0.05;

/** \brief A decision is replicated, and read by operators, before the
 * deadline.
 */
constexpr absl::Duration DecisionMargin = absl::Milliseconds(300);

/** \brief Takes an order in. */
VersionOrderTaken TakeVersionOrder(VersionRollouts& rollouts,
                                   const wire::OrderVersion& order);

/** \brief Takes in what the leader decided; nothing changes for an order that
 * has ended or is not the newest of its service.
 */
void TakeVersionMove(VersionRollouts& rollouts, const wire::MoveVersion& move);

/** \brief The newest order on the service; number 0 where there is none. */
const VersionRollout& FindVersionRollout(const VersionRollouts& rollouts,
                                         absl::string_view service);

bool IsInProgress(const VersionRollout& rollout);

/** \brief Whether the request is one of those that go to the version. The
 * same everywhere, so that its tries agree; as the share grows, those that go
 * to the version stay among them.
 */
bool GoesToVersion(const VersionRollout& rollout, absl::string_view request);

/** \brief What is known of the version on one route, over all boxes. */
struct RouteEvidence
{
  wire::VersionTally target;
  wire::VersionTally others;
};

enum class VersionVerdict
{
  Unknown, // too few answers
  Good,
  Bad
};

/** \brief Compares the version with the others, on the same route in the same
 * time, so that a fault of what all of them use speaks against none.
 *
 * Bad is a version that fails or is late more often than the others by more
 * than chance explains, or takes more than twice as long at the mean.
 */
VersionVerdict JudgeVersion(absl::Span<const RouteEvidence> routes);

/** \brief The next decision on an order in progress.
 *
 * A bad version gets nothing from its first sound evidence on. Any other gets
 * FirstPermille until shortly before the deadline, since a version may turn
 * bad late; then all, if it was seen to be good, and is completed.
 * \param elapsed since the order
 */
wire::MoveVersion DecideVersion(const std::string& service,
                                const VersionRollout& rollout,
                                VersionVerdict verdict,
                                absl::Duration elapsed);

wire::VersionRollouts ToWire(const VersionRollouts& rollouts);
VersionRollouts FromWire(const wire::VersionRollouts& rollouts);

/** \brief As operators read it: in_progress, completed or rolled_back. */
absl::string_view NameOf(VersionState state);

} // namespace wg
