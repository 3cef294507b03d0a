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

/** \brief ExpectedFinish is for production, the others are baselines. */
enum class RoutePolicy
{
  ExpectedFinish,
  Random,
  RoundRobin,
  LeastOutstanding
};

/** \brief The inputs to the choice of an endpoint. */
struct RouteQuery
{
  std::uint64_t prefix = 0;  // hash of the prompt's prefix; 0: none
  double priorSeconds = 0.1; // mean service time of the group
  Elapsed now;
  std::size_t avoid = SIZE_MAX; // endpoint at which an earlier attempt failed
  std::size_t choices = 3;      // number of endpoints compared
  SlotRule rule = SlotRule::Any;
};

struct RouteCandidate
{
  std::size_t endpoint = 0;
  double finishSeconds = 0.0; // from now
};

/** \brief The chosen endpoint and those it was compared with. */
struct RouteDecision
{
  std::size_t endpoint = 0;
  std::vector<RouteCandidate> compared;
};

/** \brief The endpoint that last served each prompt prefix. Bounded. */
struct PrefixTable
{
  absl::flat_hash_map<std::uint64_t, std::size_t> lastServed;
};

/** \brief Returns the time until a stage sent there now is expected to finish,
 * in seconds.
 */
double ExpectedFinishSeconds(const EndpointState& endpoint,
                             const RouteQuery& query);

/** \brief Chooses an endpoint with a free slot; nothing if there is none. */
std::optional<RouteDecision> ChooseEndpoint(
  RoutePolicy policy, absl::Span<const EndpointState> group,
  const RouteQuery& query, const PrefixTable& prefixes,
  std::uint64_t& roundRobin, absl::BitGenRef random);

/** \brief Counts the stage as running at the chosen endpoint. That endpoint,
 * and those skipped too often, move to the end of the rotation.
 */
void NoteChoice(absl::Span<EndpointState> group, const RouteDecision& choice,
                std::uint64_t order);

void NotePrefix(PrefixTable& prefixes, std::uint64_t prefix,
                std::size_t endpoint);
void ForgetPrefix(PrefixTable& prefixes, std::uint64_t prefix);

} // namespace wg
