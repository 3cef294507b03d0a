// SPDX-License-Identifier: Apache-2.0
#include "wgBlackboard.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {
namespace {

constexpr double MillisecondsPerSecond = 1000.0;

/** Takes over what is learned of endpoints that stay, by name. */
std::vector<EndpointState> MergeEndpoints(
  const Config& config, const std::string& ownHall, const std::string& group,
  const std::vector<EndpointState>& known)
{
  // Grants refer to endpoints by their place in the list: none may move or
  // go while stages run there, so those that left the configuration stay as
  // leaving ones.
  std::vector<EndpointState> merged = known;
  std::set<std::string> wanted;
  for (const EndpointConfig& endpoint : config.endpoints) {
    if (endpoint.group != group) {
      continue;
    }
    wanted.insert(endpoint.name);
    auto found = std::find_if(merged.begin(), merged.end(),
                              [&endpoint](const EndpointState& state) {
                                return state.name == endpoint.name;
                              });
    const bool isNew = found == merged.end();
    EndpointState& state = isNew ? merged.emplace_back() : *found;
    if (isNew) {
      state.name = endpoint.name;
      state.limit.value = endpoint.slots;
    }
    state.removed = false;
    state.hall = endpoint.hall;
    state.distanceSeconds = RoundTripSeconds(config, ownHall, endpoint.hall);
    state.address = endpoint.address;
    state.port = endpoint.port;
    state.slots = endpoint.slots;
    state.drained = endpoint.drained;
  }
  for (EndpointState& state : merged) {
    if (wanted.count(state.name) == 0) {
      state.removed = true;
    }
  }
  return merged;
}

void ApplyHallOrders(GroupState& group, const HallOrders& orders)
{
  for (EndpointState& endpoint : group.endpoints) {
    endpoint.evacuated = IsEvacuated(orders, endpoint.hall);
  }
}

void ApplyToGroups(GroupTable& table, const Config& config,
                   const HallOrders& orders, const std::string& ownHall,
                   Elapsed now)
{
  absl::MutexLock lock(&table.mutex);
  for (const GroupConfig& group : config.groups) {
    GroupState& state = table.groups[group.name];
    state.name = group.name;
    state.priorSeconds = group.expectedMs / MillisecondsPerSecond;
    state.endpoints =
      MergeEndpoints(config, ownHall, group.name, state.endpoints);
    ApplyHallOrders(state, orders);
    DispatchGroup(table, state, now);
  }
}

/** All that is asked of one group, by every box that lives. */
std::vector<ShareDemand> GatherDemands(
  const Config& config, const std::string& group, const std::string& self,
  const std::vector<wire::Demand>& own,
  const std::vector<wire::Member>& members)
{
  std::vector<ShareDemand> demands;
  const auto gather = [&](const std::string& box, const auto& list) {
    for (const wire::Demand& demand : list) {
      if (demand.group() != group) {
        continue;
      }
      const AccountConfig* account = FindAccount(config, demand.account());
      demands.push_back(
        { demand.account(), account == nullptr ? 1.0 : account->weight, box,
          static_cast<int>(demand.running() + demand.waiting()),
          static_cast<int>(demand.coming()) });
    }
  };
  gather(self, own);
  for (const wire::Member& member : members) {
    gather(member.box(), member.demands());
  }
  return demands;
}

std::vector<wire::Member> CopyAlive(MemberTable& table, Elapsed now)
{
  absl::MutexLock lock(&table.mutex);
  std::vector<wire::Member> alive;
  for (const KnownMember* known : ReachableMembers(table.membership, now)) {
    alive.push_back(known->member);
  }
  return alive;
}

} // namespace

std::shared_ptr<const Config> CurrentConfig(Blackboard& blackboard)
{
  absl::MutexLock lock(&blackboard.config.mutex);
  return blackboard.config.config;
}

bool PutInForce(Blackboard& blackboard, Config config)
{
  const Elapsed now = ElapsedNow();
  absl::MutexLock lock(&blackboard.config.mutex);
  const auto& present = blackboard.config.config;
  if (present != nullptr && present->revision >= config.revision) {
    return false;
  }
  blackboard.config.confirmed = now;
  ApplyToGroups(blackboard.groups, config, blackboard.config.halls,
                blackboard.hall, now);
  LogChange("config",
            absl::StrCat("revision ", config.revision, " is in force"));
  {
    absl::MutexLock members(&blackboard.members.mutex);
    blackboard.members.membership.self.set_revision(config.revision);
  }
  blackboard.config.config = std::make_shared<const Config>(std::move(config));
  blackboard.counters.Add(Event::ConfigInForce);
  return true;
}

std::uint64_t NewestHallOrder(Blackboard& blackboard)
{
  absl::MutexLock lock(&blackboard.config.mutex);
  return blackboard.config.halls.newest;
}

void PutHallOrders(Blackboard& blackboard, HallOrders orders)
{
  const Elapsed now = ElapsedNow();
  absl::MutexLock lock(&blackboard.config.mutex);
  if (orders.newest <= blackboard.config.halls.newest) {
    return;
  }
  for (const auto& [hall, order] : orders.halls) {
    const bool isNew = order.number > blackboard.config.halls.newest;
    if (isNew) {
      LogChange("hall",
                absl::StrCat(hall,
                             order.evacuated ? " gets no new work, order "
                                             : " may get work again, order ",
                             order.number));
    }
  }
  blackboard.config.halls = std::move(orders);
  absl::MutexLock groups(&blackboard.groups.mutex);
  for (auto& [name, group] : blackboard.groups.groups) {
    ApplyHallOrders(group, blackboard.config.halls);
    DispatchGroup(blackboard.groups, group, now);
  }
}

void ConfirmConfig(Blackboard& blackboard)
{
  absl::MutexLock lock(&blackboard.config.mutex);
  blackboard.config.confirmed = ElapsedNow();
}

void DispatchGroup(GroupTable& table, GroupState& group, Elapsed now)
{
  DispatchRound round = Dispatch(group, now, table.random);
  for (Grant& grant : round.grants) {
    auto node = table.waits.extract(grant.stage.ticket);
    if (!node.empty()) {
      node.mapped()->grant = std::move(grant);
      node.mapped()->done.Notify();
    }
  }
  for (const WaitingStage& stage : round.infeasible) {
    auto node = table.waits.extract(stage.ticket);
    if (!node.empty()) {
      node.mapped()->done.Notify();
    }
  }
}

void DispatchAll(Blackboard& blackboard, Elapsed now)
{
  absl::MutexLock lock(&blackboard.groups.mutex);
  for (auto& [name, group] : blackboard.groups.groups) {
    DispatchGroup(blackboard.groups, group, now);
  }
}

std::vector<wire::Demand> OwnDemands(Blackboard& blackboard)
{
  std::vector<wire::Demand> demands;
  absl::MutexLock lock(&blackboard.groups.mutex);
  for (const auto& [name, group] : blackboard.groups.groups) {
    for (const auto& [account, entry] : group.queue.accounts) {
      auto upcoming = group.upcoming.find(account);
      const int coming =
        upcoming == group.upcoming.end() ? 0 : upcoming->second;
      const bool asks =
        entry.running > 0 || !entry.waiting.empty() || coming > 0;
      if (!asks) {
        continue;
      }
      wire::Demand& demand = demands.emplace_back();
      demand.set_group(name);
      demand.set_account(account);
      demand.set_running(static_cast<std::uint32_t>(entry.running));
      demand.set_waiting(static_cast<std::uint32_t>(entry.waiting.size()));
      demand.set_coming(static_cast<std::uint32_t>(coming));
    }
  }
  return demands;
}

void RefreshShares(Blackboard& blackboard, Elapsed now)
{
  const std::shared_ptr<const Config> config = CurrentConfig(blackboard);
  if (config == nullptr) {
    return;
  }
  const std::vector<wire::Demand> own = OwnDemands(blackboard);
  const std::vector<wire::Member> alive = CopyAlive(blackboard.members, now);
  absl::MutexLock lock(&blackboard.groups.mutex);
  for (auto& [name, group] : blackboard.groups.groups) {
    SetQuota(group, blackboard.box,
             GatherDemands(*config, name, blackboard.box, own, alive));
    DispatchGroup(blackboard.groups, group, now);
  }
}

} // namespace wg
