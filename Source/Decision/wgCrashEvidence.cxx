// SPDX-License-Identifier: Apache-2.0
#include "wgCrashEvidence.h"

#include <algorithm>
#include <tuple>

namespace wg {
namespace {

/** Identities and fingerprints are far shorter. */
constexpr std::size_t MaxNameBytes = 200;

using Ends = std::set<std::string>;                // identities of starts
using EndsByRequest = std::map<std::string, Ends>; // without outweighed ones

/** Returns the ends of requests that have enough for quarantine; most requests
 * have one or two. Records of a request are adjacent.
 */
EndsByRequest EndsForQuarantine(const CrashEvidence& evidence)
{
  EndsByRequest all;
  const auto& records = evidence.records;
  for (auto it = records.begin(); it != records.end();) {
    const std::string& request = it->first.request;
    std::vector<const std::string*> ends;
    for (; it != records.end() && it->first.request == request; ++it) {
      if (!it->second.outweighed) {
        ends.push_back(&it->first.endpoint);
      }
    }
    if (ends.size() >= evidence.rules.endsToQuarantine) {
      for (const std::string* endpoint : ends) {
        all[request].insert(*endpoint);
      }
    }
  }
  return all;
}

EndsByRequest::iterator MostEnds(EndsByRequest& ends)
{
  return std::max_element(ends.begin(), ends.end(),
                          [](const auto& left, const auto& right) {
                            return left.second.size() < right.second.size();
                          });
}

void RemoveEnds(EndsByRequest& ends, const Ends& explained)
{
  for (auto& [request, counted] : ends) {
    for (const std::string& endpoint : explained) {
      counted.erase(endpoint);
    }
  }
}

/** An end that one request explains does not count against the requests beside
 * it: each of twelve engines that one request ended cut off 1 to 4 other
 * requests. The quarantine is computed anew each time, so that it ends for an
 * innocent request once another has more ends.
 */
void UpdateQuarantine(CrashEvidence& evidence)
{
  evidence.quarantined.clear();
  EndsByRequest ends = EndsForQuarantine(evidence);
  while (!ends.empty()) {
    const auto cause = MostEnds(ends);
    if (cause->second.size() < evidence.rules.endsToQuarantine) {
      return;
    }
    evidence.quarantined.insert(cause->first);
    const Ends explained = cause->second;
    RemoveEnds(ends, explained);
  }
}

void NoteChange(CrashEvidence& evidence, CrashRecord& record)
{
  record.revision = ++evidence.revision;
  UpdateQuarantine(evidence);
}

absl::Duration RetentionOf(const CrashEvidence& evidence,
                           absl::string_view request)
{
  return IsQuarantined(evidence, request) ? evidence.rules.quarantineFor
                                          : evidence.rules.suspectFor;
}

/** If the evidence is full, evicts the oldest record of a request that is not
 * quarantined.
 * \return whether a record may be added
 */
bool EvictIfFull(CrashEvidence& evidence)
{
  if (evidence.records.size() < evidence.rules.maxRecords) {
    return true;
  }
  auto oldest = evidence.records.end();
  for (auto it = evidence.records.begin(); it != evidence.records.end();
       ++it) {
    const bool older = oldest == evidence.records.end() ||
                       it->second.noted < oldest->second.noted;
    if (older && !IsQuarantined(evidence, it->first.request)) {
      oldest = it;
    }
  }
  if (oldest == evidence.records.end()) {
    return false;
  }
  evidence.records.erase(oldest);
  return true;
}

bool IsValid(const wire::Crash& crash)
{
  const auto isName = [](const std::string& name) {
    return !name.empty() && name.size() <= MaxNameBytes;
  };
  return isName(crash.request()) && isName(crash.endpoint()) &&
         crash.age_ms() >= 0;
}

} // namespace

bool operator<(const CrashKey& left, const CrashKey& right)
{
  return std::tie(left.request, left.endpoint) <
         std::tie(right.request, right.endpoint);
}

bool MergeCrash(CrashEvidence& evidence, const wire::Crash& crash, Elapsed now)
{
  const Elapsed noted = now - absl::Milliseconds(crash.age_ms());
  const bool isOver = now - noted > evidence.rules.quarantineFor;
  if (!IsValid(crash) || isOver) {
    return false;
  }
  const CrashKey key{ crash.request(), crash.endpoint() };
  if (evidence.records.count(key) == 0 && !EvictIfFull(evidence)) {
    return false;
  }
  auto [found, isNew] = evidence.records.try_emplace(key);
  CrashRecord& record = found->second;
  record.noted = isNew ? noted : std::min(record.noted, noted);
  const bool isChanged = isNew || (crash.outweighed() && !record.outweighed);
  record.outweighed |= crash.outweighed();
  if (isChanged) {
    NoteChange(evidence, record);
  }
  return isChanged;
}

bool NoteAnswered(CrashEvidence& evidence, absl::string_view request)
{
  bool isChanged = false;
  for (auto it = evidence.records.lower_bound({ std::string(request), "" });
       it != evidence.records.end() && it->first.request == request; ++it) {
    if (!it->second.outweighed) {
      it->second.outweighed = true;
      NoteChange(evidence, it->second);
      isChanged = true;
    }
  }
  return isChanged;
}

bool IsPresumedEnded(const CrashEvidence& evidence, absl::string_view endpoint)
{
  const auto& records = evidence.records;
  return std::any_of(records.begin(), records.end(), [&](const auto& pair) {
    return pair.first.endpoint == endpoint && !pair.second.outweighed;
  });
}

bool NoteLive(CrashEvidence& evidence, absl::string_view endpoint)
{
  bool isChanged = false;
  for (auto& [key, record] : evidence.records) {
    if (key.endpoint == endpoint && !record.outweighed) {
      record.outweighed = true;
      NoteChange(evidence, record);
      isChanged = true;
    }
  }
  return isChanged;
}

bool IsSuspect(const CrashEvidence& evidence, absl::string_view request)
{
  for (auto it = evidence.records.lower_bound({ std::string(request), "" });
       it != evidence.records.end() && it->first.request == request; ++it) {
    if (!it->second.outweighed) {
      return true;
    }
  }
  return false;
}

bool IsQuarantined(const CrashEvidence& evidence, absl::string_view request)
{
  return evidence.quarantined.count(std::string(request)) > 0;
}

void ExpireCrashes(CrashEvidence& evidence, Elapsed now)
{
  std::map<std::string, Elapsed> last; // noted crash of each request
  for (const auto& [key, record] : evidence.records) {
    Elapsed& noted = last.try_emplace(key.request, record.noted).first->second;
    noted = std::max(noted, record.noted);
  }
  bool isExpired = false;
  for (auto it = evidence.records.begin(); it != evidence.records.end();) {
    const auto current = it++;
    const std::string& request = current->first.request;
    if (now - last[request] > RetentionOf(evidence, request)) {
      evidence.records.erase(current);
      isExpired = true;
    }
  }
  if (isExpired) {
    UpdateQuarantine(evidence);
  }
}

wire::Crash MakeCrashMessage(const CrashKey& key, const CrashRecord& record,
                             Elapsed now)
{
  wire::Crash crash;
  crash.set_request(key.request);
  crash.set_endpoint(key.endpoint);
  crash.set_outweighed(record.outweighed);
  crash.set_age_ms(absl::ToInt64Milliseconds(
    std::max(now - record.noted, absl::ZeroDuration())));
  crash.set_revision(record.revision);
  return crash;
}

std::vector<wire::Crash> CrashesSince(const CrashEvidence& evidence,
                                      std::uint64_t revision,
                                      std::size_t maxCount, Elapsed now)
{
  std::vector<wire::Crash> changes;
  for (const auto& [key, record] : evidence.records) {
    if (record.revision > revision) {
      changes.push_back(MakeCrashMessage(key, record, now));
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const wire::Crash& left, const wire::Crash& right) {
              return left.revision() < right.revision();
            });
  changes.resize(std::min(changes.size(), maxCount));
  return changes;
}

} // namespace wg
