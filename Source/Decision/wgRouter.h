// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/types/span.h"

#include "wgEndpointState.h"

namespace wg {

/** \brief How the router chooses; the others are baselines to measure by. */
enum class RoutePolicy
{
  ExpectedFinish,
  Random,
  RoundRobin,
  LeastOutstanding
};

/** \brief What the choice of an endpoint depends on. */
struct RouteQuery
{
  std::uint64_t prefix = 0;  // hash of the prompt's prefix; 0: none
  double priorSeconds = 0.1; // of the whole group
  Elapsed now;
  std::size_t avoid = SIZE_MAX; // where an earlier attempt failed
  std::size_t choices = 3;      // how many are compared
  PlaceRule rule = PlaceRule::Any;
};

/** \brief One endpoint that was compared. */
struct RouteCandidate
{
  std::size_t endpoint = 0;
  double finishSeconds = 0.0;
};

/** \brief The choice, and what it was made from. */
struct RouteDecision
{
  std::size_t endpoint = 0;
  std::vector<RouteCandidate> compared;
};

/** \brief Which endpoint last served a prompt prefix. Bounded. */
struct PrefixTable
{
  absl::flat_hash_map<std::uint64_t, std::size_t> lastServed;
};

/** \brief How long until a stage sent there now would be done, seconds. */
double ExpectedFinishSeconds(const EndpointState& endpoint,
                             const RouteQuery& query);

/** \brief Chooses among the endpoints that have a place; nothing if none. */
std::optional<RouteDecision> ChooseEndpoint(
  RoutePolicy policy, absl::Span<const EndpointState> group,
  const RouteQuery& query, const PrefixTable& prefixes,
  std::uint64_t& roundRobin, absl::BitGenRef random);

/** \brief Counts the stage at the chosen endpoint, and moves those that were
 * compared back in the order in which they are compared again.
 */
void NoteChoice(absl::Span<EndpointState> group, const RouteDecision& choice,
                std::uint64_t order);

/** \brief Remembers where a prefix was served, or forgets it there. */
void NotePrefix(PrefixTable& prefixes, std::uint64_t prefix,
                std::size_t endpoint);
void ForgetPrefix(PrefixTable& prefixes, std::uint64_t prefix);

} // namespace wg
