// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgEndpointStart.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief The periods of a registry. */
struct RegistryTiming
{
  absl::Duration silentAfter = absl::Seconds(5);
  absl::Duration forgetAfter = absl::Minutes(2);
};

/** \brief The newest registration of one start of an endpoint, and when it was
 * heard.
 */
struct RegisteredEndpoint
{
  wire::Registration registration;
  Elapsed heard;
  Elapsed known; // since
  /** Its next heartbeat is news, whatever it says: what is known is from
   * before this process, or may no longer hold.
   */
  bool tellNext = false;
  /** Its newest heartbeat or end came to this box, which watches for silence
   * and tells the other control boxes.
   */
  bool isOwn = false;
};

/** \brief Registered endpoints by when something is due for them, so that no
 * call or tick walks them all.
 */
struct RegistryIndex
{
  using ByRevision = absl::btree_map<std::uint64_t, const RegisteredEndpoint*>;
  using ByTime = absl::btree_set<std::pair<Elapsed, std::string>>;
  ByRevision all;
  ByRevision own; // of these, the own ones
  ByTime watched; // own ones that may fall silent, by when they were heard
  ByTime ended;   // those that are forgotten, by when they were heard
};

/** \brief The endpoints that have registered with one control process, or
 * that another one has told of. It is not replicated: endpoints register again
 * with whichever box answers.
 */
struct EndpointRegistry
{
  RegistryTiming timing;
  std::uint64_t incarnation = 0; // drawn at the start of the process
  std::uint64_t revision = 0;
  std::map<std::string, RegisteredEndpoint> endpoints; // by identity
  RegistryIndex index;
};

/** \brief The most endpoints that are kept, ended ones included: 64 MB of the
 * smallest control box's 256 MB, at 1 kB each (reckoned from the bounds of
 * their fields). Whoever makes names up must not take all of its memory.
 */
constexpr std::size_t MostEndpoints = 65536;

/** \brief What became of a heartbeat. */
enum class HeartbeatTaken
{
  News,    // to those that follow
  Known,   // nothing that they do not know
  Foreign, // from another writer: a start never changes its service
  TooMany  // the registry is full
};

/** \brief Takes a heartbeat in; one that was overtaken by a later one of its
 * start, or by the end of its start, changes nothing.
 */
HeartbeatTaken TakeHeartbeat(EndpointRegistry& registry,
                             const wire::Registration& heartbeat, Elapsed now);

/** \brief An endpoint has said that it ends. Where it does not tell its start,
 * those of its starts that are known here end, and boxes that follow are told
 * that all that they know have.
 * \return whether it is news to those that follow
 */
bool TakeLeave(EndpointRegistry& registry, const EndpointStart& start,
               Elapsed now);

/** \brief The starts of the name that have ended; of those where `start`
 * tells when it was born, that one alone.
 */
std::vector<wire::Registration> EndedStarts(const EndpointRegistry& registry,
                                            const EndpointStart& start);

/** \brief Takes in the end or the draining of an endpoint that another control
 * box has acknowledged, or this one before a restart. Where boxes tell each
 * other what they hear, an end is told as an own one, as the other box may be
 * lost with it.
 * \return whether it is news
 */
bool TakeEnd(EndpointRegistry& registry, const wire::Registration& told,
             Elapsed now);

/** \brief Takes in what another control box tells of an endpoint. It is told
 * to gateways that follow this box, but to no other control box. \return
 * whether it is news
 */
bool TakeTold(EndpointRegistry& registry, const wire::Registration& told,
              Elapsed now);

/** \brief An order on the hall has come. Gateways that know no such orders
 * hear of its endpoints again; if work may be sent there again, those are
 * taken to be cold until their next heartbeat.
 */
void NoteHallOrder(EndpointRegistry& registry, absl::string_view hall,
                   bool evacuated);

/** \brief The own endpoints, to be remembered over a restart. */
wire::RememberedEndpoints RememberEndpoints(const EndpointRegistry& registry);

/** \brief Takes in what the process before knew. Each endpoint counts as
 * heard now, so that one that says nothing falls silent as usual; those that
 * are gone count as gone for long.
 */
void RecallEndpoints(EndpointRegistry& registry,
                     const wire::RememberedEndpoints& remembered, Elapsed now);

/** \brief Marks endpoints whose heartbeats have stopped coming, and forgets
 * those that ended long ago.
 * \return whether there is news
 */
bool TickRegistry(EndpointRegistry& registry, Elapsed now);

/** \brief Adds registrations that a follower does not have, the oldest first;
 * it asks again for what a reply does not hold. Another control box is told of
 * the own ones.
 */
void RegistrationsSince(const EndpointRegistry& registry,
                        const wire::FollowRequest& request, Elapsed now,
                        wire::FollowReply& reply);

} // namespace wg
