// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "wgBlackboard.h"

namespace wg {

/** \brief What became of a stage that asked for a place. */
struct GrantOutcome
{
  std::optional<Grant> grant;
  Reason reason = Reason::None; // why there is none
};

/** \brief Queues a stage and waits until it is granted a place, its deadline
 * can no longer be met, or the caller leaves.
 * \param callerIsThere asked now and then; may be empty
 */
GrantOutcome WaitForGrant(GroupTable& groups, const std::string& group,
                          WaitingStage stage, const RouteQuery& query,
                          const std::function<bool()>& callerIsThere);

} // namespace wg
