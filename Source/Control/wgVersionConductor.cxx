// SPDX-License-Identifier: Apache-2.0
#include "wgVersionConductor.h"

#include <algorithm>

namespace wg {
namespace {

/** Small beside the 5 s within which a bad version gets no more requests. */
constexpr absl::Duration Period = absl::Milliseconds(100);
/** What a new leader knows too little of the time since the order. */
constexpr absl::Duration TellElapsedEvery = absl::Seconds(1);
/** A decision that was proposed is applied, or its leader is no more. */
constexpr absl::Duration ProposeAgainAfter = absl::Milliseconds(500);
/** Some thousand boxes with ten routes each. */
constexpr std::size_t MostEvidence = 50000;

void Add(wire::VersionTally& sum, const wire::VersionTally& part)
{
  sum.set_answers(sum.answers() + part.answers());
  sum.set_bad(sum.bad() + part.bad());
  sum.set_late(sum.late() + part.late());
  sum.set_seconds(sum.seconds() + part.seconds());
  sum.set_square_seconds(sum.square_seconds() + part.square_seconds());
}

std::vector<RouteEvidence> SumByRoute(const VersionConductor& conductor,
                                      std::uint64_t number)
{
  std::map<std::string, RouteEvidence> routes;
  for (const auto& [key, evidence] : conductor.evidence) {
    if (std::get<1>(key) == number) {
      RouteEvidence& route = routes[std::get<2>(key)];
      Add(route.target, evidence.target());
      Add(route.others, evidence.others());
    }
  }
  std::vector<RouteEvidence> sums;
  for (auto& [name, route] : routes) {
    route.route = name;
    sums.push_back(std::move(route));
  }
  return sums;
}

bool IsCurrent(const VersionRollouts& rollouts, const std::string& service,
               std::uint64_t number)
{
  const VersionRollout& rollout = FindVersionRollout(rollouts, service);
  return rollout.number == number && IsInProgress(rollout);
}

void ForgetEnded(VersionConductor& conductor, const VersionRollouts& rollouts)
{
  for (auto it = conductor.watches.begin(); it != conductor.watches.end();) {
    const auto current = it++;
    if (!IsCurrent(rollouts, current->first, current->second.number)) {
      conductor.watches.erase(current);
    }
  }
  for (auto it = conductor.evidence.begin(); it != conductor.evidence.end();) {
    const auto current = it++;
    if (!IsCurrent(rollouts, current->second.service(),
                   current->second.number())) {
      conductor.evidence.erase(current);
    }
  }
}

} // namespace

void TakeEvidence(VersionConductor& conductor, const VersionRollouts& rollouts,
                  const VersionEvidences& evidence)
{
  for (const wire::VersionEvidence& told : evidence) {
    const VersionConductor::EvidenceKey key{ told.box(), told.number(),
                                             told.route() };
    const bool isTaken = IsCurrent(rollouts, told.service(), told.number()) &&
                         (conductor.evidence.size() < MostEvidence ||
                          conductor.evidence.count(key) > 0);
    if (!isTaken) {
      continue;
    }
    wire::VersionEvidence& known = conductor.evidence[key];
    const std::uint64_t answers =
      told.target().answers() + told.others().answers();
    if (answers >= known.target().answers() + known.others().answers()) {
      known = told;
    }
  }
}

std::vector<wire::MoveVersion> NextMoves(VersionConductor& conductor,
                                         const VersionRollouts& rollouts,
                                         Elapsed now)
{
  std::vector<wire::MoveVersion> moves;
  if (now < conductor.next) {
    return moves;
  }
  conductor.next = now + Period;
  ForgetEnded(conductor, rollouts);
  for (const auto& [service, rollout] : rollouts.services) {
    if (!IsInProgress(rollout)) {
      continue;
    }
    auto [found, isNew] = conductor.watches.try_emplace(service);
    VersionConductor::Watch& watch = found->second;
    if (isNew) {
      watch.number = rollout.number;
      watch.began = now;
      watch.before = rollout.elapsed;
    }
    const absl::Duration elapsed =
      std::max(rollout.elapsed, watch.before + (now - watch.began));
    const std::vector<RouteEvidence> evidence =
      SumByRoute(conductor, rollout.number);
    const VersionVerdict verdict = EvaluateVersion(evidence);
    watch.faults = DescribeFaults(evidence);
    wire::MoveVersion move = DecideVersion(service, rollout, verdict, elapsed);
    const bool isChange =
      move.state() != rollout.state || move.permille() != rollout.permille;
    const bool isDue =
      isChange || elapsed - rollout.elapsed >= TellElapsedEvery;
    const bool isProposed = watch.proposed.state() == move.state() &&
                            watch.proposed.permille() == move.permille() &&
                            now - watch.proposedAt < ProposeAgainAfter;
    if (isDue && !isProposed) {
      watch.proposed = move;
      watch.proposedAt = now;
      moves.push_back(std::move(move));
    }
  }
  return moves;
}

void AddEvidence(const VersionConductor& conductor,
                 wire::FollowRequest& request)
{
  for (const auto& [key, evidence] : conductor.evidence) {
    *request.add_version_evidence() = evidence;
  }
}

} // namespace wg
