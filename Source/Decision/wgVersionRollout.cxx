// SPDX-License-Identifier: Apache-2.0
#include "wgVersionRollout.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <boost/math/special_functions/beta.hpp>
#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace wg {
namespace {

using Rollout = wire::VersionRollout;

/** Deployments have some ten. */
constexpr std::size_t MaxServices = 1000;
constexpr std::int64_t MaxDurationMs = 24LL * 3600 * 1000;

/** One or two failures may come from a lost connection. */
constexpr std::uint64_t MinBadAnswers = 4;
/** Of a false finding. Each route is looked at ten times a second until the
 * deadline.
 */
constexpr double MaxChance = 1e-5;
/** The same of the difference of two means. */
constexpr double SignificantDeviations = 4.3;
/** Times of endpoints of one version differ by less. */
constexpr double MaxSlowdown = 2.0;
constexpr double MinAnswersForTimes = 20.0;
/** Connections and scheduling may add as much to each answer of endpoints that
 * have just started.
 */
constexpr double MinSlowdownSeconds = 0.002;
/** If a quarter fails, one in 300 samples of 20 answers shows no failure. */
constexpr std::uint64_t MinAnswersForGood = 20;

double RatioOf(std::uint64_t part, std::uint64_t whole)
{
  return static_cast<double>(part) /
         static_cast<double>(std::max<std::uint64_t>(whole, 1));
}

/** Whether the target's ratio is larger than by chance. The others have many
 * more answers, so that theirs is taken as known; the exact distribution
 * matters, as the target has few.
 */
bool IsSignificantlyWorse(std::uint64_t part, std::uint64_t whole,
                          std::uint64_t otherPart, std::uint64_t otherWhole)
{
  if (part < MinBadAnswers || part > whole) {
    return false;
  }
  const double other = std::min(static_cast<double>(otherPart + 1) /
                                  static_cast<double>(otherWhole + 2),
                                1.0);
  const double chance = boost::math::ibeta(
    static_cast<double>(part), static_cast<double>(whole - part + 1), other);
  return RatioOf(part, whole) > other && chance < MaxChance;
}

double CountSucceeded(const wire::VersionTally& tally)
{
  return static_cast<double>(tally.answers() - tally.bad());
}

/** The variance of the mean time of a version's successful answers. */
double VarianceOfMean(const wire::VersionTally& tally)
{
  const double count = CountSucceeded(tally);
  const double mean = tally.seconds() / count;
  return std::max(tally.square_seconds() / count - mean * mean, 0.0) / count;
}

/** A few long answers, such as the first ones of an endpoint, raise the mean
 * and its variance, so that they alone are not significant.
 */
bool IsSlower(const wire::VersionTally& target,
              const wire::VersionTally& others)
{
  if (CountSucceeded(target) < MinAnswersForTimes ||
      CountSucceeded(others) < MinAnswersForTimes) {
    return false;
  }
  const double mean = target.seconds() / CountSucceeded(target);
  const double other = others.seconds() / CountSucceeded(others);
  const double deviation =
    std::sqrt(VarianceOfMean(target) + VarianceOfMean(others));
  return mean > MaxSlowdown * other && mean - other > MinSlowdownSeconds &&
         mean - other > SignificantDeviations * deviation;
}

std::string Describe(const wire::VersionTally& tally)
{
  return absl::StrFormat("%d answers, %d failed, %d late, %.1f ms on average",
                         tally.answers(), tally.bad(), tally.late(),
                         1000.0 * tally.seconds() /
                           std::max(CountSucceeded(tally), 1.0));
}

wire::MoveVersion MakeMove(const std::string& service,
                           const VersionRollout& rollout, VersionState state,
                           std::uint32_t permille, absl::Duration elapsed)
{
  wire::MoveVersion move;
  move.set_service(service);
  move.set_number(rollout.number);
  move.set_state(state);
  move.set_permille(permille);
  move.set_elapsed_ms(absl::ToInt64Milliseconds(elapsed));
  return move;
}

} // namespace

VersionOrderResult ApplyVersionOrder(VersionRollouts& rollouts,
                                     const wire::OrderVersion& order)
{
  const VersionRollout known = FindVersionRollout(rollouts, order.service());
  const bool isValid = !order.service().empty() && !order.version().empty() &&
                       order.duration_ms() > 0 &&
                       order.duration_ms() <= MaxDurationMs;
  const bool isFull =
    known.number == 0 && rollouts.services.size() >= MaxServices;
  if (!isValid || isFull) {
    return VersionOrderResult::Refused;
  }
  if (IsInProgress(known)) {
    return VersionOrderResult::InProgress;
  }
  if (known.number != order.seen()) {
    return VersionOrderResult::Superseded;
  }
  VersionRollout& rollout = rollouts.services[order.service()];
  rollout = {};
  rollout.version = order.version();
  rollout.number = ++rollouts.orders;
  rollout.state = Rollout::IN_PROGRESS;
  rollout.permille = FirstPermille;
  rollout.duration = absl::Milliseconds(order.duration_ms());
  ++rollouts.newest;
  return VersionOrderResult::Applied;
}

void ApplyVersionMove(VersionRollouts& rollouts, const wire::MoveVersion& move)
{
  auto found = rollouts.services.find(move.service());
  const bool isCurrent = found != rollouts.services.end() &&
                         found->second.number == move.number() &&
                         IsInProgress(found->second);
  if (!isCurrent) {
    return;
  }
  VersionRollout& rollout = found->second;
  const bool isChanged =
    rollout.state != move.state() || rollout.permille != move.permille();
  rollout.state = move.state();
  rollout.permille = move.permille();
  rollout.elapsed =
    std::max(rollout.elapsed, absl::Milliseconds(move.elapsed_ms()));
  rollouts.newest += isChanged ? 1 : 0;
}

const VersionRollout& FindVersionRollout(const VersionRollouts& rollouts,
                                         absl::string_view service)
{
  static const VersionRollout none{};
  const auto found = rollouts.services.find(service);
  return found == rollouts.services.end() ? none : found->second;
}

bool IsInProgress(const VersionRollout& rollout)
{
  return rollout.state == Rollout::IN_PROGRESS;
}

bool GoesToVersion(const VersionRollout& rollout, absl::string_view request)
{
  return XXH64(request.data(), request.size(), rollout.number) % AllPermille <
         rollout.permille;
}

VersionFault FindVersionFault(const RouteEvidence& route)
{
  const wire::VersionTally& target = route.target;
  const wire::VersionTally& others = route.others;
  if (IsSignificantlyWorse(target.bad(), target.answers(), others.bad(),
                           others.answers())) {
    return VersionFault::Fails;
  }
  if (IsSignificantlyWorse(target.late(), target.answers(), others.late(),
                           others.answers())) {
    return VersionFault::Late;
  }
  return IsSlower(target, others) ? VersionFault::Slower : VersionFault::None;
}

absl::string_view NameOf(VersionFault fault)
{
  switch (fault) {
    case VersionFault::None:
      return "none";
    case VersionFault::Fails:
      return "fails";
    case VersionFault::Late:
      return "late";
    case VersionFault::Slower:
      return "slower";
  }
  return "none";
}

std::string DescribeFaults(absl::Span<const RouteEvidence> routes)
{
  std::vector<std::string> faults;
  for (const RouteEvidence& route : routes) {
    const VersionFault fault = FindVersionFault(route);
    if (fault != VersionFault::None) {
      faults.push_back(absl::StrCat(NameOf(fault), " on ", route.route, " (",
                                    Describe(route.target), "; others ",
                                    Describe(route.others), ")"));
    }
  }
  return absl::StrJoin(faults, ", ");
}

VersionVerdict EvaluateVersion(absl::Span<const RouteEvidence> routes)
{
  std::uint64_t answers = 0;
  for (const RouteEvidence& route : routes) {
    if (FindVersionFault(route) != VersionFault::None) {
      return VersionVerdict::Bad;
    }
    answers += route.target.answers();
  }
  return answers >= MinAnswersForGood ? VersionVerdict::Good
                                      : VersionVerdict::Unknown;
}

wire::MoveVersion DecideVersion(const std::string& service,
                                const VersionRollout& rollout,
                                VersionVerdict verdict, absl::Duration elapsed)
{
  if (verdict == VersionVerdict::Bad) {
    return MakeMove(service, rollout, Rollout::ROLLED_BACK, 0, elapsed);
  }
  const absl::Duration end = rollout.duration - DecisionMargin;
  const bool isOver = elapsed >= end;
  const bool isGood = verdict == VersionVerdict::Good;
  if (isOver) {
    return isGood
             ? MakeMove(service, rollout, Rollout::COMPLETED, AllPermille,
                        elapsed)
             : MakeMove(service, rollout, Rollout::ROLLED_BACK, 0, elapsed);
  }
  const bool isFinal = elapsed >= end - FinalFraction * rollout.duration;
  return MakeMove(service, rollout, Rollout::IN_PROGRESS,
                  isFinal && isGood ? AllPermille : FirstPermille, elapsed);
}

wire::VersionRollouts ToWire(const VersionRollouts& rollouts)
{
  wire::VersionRollouts message;
  message.set_newest(rollouts.newest);
  message.set_orders(rollouts.orders);
  for (const auto& [service, rollout] : rollouts.services) {
    wire::VersionRollout& out = *message.add_rollouts();
    out.set_service(service);
    out.set_version(rollout.version);
    out.set_number(rollout.number);
    out.set_state(rollout.state);
    out.set_permille(rollout.permille);
    out.set_duration_ms(absl::ToInt64Milliseconds(rollout.duration));
    out.set_elapsed_ms(absl::ToInt64Milliseconds(rollout.elapsed));
  }
  return message;
}

VersionRollouts FromWire(const wire::VersionRollouts& rollouts)
{
  VersionRollouts result;
  result.newest = rollouts.newest();
  result.orders = rollouts.orders();
  for (const wire::VersionRollout& in : rollouts.rollouts()) {
    VersionRollout& rollout = result.services[in.service()];
    rollout.version = in.version();
    rollout.number = in.number();
    rollout.state = in.state();
    rollout.permille = in.permille();
    rollout.duration = absl::Milliseconds(in.duration_ms());
    rollout.elapsed = absl::Milliseconds(in.elapsed_ms());
  }
  return result;
}

absl::string_view NameOf(VersionState state)
{
  switch (state) {
    case Rollout::IN_PROGRESS:
      return "in_progress";
    case Rollout::COMPLETED:
      return "completed";
    case Rollout::ROLLED_BACK:
      return "rolled_back";
    default:
      return "unknown";
  }
}

} // namespace wg
