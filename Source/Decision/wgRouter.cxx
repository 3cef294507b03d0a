// SPDX-License-Identifier: Apache-2.0
#include "wgRouter.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace wg {
namespace {

constexpr std::size_t MaxPrefixes = 100000;
/** A prefix that is cached saves this share of the service time. */
constexpr double PrefixSaving = 0.3;
constexpr double ClearlyDifferent = 1.5;
/** One that is passed over more often waits for the next round. */
constexpr int MaxSkipped = 2;

/** An endpoint counts as different from its group only when it clearly is:
 * else the few longer stages that it happened to get would look like
 * slowness.
 */
double ServiceSecondsAt(const EndpointState& endpoint, double ofGroup)
{
  const double own = ExpectedSeconds(endpoint.service, ofGroup);
  const bool different =
    own > ClearlyDifferent * ofGroup || own * ClearlyDifferent < ofGroup;
  return different ? own : ofGroup;
}

/** What other boxes have there. The older a report is against the time of a
 * stage, the less it says.
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

std::vector<std::size_t> WithPlace(absl::Span<const EndpointState> group,
                                   std::size_t avoid, PlaceRule rule)
{
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < group.size(); ++i) {
    if (i != avoid && HasPlace(group[i], rule)) {
      open.push_back(i);
    }
  }
  const bool onlyAvoided =
    open.empty() && avoid < group.size() && HasPlace(group[avoid], rule);
  if (onlyAvoided) {
    open.push_back(avoid);
  }
  return open;
}

/** Keeps those that were compared longest ago: the turn goes round, so that
 * a box spreads its own work evenly whatever late reports say.
 */
void KeepLongestAgo(absl::Span<const EndpointState> group,
                    std::vector<std::size_t>& open, std::size_t count,
                    absl::BitGenRef random)
{
  std::shuffle(open.begin(), open.end(), random);
  if (open.size() <= count) {
    return;
  }
  std::partial_sort(open.begin(),
                    open.begin() + static_cast<std::ptrdiff_t>(count),
                    open.end(), [&group](std::size_t a, std::size_t b) {
                      return group[a].compared < group[b].compared;
                    });
  open.resize(count);
}

RouteDecision ChooseByFinish(absl::Span<const EndpointState> group,
                             std::vector<std::size_t> open,
                             const RouteQuery& query,
                             const PrefixTable& prefixes,
                             absl::BitGenRef random)
{
  std::size_t cachedAt = SIZE_MAX;
  if (auto found = prefixes.lastServed.find(query.prefix);
      query.prefix != 0 && found != prefixes.lastServed.end()) {
    cachedAt = found->second;
  }
  const bool cachedIsOpen =
    std::find(open.begin(), open.end(), cachedAt) != open.end();
  KeepLongestAgo(group, open, query.choices, random);
  const bool kept =
    std::find(open.begin(), open.end(), cachedAt) != open.end();
  if (cachedIsOpen && !kept) {
    open.push_back(cachedAt);
  }
  RouteDecision decision;
  double best = 0.0;
  for (const std::size_t index : open) {
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
                             absl::Span<const std::size_t> open)
{
  return *std::min_element(open.begin(), open.end(),
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
  std::vector<std::size_t> open = WithPlace(group, query.avoid, query.rule);
  if (open.empty()) {
    return std::nullopt;
  }
  switch (policy) {
    case RoutePolicy::ExpectedFinish:
      return ChooseByFinish(group, std::move(open), query, prefixes, random);
    case RoutePolicy::Random:
      return RouteDecision{
        open[absl::Uniform<std::size_t>(random, 0, open.size())], {}
      };
    case RoutePolicy::RoundRobin:
      return RouteDecision{ open[roundRobin++ % open.size()], {} };
    case RoutePolicy::LeastOutstanding:
      break;
  }
  return RouteDecision{ LeastOutstanding(group, open), {} };
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
