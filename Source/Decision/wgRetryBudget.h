// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>

namespace wg {

/** \brief Extra tries that may be made, earned as a share of successes. */
struct RetryBudget
{
  double share = 0.1; // extra tries per success
  double cap = 10.0;
  double tokens = 3.0;
};

inline void EarnRetry(RetryBudget& budget)
{
  budget.tokens = std::min(budget.cap, budget.tokens + budget.share);
}

/** \brief Takes one extra try, when there is one. */
inline bool SpendRetry(RetryBudget& budget)
{
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

} // namespace wg
