// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointState.h"

#include <algorithm>

namespace wg {
namespace {

constexpr double FailureGain = 0.15;
constexpr double EjectFailureRate = 0.5;
constexpr int EjectFailuresInRow = 3;
constexpr int EjectUnreachedInRow = 2;
constexpr int UnansweredPollsToStop = 2;
constexpr int MinSamples = 6;
constexpr double EjectSlowdown = 4.0; // times the median of its peers
constexpr double MaxEjectedFraction = 0.5;
constexpr int ProbesToPass = 3;
constexpr int MaxBackoffDoublings = 5;
constexpr absl::Duration FirstEjection = absl::Seconds(1);
constexpr double LimitDecrease = 0.7;
constexpr double CongestedSlowdown = 3.0; // times the best mean

/** Returns the median of the peers' mean service times in seconds, or 0 if no
 * peer has enough samples.
 */
double MedianOfPeers(absl::Span<const EndpointState> group, std::size_t self)
{
  std::vector<double> means;
  for (std::size_t i = 0; i < group.size(); ++i) {
    if (i != self && group[i].service.samples >= MinSamples) {
      means.push_back(group[i].service.mean);
    }
  }
  if (means.empty()) {
    return 0.0;
  }
  const auto middle =
    means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

/** Returns whether an attempt took so long that the endpoint must be at fault.
 */
bool IsOverdue(absl::Span<const EndpointState> group, std::size_t index,
               double seconds)
{
  const double median = MedianOfPeers(group, index);
  return median > 0.0 && seconds > EjectSlowdown * median;
}

bool MayEjectOneMore(absl::Span<const EndpointState> group)
{
  const auto ejected = std::count_if(
    group.begin(), group.end(), [](const EndpointState& endpoint) {
      return endpoint.health.state != HealthState::Healthy;
    });
  return static_cast<double>(ejected + 1) <=
         MaxEjectedFraction * static_cast<double>(group.size());
}

void Eject(EndpointState& endpoint, Elapsed now)
{
  EndpointHealth& health = endpoint.health;
  const int doublings = std::min(health.ejections, MaxBackoffDoublings);
  health.state = HealthState::Ejected;
  health.ejectedUntil = now + FirstEjection * (1 << doublings);
  ++health.ejections;
  health.probesPassed = 0;
}

bool IsUnhealthy(absl::Span<const EndpointState> group, std::size_t index)
{
  const EndpointState& endpoint = group[index];
  if (endpoint.health.failuresInRow >= EjectFailuresInRow) {
    return true;
  }
  if (endpoint.health.samples < MinSamples) {
    return false;
  }
  const double median = MedianOfPeers(group, index);
  const bool slow =
    median > 0.0 && endpoint.service.mean > EjectSlowdown * median;
  return slow || endpoint.health.failureRate > EjectFailureRate;
}

void UpdateLimit(EndpointState& endpoint, bool succeeded)
{
  AdaptiveLimit& limit = endpoint.limit;
  const double mean = endpoint.service.mean;
  if (endpoint.service.samples >= MinSamples) {
    limit.best = limit.best == 0.0 ? mean : std::min(limit.best, mean);
  }
  const bool congested =
    limit.best > 0.0 && mean > CongestedSlowdown * limit.best;
  if (!succeeded) {
    limit.value *= LimitDecrease;
  } else if (!congested) {
    limit.value += 1.0;
  }
  limit.value =
    std::clamp(limit.value, 1.0, static_cast<double>(endpoint.slots));
}

bool NoteProbe(EndpointState& endpoint, bool succeeded, Elapsed now)
{
  if (!succeeded) {
    Eject(endpoint, now);
    return true;
  }
  if (++endpoint.health.probesPassed < ProbesToPass) {
    return false;
  }
  endpoint.health = {};
  endpoint.limit.value = 1.0;
  return true;
}

} // namespace

bool IsLeaving(const EndpointState& endpoint)
{
  return endpoint.listedLeaving || endpoint.reportsLeaving || endpoint.removed;
}

bool TakesNewWork(const EndpointState& endpoint)
{
  return !endpoint.drained && !endpoint.evacuated && endpoint.reportsReady &&
         !IsLeaving(endpoint) &&
         endpoint.unansweredPolls < UnansweredPollsToStop &&
         endpoint.health.state != HealthState::Ejected;
}

bool IsSlotFree(const EndpointState& endpoint, SlotRule rule)
{
  if (!TakesNewWork(endpoint)) {
    return false;
  }
  if (endpoint.health.state == HealthState::Probing) {
    return endpoint.running == 0;
  }
  const int limit = static_cast<int>(endpoint.limit.value);
  const int places =
    rule == SlotRule::Any ? limit : std::min(limit, endpoint.share);
  return endpoint.running < places;
}

bool NoteAttemptEnd(absl::Span<EndpointState> group, std::size_t index,
                    AttemptEnd end, double seconds, Elapsed now)
{
  EndpointState& endpoint = group[index];
  --endpoint.running;
  if (end == AttemptEnd::Cancelled) {
    return false;
  }
  const bool succeeded =
    end == AttemptEnd::Answered ||
    (end == AttemptEnd::OutOfTime && !IsOverdue(group, index, seconds));
  EndpointHealth& health = endpoint.health;
  ++health.samples;
  health.failureRate +=
    FailureGain * ((succeeded ? 0.0 : 1.0) - health.failureRate);
  health.failuresInRow = succeeded ? 0 : health.failuresInRow + 1;
  const bool unreached = end == AttemptEnd::Unreached;
  health.unreachedInRow = unreached ? health.unreachedInRow + 1 : 0;
  const bool isTimeSample =
    end == AttemptEnd::Answered ||
    (end == AttemptEnd::OutOfTime && seconds > endpoint.service.mean);
  if (isTimeSample) {
    Observe(endpoint.service, seconds);
  }
  UpdateLimit(endpoint, succeeded);
  if (health.state == HealthState::Probing) {
    return NoteProbe(endpoint, succeeded, now);
  }
  // Failed connections are proof of a fault. A comparison with peers is not,
  // so the number of ejections by it is bounded.
  const bool eject = health.state == HealthState::Healthy &&
                     (health.unreachedInRow >= EjectUnreachedInRow ||
                      (IsUnhealthy(group, index) && MayEjectOneMore(group)));
  if (eject) {
    Eject(endpoint, now);
  }
  return eject;
}

void NoteLoadPoll(EndpointState& endpoint, bool answered)
{
  const bool wasUnreached = endpoint.health.state == HealthState::Ejected &&
                            endpoint.health.unreachedInRow > 0;
  const bool wasUnresponsive =
    endpoint.unansweredPolls >= UnansweredPollsToStop &&
    endpoint.health.state == HealthState::Healthy;
  const bool isBack = answered && (wasUnresponsive || wasUnreached);
  if (isBack) {
    // The endpoint was certainly gone and is back, so one probe is enough.
    endpoint.health.state = HealthState::Probing;
    endpoint.health.probesPassed = ProbesToPass - 1;
  }
  endpoint.unansweredPolls = answered ? 0 : endpoint.unansweredPolls + 1;
}

void StartProbes(absl::Span<EndpointState> group, Elapsed now)
{
  for (EndpointState& endpoint : group) {
    const bool due = endpoint.health.state == HealthState::Ejected &&
                     now >= endpoint.health.ejectedUntil;
    if (due) {
      endpoint.health.state = HealthState::Probing;
      endpoint.health.failuresInRow = 0;
      endpoint.service = {}; // earlier times do not apply any more
    }
  }
}

} // namespace wg
