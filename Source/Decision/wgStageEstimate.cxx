// SPDX-License-Identifier: Apache-2.0
#include "wgStageEstimate.h"

#include <algorithm>

namespace wg {

namespace {

constexpr double MinGrowth = 0.7;
/** Below this number of stages at this box, the ratio is not significant. */
constexpr double MinAheadHere = 4.0;

/** Estimates the stages ahead at the other boxes now. Since their last report,
 * that number is assumed to have fallen by the same ratio as at this box.
 * Growth is not assumed: during bursts, doing so refused more requests than it
 * prevented late answers.
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

StageEstimate EstimateStage(const GroupState& group,
                            const std::string& account, double weight)
{
  StageEstimate estimate;
  estimate.serviceSeconds = ExpectedSeconds(group.service, group.priorSeconds);
  estimate.spreadSeconds = group.service.spread;
  const double slots = CountSlots(group);
  estimate.anyEndpoint = slots > 0;
  auto queued = group.queue.accounts.find(account);
  if (queued != group.queue.accounts.end()) {
    estimate.ahead += static_cast<double>(queued->second.waiting.size());
    estimate.ahead += queued->second.running;
  }
  auto coming = group.upcoming.find(account);
  if (coming != group.upcoming.end()) {
    estimate.ahead += coming->second;
  }
  const GroupQuota& quota = group.quota;
  auto known = quota.accounts.find(account);
  if (known != quota.accounts.end()) {
    estimate.ahead += AheadElsewhereNow(known->second, estimate.ahead);
    estimate.slots = known->second.slotsIfBacklogged;
  } else if (quota.known) {
    estimate.slots = std::max(quota.slotsPerWeight * weight, quota.unused);
  } else {
    estimate.slots = slots;
  }
  return estimate;
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
