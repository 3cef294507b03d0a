// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"

#include "wgFairQueue.h"
#include "wgRetryBudget.h"
#include "wgRouter.h"
#include "wgShares.h"

namespace wg {

/** \brief A stage that was granted a slot, and the endpoint chosen for it. */
struct Grant
{
  WaitingStage stage;
  RouteDecision route;
};

/** \brief The result of one round of dispatching. */
struct DispatchRound
{
  std::vector<Grant> grants;
  /** Stages that can no longer meet their deadlines, to be refused at once. */
  std::vector<WaitingStage> infeasible;
};

/** \brief Slots and demand of one account in a group, over all entry boxes. */
struct AccountQuota
{
  /** Slots through this box while the group is contended. */
  double slotsHere = 0.0;
  /** Slots over all boxes if the account were backlogged. */
  double slotsIfBacklogged = 0.0;
  /** Running, waiting and upcoming stages at the other boxes. */
  double aheadElsewhere = 0.0;
  /** The same at this box, when the quota was computed. */
  double aheadHere = 0.0;
};

/** \brief The division of a group's slots by the latest demands that the entry
 * boxes exchanged.
 */
struct GroupQuota
{
  absl::flat_hash_map<std::string, AccountQuota> accounts;
  bool contended = false; // the total demand exceeds the slots
  double unused = 0.0;    // slots without demand
  /** Slots per unit of weight of an account whose demand is not met. */
  double slotsPerWeight = 0.0;
  bool known = false; // whether the slots were divided yet
};

/** \brief The state of one endpoint group at one entry box. */
struct GroupState
{
  std::string name;
  double priorSeconds = 0.1;
  std::vector<EndpointState> endpoints;
  FairQueue queue;
  RetryBudget retries;
  PrefixTable prefixes;
  TimeEstimate service; // service time over all endpoints of the group
  GroupQuota quota;
  std::uint64_t roundRobin = 0;
  std::uint64_t choices = 0; // number of routing choices so far
  RoutePolicy policy = RoutePolicy::ExpectedFinish;
  absl::flat_hash_map<std::uint64_t, RouteQuery> queries; // by ticket
  /** By account: admitted requests whose stage here is not queued yet. */
  absl::flat_hash_map<std::string, int> upcoming;
};

/** \brief Queues a stage of a request.
 * \param query how its endpoint is to be chosen
 * \return as Push
 */
Reason Enqueue(GroupState& group, WaitingStage stage, const RouteQuery& query);

/** \brief Grants free slots to waiting stages in fair order. */
DispatchRound Dispatch(GroupState& group, Elapsed now, absl::BitGenRef random);

/** \brief Records the end of a granted stage.
 * \param seconds how long the attempt took
 * \return whether the health state of its endpoint changed
 */
bool Finish(GroupState& group, const Grant& grant, AttemptEnd end,
            double seconds, Elapsed now);

/** \brief Returns the number of slots of all endpoints that take new work. */
double CountSlots(const GroupState& group);

/** \brief Divides the group's slots between accounts and entry boxes.
 * \param self name of this box in the demands
 * \param demands at all entry boxes
 */
void SetQuota(GroupState& group, const std::string& self,
              absl::Span<const ShareDemand> demands);

} // namespace wg
