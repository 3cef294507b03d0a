// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <tuple>

#include "absl/strings/string_view.h"

#include "wgDirectory.h"

namespace wg {

/** \brief Names the endpoints whose calls one box makes: all of a service, or
 * those of a service in one hall.
 */
struct StagePoolKey
{
  std::string service;
  std::string hall; // empty: all halls
};

inline bool operator<(const StagePoolKey& a, const StagePoolKey& b)
{
  return std::tie(a.service, a.hall) < std::tie(b.service, b.hall);
}

/** \brief The name that boxes rank each other by. */
std::string NameOf(const StagePoolKey& key);

/** \brief One box can choose for all engines of a few boxes; where each hall
 * has so many that it balances by itself, each has a pool of its own.
 */
constexpr int EnginesInHall = 8;

/** \brief With fewer endpoints calls of a hall alone would often be small. */
constexpr int StageEndpointsInHall = 3;

/** \brief The pool for work that had best be made in the hall.
 *
 * One box can make the calls of a few endpoints; where each hall has at least
 * so many of a service, each has a pool of its own.
 */
StagePoolKey ChoosePool(const Directory& directory, absl::string_view service,
                        absl::string_view hall,
                        int leastInHall = StageEndpointsInHall);

/** \brief Each pool of a service that can be reached and may get work. */
std::vector<StagePoolKey> PoolsOf(const Directory& directory,
                                  absl::string_view service,
                                  int leastInHall = StageEndpointsInHall);

} // namespace wg
