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

/** \brief All that one entry knows of one endpoint group. */
struct GroupState
{
  std::string name;
  double priorSeconds = 0.1;
  std::vector<EndpointState> endpoints;
  FairQueue queue;
  RetryBudget retries;
  PrefixTable prefixes;
  TimeEstimate service;                           // of the whole group
  absl::flat_hash_map<std::string, double> quota; // places by account
  bool hasQuota = false; // false: no other box is known to ask
  std::uint64_t roundRobin = 0;
  RoutePolicy policy = RoutePolicy::ExpectedFinish;
  absl::flat_hash_map<std::uint64_t, RouteQuery> queries; // by ticket
  absl::flat_hash_map<std::string, int> upcoming; // admitted, not yet here
};

/** \brief Queues a stage of a request. */
Reason Enqueue(GroupState& group, WaitingStage stage, RouteQuery query);

/** \brief Grants places to waiting stages in fair turn, while there are. */
DispatchRound Dispatch(GroupState& group, Elapsed now, absl::BitGenRef random);

/** \brief Takes the end of a granted stage in. True: health changed. */
bool Finish(GroupState& group, const Grant& grant, AttemptEnd end,
            double seconds, Elapsed now);

/** \brief Places of all endpoints that take new work. */
double CountPlaces(const GroupState& group);

/** \brief Places that an account may use through this entry. */
double PlacesFor(const GroupState& group, const std::string& account,
                 double weight);

} // namespace wg
