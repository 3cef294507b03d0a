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

/** \brief Where a waiting stage is to run. */
struct Grant
{
  WaitingStage stage;
  RouteDecision route;
};

/** \brief What a round of dispatching decided. */
struct DispatchRound
{
  std::vector<Grant> grants;
  std::vector<WaitingStage> hopeless; // to be answered at once
};

/** \brief What one account may use and asks for, over all entry boxes. */
struct AccountQuota
{
  double here = 0.0;           // places through this box while contended
  double ifHungry = 0.0;       // places over all boxes if it wanted them all
  double aheadElsewhere = 0.0; // running, waiting and coming at other boxes
  double aheadHere = 0.0;      // the same at this one, at that time
};

/** \brief What the entry boxes last told one another of a group. */
struct GroupQuota
{
  absl::flat_hash_map<std::string, AccountQuota> accounts;
  bool contended = false; // more is wanted than there are places
  double unused = 0.0;    // places that nobody wants
  double perWeight = 0.0; // places of an account that wants more, by weight
  bool known = false;     // false: no division was made yet
};

/** \brief All that one entry knows of one endpoint group. */
struct GroupState
{
  std::string name;
  double priorSeconds = 0.1;
  std::vector<EndpointState> endpoints;
  FairQueue queue;
  RetryBudget retries;
  PrefixTable prefixes;
  TimeEstimate service; // of the whole group
  GroupQuota quota;
  std::uint64_t roundRobin = 0;
  std::uint64_t choices = 0; // made so far
  RoutePolicy policy = RoutePolicy::ExpectedFinish;
  absl::flat_hash_map<std::uint64_t, RouteQuery> queries; // by ticket
  absl::flat_hash_map<std::string, int> upcoming; // admitted, not yet here
};

/** \brief Queues a stage of a request. */
Reason Enqueue(GroupState& group, WaitingStage stage, const RouteQuery& query);

/** \brief Grants places to waiting stages in fair turn, while there are. */
DispatchRound Dispatch(GroupState& group, Elapsed now, absl::BitGenRef random);

/** \brief Takes the end of a granted stage in. True: health changed. */
bool Finish(GroupState& group, const Grant& grant, AttemptEnd end,
            double seconds, Elapsed now);

/** \brief Places of all endpoints that take new work. */
double CountPlaces(const GroupState& group);

/** \brief Divides the group's places between accounts and entry boxes.
 * \param self this box's name among those in the demands
 */
void SetQuota(GroupState& group, const std::string& self,
              absl::Span<const ShareDemand> demands);

} // namespace wg
