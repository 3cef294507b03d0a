// SPDX-License-Identifier: Apache-2.0
#include "wgShares.h"

#include <algorithm>

#include "absl/container/btree_map.h"

namespace wg {
namespace {

/** One account's demand over all boxes, and what it is given. */
struct AccountShare
{
  double weight = 1.0;
  double wanted = 0.0;
  double given = 0.0;
};

using AccountShares = absl::btree_map<std::string, AccountShare>;

/** Gives by weight, accounts that want least first, until nothing is left.
 * What the last one could still have had by weight is the level that all who
 * want more stand at.
 */
void FillByWeight(double places, AccountShares& accounts,
                  PlaceDivision& division)
{
  std::vector<AccountShare*> open;
  double weightLeft = 0.0;
  for (auto& [name, account] : accounts) {
    open.push_back(&account);
    weightLeft += account.weight;
  }
  std::sort(open.begin(), open.end(),
            [](const AccountShare* a, const AccountShare* b) {
              return a->wanted / a->weight < b->wanted / b->weight;
            });
  for (AccountShare* account : open) {
    division.perWeight = places / weightLeft;
    account->given =
      std::min(account->wanted, division.perWeight * account->weight);
    places -= account->given;
    weightLeft -= account->weight;
  }
  division.unused = places;
}

} // namespace

PlaceDivision DividePlaces(double places,
                           absl::Span<const ShareDemand> demands)
{
  AccountShares accounts;
  for (const ShareDemand& demand : demands) {
    AccountShare& account = accounts[demand.account];
    account.weight = std::max(demand.weight, 1e-6);
    account.wanted += demand.wanted;
  }
  PlaceDivision division;
  FillByWeight(places, accounts, division);
  for (const ShareDemand& demand : demands) {
    const AccountShare& account = accounts[demand.account];
    const double part =
      account.wanted > 0.0 ? demand.wanted / account.wanted : 0.0;
    division.shares.push_back(
      { demand.account, demand.box, account.given * part });
  }
  return division;
}

double PlacesIfHungry(const PlaceDivision& division, double weight,
                      double given)
{
  return std::max(division.perWeight * weight, given + division.unused);
}

} // namespace wg
