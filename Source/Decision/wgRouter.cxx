// SPDX-License-Identifier: Apache-2.0
#include "wgRouter.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace wg {
namespace {

constexpr std::size_t MaxPrefixes = 100000;
/** The fraction of the service time that a cached prefix saves. */
constexpr double PrefixSaving = 0.3;
constexpr double SignificantRatio = 1.5;
/** Endpoints skipped more often move to the end of the rotation. */
constexpr int MaxSkipped = 2;

/** Returns the endpoint's own service time only if it differs significantly
 * from the group's. Otherwise a few longer stages that it got by chance would
 * make it look slow.
 */
double ServiceSecondsAt(const EndpointState& endpoint, double groupSeconds)
{
  const double own = ExpectedSeconds(endpoint.service, groupSeconds);
  const bool different = own > SignificantRatio * groupSeconds ||
                         own * SignificantRatio < groupSeconds;
  return different ? own : groupSeconds;
}

/** Estimates the stages of other boxes at the endpoint. A report loses weight
 * with its age, relative to the service time.
 */
double OthersAt(const EndpointState& endpoint, const RouteQuery& query,
                double service)
{
  const LoadReport& report = endpoint.report;
  const double others =
    std::max(0, report.running + report.waiting - report.ownRunning);
  const double age =
    std::max(0.0, absl::ToDoubleSeconds(query.now - report.at));
  return others * service / (service + age);
}

std::vector<std::size_t> WithFreeSlot(absl::Span<const EndpointState> group,
                                      std::size_t avoid, SlotRule rule)
{
  std::vector<std::size_t> available;
  for (std::size_t i = 0; i < group.size(); ++i) {
    if (i != avoid && IsSlotFree(group[i], rule)) {
      available.push_back(i);
    }
  }
  const bool onlyAvoided = available.empty() && avoid < group.size() &&
                           IsSlotFree(group[avoid], rule);
  if (onlyAvoided) {
    available.push_back(avoid);
  }
  return available;
}

/** Keeps the endpoints compared longest ago. This rotation spreads a box's own
 * work evenly even if reports are late.
 */
void KeepLongestAgo(absl::Span<const EndpointState> group,
                    std::vector<std::size_t>& available, std::size_t count,
                    absl::BitGenRef random)
{
  std::shuffle(available.begin(), available.end(), random);
  if (available.size() <= count) {
    return;
  }
  std::partial_sort(available.begin(),
                    available.begin() + static_cast<std::ptrdiff_t>(count),
                    available.end(), [&group](std::size_t a, std::size_t b) {
                      return group[a].compared < group[b].compared;
                    });
  available.resize(count);
}

RouteDecision ChooseByFinish(absl::Span<const EndpointState> group,
                             std::vector<std::size_t> available,
                             const RouteQuery& query,
                             const PrefixTable& prefixes,
                             absl::BitGenRef random)
{
  std::size_t cachedAt = SIZE_MAX;
  if (auto found = prefixes.lastServed.find(query.prefix);
      query.prefix != 0 && found != prefixes.lastServed.end()) {
    cachedAt = found->second;
  }
  const bool cachedIsAvailable =
    std::find(available.begin(), available.end(), cachedAt) != available.end();
  KeepLongestAgo(group, available, query.choices, random);
  const bool kept =
    std::find(available.begin(), available.end(), cachedAt) != available.end();
  if (cachedIsAvailable && !kept) {
    available.push_back(cachedAt);
  }
  RouteDecision decision;
  double best = 0.0;
  for (const std::size_t index : available) {
    double finish = ExpectedFinishSeconds(group[index], query);
    if (index == cachedAt) {
      finish *= 1.0 - PrefixSaving;
    }
    if (decision.compared.empty() || finish < best) {
      best = finish;
      decision.endpoint = index;
    }
    decision.compared.push_back({ index, finish });
  }
  return decision;
}

std::size_t LeastOutstanding(absl::Span<const EndpointState> group,
                             absl::Span<const std::size_t> available)
{
  return *std::min_element(available.begin(), available.end(),
                           [&group](std::size_t a, std::size_t b) {
                             return group[a].running < group[b].running;
                           });
}

} // namespace

double ExpectedFinishSeconds(const EndpointState& endpoint,
                             const RouteQuery& query)
{
  const double service = ServiceSecondsAt(endpoint, query.priorSeconds);
  const double ahead = OthersAt(endpoint, query, service) + endpoint.running;
  const double fill = (ahead + 1.0) / std::max(1, endpoint.slots);
  return service * std::max(fill, 1.0) + service * 0.5 * fill +
         endpoint.distanceSeconds;
}

std::optional<RouteDecision> ChooseEndpoint(
  RoutePolicy policy, absl::Span<const EndpointState> group,
  const RouteQuery& query, const PrefixTable& prefixes,
  std::uint64_t& roundRobin, absl::BitGenRef random)
{
  std::vector<std::size_t> available =
    WithFreeSlot(group, query.avoid, query.rule);
  if (available.empty()) {
    return std::nullopt;
  }
  switch (policy) {
    case RoutePolicy::ExpectedFinish:
      return ChooseByFinish(group, std::move(available), query, prefixes,
                            random);
    case RoutePolicy::Random:
      return RouteDecision{
        available[absl::Uniform<std::size_t>(random, 0, available.size())], {}
      };
    case RoutePolicy::RoundRobin:
      return RouteDecision{ available[roundRobin++ % available.size()], {} };
    case RoutePolicy::LeastOutstanding:
      break;
  }
  return RouteDecision{ LeastOutstanding(group, available), {} };
}

void NoteChoice(absl::Span<EndpointState> group, const RouteDecision& choice,
                std::uint64_t order)
{
  for (const RouteCandidate& candidate : choice.compared) {
    EndpointState& endpoint = group[candidate.endpoint];
    const bool chosen = candidate.endpoint == choice.endpoint;
    endpoint.skipped = chosen ? 0 : endpoint.skipped + 1;
    if (chosen || endpoint.skipped > MaxSkipped) {
      endpoint.compared = order;
      endpoint.skipped = 0;
    }
  }
  ++group[choice.endpoint].running;
}

void NotePrefix(PrefixTable& prefixes, std::uint64_t prefix,
                std::size_t endpoint)
{
  if (prefix == 0) {
    return;
  }
  if (prefixes.lastServed.size() >= MaxPrefixes) {
    prefixes.lastServed.clear();
  }
  prefixes.lastServed[prefix] = endpoint;
}

void ForgetPrefix(PrefixTable& prefixes, std::uint64_t prefix)
{
  prefixes.lastServed.erase(prefix);
}

} // namespace wg
