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

/** Gives by weight, satisfied accounts first, until nothing is left. */
void FillByWeight(double places, AccountShares& accounts)
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
    const double fair = places * account->weight / weightLeft;
    account->given = std::min(account->wanted, fair);
    places -= account->given;
    weightLeft -= account->weight;
  }
}

} // namespace

std::vector<SharePlaces> DividePlaces(double places,
                                      absl::Span<const ShareDemand> demands)
{
  AccountShares accounts;
  for (const ShareDemand& demand : demands) {
    AccountShare& account = accounts[demand.account];
    account.weight = std::max(demand.weight, 1e-6);
    account.wanted += demand.wanted;
  }
  FillByWeight(places, accounts);
  std::vector<SharePlaces> result;
  for (const ShareDemand& demand : demands) {
    const AccountShare& account = accounts[demand.account];
    const double part =
      account.wanted > 0.0 ? demand.wanted / account.wanted : 0.0;
    result.push_back({ demand.account, demand.box, account.given * part });
  }
  return result;
}

} // namespace wg
