// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include "wgElapsed.h"

namespace wg {

// Fairness between client accounts in an overloaded pool. The load that it
// addresses: bursts of 2.2 to 2.5 times the usual demand for 5 to 6 s, where
// one of 16 accounts sends a large part of them.

/** \brief The time over which the work of accounts is compared: bursts last
 * 5 to 6 s, and an account that has ended its burst must not be held back
 * for longer than the burst itself.
 */
constexpr absl::Duration AccountWindow = absl::Seconds(4);
/** \brief The window is kept, and advances, in this many steps. */
constexpr int AccountSteps = 8;
/** \brief A pool whose wait is no longer than this is not contended: its
 * order is not changed. Longer than a full call, of up to 0.37 s: work of a
 * pool that bears its load waits for less. At 100 ms accounts were held back
 * while there was capacity for all (3.2 of 100 requests refused on a calm day
 * with uneven demand, 2.1 without shares).
 */
constexpr absl::Duration ContendedWait = absl::Milliseconds(400);

/** \brief Stage work of one account, in ms. */
struct AccountWork
{
  absl::string_view account; // empty: none was given
  double ms = 0.0;
  double weight = 1.0;
};

/** \brief The work that an account was given in a pool, by step. */
struct RecentWork
{
  std::array<float, AccountSteps> ms = {}; // by number of the step
  double weight = 1.0;
};

/** \brief The work of all accounts in a pool over the last AccountWindow.
 * Changed only by the functions below.
 */
struct AccountShares
{
  absl::flat_hash_map<std::string, RecentWork> accounts;
  std::int64_t step = 0; // the newest that is kept
};

/** \brief The work of an account that waits. */
struct AccountDemand
{
  double ms = 0.0;
  double weight = 1.0;
};
using AccountDemands = absl::flat_hash_map<absl::string_view, AccountDemand>;

/** \brief An account that was given more than its share, in ms. */
struct ExceededShare
{
  double used = 0.0;
  double share = 0.0;
};

/** \brief Accounts of a pool that exceed their shares. None while the pool is
 * not contended, or has a single account.
 */
struct AccountStandings
{
  absl::flat_hash_map<std::string, ExceededShare> exceeded;
};

/** \brief Adds work that starts now. False if it is not valid (not finite,
 * negative, or more than any call can be): nothing is changed then.
 */
bool ChargeWork(AccountShares& shares, const AccountWork& work, Elapsed now);

/** \brief Replaces what was charged for work by what it really took.
 * \param charged as given to ChargeWork at `started`
 * \return false if `ms` is not valid: what was charged is kept
 */
bool SettleWork(AccountShares& shares, const AccountWork& charged, double ms,
                Elapsed started, Elapsed now);

/** \brief The work of an account within the window, in ms. */
double UsedMs(const AccountShares& shares, absl::string_view account,
              Elapsed now);

/** \brief Compares accounts. All work given within the window is divided by
 * weighted max-min between the accounts, where each wants what it was given
 * and what it has waiting; an account that was given more than its part
 * exceeds its share. Expected cost linear in the number of accounts.
 * \param demands work that waits, of every account that has some
 * \param wait how long new work would wait in the pool
 */
AccountStandings JudgeAccounts(const AccountShares& shares,
                               const AccountDemands& demands,
                               absl::Duration wait, Elapsed now);

/** \brief Whether work of the account may use only what others leave: work
 * that waits goes behind the work of others of its rank, and new work is
 * admitted only where it delays none of theirs.
 */
bool UsesOnlyLeftovers(const AccountStandings& standings,
                       absl::string_view account);

/** \brief The accounts furthest above their shares, at most so many. */
std::vector<std::string> MostExceeding(const AccountStandings& standings,
                                       std::size_t most);

} // namespace wg
