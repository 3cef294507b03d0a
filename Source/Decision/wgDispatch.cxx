// SPDX-License-Identifier: Apache-2.0
#include "wgDispatch.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

/** A box that is not yet known to ask may start this many at once. */
constexpr double UnknownQuota = 1.0;

bool MayStartMore(const GroupState& group, const std::string& account,
                  int running)
{
  if (!group.hasQuota) {
    return true;
  }
  auto found = group.quota.find(account);
  const double quota =
    found == group.quota.end() ? UnknownQuota : found->second;
  return running < static_cast<int>(std::ceil(std::max(quota, 1.0)));
}

bool AnyPlace(const GroupState& group)
{
  return std::any_of(group.endpoints.begin(), group.endpoints.end(), HasPlace);
}

void ForgetQueries(GroupState& group, const std::vector<WaitingStage>& stages)
{
  for (const WaitingStage& stage : stages) {
    group.queries.erase(stage.ticket);
  }
}

} // namespace

Reason Enqueue(GroupState& group, WaitingStage stage, RouteQuery query)
{
  const std::uint64_t ticket = stage.ticket;
  const Reason reason = Push(group.queue, std::move(stage));
  if (reason == Reason::None) {
    group.queries.emplace(ticket, std::move(query));
  }
  return reason;
}

DispatchRound Dispatch(GroupState& group, Elapsed now, absl::BitGenRef random)
{
  DispatchRound round;
  StartProbes(absl::MakeSpan(group.endpoints), now);
  round.hopeless = TakeHopeless(group.queue, now);
  ForgetQueries(group, round.hopeless);
  const MayStart mayStart = [&group](const std::string& account, int running) {
    return MayStartMore(group, account, running);
  };
  while (AnyPlace(group)) {
    std::optional<WaitingStage> stage = PopNext(group.queue, mayStart);
    if (!stage) {
      break;
    }
    const RouteQuery query = group.queries[stage->ticket];
    group.queries.erase(stage->ticket);
    std::optional<RouteDecision> route =
      ChooseEndpoint(group.policy, group.endpoints, query, group.prefixes,
                     group.roundRobin, random);
    ++group.endpoints[route->endpoint].running;
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

double PlacesFor(const GroupState& group, const std::string& account,
                 double weight)
{
  if (group.hasQuota) {
    auto found = group.quota.find(account);
    if (found != group.quota.end()) {
      return std::max(found->second, UnknownQuota);
    }
  }
  double others = 0.0;
  for (const auto& [name, entry] : group.queue.accounts) {
    const bool active = !entry.waiting.empty() || entry.running > 0;
    others += name != account && active ? entry.weight : 0.0;
  }
  return CountPlaces(group) * weight / (weight + others);
}

} // namespace wg
