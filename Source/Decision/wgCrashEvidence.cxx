// SPDX-License-Identifier: Apache-2.0
#include "wgCrashEvidence.h"

#include <algorithm>
#include <tuple>

namespace wg {
namespace {

/** An identity and a fingerprint are far shorter. */
constexpr std::size_t MaxNameBytes = 200;

using Ends = std::set<std::string>;                // of endpoints
using EndsByRequest = std::map<std::string, Ends>; // those that count

/** Those of requests with enough of them; most have one or two. Records of a
 * request stand together.
 */
EndsByRequest CountedEnds(const CrashEvidence& evidence)
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

/** Requests with enough ends, the one with most of them first. */
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

/** What one request explains does not count against those that ran beside
 * it: of twelve engines that ended under one request each took 1 to 4 others
 * along. All is weighed anew each time, so that one which was wrongly taken
 * for the cause is let go once another has more ends.
 */
void Judge(CrashEvidence& evidence)
{
  evidence.quarantined.clear();
  EndsByRequest ends = CountedEnds(evidence);
  while (!ends.empty()) {
    const auto most = MostEnds(ends);
    if (most->second.size() < evidence.rules.endsToQuarantine) {
      return;
    }
    evidence.quarantined.insert(most->first);
    const Ends explained = most->second;
    RemoveEnds(ends, explained);
  }
}

void NoteChange(CrashEvidence& evidence, CrashRecord& record)
{
  record.revision = ++evidence.revision;
  Judge(evidence);
}

absl::Duration KeptFor(const CrashEvidence& evidence,
                       absl::string_view request)
{
  return IsQuarantined(evidence, request) ? evidence.rules.quarantineFor
                                          : evidence.rules.suspectFor;
}

/** The oldest one of a request that is not quarantined gives way. */
bool MakeRoom(CrashEvidence& evidence)
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

bool IsSound(const wire::Crash& crash)
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
  if (!IsSound(crash) || isOver) {
    return false;
  }
  const CrashKey key{ crash.request(), crash.endpoint() };
  if (evidence.records.count(key) == 0 && !MakeRoom(evidence)) {
    return false;
  }
  auto [found, isNew] = evidence.records.try_emplace(key);
  CrashRecord& record = found->second;
  record.noted = isNew ? noted : std::min(record.noted, noted);
  const bool isNews = isNew || (crash.outweighed() && !record.outweighed);
  record.outweighed |= crash.outweighed();
  if (isNews) {
    NoteChange(evidence, record);
  }
  return isNews;
}

bool NoteAnswered(CrashEvidence& evidence, absl::string_view request)
{
  bool isNews = false;
  for (auto it = evidence.records.lower_bound({ std::string(request), "" });
       it != evidence.records.end() && it->first.request == request; ++it) {
    if (!it->second.outweighed) {
      it->second.outweighed = true;
      NoteChange(evidence, it->second);
      isNews = true;
    }
  }
  return isNews;
}

bool IsTakenToHaveEnded(const CrashEvidence& evidence,
                        absl::string_view endpoint)
{
  const auto& records = evidence.records;
  return std::any_of(records.begin(), records.end(), [&](const auto& pair) {
    return pair.first.endpoint == endpoint && !pair.second.outweighed;
  });
}

bool NoteLives(CrashEvidence& evidence, absl::string_view endpoint)
{
  bool isNews = false;
  for (auto& [key, record] : evidence.records) {
    if (key.endpoint == endpoint && !record.outweighed) {
      record.outweighed = true;
      NoteChange(evidence, record);
      isNews = true;
    }
  }
  return isNews;
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
  std::map<std::string, Elapsed> last; // crash of each request
  for (const auto& [key, record] : evidence.records) {
    Elapsed& noted = last.try_emplace(key.request, record.noted).first->second;
    noted = std::max(noted, record.noted);
  }
  bool isAny = false;
  for (auto it = evidence.records.begin(); it != evidence.records.end();) {
    const auto current = it++;
    const std::string& request = current->first.request;
    if (now - last[request] > KeptFor(evidence, request)) {
      evidence.records.erase(current);
      isAny = true;
    }
  }
  if (isAny) {
    Judge(evidence);
  }
}

wire::Crash TellCrash(const CrashKey& key, const CrashRecord& record,
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
                                      std::uint64_t revision, std::size_t most,
                                      Elapsed now)
{
  std::vector<wire::Crash> news;
  for (const auto& [key, record] : evidence.records) {
    if (record.revision > revision) {
      news.push_back(TellCrash(key, record, now));
    }
  }
  std::sort(news.begin(), news.end(),
            [](const wire::Crash& left, const wire::Crash& right) {
              return left.revision() < right.revision();
            });
  news.resize(std::min(news.size(), most));
  return news;
}

} // namespace wg
