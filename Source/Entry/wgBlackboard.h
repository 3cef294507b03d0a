// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

#include "wgAdmission.h"
#include "wgConfig.h"
#include "wgCostLedger.h"
#include "wgCounters.h"
#include "wgDispatch.h"
#include "wgHallOrders.h"
#include "wgMembership.h"
#include "wgRequestRecord.h"
#include "wgShares.h"

namespace wg {

/** \brief What a waiting stage is told: a grant, or that it is hopeless. */
struct GrantWait
{
  absl::Notification done;
  std::optional<Grant> grant;
};

/** \brief The state of the configuration at this entry. */
struct ConfigTable
{
  absl::Mutex mutex;
  std::shared_ptr<const Config> config ABSL_GUARDED_BY(mutex);
  Elapsed confirmed ABSL_GUARDED_BY(mutex); // last heard to be the newest
  HallOrders halls ABSL_GUARDED_BY(mutex);
};

/** \brief All endpoint groups with their queues, and who waits in them. */
struct GroupTable
{
  absl::Mutex mutex;
  std::map<std::string, GroupState> groups ABSL_GUARDED_BY(mutex);
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<GrantWait>> waits
    ABSL_GUARDED_BY(mutex);
  std::uint64_t nextTicket ABSL_GUARDED_BY(mutex) = 1;
  absl::BitGen random ABSL_GUARDED_BY(mutex);
};

/** \brief What each account uses, and what it cost. */
struct AccountTable
{
  absl::Mutex mutex;
  std::map<std::string, AccountUse> uses ABSL_GUARDED_BY(mutex);
  CostLedger costs ABSL_GUARDED_BY(mutex);
  absl::BitGen random ABSL_GUARDED_BY(mutex);
};

/** \brief The other entry boxes. */
struct MemberTable
{
  absl::Mutex mutex;
  Membership membership ABSL_GUARDED_BY(mutex);
  absl::BitGen random ABSL_GUARDED_BY(mutex);
};

/** \brief Running and lately ended requests, for `show` and `explain`. */
struct RequestTable
{
  absl::Mutex mutex;
  RequestRecords records ABSL_GUARDED_BY(mutex);
};

/** \brief The tables that all controllers of an entry share. Each has a lock
 * of its own. Lock order: config, groups, accounts, members, requests; a
 * later one may be taken while an earlier one is held, never the reverse.
 * The thread sanitizer checks it (Tests/Sanitizers). Nothing blocks on a
 * socket while one is held.
 */
struct Blackboard
{
  std::string box;
  std::string hall;
  ConfigTable config;
  GroupTable groups;
  AccountTable accounts;
  MemberTable members;
  RequestTable requests;
  Counters counters;
  std::atomic<bool> stopping{ false }; // the balancer is to go elsewhere
  std::atomic<bool> draining{ false }; // nothing more is taken
  std::atomic<int> inFlight{ 0 };
};

/** \brief The configuration in force, or null before the first one. */
std::shared_ptr<const Config> CurrentConfig(Blackboard& blackboard);

/** \brief Puts a configuration in force if it is newer than the present one;
 * a revision never goes back. Running stages are not touched.
 */
bool PutInForce(Blackboard& blackboard, Config config);

/** \brief Number of the newest order on a hall that is in force here. */
std::uint64_t NewestHallOrder(Blackboard& blackboard);

/** \brief Puts operators' orders on halls in force, if they are newer. */
void PutHallOrders(Blackboard& blackboard, HallOrders orders);

/** \brief Notes that the present configuration was found to be the newest. */
void ConfirmConfig(Blackboard& blackboard);

/** \brief Dispatches a group and tells those who wait. */
void DispatchGroup(GroupTable& table, GroupState& group, Elapsed now)
  ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex);

/** \brief Dispatches every group, so that time itself moves things on. */
void DispatchAll(Blackboard& blackboard, Elapsed now);

/** \brief Divides all groups' places between the entry boxes that live. */
void RefreshShares(Blackboard& blackboard, Elapsed now);

/** \brief What this entry asks of the groups, for its gossip. */
std::vector<wire::Demand> OwnDemands(Blackboard& blackboard);

} // namespace wg
