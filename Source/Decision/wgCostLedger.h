// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"

namespace wg {

/** \brief Account, pipeline and stage of an attempt. */
struct CostKey
{
  std::string account;
  std::string pipeline;
  std::string stage;

  bool operator<(const CostKey& other) const
  {
    if (account != other.account) {
      return account < other.account;
    }
    return pipeline != other.pipeline ? pipeline < other.pipeline
                                      : stage < other.stage;
  }
};

enum class CostKind
{
  Useful, // its answer was used
  Wasted  // the attempt failed, or its request was abandoned
};

/** \brief Total cost of the attempts at a stage. The sums agree with the
 * counts of the endpoints.
 */
struct StageCost
{
  std::uint64_t tries = 0;
  std::uint64_t retries = 0;
  std::uint64_t tokens = 0;
  double usefulSeconds = 0.0;
  double wastedSeconds = 0.0;
};

using CostLedger = absl::btree_map<CostKey, StageCost>;

/** \brief The cost of one attempt. */
struct AttemptCost
{
  CostKind kind = CostKind::Useful;
  bool isRetry = false;
  double seconds = 0.0;
  std::uint64_t tokens = 0;
};

/** \brief Adds the cost of one attempt to the ledger. */
inline void AddCost(CostLedger& ledger, const CostKey& key,
                    const AttemptCost& cost)
{
  StageCost& sum = ledger[key];
  ++sum.tries;
  sum.retries += cost.isRetry ? 1 : 0;
  sum.tokens += cost.tokens;
  switch (cost.kind) {
    case CostKind::Useful:
      sum.usefulSeconds += cost.seconds;
      break;
    case CostKind::Wasted:
      sum.wastedSeconds += cost.seconds;
      break;
  }
}

} // namespace wg
