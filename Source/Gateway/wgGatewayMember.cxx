// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayMember.h"

#include <utility>

#include "wgEndpointChoice.h"

namespace wg {

const GatewayMember& ChooseCoordinator(
  const GatewayMember& self, absl::Span<const GatewayMember> others,
  const StagePoolKey& pool, const std::set<std::string>& silentHalls)
{
  const std::string name = NameOf(pool);
  const auto order = [&](const GatewayMember& member) {
    const bool isNear = pool.hall.empty() || member.hall == pool.hall;
    return std::make_pair(isNear, RendezvousWeight(name, member.box));
  };
  const GatewayMember* best = &self;
  for (const GatewayMember& member : others) {
    const bool isSilent = member.suspect || silentHalls.count(member.hall) > 0;
    if (!isSilent && order(member) > order(*best)) {
      best = &member;
    }
  }
  return *best;
}

} // namespace wg
