// SPDX-License-Identifier: Apache-2.0
#include "wgCutAttempts.h"

#include <algorithm>
#include <optional>

namespace wg {
namespace {

using Registration = wire::Registration;

/** Heartbeats that stop make a start silent after four of them, 4.8 s. */
constexpr absl::Duration LongestWait = absl::Seconds(8);
/** More requests than run at an endpoint at once, each with some parts. */
constexpr std::size_t MaxSuspectsAtEndpoint = 2000;

EndedEndpoint MakeEnded(const std::string& id, const CutAtEndpoint& cut,
                        EndFoundBy foundBy)
{
  return { id, foundBy, { cut.suspects.begin(), cut.suspects.end() } };
}

std::optional<EndFoundBy> HowEnded(const Directory& directory,
                                   const DirectoryEndpoint& endpoint,
                                   Elapsed since)
{
  if (endpoint.overtaken || HasSuccessor(directory, endpoint, since)) {
    return EndFoundBy::LaterStart;
  }
  if (endpoint.state == Registration::SILENT) {
    return EndFoundBy::Silence;
  }
  return std::nullopt;
}

} // namespace

bool NoteCut(CutAttempts& cuts, const DirectoryEndpoint& endpoint,
             absl::Span<const CrashSuspect> suspects, Elapsed now)
{
  if (endpoint.state != Registration::READY) {
    return false;
  }
  auto [found, isNew] = cuts.endpoints.try_emplace(endpoint.id);
  CutAtEndpoint& cut = found->second;
  cut.first = isNew ? now : cut.first;
  for (const CrashSuspect& suspect : suspects) {
    if (cut.suspects.size() < MaxSuspectsAtEndpoint) {
      cut.suspects.insert(suspect);
    }
  }
  return isNew;
}

void NoteAlive(CutAttempts& cuts, absl::string_view endpoint)
{
  if (!cuts.endpoints.empty()) {
    cuts.endpoints.erase(std::string(endpoint));
  }
}

std::vector<EndedEndpoint> TakeEnded(CutAttempts& cuts,
                                     absl::string_view endpoint)
{
  std::vector<EndedEndpoint> ended;
  const auto node = cuts.endpoints.extract(std::string(endpoint));
  if (!node.empty()) {
    ended.push_back(
      MakeEnded(node.key(), node.mapped(), EndFoundBy::NoConnection));
  }
  return ended;
}

std::vector<EndedEndpoint> TakeEnded(CutAttempts& cuts,
                                     const Directory& directory, Elapsed now)
{
  std::vector<EndedEndpoint> ended;
  for (auto it = cuts.endpoints.begin(); it != cuts.endpoints.end();) {
    const auto current = it++;
    const auto& [id, cut] = *current;
    const auto known = directory.endpoints.find(id);
    const bool isOver = known == directory.endpoints.end() ||
                        known->second.state == Registration::GONE ||
                        now - cut.first > LongestWait;
    const auto how = known == directory.endpoints.end()
                       ? std::nullopt
                       : HowEnded(directory, known->second, cut.first);
    if (how && known->second.state != Registration::GONE) {
      ended.push_back(MakeEnded(id, cut, *how));
    }
    if (how || isOver) {
      cuts.endpoints.erase(current);
    }
  }
  return ended;
}

absl::string_view NameOf(EndFoundBy foundBy)
{
  switch (foundBy) {
    case EndFoundBy::NoConnection:
      return "no_connection";
    case EndFoundBy::Silence:
      return "silence";
    case EndFoundBy::LaterStart:
      break;
  }
  return "later_start";
}

} // namespace wg
