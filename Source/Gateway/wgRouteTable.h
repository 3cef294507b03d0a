// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief What may be repeated of the requests of a route. */
enum class Repetition
{
  Repeatable, // may run more than once
  RunOnce,    // runs at most once
  Resumable   // a stream that another endpoint may continue
};

/** \brief A service among those that a route's requests are split over. */
struct RouteTarget
{
  std::string service;
  double weight = 1.0;
};

/** \brief A service that a route no longer leads to. */
struct FormerTarget
{
  std::string service;
  Elapsed until; // streams that began there may be taken up
};

/** \brief Work that must be done before a request of the route can run. */
struct RouteStage
{
  std::string service;
  std::vector<std::size_t> after; // stages whose results it needs
  std::int64_t resultBytes = 0;
};

/** \brief What the requests to a host and path prefix are. */
struct Route
{
  std::string name;
  std::string host;
  std::string prefix; // begins and ends with a slash
  Repetition repetition = Repetition::RunOnce;
  bool isStream = false;
  bool isPublic = false; // needs no key
  int rank = 0;          // 0 is served first
  int maxAttempts = 1;   // endpoints that a request may be sent to
  absl::Duration timeout = absl::InfiniteDuration();
  absl::Duration aim = absl::InfiniteDuration(); // to the first byte
  absl::Duration gapAim = absl::InfiniteDuration();
  /** For so long a caller waits for the next event, the first one too. */
  absl::Duration patience = absl::InfiniteDuration();
  std::vector<RouteTarget> targets;
  std::vector<FormerTarget> formerTargets;
  std::vector<RouteStage> stages;
};

/** \brief The limits of each endpoint of a service that runs stages. */
struct StageLimits
{
  int slots = 1;         // calls at work at once
  int queue = 0;         // calls that may wait
  std::size_t batch = 1; // pieces of a call
  double callSeconds = 0.1;
  double pieceSeconds = 0.01; // roughly
  std::int64_t roomBytes = 0; // for results
  absl::Duration resultLifetime = absl::Seconds(4);
};

/** \brief The limits of each endpoint of a service that generates. */
struct EngineLimits
{
  int slots = 1;
  std::int64_t cacheTokens = 0;
};

/** \brief Endpoints that can stand in for each other. */
struct RoutedService
{
  std::string name;
  int maxConnections = 1000; // to one endpoint, from all boxes together
  /** What answers at once, whatever an endpoint works on; empty: nothing is
   * known to.
   */
  std::string statusPath;
  /** Requests a second that a cold endpoint takes; 0: none ever is cold. */
  double coldPerSecond = 0.0;
  std::optional<StageLimits> stage;
  std::optional<EngineLimits> engine;
};

/** \brief A client account as its key stands for it. */
struct KeyHolder
{
  std::string account;
  int rank = 0; // 0 is served first
};

/** \brief What callers may send. */
struct RouteLimits
{
  std::int64_t headerBytes = 16384;
  std::int64_t bodyBytes = 4 << 20;
  absl::Duration headerTimeout = absl::Seconds(3);
  absl::Duration idleTimeout = absl::Seconds(15);
};

/** \brief All that a published document says. */
struct RouteTable
{
  std::uint64_t number = 0;
  std::vector<Route> routes;
  std::map<std::string, RoutedService> services;
  absl::flat_hash_map<std::string, KeyHolder> keys;
  bool hasAccounts = false;
  RouteLimits limits;
  /** By host, the longest prefix first. */
  absl::flat_hash_map<std::string, std::vector<std::size_t>> byHost;
};

/** \brief Fills `byHost`; to be called once all routes are there. */
void IndexRoutes(RouteTable& table);

/** \brief The route with the longest prefix of the path, or null. */
const Route* FindRoute(const RouteTable& table, absl::string_view host,
                       absl::string_view path);

/** \brief Requests a second that a cold endpoint of the service takes; 0 if
 * its endpoints are never cold, or the service is not known.
 */
double ColdRateOf(const RouteTable& table, const std::string& service);

/** \brief The service that a request goes to, by the targets' weights.
 * \param draw from 0 to less than 1
 */
const std::string& ChooseTarget(const Route& route, double draw);

/** \brief Whether the route leads to the service. */
bool IsTarget(const Route& route, absl::string_view service);

/** \brief Notes in a new document's routes which services they led to before.
 * \param memory for which a stream may be taken up after it has begun
 */
void KeepFormerTargets(RouteTable& table, const RouteTable& before,
                       Elapsed now, absl::Duration memory);

/** \brief The services that may have begun a stream of the route. */
std::vector<std::string> PossibleServices(const Route& route, Elapsed now);

/** \brief The stages that no other comes after. */
std::vector<std::size_t> FinalStages(absl::Span<const RouteStage> stages);

/** \brief How many stages each stage and those after it take at least, one
 * after the other.
 */
std::vector<int> StagesToEnd(absl::Span<const RouteStage> stages);

/** \brief Whether each stage comes after earlier ones only. */
bool StagesAreOrdered(absl::Span<const RouteStage> stages);

/** \brief Drops what is known, by route, of routes that a table no longer has.
 */
template <class ByRoute>
void ForgetRoutes(ByRoute& known, const RouteTable& table)
{
  absl::flat_hash_set<absl::string_view> names;
  for (const Route& route : table.routes) {
    names.insert(route.name);
  }
  for (auto it = known.begin(); it != known.end();) {
    const auto current = it++;
    if (!names.contains(current->first)) {
      known.erase(current);
    }
  }
}

} // namespace wg
