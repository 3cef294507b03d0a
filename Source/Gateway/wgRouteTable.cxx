// SPDX-License-Identifier: Apache-2.0
#include "wgRouteTable.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace wg {
namespace {

/** A host without its port. */
std::string HostName(absl::string_view host)
{
  return absl::AsciiStrToLower(host.substr(0, host.find(':')));
}

} // namespace

void IndexRoutes(RouteTable& table)
{
  table.byHost.clear();
  for (std::size_t i = 0; i < table.routes.size(); ++i) {
    table.byHost[HostName(table.routes[i].host)].push_back(i);
  }
  for (auto& [host, list] : table.byHost) {
    std::stable_sort(list.begin(), list.end(),
                     [&table](std::size_t left, std::size_t right) {
                       return table.routes[left].prefix.size() >
                              table.routes[right].prefix.size();
                     });
  }
}

const Route* FindRoute(const RouteTable& table, absl::string_view host,
                       absl::string_view path)
{
  auto found = table.byHost.find(HostName(host));
  if (found == table.byHost.end()) {
    return nullptr;
  }
  const absl::string_view plain = path.substr(0, path.find('?'));
  for (const std::size_t index : found->second) {
    const Route& route = table.routes[index];
    if (absl::StartsWith(plain, route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

bool IsTarget(const Route& route, absl::string_view service)
{
  return std::any_of(route.targets.begin(), route.targets.end(),
                     [service](const RouteTarget& target) {
                       return target.service == service;
                     });
}

double ColdRateOf(const RouteTable& table, const std::string& service)
{
  const auto found = table.services.find(service);
  return found == table.services.end() ? 0.0 : found->second.coldPerSecond;
}

const std::string& ChooseTarget(const Route& route, double draw)
{
  const double sum = std::accumulate(
    route.targets.begin(), route.targets.end(), 0.0,
    [](double total, const RouteTarget& t) { return total + t.weight; });
  double left = draw * sum;
  for (const RouteTarget& target : route.targets) {
    if (left < target.weight) {
      return target.service;
    }
    left -= target.weight;
  }
  return route.targets.back().service;
}

void KeepFormerTargets(RouteTable& table, const RouteTable& before,
                       Elapsed now, absl::Duration memory)
{
  std::map<absl::string_view, const Route*> routes;
  for (const Route& route : before.routes) {
    routes[route.name] = &route;
  }
  for (Route& route : table.routes) {
    const auto found = routes.find(route.name);
    if (found == routes.end()) {
      continue;
    }
    for (const RouteTarget& target : found->second->targets) {
      if (!IsTarget(route, target.service)) {
        route.formerTargets.push_back({ target.service, now + memory });
      }
    }
    for (const FormerTarget& former : found->second->formerTargets) {
      if (now < former.until && !IsTarget(route, former.service)) {
        route.formerTargets.push_back(former);
      }
    }
  }
}

std::vector<std::string> PossibleServices(const Route& route, Elapsed now)
{
  std::vector<std::string> services;
  for (const RouteTarget& target : route.targets) {
    services.push_back(target.service);
  }
  for (const FormerTarget& former : route.formerTargets) {
    if (now < former.until) {
      services.push_back(former.service);
    }
  }
  return services;
}

std::vector<std::size_t> FinalStages(absl::Span<const RouteStage> stages)
{
  std::vector<bool> isFinal(stages.size(), true);
  for (const RouteStage& stage : stages) {
    for (const std::size_t before : stage.after) {
      isFinal[before] = false;
    }
  }
  std::vector<std::size_t> result;
  for (std::size_t i = 0; i < stages.size(); ++i) {
    if (isFinal[i]) {
      result.push_back(i);
    }
  }
  return result;
}

std::vector<int> StagesToEnd(absl::Span<const RouteStage> stages)
{
  std::vector<int> toEnd(stages.size(), 1);
  for (std::size_t i = stages.size(); i > 0; --i) {
    for (const std::size_t before : stages[i - 1].after) {
      toEnd[before] = std::max(toEnd[before], toEnd[i - 1] + 1);
    }
  }
  return toEnd;
}

bool StagesAreOrdered(absl::Span<const RouteStage> stages)
{
  for (std::size_t i = 0; i < stages.size(); ++i) {
    const auto& after = stages[i].after;
    const bool ordered =
      std::all_of(after.begin(), after.end(),
                  [i](std::size_t before) { return before < i; });
    if (!ordered) {
      return false;
    }
  }
  return true;
}

} // namespace wg
