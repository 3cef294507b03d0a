// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>

namespace wg {

/** \brief Retries that may be made, earned as a fraction of successes. */
struct RetryBudget
{
  double ratio = 0.1; // retries per success
  double cap = 10.0;
  double tokens = 3.0;
};

/** \brief Credits the budget for one success. */
inline void EarnRetry(RetryBudget& budget)
{
  budget.tokens = std::min(budget.cap, budget.tokens + budget.ratio);
}

/** \brief Spends one retry.
 * \return false if the budget is exhausted
 */
inline bool SpendRetry(RetryBudget& budget)
{
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

} // namespace wg
