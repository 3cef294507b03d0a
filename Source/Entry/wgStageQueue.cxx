// SPDX-License-Identifier: Apache-2.0
#include "wgStageQueue.h"

#include <utility>

namespace wg {
namespace {

constexpr absl::Duration CallerPoll = absl::Milliseconds(100);

/** Takes the stage out again; false when it has been decided on already. */
bool Withdraw(GroupTable& groups, const std::string& group,
              const std::string& account, std::uint64_t ticket)
{
  absl::MutexLock lock(&groups.mutex);
  if (groups.waits.erase(ticket) == 0) {
    return false;
  }
  GroupState& state = groups.groups[group];
  Remove(state.queue, account, ticket);
  state.queries.erase(ticket);
  return true;
}

} // namespace

GrantOutcome WaitForGrant(GroupTable& groups, const std::string& group,
                          WaitingStage stage, const RouteQuery& query,
                          const std::function<bool()>& callerIsThere)
{
  const std::string account = stage.account;
  std::uint64_t ticket = 0;
  auto wait = std::make_shared<GrantWait>();
  {
    absl::MutexLock lock(&groups.mutex);
    stage.ticket = ticket = groups.nextTicket++;
    GroupState& state = groups.groups[group];
    const Reason reason = Enqueue(state, std::move(stage), query);
    if (reason != Reason::None) {
      return { std::nullopt, reason };
    }
    groups.waits[ticket] = wait;
    DispatchGroup(groups, state, ElapsedNow());
  }
  while (!wait->done.WaitForNotificationWithTimeout(CallerPoll)) {
    const bool left = callerIsThere && !callerIsThere();
    if (left && Withdraw(groups, group, account, ticket)) {
      return { std::nullopt, Reason::CallerLeft };
    }
  }
  const Reason reason =
    wait->grant ? Reason::None : Reason::DeadlineUnreachable;
  return { std::move(wait->grant), reason };
}

} // namespace wg
