// SPDX-License-Identifier: Apache-2.0
#include "wgShares.h"

#include <algorithm>

#include "absl/container/btree_map.h"

namespace wg {
namespace {

/** Demand and slots of one account over all boxes. */
struct Allotment
{
  double weight = 1.0;
  double wanted = 0.0;
  double allotted = 0.0;
};

using Allotments = absl::btree_map<std::string, Allotment>;

/** Allots slots by weight, in ascending order of demand per weight, until none
 * is left. The slots per weight available to the last account are the level of
 * all accounts whose demand is not met.
 */
void FillByWeight(double slots, Allotments& accounts, SlotDivision& division)
{
  std::vector<Allotment*> ascending;
  double weightLeft = 0.0;
  for (auto& [name, account] : accounts) {
    ascending.push_back(&account);
    weightLeft += account.weight;
  }
  std::sort(ascending.begin(), ascending.end(),
            [](const Allotment* a, const Allotment* b) {
              return a->wanted / a->weight < b->wanted / b->weight;
            });
  for (Allotment* account : ascending) {
    division.slotsPerWeight = slots / weightLeft;
    account->allotted =
      std::min(account->wanted, division.slotsPerWeight * account->weight);
    slots -= account->allotted;
    weightLeft -= account->weight;
  }
  division.unused = slots;
}

} // namespace

SlotDivision DivideSlots(double slots, absl::Span<const ShareDemand> demands)
{
  Allotments accounts;
  for (const ShareDemand& demand : demands) {
    Allotment& account = accounts[demand.account];
    account.weight = std::max(demand.weight, 1e-6);
    account.wanted += demand.wanted;
  }
  SlotDivision division;
  FillByWeight(slots, accounts, division);
  for (const ShareDemand& demand : demands) {
    const Allotment& account = accounts[demand.account];
    const double fraction =
      account.wanted > 0.0 ? demand.wanted / account.wanted : 0.0;
    division.shares.push_back(
      { demand.account, demand.box, account.allotted * fraction });
  }
  return division;
}

double SlotsIfBacklogged(const SlotDivision& division, double weight,
                         double allotted)
{
  return std::max(division.slotsPerWeight * weight,
                  allotted + division.unused);
}

} // namespace wg
