// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointChoice.h"

#include <algorithm>
#include <limits>

#include <xxhash.h>

#include "absl/random/distributions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include "wgHttpMessage.h"

namespace wg {
namespace {

/** What a failure share of one is taken to cost, in seconds. */
constexpr double FailureSeconds = 2.0;
/** Reading a shared part again is weighed above its time. */
constexpr double ReadAgainWeight = 2.5;
/** What each stream beside it adds to the time of an answer's pieces. */
constexpr double StreamSeconds = 0.004;
/** Keeps prompts together that would otherwise be spread by chance. */
constexpr double RankSeconds = 0.004;
constexpr std::size_t RankedEngines = 3;

bool IsAvoided(const DirectoryEndpoint& endpoint, const ChoiceQuery& query)
{
  return std::find(query.avoid.begin(), query.avoid.end(), endpoint.id) !=
         query.avoid.end();
}

std::int64_t SharedTokens(const PromptShape& prompt)
{
  std::int64_t shared = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    shared += prompt.parts[i].tokens;
  }
  return shared;
}

/** The engines in the order in which they are likely to hold the prompt. */
std::vector<DirectoryEndpoint*> RankEngines(
  absl::Span<DirectoryEndpoint* const> endpoints, const PromptShape& prompt)
{
  std::vector<DirectoryEndpoint*> ranked(endpoints.begin(), endpoints.end());
  if (prompt.parts.empty()) {
    return ranked;
  }
  const std::string& key = DeepestSharedPart(prompt).id;
  std::vector<std::pair<std::uint64_t, DirectoryEndpoint*>> weighed;
  weighed.reserve(ranked.size());
  for (DirectoryEndpoint* endpoint : ranked) {
    weighed.emplace_back(RendezvousWeight(key, endpoint->id), endpoint);
  }
  std::sort(weighed.begin(), weighed.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::transform(weighed.begin(), weighed.end(), ranked.begin(),
                 [](const auto& pair) { return pair.second; });
  return ranked;
}

} // namespace

const PromptPart& DeepestSharedPart(const PromptShape& prompt)
{
  const std::size_t count = prompt.parts.size();
  return prompt.parts[count > 1 ? count - 2 : 0];
}

std::uint64_t RendezvousWeight(absl::string_view key, absl::string_view name)
{
  const XXH64_hash_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(name.data(), name.size(), seed);
}

std::vector<PromptPart> ParsePromptParts(absl::string_view text)
{
  std::vector<PromptPart> parts;
  if (!IsAscii(text)) { // boxes tell each other of them
    return parts;
  }
  for (absl::string_view piece :
       absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> pair =
      absl::StrSplit(absl::StripAsciiWhitespace(piece),
                     absl::MaxSplits(':', 1));
    PromptPart part{ std::string(pair.first), 0 };
    if (absl::SimpleAtoi(pair.second, &part.tokens)) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

DirectoryEndpoint* ChoosePlain(absl::Span<DirectoryEndpoint* const> endpoints,
                               const ChoiceQuery& query,
                               absl::BitGenRef random)
{
  DirectoryEndpoint* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (DirectoryEndpoint* endpoint : endpoints) {
    if (IsAvoided(*endpoint, query)) {
      continue;
    }
    const double load =
      static_cast<double>(endpoint->running) / endpoint->slots +
      (endpoint->hall == query.hall ? 0.0 : query.otherHallSeconds) +
      ShareNow(endpoint->failures, query.now) * FailureSeconds +
      absl::Uniform<double>(random, 0.0, query.otherHallSeconds / 2);
    if (load < least) {
      least = load;
      best = endpoint;
    }
  }
  return best;
}

EngineChoice ChooseEngine(absl::Span<DirectoryEndpoint* const> endpoints,
                          const PromptShape& prompt, const EngineSpeed& speed,
                          const ChoiceQuery& query)
{
  const std::vector<DirectoryEndpoint*> ranked =
    RankEngines(endpoints, prompt);
  const double sharedSeconds =
    static_cast<double>(SharedTokens(prompt)) * speed.secondsPerToken;
  const double promptSeconds =
    static_cast<double>(prompt.tokensIn) * speed.secondsPerToken;
  EngineChoice best;
  double soonest = std::numeric_limits<double>::infinity();
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    DirectoryEndpoint& engine = *ranked[rank];
    if (IsAvoided(engine, query)) {
      continue;
    }
    const bool likelyHeld = rank == 0;
    const double read = promptSeconds - (likelyHeld ? sharedSeconds : 0.0);
    const double again =
      likelyHeld ? 0.0 : (ReadAgainWeight - 1.0) * sharedSeconds;
    const double finish =
      engine.pendingSeconds + read + again + engine.running * StreamSeconds +
      ShareNow(engine.failures, query.now) * FailureSeconds +
      (engine.hall == query.hall ? 0.0 : query.otherHallSeconds) +
      static_cast<double>(std::min(rank, RankedEngines)) * RankSeconds;
    if (finish < soonest) {
      soonest = finish;
      best = { &engine, std::max(read, 0.0) };
    }
  }
  return best;
}

} // namespace wg
