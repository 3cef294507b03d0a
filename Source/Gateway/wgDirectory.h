// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgDirectoryIndex.h"
#include "wgElapsed.h"
#include "wgEndpointRoutes.h"
#include "wgHallOrders.h"
#include "wgHallReach.h"
#include "wgPeer.pb.h"
#include "wgStreamOrigin.h"
#include "wgVersionRollout.h"

namespace wg {

/** \brief All endpoints that this box knows; they are added by
 * MergeRegistration. It can't be copied, as its index points into it.
 */
struct Directory
{
  Directory() = default;
  Directory(Directory&&) = default;
  Directory& operator=(Directory&&) = default;

  std::map<std::string, DirectoryEndpoint> endpoints; // by identity
  DirectoryIndex index;
  Elapsed forgotten;             // when ended ones were last looked for
  std::uint64_t forgetSteps = 0; // endpoints that were looked at for it
  EndpointRoutes routes;         // from this box
  HallReach reach;
  HallOrders halls;   // operators' orders, as the control boxes told
  Elapsed hallsHeard; // when a new order was last heard
  VersionRollouts rollouts;
  /** When the state of each service's roll-out was last heard to change. */
  std::map<std::string, Elapsed, std::less<>> rolloutsHeard;
  /** When an endpoint of each service was last heard to be brittle. */
  std::map<std::string, Elapsed, std::less<>> brittleHeard;
};

/** \brief Takes what a control box tells of an endpoint. Between control
 * boxes the endpoint's own sequence decides. Its end is final for that start;
 * an end of which the start was not told is the end of those that were known
 * here by then.
 * \return whether the state of a start changed
 */
bool MergeRegistration(Directory& directory, const wire::Registration& news,
                       Elapsed now);

/** \brief Another endpoint has answered at its address: it gets no new work
 * unless it is heard of again. A heartbeat that was delayed on the way may
 * have come after its end.
 */
void NoteReplaced(Directory& directory, absl::string_view id, Elapsed now);

/** \brief Forgets endpoints that ended long ago and serve nothing of ours, and
 * that others said long ago that they leave. It walks all endpoints.
 */
void ForgetEnded(Directory& directory, Elapsed now);

/** \brief The same, at most once every EndedCheckPeriod. */
void ForgetEndedIfDue(Directory& directory, Elapsed now);

/** \brief A sixtieth of the time for which ended endpoints are remembered. */
constexpr absl::Duration EndedCheckPeriod = absl::Seconds(3);

/** \brief How many endpoints of a service each hall has. Silent ones count:
 * they may be back, and pools should not come and go.
 */
std::map<std::string, int> CountByHall(const Directory& directory,
                                       absl::string_view service);

/** \brief Whether another start that serves is known at the address, which
 * this box has heard of since then.
 */
bool HasSuccessor(const Directory& directory,
                  const DirectoryEndpoint& endpoint, Elapsed since);

/** \brief Takes in what a control box tells of orders on halls; what is not
 * newer than what is known changes nothing.
 * \return the halls for which another order holds now
 */
std::vector<std::string> MergeHallOrders(Directory& directory,
                                         const HallOrders& news, Elapsed now);

/** \brief Takes in what a control box tells of roll-outs.
 * \return the services whose roll-outs have another state or share now
 */
std::vector<std::string> MergeRollouts(Directory& directory,
                                       const VersionRollouts& news,
                                       Elapsed now);

/** \brief Whether requests of its service are moved away from it for good: it
 * is of a version that was rolled back, or it was there when another version
 * was completed.
 */
bool IsRetired(const Directory& directory, const DirectoryEndpoint& endpoint);

/** \brief Of the endpoints, those of the version that is rolled out or, where
 * that is not wanted, the others; all when there are none, or no roll-out of
 * the service is in progress.
 */
std::vector<DirectoryEndpoint*> OfWantedVersion(
  const Directory& directory, absl::string_view service,
  std::vector<DirectoryEndpoint*> endpoints, bool wantsVersion);

/** \brief Whether it is there and ready, and no later start of the same name
 * is known to serve or to have ended. One that has fallen silent does not
 * count: a clock that was set back gives the start after it an earlier time.
 */
bool IsCurrent(const DirectoryEndpoint& endpoint);

/** \brief Whether new work may be sent there: it is current, has not told this
 * box that it leaves, and no operator has ordered otherwise for its hall or
 * its version.
 */
bool TakesNewWork(const Directory& directory,
                  const DirectoryEndpoint& endpoint);

/** \brief Whether the service has endpoints, all of them in halls that get no
 * new work.
 */
bool IsEvacuatedWhole(const Directory& directory, absl::string_view service);

/** \brief Whether this box may send something there now; a request that needs
 * a permit, see NeedsPermit, does so besides.
 */
bool MaySendNow(const Directory& directory, const DirectoryEndpoint& endpoint,
                Elapsed now);

/** \brief Whether it may be cold: for some seconds after a start it is slow,
 * and falls over when it is sent too much.
 */
bool IsCold(const DirectoryEndpoint& endpoint, Elapsed now);

/** \brief The endpoints of a service that take new work. */
std::vector<DirectoryEndpoint*> ServingEndpoints(Directory& directory,
                                                 absl::string_view service);

/** \brief Those in one hall; all where the hall's name is empty. */
std::vector<DirectoryEndpoint*> ServingEndpoints(Directory& directory,
                                                 absl::string_view service,
                                                 absl::string_view hall);

/** \brief Whose requests endpoints are chosen for. A rest that an endpoint
 * asked for is this box's alone.
 */
enum class Sender
{
  ThisBox,
  AnyBox
};

/** \brief The software version that alone may serve a request; none: each. */
using VersionBound = std::optional<std::string>;

/** \brief Whether the bound allows the endpoint. One whose version is not
 * known is allowed by no bound, and a bound without a version allows none.
 */
bool IsWithinBound(const VersionBound& bound,
                   const DirectoryEndpoint& endpoint);

/** \brief Of the endpoints that may be sent to, the sound ones, or all when
 * the service has no sound one. Those in one hall; in all where the hall's
 * name is empty.
 */
std::vector<DirectoryEndpoint*> SoundEndpoints(Directory& directory,
                                               absl::string_view service,
                                               Elapsed now,
                                               Sender sender = Sender::ThisBox,
                                               absl::string_view hall = "",
                                               const VersionBound& bound = {});

/** \brief Services and versions of the endpoints that may have begun a stream
 * since then: those that serve, are silent, or have ended after it. One whose
 * service was not reported has an empty one.
 */
std::vector<StreamOrigin> PossibleOrigins(
  const Directory& directory, absl::Span<const std::string> services,
  Elapsed since);

/** \brief The same, of all services. */
std::vector<StreamOrigin> PossibleOrigins(const Directory& directory,
                                          Elapsed since);

/** \brief Whether the endpoint may be sent to and is neither avoided for its
 * failures nor cut off.
 */
bool IsSound(const Directory& directory, const DirectoryEndpoint& endpoint,
             Elapsed now, Sender sender = Sender::ThisBox);

/** \brief Whether any endpoint of the service is sound. */
bool IsAnySound(const Directory& directory, absl::string_view service,
                Elapsed now, Sender sender = Sender::ThisBox,
                const VersionBound& bound = {});

/** \brief Whether it takes only so many requests a second. */
bool IsLimited(const DirectoryEndpoint& endpoint);

/** \brief Whether it falls over when it refuses too much. A start that has
 * not answered yet is taken to be like others of its service, which may all
 * have been sent to at once when it is back.
 */
bool IsBrittle(const Directory& directory, const DirectoryEndpoint& endpoint,
               Elapsed now);

/** \brief Whether each request needs a permit, see SendPermits. */
bool NeedsPermit(const Directory& directory, const DirectoryEndpoint& endpoint,
                 Elapsed now);

/** \brief How long until this box may send a request to the service, where
 * what its endpoints ask alone prevents it now; zero otherwise.
 */
absl::Duration TimeUntilAccepted(const Directory& directory,
                                 absl::string_view service, Elapsed now,
                                 const VersionBound& bound = {});

/** \brief Whether a start is known to be over, with all that it held. */
bool IsOver(const Directory& directory, const std::string& id);

DirectoryEndpoint* FindEndpoint(Directory& directory, absl::string_view id);
const DirectoryEndpoint* FindByAddress(const Directory& directory,
                                       absl::string_view address);

/** \brief Takes the end of an attempt in: failures in a row keep new work
 * away, for longer each time.
 */
void NoteAttempt(DirectoryEndpoint& endpoint, bool failed, Elapsed now);

/** \brief Takes in that the endpoint refused an attempt without running it.
 * The first refusal in a row that asks for a rest costs no more than that
 * rest, so that the endpoint gets its share of work again at its end.
 */
void NoteRefusal(DirectoryEndpoint& endpoint, Elapsed now);

/** \brief It was asked for its status, or has sent part of an answer. */
void NoteLifeSign(DirectoryEndpoint& endpoint, bool hasAnswered, Elapsed now);

} // namespace wg
