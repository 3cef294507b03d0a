// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wgControlStatus.h"
#include "wgCrashEvidence.h"
#include "wgElapsed.h"
#include "wgEndpointRegistry.h"
#include "wgPeer.pb.h"
#include "wgServiceState.h"

namespace wg {

/** \brief A call that is answered when there is news, or its wait is over. */
struct FollowWaiter
{
  wire::FollowRequest request;
  Elapsed until;
  std::function<void(std::string body)> respond;
};

/** \brief The entries that follow one control process. */
struct Followers
{
  std::map<std::string, FollowerBox> boxes;
  std::uint64_t revision = 0; // of the live boxes and their shares of a core
  std::vector<FollowWaiter> waiting;
  std::uint64_t unsoundShares = 0; // impossible ones that were ignored
};

/** \brief What followers are told of. */
struct FollowedState
{
  const ServiceState* service = nullptr;
  const EndpointRegistry* registry = nullptr;
  const CrashEvidence* crashes = nullptr;
  std::vector<std::string> controls; // addresses of known control boxes
  absl::Duration age;                // since heard from a quorum
};

/** \brief Notes who asks, and answers at once or lets it wait. */
void TakeFollow(Followers& followers, FollowWaiter waiter,
                const FollowedState& state, Elapsed now);

/** \brief Answers those for whom there is news, or whose wait is over. */
void AnswerFollowers(Followers& followers, const FollowedState& state,
                     Elapsed now);

/** \brief Notices boxes that no longer ask. */
void TickFollowers(Followers& followers, Elapsed now);

} // namespace wg
