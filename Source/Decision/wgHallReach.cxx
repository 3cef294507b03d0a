// SPDX-License-Identifier: Apache-2.0
#include "wgHallReach.h"

#include <algorithm>
#include <utility>

namespace wg {
namespace {

constexpr std::size_t EnoughUnreached = 2;
constexpr std::size_t EnoughFailed = 2;
constexpr int EnoughTried = 2;
/** Two halls are lost at the same time by their own doing less often than by
 * that of the one that lost them.
 */
constexpr int EnoughHallsCut = 2;
/** What failed longer ago says nothing of now. */
constexpr absl::Duration EvidenceAge = absl::Seconds(2);

bool IsOther(const HallReach& reach, const std::string& hall)
{
  return !reach.own.empty() && hall != reach.own;
}

int CountCutOthers(const HallReach& reach)
{
  return static_cast<int>(std::count_if(
    reach.halls.begin(), reach.halls.end(), [&reach](const auto& pair) {
      return IsOther(reach, pair.first) && pair.second.isCut;
    }));
}

/** Adds the halls to those that were cut off just now. */
void CutOthers(HallReach& reach, std::vector<std::string>& cut)
{
  for (auto& [name, evidence] : reach.halls) {
    if (IsOther(reach, name) && !std::exchange(evidence.isCut, true)) {
      cut.push_back(name);
    }
  }
}

} // namespace

void NoteHall(HallReach& reach, absl::string_view hall)
{
  reach.halls.try_emplace(std::string(hall));
}

bool NoteReached(HallReach& reach, absl::string_view hall)
{
  auto found = reach.halls.find(std::string(hall));
  if (found == reach.halls.end()) {
    return false;
  }
  found->second.unreached.clear();
  return std::exchange(found->second.isCut, false);
}

std::vector<std::string> NoteUnreached(HallReach& reach,
                                       absl::string_view hall,
                                       absl::string_view endpoint, Elapsed now)
{
  HallEvidence& evidence = reach.halls[std::string(hall)];
  const bool stale = now - evidence.firstUnreached > EvidenceAge;
  if (evidence.unreached.empty() || stale) {
    evidence.unreached.clear();
    evidence.firstUnreached = now;
  }
  evidence.unreached.emplace(endpoint);
  if (evidence.unreached.size() < EnoughUnreached ||
      std::exchange(evidence.isCut, true)) {
    return {};
  }
  std::vector<std::string> cut{ std::string(hall) };
  if (hall != reach.own && CountCutOthers(reach) >= EnoughHallsCut) {
    CutOthers(reach, cut);
  }
  return cut;
}

bool IsCutOff(const HallReach& reach, absl::string_view hall)
{
  if (reach.isIsolated) {
    return false;
  }
  auto found = reach.halls.find(std::string(hall));
  return found != reach.halls.end() && found->second.isCut;
}

void NoteConnected(HallReach& reach)
{
  reach.failed.clear();
}

bool NoteConnectFailed(HallReach& reach, absl::string_view endpoint,
                       Elapsed now)
{
  if (reach.failed.empty() || now - reach.firstFailed > EvidenceAge) {
    reach.failed.clear();
    reach.firstFailed = now;
  }
  reach.failed.emplace(endpoint);
  return reach.failed.size() >= EnoughFailed;
}

bool NoteEndpointUnreached(HallReach& reach, absl::string_view endpoint,
                           bool hangs, Elapsed now)
{
  ForgetUnreached(reach, now);
  const auto [found, isNew] =
    reach.endpoints.try_emplace(std::string(endpoint));
  found->second.connectionsHang = hangs;
  if (isNew) { // later failures do not put the next question off
    found->second.failed = now;
  }
  return isNew;
}

bool NoteEndpointReached(HallReach& reach, absl::string_view endpoint)
{
  const bool wasLost = IsPathLost(reach, endpoint);
  reach.endpoints.erase(std::string(endpoint));
  return wasLost;
}

bool NoteReachedElsewhere(HallReach& reach, absl::string_view endpoint)
{
  const auto found = reach.endpoints.find(std::string(endpoint));
  return found != reach.endpoints.end() &&
         !std::exchange(found->second.isReachedElsewhere, true);
}

void NoteReachedNowhere(HallReach& reach, absl::string_view endpoint)
{
  const auto found = reach.endpoints.find(std::string(endpoint));
  if (found != reach.endpoints.end()) {
    found->second.isReachedElsewhere = false;
  }
}

bool IsPathLost(const HallReach& reach, absl::string_view endpoint)
{
  const auto found = reach.endpoints.find(std::string(endpoint));
  return found != reach.endpoints.end() && found->second.isReachedElsewhere;
}

std::vector<std::string> LostEndpoints(const HallReach& reach)
{
  std::vector<std::string> lost;
  for (const auto& [endpoint, evidence] : reach.endpoints) {
    if (evidence.isReachedElsewhere) {
      lost.push_back(endpoint);
    }
  }
  return lost;
}

bool ConnectionsHang(const HallReach& reach, absl::string_view endpoint)
{
  const auto found = reach.endpoints.find(std::string(endpoint));
  return found != reach.endpoints.end() && found->second.connectionsHang;
}

bool ConfirmHang(HallReach& reach, absl::string_view endpoint)
{
  const auto found = reach.endpoints.find(std::string(endpoint));
  return found != reach.endpoints.end() && found->second.isReachedElsewhere &&
         !std::exchange(found->second.isHangConfirmed, true);
}

void ForgetUnreached(HallReach& reach, Elapsed now)
{
  for (auto it = reach.endpoints.begin(); it != reach.endpoints.end();) {
    const auto current = it++;
    const UnreachedEndpoint& evidence = current->second;
    if (!evidence.isReachedElsewhere && now - evidence.failed > EvidenceAge) {
      reach.endpoints.erase(current);
    }
  }
}

bool ShowsNoPath(const PathTrial& trial)
{
  return trial.tried >= EnoughTried &&
         trial.refused + trial.unanswered == trial.tried;
}

bool Isolate(HallReach& reach)
{
  return !std::exchange(reach.isIsolated, true);
}

bool EndIsolation(HallReach& reach)
{
  reach.failed.clear();
  reach.endpoints.clear();
  for (auto& [name, evidence] : reach.halls) {
    evidence = {};
  }
  return std::exchange(reach.isIsolated, false);
}

} // namespace wg
