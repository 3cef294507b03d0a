// SPDX-License-Identifier: Apache-2.0
#include "wgVersionRollout.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace wg {
namespace {

using Rollout = wire::VersionRollout;

/** Deployments have some ten. */
constexpr std::size_t MaxServices = 1000;
constexpr std::int64_t MaxDurationMs = 24LL * 3600 * 1000;

/** One or two failures may come from a lost connection. */
constexpr double MinBadAnswers = 4.0;
/** Of the difference of two ratios; one in a thousand is larger by chance. */
constexpr double SignificantDeviations = 3.1;
/** Times of endpoints of one version differ by less. */
constexpr double MaxSlowdown = 2.0;
constexpr std::uint64_t MinAnswersForTimes = 20;
/** If a quarter fails, one in 300 samples of 20 answers shows no failure. */
constexpr std::uint64_t MinAnswersForGood = 20;

double RatioOf(std::uint64_t part, std::uint64_t whole)
{
  return static_cast<double>(part) /
         static_cast<double>(std::max<std::uint64_t>(whole, 1));
}

/** Whether the target's ratio is significantly larger. */
bool IsSignificantlyWorse(std::uint64_t part, std::uint64_t whole,
                          std::uint64_t otherPart, std::uint64_t otherWhole)
{
  if (static_cast<double>(part) < MinBadAnswers) {
    return false;
  }
  const double ratio = RatioOf(part, whole);
  const double other = RatioOf(otherPart, otherWhole);
  const double pooled = RatioOf(part + otherPart, whole + otherWhole);
  const double deviation = std::sqrt(
    pooled * (1.0 - pooled) *
    (1.0 / static_cast<double>(std::max<std::uint64_t>(whole, 1)) +
     1.0 / static_cast<double>(std::max<std::uint64_t>(otherWhole, 1))));
  return ratio - other > SignificantDeviations * deviation;
}

bool IsSlower(const wire::VersionTally& target,
              const wire::VersionTally& others)
{
  const std::uint64_t succeeded = target.answers() - target.bad();
  const std::uint64_t otherSucceeded = others.answers() - others.bad();
  if (succeeded < MinAnswersForTimes || otherSucceeded < MinAnswersForTimes) {
    return false;
  }
  return target.seconds() / static_cast<double>(succeeded) >
         MaxSlowdown * others.seconds() / static_cast<double>(otherSucceeded);
}

bool IsBadOnRoute(const RouteEvidence& route)
{
  const wire::VersionTally& target = route.target;
  const wire::VersionTally& others = route.others;
  return IsSignificantlyWorse(target.bad(), target.answers(), others.bad(),
                              others.answers()) ||
         IsSignificantlyWorse(target.late(), target.answers(), others.late(),
                              others.answers()) ||
         IsSlower(target, others);
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

VersionVerdict EvaluateVersion(absl::Span<const RouteEvidence> routes)
{
  std::uint64_t answers = 0;
  for (const RouteEvidence& route : routes) {
    if (IsBadOnRoute(route)) {
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
