// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"

namespace wg {

/** \brief For whom and for what an attempt was made. */
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
  Wasted  // failed, or its request was given up
};

/** \brief What attempts cost; sums agree with what endpoints count. */
struct StageCost
{
  std::uint64_t tries = 0;
  std::uint64_t retries = 0;
  std::uint64_t tokens = 0;
  double usefulSeconds = 0.0;
  double wastedSeconds = 0.0;
};

using CostLedger = absl::btree_map<CostKey, StageCost>;

/** \brief One attempt's cost. */
struct AttemptCost
{
  CostKind kind = CostKind::Useful;
  bool isRetry = false;
  double seconds = 0.0;
  std::uint64_t tokens = 0;
};

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
