// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgStagePoolKey.h"

namespace wg {

/** \brief Another box that takes requests, as control boxes tell of it. */
struct GatewayMember
{
  std::string box;
  std::string hall;
  std::string address;  // for weirgate's own processes
  Elapsed told{};       // when a control box last told of it
  Elapsed heard{};      // when it last answered this box
  bool suspect = false; // until it answers again
  bool asked = false;   // whether it lives, and the answer is still to come
  std::uint32_t cpuMilli = 0; // share of a core, in thousandths; 0: not told
  bool noPath = false;        // it reaches no endpoint, as control boxes tell
  Elapsed noPathUntil{};      // the same, as it told this box itself
};

/** \brief Whether the box reaches no endpoint, as far as is known. */
bool HasNoPath(const GatewayMember& member, Elapsed now);

/** \brief The box that makes the calls of a pool: of those that are not
 * suspected the first in rendezvous order weighted by the boxes' shares of a
 * core (ChooseByCpuShare), in the pool's hall where there are any. The box
 * that asks is among the candidates; boxes of silent halls, and those that
 * reach no endpoint, are not.
 */
const GatewayMember& ChooseCoordinator(
  const GatewayMember& self, absl::Span<const GatewayMember> others,
  const StagePoolKey& pool, const std::set<std::string>& silentHalls,
  Elapsed now = Elapsed());

} // namespace wg
