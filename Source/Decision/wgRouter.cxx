// SPDX-License-Identifier: Apache-2.0
#include "wgRouter.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace wg {
namespace {

constexpr std::size_t MaxPrefixes = 100000;
/** A prefix that is cached saves this share of the service time. */
constexpr double PrefixSaving = 0.3;

std::vector<std::size_t> WithPlace(absl::Span<const EndpointState> group,
                                   std::size_t avoid)
{
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < group.size(); ++i) {
    if (i != avoid && HasPlace(group[i])) {
      open.push_back(i);
    }
  }
  const bool onlyAvoided =
    open.empty() && avoid < group.size() && HasPlace(group[avoid]);
  if (onlyAvoided) {
    open.push_back(avoid);
  }
  return open;
}

/** Moves a random choice of `count` to the front and drops the rest. */
void KeepRandom(std::vector<std::size_t>& open, std::size_t count,
                absl::BitGenRef random)
{
  if (open.size() <= count) {
    return;
  }
  for (std::size_t i = 0; i < count; ++i) {
    const auto other = absl::Uniform<std::size_t>(random, i, open.size());
    std::swap(open[i], open[other]);
  }
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
  KeepRandom(open, query.choices, random);
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
  const int others =
    std::max(0, endpoint.report.running + endpoint.report.waiting -
                  endpoint.report.ownRunning);
  const double ahead = others + endpoint.running;
  const double fill = (ahead + 1.0) / std::max(1, endpoint.slots);
  const double service = ExpectedSeconds(endpoint.service, query.priorSeconds);
  const double distance = endpoint.hall == query.hall
                            ? 0.0
                            : absl::ToDoubleSeconds(query.hallDistance);
  return service * std::max(fill, 1.0) + service * 0.5 * fill + distance;
}

std::optional<RouteDecision> ChooseEndpoint(
  RoutePolicy policy, absl::Span<const EndpointState> group,
  const RouteQuery& query, const PrefixTable& prefixes,
  std::uint64_t& roundRobin, absl::BitGenRef random)
{
  std::vector<std::size_t> open = WithPlace(group, query.avoid);
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
