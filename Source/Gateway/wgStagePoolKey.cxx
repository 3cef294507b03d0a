// SPDX-License-Identifier: Apache-2.0
#include "wgStagePoolKey.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace wg {
std::string NameOf(const StagePoolKey& key)
{
  return key.hall.empty() ? key.service
                          : absl::StrCat(key.service, "@", key.hall);
}

std::vector<StagePoolKey> PoolsOf(const Directory& directory,
                                  absl::string_view service, int leastInHall)
{
  const auto counts = CountByHall(directory, service);
  const bool isSplit =
    counts.size() > 1 && std::all_of(counts.begin(), counts.end(),
                                     [leastInHall](const auto& count) {
                                       return count.second >= leastInHall;
                                     });
  std::vector<StagePoolKey> pools;
  if (isSplit) {
    for (const auto& [hall, count] : counts) {
      const bool isOpen = !IsCutOff(directory.reach, hall) &&
                          !IsEvacuated(directory.halls, hall);
      if (isOpen) {
        pools.push_back({ std::string(service), hall });
      }
    }
  }
  if (pools.empty()) {
    pools.push_back({ std::string(service), "" });
  }
  return pools;
}

StagePoolKey ChoosePool(const Directory& directory, absl::string_view service,
                        absl::string_view hall, int leastInHall)
{
  std::vector<StagePoolKey> pools = PoolsOf(directory, service, leastInHall);
  for (StagePoolKey& pool : pools) {
    if (pool.hall == hall) {
      return std::move(pool);
    }
  }
  return std::move(pools.front());
}

} // namespace wg
