// SPDX-License-Identifier: Apache-2.0
#include "wgOutlook.h"

#include <algorithm>

namespace wg {

namespace {

constexpr double LeastShrink = 0.7;
constexpr double EnoughToJudge = 4.0;

/** What the other boxes have by now: since they told, theirs will have shrunk
 * about as our own has. That theirs has grown is not assumed: it refused more
 * in bursts than it saved in late answers.
 */
double AheadElsewhereNow(const AccountQuota& quota, double aheadHereNow)
{
  if (quota.aheadHere < EnoughToJudge) {
    return quota.aheadElsewhere;
  }
  const double growth = aheadHereNow / quota.aheadHere;
  return quota.aheadElsewhere * std::clamp(growth, LeastShrink, 1.0);
}

} // namespace

StageOutlook OutlookFor(const GroupState& group, const std::string& account,
                        double weight)
{
  StageOutlook outlook;
  outlook.serviceSeconds = ExpectedSeconds(group.service, group.priorSeconds);
  outlook.spreadSeconds = group.service.spread;
  const double places = CountPlaces(group);
  outlook.anyEndpoint = places > 0;
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
    outlook.places = known->second.ifHungry;
  } else if (quota.known) {
    outlook.places = std::max(quota.perWeight * weight, quota.unused);
  } else {
    outlook.places = places;
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
