// SPDX-License-Identifier: Apache-2.0
#include "wgDispatch.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

bool AnyPlace(const GroupState& group, PlaceRule rule)
{
  return std::any_of(group.endpoints.begin(), group.endpoints.end(),
                     [rule](const EndpointState& endpoint) {
                       return HasPlace(endpoint, rule);
                     });
}

/** Quotas bind only while more is wanted than there are places; else they
 * would hold back what others have no use for. An account that the other
 * boxes do not know of yet may start one stage without waiting until they do.
 */
bool MayStartMore(const GroupState& group, const std::string& account,
                  int running, bool anyShared)
{
  if (!group.quota.contended) {
    return true;
  }
  auto found = group.quota.accounts.find(account);
  const bool isNew =
    found == group.quota.accounts.end() || found->second.here == 0.0;
  if (isNew) {
    return running == 0;
  }
  return anyShared && running < std::ceil(found->second.here);
}

void ForgetQueries(GroupState& group, const std::vector<WaitingStage>& stages)
{
  for (const WaitingStage& stage : stages) {
    group.queries.erase(stage.ticket);
  }
}

/** A range of places, of all the places of a group in a row. */
struct PlaceRange
{
  int first = 0;
  int end = 0;
};

/** Every box finds the same ranges from the same demands: each begins where
 * the one of the box before it ends.
 */
PlaceRange RangeOf(const std::string& self,
                   absl::Span<const ShareDemand> demands,
                   const PlaceDivision& division)
{
  double before = 0.0;
  double own = 0.0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double places = division.shares[i].places;
    before += demands[i].box < self ? places : 0.0;
    own += demands[i].box == self ? places : 0.0;
  }
  return { static_cast<int>(std::lround(before)),
           static_cast<int>(std::lround(before + own)) };
}

/** Deals the slots out level by level, so that each range has its slots at as
 * many endpoints as can be, and no slot is in two ranges.
 */
void ShareSlots(absl::Span<EndpointState> endpoints, PlaceRange range)
{
  int deepest = 0;
  for (EndpointState& endpoint : endpoints) {
    endpoint.share = 0;
    deepest = std::max(deepest, endpoint.slots);
  }
  int position = 0;
  for (int level = 0; level < deepest && position < range.end; ++level) {
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
  round.hopeless = TakeHopeless(
    group.queue, now, ExpectedSeconds(group.service, group.priorSeconds));
  ForgetQueries(group, round.hopeless);
  while (AnyPlace(group, PlaceRule::Any)) {
    const bool anyShared = AnyPlace(group, PlaceRule::Shared);
    std::optional<WaitingStage> stage =
      PopNext(group.queue,
              [&group, anyShared](const std::string& account, int running) {
                return MayStartMore(group, account, running, anyShared);
              });
    if (!stage) {
      break;
    }
    RouteQuery query = group.queries[stage->ticket];
    group.queries.erase(stage->ticket);
    query.now = now;
    query.rule =
      group.quota.contended && anyShared ? PlaceRule::Shared : PlaceRule::Any;
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
    Observe(group.service, seconds); // it takes at least so long
  }
  return NoteAttemptEnd(absl::MakeSpan(group.endpoints), grant.route.endpoint,
                        end, seconds, now);
}

double CountPlaces(const GroupState& group)
{
  double places = 0.0;
  for (const EndpointState& endpoint : group.endpoints) {
    places += TakesNewWork(endpoint) ? endpoint.slots : 0;
  }
  return places;
}

void SetQuota(GroupState& group, const std::string& self,
              absl::Span<const ShareDemand> demands)
{
  const double places = CountPlaces(group);
  const PlaceDivision division = DividePlaces(places, demands);
  GroupQuota quota;
  quota.known = true;
  quota.unused = division.unused;
  quota.perWeight = division.perWeight;
  double wanted = 0.0;
  absl::flat_hash_map<std::string, double> given;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const ShareDemand& demand = demands[i];
    AccountQuota& account = quota.accounts[demand.account];
    given[demand.account] += division.shares[i].places;
    wanted += demand.wanted;
    if (demand.box == self) {
      account.here = division.shares[i].places;
      account.aheadHere = demand.wanted + demand.coming;
    } else {
      account.aheadElsewhere += demand.wanted + demand.coming;
    }
  }
  for (const ShareDemand& demand : demands) {
    quota.accounts[demand.account].ifHungry =
      PlacesIfHungry(division, demand.weight, given[demand.account]);
  }
  quota.contended = wanted > places;
  group.quota = std::move(quota);
  ShareSlots(absl::MakeSpan(group.endpoints),
             RangeOf(self, demands, division));
}

} // namespace wg
