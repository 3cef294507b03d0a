// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief The periods of a registry. */
struct RegistryTiming
{
  absl::Duration silentAfter = absl::Seconds(5);
  absl::Duration forgetAfter = absl::Minutes(2);
};

/** \brief An endpoint's newest registration, and when it was heard. */
struct RegisteredEndpoint
{
  wire::Registration registration;
  Elapsed heard;
};

/** \brief The endpoints that have registered with one control process. It is
 * not replicated: endpoints register again with whichever box answers.
 */
struct EndpointRegistry
{
  RegistryTiming timing;
  std::uint64_t incarnation = 0; // drawn at the start of the process
  std::uint64_t revision = 0;
  std::map<std::string, RegisteredEndpoint> endpoints; // by id
};

/** \brief Takes a heartbeat in; one that was overtaken by a later one, or by
 * the endpoint's end, changes nothing.
 * \return whether it is news to those that follow
 */
bool TakeHeartbeat(EndpointRegistry& registry,
                   const wire::Registration& heartbeat, Elapsed now);

/** \brief The endpoint has said that it ends.
 * \return whether it is news to those that follow
 */
bool TakeLeave(EndpointRegistry& registry, absl::string_view endpoint,
               Elapsed now);

/** \brief Marks endpoints whose heartbeats have stopped coming, and forgets
 * those that ended long ago.
 * \return whether there is news
 */
bool TickRegistry(EndpointRegistry& registry, Elapsed now);

/** \brief Adds registrations that a follower does not have, the oldest first;
 * it asks again for what a reply does not hold.
 */
void RegistrationsSince(const EndpointRegistry& registry,
                        const wire::FollowRequest& request,
                        wire::FollowReply& reply);

} // namespace wg
