// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wgBoxList.h"
#include "wgControlStatus.h"
#include "wgCrashEvidence.h"
#include "wgElapsed.h"
#include "wgEndpointRegistry.h"
#include "wgPeer.pb.h"
#include "wgServiceState.h"
#include "wgUnheardHalls.h"

namespace wg {

/** \brief A call that is answered when there is news, or its wait is over. */
struct FollowWaiter
{
  wire::FollowRequest request;
  Elapsed until;
  std::function<void(std::string body)> respond;
  Elapsed notBefore{}; // news waits until then
};

/** \brief The entries that follow one control process. */
struct Followers
{
  std::map<std::string, FollowerBox> boxes;
  BoxList own; // of these, the live ones that share work
  BoxList all; // and those that other control boxes list
  UnheardHalls unheard;
  std::vector<FollowWaiter> waiting;
  Elapsed ticked;
  std::size_t live = 0;            // boxes, when that was last counted
  std::uint64_t unsoundShares = 0; // impossible ones that were ignored
};

/** \brief What followers are told of. */
struct FollowedState
{
  const ServiceState* service = nullptr;
  const EndpointRegistry* registry = nullptr;
  const CrashEvidence* crashes = nullptr;
  std::vector<std::string> controls;       // addresses of known control boxes
  absl::Duration age;                      // since heard from a quorum
  std::vector<std::string> controlHalls{}; // in the order of controls
  std::uint64_t controlsDigest = 0;        // 0: always told
};

/** \brief What one answer with news takes a control box of a third of a core
 * (reckoned). Answers to all that follow are spread over at least that time
 * for each, so that in a burst of news one answer tells more of it.
 */
constexpr absl::Duration AnswerTime = absl::Microseconds(250);

/** \brief How long a box that was just told of news waits for the next. */
absl::Duration AnswerGap(const Followers& followers);

/** \brief Takes in which boxes another control box lists. */
void TakeListed(Followers& followers, const std::string& control,
                const wire::FollowReply& reply, Elapsed now);

/** \brief Another control box is lost: what it listed no longer counts. */
void DropListed(Followers& followers, const std::string& control, Elapsed now);

/** \brief Notes who asks, and answers at once or lets it wait. */
void TakeFollow(Followers& followers, FollowWaiter waiter,
                const FollowedState& state, Elapsed now);

/** \brief Answers those for whom there is news, or whose wait is over. */
void AnswerFollowers(Followers& followers, const FollowedState& state,
                     Elapsed now);

/** \brief Notices boxes that no longer ask. */
void TickFollowers(Followers& followers, Elapsed now);

} // namespace wg
