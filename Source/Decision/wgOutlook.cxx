// SPDX-License-Identifier: Apache-2.0
#include "wgOutlook.h"

#include <algorithm>

namespace wg {

namespace {

constexpr double MinGrowth = 0.7;
/** Below this number of stages at this box, the ratio is not significant. */
constexpr double MinAheadHere = 4.0;

/** Estimates the stages ahead at the other boxes now. Since their last report,
 * that number is assumed to have fallen by the same ratio as at this box.
 * Growth is not assumed: during bursts this refused more requests than it
 * avoided late answers.
 */
double AheadElsewhereNow(const AccountQuota& quota, double aheadHereNow)
{
  if (quota.aheadHere < MinAheadHere) {
    return quota.aheadElsewhere;
  }
  const double growth = aheadHereNow / quota.aheadHere;
  return quota.aheadElsewhere * std::clamp(growth, MinGrowth, 1.0);
}

} // namespace

StageOutlook OutlookFor(const GroupState& group, const std::string& account,
                        double weight)
{
  StageOutlook outlook;
  outlook.serviceSeconds = ExpectedSeconds(group.service, group.priorSeconds);
  outlook.spreadSeconds = group.service.spread;
  const double slots = CountPlaces(group);
  outlook.anyEndpoint = slots > 0;
  auto queued = group.queue.accounts.find(account);
  if (queued != group.queue.accounts.end()) {
    outlook.ahead += static_cast<double>(queued->second.waiting.size());
    outlook.ahead += queued->second.running;
  }
  auto coming = group.upcoming.find(account);
  if (coming != group.upcoming.end()) {
    outlook.ahead += coming->second;
  }
  const GroupQuota& quota = group.quota;
  auto known = quota.accounts.find(account);
  if (known != quota.accounts.end()) {
    outlook.ahead += AheadElsewhereNow(known->second, outlook.ahead);
    outlook.slots = known->second.slotsIfBacklogged;
  } else if (quota.known) {
    outlook.slots = std::max(quota.slotsPerWeight * weight, quota.unused);
  } else {
    outlook.slots = slots;
  }
  return outlook;
}

void CountUpcoming(GroupState& group, const std::string& account, int change)
{
  int& count = group.upcoming[account];
  count += change;
  if (count <= 0) {
    group.upcoming.erase(account);
  }
}

} // namespace wg
