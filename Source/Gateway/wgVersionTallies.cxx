// SPDX-License-Identifier: Apache-2.0
#include "wgVersionTallies.h"

namespace wg {
namespace {

/** Of a deployment's routes only those with requests count. */
constexpr std::size_t MostTallies = 1000;

} // namespace

void NoteAttemptSeen(VersionTallies& tallies, const Directory& directory,
                     const DirectoryEndpoint& endpoint,
                     absl::string_view route, const AttemptSeen& attempt)
{
  const VersionRollout& rollout =
    FindVersionRollout(directory.rollouts, endpoint.service);
  if (!IsInProgress(rollout)) {
    return;
  }
  const std::pair<std::uint64_t, std::string> key{ rollout.number,
                                                   std::string(route) };
  const bool isKept =
    tallies.seen.size() < MostTallies || tallies.seen.count(key) > 0;
  if (!isKept) {
    return;
  }
  wire::VersionEvidence& evidence = tallies.seen[key];
  evidence.set_service(endpoint.service);
  evidence.set_number(rollout.number);
  evidence.set_route(key.second);
  wire::VersionTally& tally = endpoint.version == rollout.version
                                ? *evidence.mutable_target()
                                : *evidence.mutable_others();
  tally.set_answers(tally.answers() + 1);
  tally.set_bad(tally.bad() + (attempt.failed ? 1 : 0));
  if (!attempt.failed) {
    tally.set_late(tally.late() + (attempt.took > attempt.aim ? 1 : 0));
    const double seconds = absl::ToDoubleSeconds(attempt.took);
    tally.set_seconds(tally.seconds() + seconds);
    tally.set_square_seconds(tally.square_seconds() + seconds * seconds);
  }
}

void TellTallies(const VersionTallies& tallies, absl::string_view box,
                 wire::FollowRequest& request)
{
  for (const auto& [key, evidence] : tallies.seen) {
    wire::VersionEvidence& told = *request.add_version_evidence();
    told = evidence;
    told.set_box(std::string(box));
  }
}

void ForgetTallies(VersionTallies& tallies, const VersionRollouts& rollouts)
{
  for (auto it = tallies.seen.begin(); it != tallies.seen.end();) {
    const auto current = it++;
    const VersionRollout& rollout =
      FindVersionRollout(rollouts, current->second.service());
    if (rollout.number != current->first.first || !IsInProgress(rollout)) {
      tallies.seen.erase(current);
    }
  }
}

} // namespace wg
