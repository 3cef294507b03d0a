// SPDX-License-Identifier: Apache-2.0
#include "wgVersionHistory.h"

#include <algorithm>

namespace wg {

bool NoteServing(VersionHistory& history, const std::string& service,
                 const std::string& version, Elapsed now)
{
  auto found = history.versions.find({ service, version });
  if (found == history.versions.end()) {
    if (history.versions.size() >= MaxVersions) {
      return false;
    }
    found = history.versions
              .emplace(std::pair(service, version),
                       VersionHistory::Version{ now, ++history.revision })
              .first;
  }
  found->second.served = std::max(found->second.served, now);
  return true;
}

bool IsWritten(const VersionHistory& history, const std::string& service,
               const std::string& version)
{
  const auto found = history.versions.find({ service, version });
  return found != history.versions.end() &&
         found->second.added <= history.written;
}

void NoteToldUnwritten(VersionHistory& history)
{
  history.toldUnwritten = history.revision;
}

void RecallVersions(VersionHistory& history,
                    const wire::RememberedEndpoints* remembered,
                    bool isFirstStart, Elapsed now)
{
  const bool isKept = remembered != nullptr && remembered->keeps_versions();
  // An older build kept all endpoints, at each change.
  const bool isOlder =
    remembered != nullptr && remembered->endpoints_size() > 0;
  if (!isKept && !isOlder && !isFirstStart) {
    history.coveredSince = now;
  }
  if (remembered == nullptr) {
    return;
  }
  for (const wire::StreamOrigin& version : remembered->versions()) {
    NoteServing(history, version.service(), version.version(), now);
  }
  for (const wire::Registration& endpoint : remembered->endpoints()) {
    NoteServing(history, endpoint.service(), endpoint.version(), now);
  }
  history.written = isKept ? history.revision : history.written;
}

void RememberVersions(const VersionHistory& history,
                      wire::RememberedEndpoints& remembered)
{
  remembered.set_keeps_versions(true);
  for (const auto& [name, version] : history.versions) {
    wire::StreamOrigin& kept = *remembered.add_versions();
    kept.set_service(name.first);
    kept.set_version(name.second);
  }
}

void ExpireVersions(VersionHistory& history, Elapsed now)
{
  for (auto it = history.versions.begin(); it != history.versions.end();) {
    auto current = it++;
    if (now - current->second.served > StreamMemory + VersionsPeriod) {
      history.versions.erase(current);
      ++history.revision;
    }
  }
}

std::vector<StreamOrigin> ServedVersions(
  const VersionHistory& history, absl::Span<const std::string> services)
{
  std::vector<StreamOrigin> served;
  for (const auto& [name, version] : history.versions) {
    if (std::find(services.begin(), services.end(), name.first) !=
        services.end()) {
      served.push_back({ name.first, name.second });
    }
  }
  return served;
}

bool IsWholeHistory(const VersionHistory& history, Elapsed now)
{
  return now - history.coveredSince >= StreamMemory &&
         history.toldUnwritten <= history.written;
}

} // namespace wg
