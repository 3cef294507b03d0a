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

/** The one origin that all views allow; none if they allow several. */
std::optional<StreamOrigin> FindOnlyOrigin(
  const OriginView& own, absl::Span<const OriginAnswer> answers)
{
  std::vector<StreamOrigin> possible = own.possible;
  for (const OriginAnswer& answer : answers) {
    possible.insert(possible.end(), answer.view.possible.begin(),
                    answer.view.possible.end());
  }
  const bool isOne = !possible.empty() && !possible.front().version.empty() &&
                     std::all_of(possible.begin(), possible.end(),
                                 [&possible](const StreamOrigin& origin) {
                                   return origin == possible.front();
                                 });
  return isOne ? std::optional(possible.front()) : std::nullopt;
}

bool IsAnyCurrent(absl::Span<const OriginAnswer> answers)
{
  return std::any_of(answers.begin(), answers.end(),
                     [](const OriginAnswer& answer) {
                       return answer.hasAnswered && answer.view.isCurrent;
                     });
}

/** Boxes that started during a cut know only the endpoints that register on
 * their side of it.
 */
bool IsAnyComplete(const OriginView& own,
                   absl::Span<const OriginAnswer> answers)
{
  return own.isComplete ||
         std::any_of(answers.begin(), answers.end(),
                     [](const OriginAnswer& answer) {
                       return answer.hasAnswered && answer.view.isComplete;
                     });
}

bool IsEachHallConfirmed(absl::Span<const OriginAnswer> answers)
{
  std::set<std::string> asked;
  std::set<std::string> confirmed;
  for (const OriginAnswer& answer : answers) {
    asked.insert(answer.hall);
    if (answer.hasAnswered && answer.view.isCurrent) {
      confirmed.insert(answer.hall);
    }
  }
  return asked == confirmed;
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

OriginVerdict EvaluateOrigin(bool isNamed, const OriginView& own,
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
  const bool isComplete = !isNamed || IsAnyComplete(own, answers);
  const bool isConfirmed =
    isNamed ? own.isCurrent && isComplete && IsEachHallConfirmed(answers)
            : own.isCurrent || IsAnyCurrent(answers);
  const auto only = FindOnlyOrigin(own, answers);
  if (only && isConfirmed) {
    return { OriginEvidence::OnlyVersion, *only, true, {} };
  }
  verdict.isFinal &= own.isCurrent && (isComplete || !only);
  return verdict;
}

OriginBasis DescribeBasis(const OriginView& own,
                          absl::Span<const OriginAnswer> answers)
{
  OriginBasis basis;
  const auto add = [&basis](const std::vector<StreamOrigin>& possible) {
    for (const StreamOrigin& origin : possible) {
      if (std::find(basis.possible.begin(), basis.possible.end(), origin) ==
          basis.possible.end()) {
        basis.possible.push_back(origin);
      }
    }
  };
  add(own.possible);
  for (const OriginAnswer& answer : answers) {
    ++basis.asked;
    basis.answered += answer.hasAnswered ? 1 : 0;
    add(answer.view.possible);
  }
  return basis;
}

} // namespace wg
