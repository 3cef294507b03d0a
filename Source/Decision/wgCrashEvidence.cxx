// SPDX-License-Identifier: Apache-2.0
#include "wgCrashEvidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wg {
namespace {

/** Identities and fingerprints are far shorter. */
constexpr std::size_t MaxNameBytes = 200;

/** What is taken to be sound changes with time alone, too. */
constexpr absl::Duration DerivePeriod = absl::Milliseconds(200);
/** Under this name all requests are counted; no part has it. */
constexpr absl::string_view AllRequests = "";

using Ends = std::map<std::string, Elapsed>;        // when each start ended
using EndsBySuspect = std::map<CrashSuspect, Ends>; // without outweighed ones

/** Returns how many ends count against a suspect that ran at all of them. */
std::size_t CountSeparateEnds(const CrashSuspect& suspect, const Ends& ends,
                              const CrashRules& rules)
{
  if (suspect.cause == wire::WHOLE_REQUEST) {
    return ends.size();
  }
  std::vector<Elapsed> times;
  times.reserve(ends.size());
  for (const auto& [endpoint, noted] : ends) {
    times.push_back(noted);
  }
  std::sort(times.begin(), times.end());
  std::size_t separate = 0;
  Elapsed last = -absl::InfiniteDuration();
  for (const Elapsed time : times) {
    if (time - last >= rules.separateEnds) {
      ++separate;
      last = time;
    }
  }
  return separate;
}

/** The least share that so many of all hardly exceed by chance: the lower end
 * of Wilson's score interval, at two standard deviations.
 */
double LeastShare(int count, int all)
{
  constexpr double square = 4.0; // of the deviations
  const double share = 1.0 * count / all;
  const double spread = std::sqrt(square * share * (1.0 - share) / all +
                                  square * square / (4.0 * all * all));
  return (share + square / (2.0 * all) - spread) / (1.0 + square / all);
}

/** Whether this process has seen a part answered so often that it merely ran
 * beside what ended endpoints.
 */
bool IsTakenForSound(const CrashEvidence& evidence,
                     const CrashSuspect& suspect, std::size_t ends,
                     Elapsed now)
{
  if (suspect.cause != wire::PROMPT_PART) {
    return false;
  }
  const CrashRules& rules = evidence.rules;
  const auto answers = static_cast<std::size_t>(
    TimesCounted(evidence.answered, suspect.name, now));
  const int all = TimesCounted(evidence.arrived, AllRequests, now);
  const int arrived =
    std::min(TimesCounted(evidence.arrived, suspect.name, now), all);
  const bool isCommon =
    all > 0 && LeastShare(arrived, all) >= rules.commonShare;
  // All boxes have about as many requests with it, and ends are of all boxes.
  return answers >= rules.answersForEnd * ends ||
         (isCommon && answers * evidence.boxes >= ends);
}

/** Returns the ends of suspects that have enough for quarantine; most have one
 * or two. Records of a suspect are adjacent.
 */
EndsBySuspect EndsForQuarantine(const CrashEvidence& evidence, Elapsed now)
{
  EndsBySuspect all;
  const auto& records = evidence.records;
  for (auto it = records.begin(); it != records.end();) {
    const CrashSuspect& suspect = it->first.suspect;
    std::vector<const CrashKey*> keys;
    for (; it != records.end() && it->first.suspect == suspect; ++it) {
      if (!it->second.outweighed) {
        keys.push_back(&it->first);
      }
    }
    if (keys.size() >= evidence.rules.endsToQuarantine &&
        !IsTakenForSound(evidence, suspect, keys.size(), now)) {
      for (const CrashKey* key : keys) {
        all[suspect][key->endpoint] = records.at(*key).noted;
      }
    }
  }
  return all;
}

/** Of those with as many ends a whole request is the narrowest, and comes
 * first; of parts, the one that was answered least, and then the one that came
 * least: a process that has just started has seen no answers.
 */
EndsBySuspect::iterator MostEnds(EndsBySuspect& ends,
                                 const CrashEvidence& evidence, Elapsed now)
{
  const auto rankOf = [&evidence, now](const auto& pair) {
    const CrashSuspect& suspect = pair.first;
    const bool isPart = suspect.cause == wire::PROMPT_PART;
    const auto timesOf = [&](const PartCounts& counts) {
      return isPart ? TimesCounted(counts, suspect.name, now) : 0;
    };
    return std::make_tuple(
      CountSeparateEnds(suspect, pair.second, evidence.rules),
      -timesOf(evidence.answered), -timesOf(evidence.arrived));
  };
  return std::max_element(ends.begin(), ends.end(),
                          [&rankOf](const auto& left, const auto& right) {
                            return rankOf(left) < rankOf(right);
                          });
}

void RemoveEnds(EndsBySuspect& ends, const Ends& explained)
{
  for (auto& [suspect, counted] : ends) {
    for (const auto& [endpoint, noted] : explained) {
      counted.erase(endpoint);
    }
  }
}

/** An end that one suspect explains does not count against those beside it:
 * each of twelve engines that one request ended cut off 1 to 4 other requests.
 * The quarantine is computed anew each time, so that it ends for an innocent
 * suspect once another has more ends.
 */
void UpdateQuarantine(CrashEvidence& evidence, Elapsed now)
{
  evidence.derived = now;
  evidence.quarantined.clear();
  EndsBySuspect ends = EndsForQuarantine(evidence, now);
  while (!ends.empty()) {
    const CrashRules& rules = evidence.rules;
    const auto cause = MostEnds(ends, evidence, now);
    if (CountSeparateEnds(cause->first, cause->second, rules) <
        rules.endsToQuarantine) {
      return;
    }
    evidence.quarantined.insert(cause->first);
    const Ends explained = cause->second;
    RemoveEnds(ends, explained);
  }
}

/** \param counted  crashes that counted against the suspect before or after
 * the change, the more of both
 */
void NoteChange(CrashEvidence& evidence, CrashRecord& record,
                std::size_t counted, Elapsed now)
{
  record.revision = ++evidence.revision;
  if (counted >= evidence.rules.endsToQuarantine) {
    UpdateQuarantine(evidence, now); // with fewer, nothing is explained
  }
}

bool IsNearQuarantine(const CrashEvidence& evidence,
                      const CrashSuspect& suspect)
{
  return CountedEnds(evidence, suspect) >= evidence.rules.endsToQuarantine;
}

absl::Duration RetentionOf(const CrashEvidence& evidence,
                           const CrashSuspect& suspect)
{
  return IsQuarantined(evidence, suspect) ? evidence.rules.quarantineFor
                                          : evidence.rules.suspectFor;
}

/** If the evidence is full, evicts the oldest record of a suspect that is not
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
    if (older && !IsQuarantined(evidence, it->first.suspect)) {
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

bool operator<(const CrashSuspect& left, const CrashSuspect& right)
{
  return std::tie(left.cause, left.name) < std::tie(right.cause, right.name);
}

bool operator==(const CrashSuspect& left, const CrashSuspect& right)
{
  return left.cause == right.cause && left.name == right.name;
}

bool operator<(const CrashKey& left, const CrashKey& right)
{
  return std::tie(left.suspect, left.endpoint) <
         std::tie(right.suspect, right.endpoint);
}

CrashSuspect RequestSuspect(absl::string_view fingerprint)
{
  return { wire::WHOLE_REQUEST, std::string(fingerprint) };
}

CrashSuspect PartSuspect(absl::string_view part)
{
  return { wire::PROMPT_PART, std::string(part) };
}

bool MergeCrash(CrashEvidence& evidence, const wire::Crash& crash, Elapsed now)
{
  const Elapsed noted = now - absl::Milliseconds(crash.age_ms());
  const bool isOver = now - noted > evidence.rules.quarantineFor;
  if (!IsValid(crash) || isOver) {
    return false;
  }
  const CrashKey key{ { crash.cause(), crash.request() }, crash.endpoint() };
  if (evidence.records.count(key) == 0 && !EvictIfFull(evidence)) {
    return false;
  }
  auto [found, isNew] = evidence.records.try_emplace(key);
  CrashRecord& record = found->second;
  const bool isEarlier = !isNew && noted < record.noted;
  record.noted = isNew ? noted : std::min(record.noted, noted);
  const bool isChanged = isNew || (crash.outweighed() && !record.outweighed);
  record.outweighed |= crash.outweighed();
  if (isChanged) {
    const std::size_t removed = record.outweighed ? 1 : 0;
    NoteChange(evidence, record, CountedEnds(evidence, key.suspect) + removed,
               now);
  } else if (isEarlier && IsNearQuarantine(evidence, key.suspect)) {
    UpdateQuarantine(evidence, now); // ends may lie further apart than before
  }
  return isChanged;
}

bool NoteAnswered(CrashEvidence& evidence, const CrashSuspect& suspect,
                  Elapsed now)
{
  const std::size_t counted = CountedEnds(evidence, suspect);
  for (auto it = evidence.records.lower_bound({ suspect, "" });
       it != evidence.records.end() && it->first.suspect == suspect; ++it) {
    if (!it->second.outweighed) {
      it->second.outweighed = true;
      NoteChange(evidence, it->second, counted, now);
    }
  }
  return counted > 0;
}

void NotePartsArrived(CrashEvidence& evidence,
                      absl::Span<const CrashSuspect> parts, Elapsed now)
{
  if (parts.empty()) {
    return;
  }
  CountPart(evidence.arrived, AllRequests, now);
  for (const CrashSuspect& part : parts) {
    CountPart(evidence.arrived, part.name, now);
  }
  if (!evidence.records.empty() && now - evidence.derived >= DerivePeriod) {
    UpdateQuarantine(evidence, now);
  }
}

bool NotePartAnswered(CrashEvidence& evidence, const CrashSuspect& part,
                      double draw, Elapsed now)
{
  CountPart(evidence.answered, part.name, now);
  const int arrived = TimesCounted(evidence.arrived, part.name, now);
  const int all = TimesCounted(evidence.arrived, AllRequests, now);
  if (draw * all >= evidence.rules.outweighChance * arrived) {
    return false;
  }
  const std::size_t counted = CountedEnds(evidence, part);
  CrashRecord* first = nullptr;
  for (auto it = evidence.records.lower_bound({ part, "" });
       it != evidence.records.end() && it->first.suspect == part; ++it) {
    CrashRecord& record = it->second;
    const bool isEarlier = first == nullptr || record.noted < first->noted;
    first = !record.outweighed && isEarlier ? &record : first;
  }
  if (first == nullptr) {
    return false;
  }
  first->outweighed = true;
  NoteChange(evidence, *first, counted, now);
  return true;
}

bool IsPresumedEnded(const CrashEvidence& evidence, absl::string_view endpoint)
{
  const auto& records = evidence.records;
  return std::any_of(records.begin(), records.end(), [&](const auto& pair) {
    return pair.first.endpoint == endpoint && !pair.second.outweighed;
  });
}

bool NoteLive(CrashEvidence& evidence, absl::string_view endpoint, Elapsed now)
{
  bool isChanged = false;
  for (auto& [key, record] : evidence.records) {
    if (key.endpoint == endpoint && !record.outweighed) {
      record.outweighed = true;
      NoteChange(evidence, record, CountedEnds(evidence, key.suspect) + 1,
                 now);
      isChanged = true;
    }
  }
  return isChanged;
}

std::size_t CountedEnds(const CrashEvidence& evidence,
                        const CrashSuspect& suspect)
{
  std::size_t ends = 0;
  for (auto it = evidence.records.lower_bound({ suspect, "" });
       it != evidence.records.end() && it->first.suspect == suspect; ++it) {
    ends += it->second.outweighed ? 0 : 1;
  }
  return ends;
}

bool IsQuarantined(const CrashEvidence& evidence, const CrashSuspect& suspect)
{
  return evidence.quarantined.count(suspect) > 0;
}

void ExpireCrashes(CrashEvidence& evidence, Elapsed now)
{
  std::map<CrashSuspect, Elapsed> last; // noted crash of each
  for (const auto& [key, record] : evidence.records) {
    Elapsed& noted = last.try_emplace(key.suspect, record.noted).first->second;
    noted = std::max(noted, record.noted);
  }
  bool isExpired = false;
  for (auto it = evidence.records.begin(); it != evidence.records.end();) {
    const auto current = it++;
    const CrashSuspect& suspect = current->first.suspect;
    if (now - last[suspect] > RetentionOf(evidence, suspect)) {
      evidence.records.erase(current);
      isExpired = true;
    }
  }
  if (isExpired) {
    UpdateQuarantine(evidence, now);
  }
}

wire::Crash MakeCrashMessage(const CrashKey& key, const CrashRecord& record,
                             Elapsed now)
{
  wire::Crash crash;
  crash.set_request(key.suspect.name);
  crash.set_cause(key.suspect.cause);
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
