// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayMember.h"

#include <vector>

#include "wgCoordinatorChoice.h"
#include "wgEndpointChoice.h"

namespace wg {

bool HasNoPath(const GatewayMember& member, Elapsed now)
{
  return member.noPath || now < member.noPathUntil;
}

const GatewayMember& ChooseCoordinator(
  const GatewayMember& self, absl::Span<const GatewayMember> others,
  const StagePoolKey& pool, const std::set<std::string>& silentHalls,
  Elapsed now)
{
  const std::string name = NameOf(pool);
  const auto describe = [&](const GatewayMember& member, bool isReachable) {
    const bool isNear = pool.hall.empty() || member.hall == pool.hall;
    return CoordinatorCandidate{ RendezvousWeight(name, member.box),
                                 member.cpuMilli, isNear, isReachable };
  };
  std::vector<CoordinatorCandidate> candidates;
  candidates.reserve(others.size() + 1);
  candidates.push_back(describe(self, !HasNoPath(self, now)));
  for (const GatewayMember& member : others) {
    const bool isSilent = member.suspect || silentHalls.count(member.hall) > 0;
    candidates.push_back(
      describe(member, !isSilent && !HasNoPath(member, now)));
  }
  const std::size_t chosen = ChooseByCpuShare(candidates);
  return chosen == 0 ? self : others[chosen - 1];
}

} // namespace wg
