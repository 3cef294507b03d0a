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

// Fairness between client accounts in an overloaded pool. The expected load
// has bursts of 2.2 to 2.5 times the usual demand that last 5 to 6 s, with one
// of 16 accounts sending a large part of a burst.

/** \brief Window over which the work of accounts is compared. Shorter than a
 * burst, of 5 to 6 s, so that an account is not held back for longer after its
 * burst than the burst itself lasted.
 */
constexpr absl::Duration AccountWindow = absl::Seconds(4);
/** \brief Number of steps in which the window is stored and advances. */
constexpr int AccountSteps = 8;
/** \brief A pool whose wait is no longer than this is not contended: its order
 * is not changed. Longer than a full call, of up to 0.37 s, because work in a
 * pool within its capacity waits for less than one call. With 100 ms, accounts
 * were held back although the capacity sufficed for all: under uneven demand
 * without bursts 3.2 of 100 requests were refused, against 2.1 without shares.
 */
constexpr absl::Duration ContendedWait = absl::Milliseconds(400);

/** \brief Stage work of one account, in ms. */
struct AccountWork
{
  absl::string_view account; // empty: the request names no account
  double ms = 0.0;
  double weight = 1.0;
};

/** \brief The work of one account in a pool, by step of the window. */
struct RecentWork
{
  /** Indexed by step modulo AccountSteps. */
  std::array<float, AccountSteps> ms = {};
  double weight = 1.0;
};

/** \brief The work of all accounts in a pool over the last AccountWindow.
 * Changed only by the functions below.
 */
struct AccountShares
{
  absl::flat_hash_map<std::string, RecentWork> accounts;
  std::int64_t step = 0; // the newest step of the window
};

/** \brief Waiting work of one account, in ms. */
struct AccountDemand
{
  double ms = 0.0;
  double weight = 1.0;
};
using AccountDemands = absl::flat_hash_map<absl::string_view, AccountDemand>;

/** \brief Work and share of an account that exceeds its share, in ms. */
struct ExceededShare
{
  double used = 0.0;
  double share = 0.0;
};

/** \brief The accounts of a pool that exceed their shares: none while the pool
 * is not contended or has a single account.
 */
struct AccountStandings
{
  absl::flat_hash_map<std::string, ExceededShare> exceeded;
};

/** \brief Charges an account for work that starts now.
 * \return false, and nothing is changed, if the work is invalid: not finite,
 * negative, or longer than any call
 */
bool ChargeWork(AccountShares& shares, const AccountWork& work, Elapsed now);

/** \brief Replaces the charge for work by the time that it took.
 * \param charged as passed to ChargeWork at `started`
 * \return false, and the charge is kept, if an argument is invalid
 */
bool SettleWork(AccountShares& shares, const AccountWork& charged, double ms,
                Elapsed started, Elapsed now);

/** \brief Returns the work of an account within the window, in ms. */
double UsedMs(const AccountShares& shares, absl::string_view account,
              Elapsed now);

/** \brief Returns the accounts that exceed their shares. The shares divide all
 * work within the window by weighted max-min fairness; the demand of an
 * account is its work within the window plus its waiting work. Takes expected
 * time linear in the number of accounts.
 * \param demands waiting work, by account
 * \param wait how long new work would wait in the pool
 */
AccountStandings EvaluateAccounts(const AccountShares& shares,
                                  const AccountDemands& demands,
                                  absl::Duration wait, Elapsed now);

/** \brief Returns whether an account exceeds its share. Its work then uses
 * only capacity that others leave unused: waiting work is ordered behind that
 * of other accounts of the same rank, and new work is admitted only if it
 * delays none of theirs.
 */
bool IsOverShare(const AccountStandings& standings, absl::string_view account);

/** \brief Returns the accounts furthest above their shares, furthest first.
 * \param maxCount maximum number of accounts returned
 */
std::vector<std::string> FurthestOverShare(const AccountStandings& standings,
                                           std::size_t maxCount);

} // namespace wg
