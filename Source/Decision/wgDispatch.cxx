// SPDX-License-Identifier: Apache-2.0
#include "wgDispatch.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

bool HasFreeSlot(const GroupState& group, SlotRule rule)
{
  return std::any_of(group.endpoints.begin(), group.endpoints.end(),
                     [rule](const EndpointState& endpoint) {
                       return IsSlotFree(endpoint, rule);
                     });
}

/** Quotas apply only while the demand exceeds the slots; otherwise they would
 * leave slots idle. An account without a quota yet, because the other boxes do
 * not know of it, may run one stage until the next division.
 */
bool MayStartMore(const GroupState& group, const std::string& account,
                  int running, bool sharedSlotFree)
{
  if (!group.quota.contended) {
    return true;
  }
  auto found = group.quota.accounts.find(account);
  const bool isNew =
    found == group.quota.accounts.end() || found->second.slotsHere == 0.0;
  if (isNew) {
    return running == 0;
  }
  return sharedSlotFree && running < std::ceil(found->second.slotsHere);
}

void RemoveQueries(GroupState& group, const std::vector<WaitingStage>& stages)
{
  for (const WaitingStage& stage : stages) {
    group.queries.erase(stage.ticket);
  }
}

/** A range in the sequence of all slots of a group. */
struct SlotRange
{
  int first = 0;
  int end = 0;
};

/** Returns this box's range of slots. All boxes derive the same ranges from
 * the same demands: in the order of their names, each range begins where the
 * one before it ends.
 */
SlotRange SlotRangeOf(const std::string& self,
                      absl::Span<const ShareDemand> demands,
                      const SlotDivision& division)
{
  double before = 0.0;
  double own = 0.0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double slots = division.shares[i].slots;
    before += demands[i].box < self ? slots : 0.0;
    own += demands[i].box == self ? slots : 0.0;
  }
  return { static_cast<int>(std::lround(before)),
           static_cast<int>(std::lround(before + own)) };
}

/** Numbers the slots round-robin over the endpoints, so that each range spans
 * as many endpoints as possible and no slot is in two ranges, and sets how
 * many slots of each endpoint are in this box's range.
 */
void AssignSlots(absl::Span<EndpointState> endpoints, SlotRange range)
{
  int maxSlots = 0;
  for (EndpointState& endpoint : endpoints) {
    endpoint.share = 0;
    maxSlots = std::max(maxSlots, endpoint.slots);
  }
  int position = 0;
  for (int level = 0; level < maxSlots && position < range.end; ++level) {
    for (EndpointState& endpoint : endpoints) {
      if (!TakesNewWork(endpoint) || level >= endpoint.slots) {
        continue;
      }
      endpoint.share +=
        position >= range.first && position < range.end ? 1 : 0;
      ++position;
    }
  }
}

} // namespace

Reason Enqueue(GroupState& group, WaitingStage stage, const RouteQuery& query)
{
  const std::uint64_t ticket = stage.ticket;
  const Reason reason = Push(group.queue, std::move(stage));
  if (reason == Reason::None) {
    group.queries.emplace(ticket, query);
  }
  return reason;
}

DispatchRound Dispatch(GroupState& group, Elapsed now, absl::BitGenRef random)
{
  DispatchRound round;
  StartProbes(absl::MakeSpan(group.endpoints), now);
  round.infeasible = ExtractInfeasible(
    group.queue, now, ExpectedSeconds(group.service, group.priorSeconds));
  RemoveQueries(group, round.infeasible);
  while (HasFreeSlot(group, SlotRule::Any)) {
    const bool sharedSlotFree = HasFreeSlot(group, SlotRule::Shared);
    std::optional<WaitingStage> stage =
      PopNext(group.queue, [&group, sharedSlotFree](const std::string& account,
                                                    int running) {
        return MayStartMore(group, account, running, sharedSlotFree);
      });
    if (!stage) {
      break;
    }
    RouteQuery query = group.queries[stage->ticket];
    group.queries.erase(stage->ticket);
    query.now = now;
    query.rule = group.quota.contended && sharedSlotFree ? SlotRule::Shared
                                                         : SlotRule::Any;
    std::optional<RouteDecision> route =
      ChooseEndpoint(group.policy, group.endpoints, query, group.prefixes,
                     group.roundRobin, random);
    NoteChoice(absl::MakeSpan(group.endpoints), *route, ++group.choices);
    NotePrefix(group.prefixes, query.prefix, route->endpoint);
    round.grants.push_back({ std::move(*stage), std::move(*route) });
  }
  return round;
}

bool Finish(GroupState& group, const Grant& grant, AttemptEnd end,
            double seconds, Elapsed now)
{
  Settle(group.queue, grant.stage.account, grant.stage.expectedCost, seconds);
  if (end == AttemptEnd::Answered) {
    Observe(group.service, seconds);
    EarnRetry(group.retries);
  } else if (end == AttemptEnd::OutOfTime && seconds > group.service.mean) {
    Observe(group.service, seconds); // a lower bound of the service time
  }
  return NoteAttemptEnd(absl::MakeSpan(group.endpoints), grant.route.endpoint,
                        end, seconds, now);
}

double CountSlots(const GroupState& group)
{
  double slots = 0.0;
  for (const EndpointState& endpoint : group.endpoints) {
    slots += TakesNewWork(endpoint) ? endpoint.slots : 0;
  }
  return slots;
}

void SetQuota(GroupState& group, const std::string& self,
              absl::Span<const ShareDemand> demands)
{
  const double slots = CountSlots(group);
  const SlotDivision division = DivideSlots(slots, demands);
  GroupQuota quota;
  quota.known = true;
  quota.unused = division.unused;
  quota.slotsPerWeight = division.slotsPerWeight;
  double wanted = 0.0;
  absl::flat_hash_map<std::string, double> allotted;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const ShareDemand& demand = demands[i];
    AccountQuota& account = quota.accounts[demand.account];
    allotted[demand.account] += division.shares[i].slots;
    wanted += demand.wanted;
    if (demand.box == self) {
      account.slotsHere = division.shares[i].slots;
      account.aheadHere = demand.wanted + demand.coming;
    } else {
      account.aheadElsewhere += demand.wanted + demand.coming;
    }
  }
  for (const ShareDemand& demand : demands) {
    quota.accounts[demand.account].slotsIfBacklogged =
      SlotsIfBacklogged(division, demand.weight, allotted[demand.account]);
  }
  quota.contended = wanted > slots;
  group.quota = std::move(quota);
  AssignSlots(absl::MakeSpan(group.endpoints),
              SlotRangeOf(self, demands, division));
}

} // namespace wg
