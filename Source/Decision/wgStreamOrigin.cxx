// SPDX-License-Identifier: Apache-2.0
#include "wgStreamOrigin.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/ascii.h"

namespace wg {
namespace {

/** One more than copies are sent to a hall. */
constexpr std::size_t SourcesInHall = 3;

std::vector<std::size_t> RankReachable(absl::Span<const OriginKeeper> boxes)
{
  std::vector<std::size_t> ranked(boxes.size());
  std::iota(ranked.begin(), ranked.end(), 0);
  ranked.erase(
    std::remove_if(ranked.begin(), ranked.end(),
                   [boxes](std::size_t i) { return !boxes[i].isReachable; }),
    ranked.end());
  std::sort(ranked.begin(), ranked.end(),
            [boxes](std::size_t left, std::size_t right) {
              return boxes[left].weight > boxes[right].weight;
            });
  return ranked;
}

/** All origins that any answer allows, each once. */
std::vector<StreamOrigin> MergePossible(absl::Span<const StreamOrigin> own,
                                        absl::Span<const OriginAnswer> answers)
{
  std::vector<StreamOrigin> merged;
  const auto add = [&merged](absl::Span<const StreamOrigin> possible) {
    for (const StreamOrigin& origin : possible) {
      if (std::find(merged.begin(), merged.end(), origin) == merged.end()) {
        merged.push_back(origin);
      }
    }
  };
  add(own);
  for (const OriginAnswer& answer : answers) {
    add(answer.possible);
  }
  return merged;
}

bool IsWholeHistory(const OriginAnswer& answer)
{
  return !answer.control.empty() && answer.hasAnswered && answer.isWhole;
}

/** The control boxes that may have told a box of an endpoint. */
std::set<std::string> RequiredControls(absl::Span<const OriginAnswer> answers)
{
  std::set<std::string> required;
  for (const OriginAnswer& answer : answers) {
    required.insert(answer.members.begin(), answer.members.end());
    if (answer.isFollowed) {
      required.insert(answer.control);
    }
  }
  return required;
}

/** Whether the histories leave out no version that may have begun a stream. A
 * stream that was not named has those that answer.
 */
bool AreHistoriesWhole(bool isNamed, absl::Span<const OriginAnswer> answers)
{
  if (!isNamed) {
    return std::any_of(answers.begin(), answers.end(),
                       [](const OriginAnswer& answer) {
                         return !answer.control.empty() && answer.hasAnswered;
                       });
  }
  std::set<std::string> whole;
  bool isPart = false;
  for (const OriginAnswer& answer : answers) {
    if (IsWholeHistory(answer)) {
      whole.insert(answer.control);
    }
    isPart |= !answer.control.empty() && answer.hasAnswered && !answer.isWhole;
  }
  const std::set<std::string> required = RequiredControls(answers);
  return !whole.empty() && !isPart &&
         std::includes(whole.begin(), whole.end(), required.begin(),
                       required.end());
}

} // namespace

bool operator==(const StreamOrigin& left, const StreamOrigin& right)
{
  return left.service == right.service && left.version == right.version;
}

bool IsOriginName(absl::string_view request)
{
  return !request.empty() && request.size() <= MaxOriginNameBytes &&
         std::all_of(request.begin(), request.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<unsigned char>(c));
         });
}

void KeepOrigin(OriginRecords& records, const std::string& request,
                const OriginRecord& record, Elapsed now)
{
  ExpireOrigins(records, now);
  const bool isBounded = record.origin.service.size() <= MaxOriginNameBytes &&
                         record.origin.version.size() <= MaxOriginNameBytes;
  if (!IsOriginName(request) || !isBounded || record.until <= now) {
    return;
  }
  const Elapsed until = std::min(record.until, now + MaxStreamTime);
  auto [found, isNew] = records.byRequest.try_emplace(
    request, OriginRecord{ record.origin, until });
  OriginRecord& kept = found->second;
  if (!isNew) {
    if (!(kept.origin == record.origin)) {
      kept.origin.version.clear();
    }
    records.byExpiry.erase({ kept.until, request });
    kept.until = std::max(kept.until, until);
  }
  records.byExpiry.emplace(kept.until, request);
  if (records.byRequest.size() > records.maxRecords) {
    records.byRequest.erase(records.byExpiry.begin()->second);
    records.byExpiry.erase(records.byExpiry.begin());
  }
}

const OriginRecord* FindOrigin(const OriginRecords& records,
                               const std::string& request, Elapsed now)
{
  const auto found = records.byRequest.find(request);
  const bool isKept =
    found != records.byRequest.end() && now < found->second.until;
  return isKept ? &found->second : nullptr;
}

void ExpireOrigins(OriginRecords& records, Elapsed now)
{
  while (!records.byExpiry.empty() && records.byExpiry.begin()->first <= now) {
    records.byRequest.erase(records.byExpiry.begin()->second);
    records.byExpiry.erase(records.byExpiry.begin());
  }
}

OriginKeepers RankOriginKeepers(absl::Span<const OriginKeeper> boxes,
                                absl::string_view ownHall)
{
  OriginKeepers keepers;
  for (const std::size_t i : RankReachable(boxes)) {
    (boxes[i].hall == ownHall ? keepers.near : keepers.far).push_back(i);
  }
  return keepers;
}

std::vector<std::size_t> RankOriginControls(
  absl::Span<const OriginKeeper> controls)
{
  std::vector<std::size_t> ranked = RankReachable(controls);
  const auto other =
    std::find_if(ranked.begin(), ranked.end(), [&](std::size_t i) {
      return controls[i].hall != controls[ranked.front()].hall;
    });
  if (other != ranked.end()) {
    std::rotate(ranked.begin() + 1, other, other + 1);
  }
  return ranked;
}

std::vector<std::size_t> ChooseOriginSources(
  absl::Span<const OriginKeeper> boxes)
{
  std::vector<std::size_t> sources;
  std::map<std::string, std::size_t> counts;
  for (const std::size_t i : RankReachable(boxes)) {
    if (counts[boxes[i].hall]++ < SourcesInHall) {
      sources.push_back(i);
    }
  }
  return sources;
}

absl::string_view NameOf(OriginEvidence evidence)
{
  switch (evidence) {
    case OriginEvidence::None:
      return "none";
    case OriginEvidence::Kept:
      return "kept";
    case OriginEvidence::Reported:
      return "reported";
    case OriginEvidence::OnlyVersion:
      return "only_version";
  }
  return "none";
}

OriginVerdict EvaluateOrigin(bool isNamed, absl::Span<const StreamOrigin> own,
                             absl::Span<const OriginAnswer> answers)
{
  OriginVerdict verdict;
  for (const OriginAnswer& answer : answers) {
    verdict.isFinal &= answer.hasAnswered;
    if (!answer.origin) {
      continue;
    }
    const bool isOther = verdict.evidence == OriginEvidence::Reported &&
                         !(verdict.origin == *answer.origin);
    if (isOther || answer.origin->version.empty()) {
      return {};
    }
    verdict.evidence = OriginEvidence::Reported;
    verdict.origin = *answer.origin;
  }
  if (verdict.evidence == OriginEvidence::Reported) {
    return verdict;
  }
  const std::vector<StreamOrigin> possible = MergePossible(own, answers);
  const bool isOne = possible.size() == 1 && !possible[0].version.empty();
  const bool isWhole = AreHistoriesWhole(isNamed, answers);
  if (isOne && isWhole) {
    return { OriginEvidence::OnlyVersion, possible[0], true, {} };
  }
  verdict.isFinal &= isWhole || possible.size() > 1;
  return verdict;
}

OriginBasis DescribeBasis(absl::Span<const StreamOrigin> own,
                          absl::Span<const OriginAnswer> answers)
{
  OriginBasis basis;
  for (const OriginAnswer& answer : answers) {
    ++basis.asked;
    basis.answered += answer.hasAnswered ? 1 : 0;
    basis.controls += IsWholeHistory(answer) ? 1 : 0;
  }
  basis.possible = MergePossible(own, answers);
  return basis;
}

} // namespace wg
