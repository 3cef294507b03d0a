// SPDX-License-Identifier: Apache-2.0
#include "wgEnginePool.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>

#include <xxhash.h>

namespace wg {
namespace {

constexpr double FailureSeconds = 2.0;
/** Reading a shared part again is weighed above its time. */
constexpr double ReadAgainWeight = 2.5;
/** The first in rendezvous order is kept until it has so much to read: where
 * nothing is known of what engines hold, parts are looked for there.
 */
constexpr double RankSeconds = 0.15;
constexpr std::size_t RankedEngines = 3;
constexpr absl::Duration PrunePeriod = absl::Seconds(5);
constexpr std::size_t MostParts = 20000;
/** A box that has sent a prompt may end before it tells of its end. */
constexpr double ForgottenFactor = 3.0;
constexpr double ForgottenSeconds = 3.0;
/** What an answer takes besides reading: fetches, the first step. */
constexpr double BaseSeconds = 0.03;
/** After such a pause another box may have been asked. */
constexpr absl::Duration LongestPause = absl::Seconds(2);
constexpr absl::Duration EngineMemory = absl::Minutes(1);

PeerSpeeds PeersOf(absl::Span<EngineLoad* const> loads, Elapsed now)
{
  std::vector<const EndpointSpeed*> speeds;
  speeds.reserve(loads.size());
  std::transform(loads.begin(), loads.end(), std::back_inserter(speeds),
                 [](const EngineLoad* load) { return &load->speed; });
  return SummarizeSpeeds(speeds, now);
}

std::vector<EngineLoad*> LoadsOf(EnginePool& pool,
                                 absl::Span<DirectoryEndpoint* const> engines)
{
  std::vector<EngineLoad*> loads;
  loads.reserve(engines.size());
  std::transform(engines.begin(), engines.end(), std::back_inserter(loads),
                 [&pool](const DirectoryEndpoint* engine) {
                   return &pool.engines[engine->id];
                 });
  return loads;
}

std::vector<EngineLoad*> LoadsOf(EnginePool& pool)
{
  std::vector<EngineLoad*> loads;
  loads.reserve(pool.engines.size());
  std::transform(pool.engines.begin(), pool.engines.end(),
                 std::back_inserter(loads),
                 [](auto& engine) { return &engine.second; });
  return loads;
}

/** Ejecting more would leave the others with more than twice their work, and
 * a cause that most engines share is not a fault of one.
 */
bool AreMostFaulty(absl::Span<EngineLoad* const> loads)
{
  const auto faulty =
    std::count_if(loads.begin(), loads.end(),
                  [](const EngineLoad* load) { return load->speed.isFaulty; });
  return 2 * static_cast<std::size_t>(faulty) > loads.size();
}

/** Seconds until it has read what it was sent if it held no part. */
double WholeBacklogSeconds(const EngineLoad& load)
{
  return std::accumulate(load.reads.begin(), load.reads.end(), 0.0,
                         [](double sum, const EngineRead& read) {
                           return sum + read.wholeSeconds;
                         });
}

bool Holds(const EnginePool& pool, std::uint64_t path,
           const std::string& engine, Elapsed now)
{
  auto found = pool.holders.find(path);
  return found != pool.holders.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&engine, now](const PartHolder& holder) {
                       return holder.engine == engine &&
                              now - holder.used < PartsHeldFor;
                     });
}

bool IsHeld(const EnginePool& pool, std::uint64_t path, Elapsed now)
{
  auto found = pool.holders.find(path);
  return found != pool.holders.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [now](const PartHolder& holder) {
                       return now - holder.used < PartsHeldFor;
                     });
}

/** What an engine would read of a prompt, in tokens. */
struct TokensToRead
{
  double all = 0.0;
  double again = 0.0; // of these, what another engine holds
};

TokensToRead CountTokens(const EnginePool& pool, const EngineQuery& query,
                         absl::Span<const std::uint64_t> paths,
                         const std::string& engine, bool isFirst)
{
  const Elapsed now = query.choice.now;
  const bool guesses = isFirst && now < pool.guessUntil;
  TokensToRead tokens;
  double named = 0.0;
  bool holds = true;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    const auto size = static_cast<double>(query.prompt.parts[i].tokens);
    named += size;
    const bool known = IsHeld(pool, paths[i], now);
    const bool guessed = guesses && !known && i + 1 < paths.size();
    holds = holds && (guessed || Holds(pool, paths[i], engine, now));
    if (!holds) {
      tokens.all += size;
      tokens.again += known ? size : 0.0;
    }
  }
  const auto asked = static_cast<double>(query.prompt.tokensIn);
  tokens.all += std::max(0.0, asked - named);
  return tokens;
}

void NoteHolderOf(EnginePool& pool, std::uint64_t path,
                  const std::string& engine, Elapsed when)
{
  auto& holders = pool.holders[path];
  auto known = std::find_if(
    holders.begin(), holders.end(),
    [&engine](const PartHolder& holder) { return holder.engine == engine; });
  if (known == holders.end()) {
    holders.push_back({ engine, when });
  } else {
    known->used = std::max(known->used, when);
  }
}

void ForgetOldParts(EnginePool& pool, Elapsed now)
{
  if (now - pool.pruned < PrunePeriod && pool.holders.size() < MostParts) {
    return;
  }
  pool.pruned = now;
  for (auto part = pool.holders.begin(); part != pool.holders.end();) {
    auto& holders = part->second;
    holders.erase(std::remove_if(holders.begin(), holders.end(),
                                 [now](const PartHolder& holder) {
                                   return now - holder.used >= PartsHeldFor;
                                 }),
                  holders.end());
    part = holders.empty() ? pool.holders.erase(part) : std::next(part);
  }
  if (pool.holders.size() >= MostParts) {
    pool.holders.clear();
  }
}

/** How long a read took by its usual time. What it takes besides reading is no
 * matter of the engine's speed, and a read that is shorter than that shows
 * nothing of it.
 */
std::optional<SpeedSample> SampleOf(const EngineRead& read, double tookSeconds)
{
  const double expected = read.waitSeconds + read.seconds;
  if (tookSeconds <= 0.0 || expected < BaseSeconds) {
    return std::nullopt;
  }
  const double spent = std::max(tookSeconds - BaseSeconds, 0.0);
  SpeedSample sample;
  sample.factor = read.factor * spent / expected;
  const double whole = read.wholeWaitSeconds + read.wholeSeconds;
  sample.minFactor = read.factor * spent / std::max(whole, expected);
  return sample;
}

void RemoveRead(EngineLoad& load, std::vector<EngineRead>::iterator read,
                Elapsed now)
{
  if (read == load.reads.begin()) {
    load.headFrom = now;
  }
  load.reads.erase(read);
}

void ForgetOldReads(EngineLoad& load, Elapsed now)
{
  const auto isOld = [now](const EngineRead& read) {
    const double expected = read.waitSeconds + read.seconds;
    return absl::ToDoubleSeconds(now - read.sent) >
           ForgottenFactor * expected + ForgottenSeconds;
  };
  for (auto read = load.reads.begin(); read != load.reads.end();) {
    if (isOld(*read)) {
      const auto at = read - load.reads.begin();
      RemoveRead(load, read, now);
      read = load.reads.begin() + at;
    } else {
      ++read;
    }
  }
}

bool IsUnsent(const EngineLoad& load, Elapsed now)
{
  return load.sends.times.empty() ||
         now - load.sends.times.back() >= RateWindow;
}

/** One that is avoided for a while keeps what is known of it. */
void ForgetOldEngines(EnginePool& pool, Elapsed now)
{
  for (auto engine = pool.engines.begin(); engine != pool.engines.end();) {
    const EngineLoad& load = engine->second;
    const bool isMeasured =
      load.speed.samples > 0.0 && now - load.speed.noted <= SpeedMemory;
    const bool isOld = load.reads.empty() && !isMeasured &&
                       now - load.failures.noted > EngineMemory &&
                       IsUnsent(load, now);
    engine = isOld ? pool.engines.erase(engine) : std::next(engine);
  }
}

/** Whether the engine bears one more prompt now, be it cold or not. */
bool BearsMore(const EnginePool& pool, EngineLoad& load,
               const DirectoryEndpoint& engine, const EngineQuery& query)
{
  if (query.cold.perSecond <= 0.0) {
    return true;
  }
  const Elapsed now = query.choice.now;
  const SendRates rates = RatesOf(query.cold);
  if (!IsCold(engine, now)) {
    return IsWithinRate(load.sends, rates.toOthers, now);
  }
  return now - pool.begun >= RateWindow &&
         IsWithinRate(load.sends, rates.toCold, now);
}

/** A placement and what it was chosen by. */
struct Expected
{
  EnginePlacement placement;
  double finish = std::numeric_limits<double>::infinity();
  double factor = 1.0; // of the engine's speed
  double wholeSeconds = 0.0;
};

/** What an engine's place in rendezvous order adds, in seconds. Only the first
 * few places differ, so that the engines need not be sorted.
 */
std::vector<double> RankedSeconds(absl::Span<DirectoryEndpoint* const> engines,
                                  const PromptShape& prompt)
{
  std::vector<double> seconds(engines.size(), 0.0);
  if (prompt.parts.empty()) {
    return seconds;
  }
  const std::string& key = DeepestSharedPart(prompt).id;
  std::vector<std::uint64_t> weights;
  weights.reserve(engines.size());
  for (const DirectoryEndpoint* engine : engines) {
    weights.push_back(RendezvousWeight(key, engine->id));
  }
  std::array<std::uint64_t, RankedEngines> largest{};
  std::partial_sort_copy(weights.begin(), weights.end(), largest.begin(),
                         largest.end(), std::greater<>());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const auto rank = std::count_if(
      largest.begin(), largest.end(),
      [own = weights[i]](std::uint64_t weight) { return weight > own; });
    seconds[i] = static_cast<double>(rank) * RankSeconds;
  }
  return seconds;
}

} // namespace

std::vector<std::uint64_t> HashPaths(const PromptShape& prompt)
{
  std::vector<std::uint64_t> paths;
  std::uint64_t path = 0;
  for (const PromptPart& part : prompt.parts) {
    path = XXH64(part.id.data(), part.id.size(), path);
    paths.push_back(path);
  }
  return paths;
}

void BeginToChoose(EnginePool& pool, Elapsed now)
{
  pool.begun = now;
}

bool MissesNews(const EnginePool& pool, Elapsed now)
{
  return now - pool.placed > LongestPause;
}

void NoteHolder(EnginePool& pool, absl::Span<const std::uint64_t> paths,
                const std::string& engine, Elapsed when)
{
  for (const std::uint64_t path : paths) {
    NoteHolderOf(pool, path, engine, when);
  }
}

/** One that is late is taken to last as long again as it is late. */
double BacklogSeconds(const EngineLoad& load, Elapsed now)
{
  if (load.reads.empty()) {
    return 0.0;
  }
  const double head = load.reads.front().seconds;
  const double others = std::accumulate(
    load.reads.begin() + 1, load.reads.end(), 0.0,
    [](double sum, const EngineRead& read) { return sum + read.seconds; });
  const double done = absl::ToDoubleSeconds(now - load.headFrom);
  return std::abs(head - done) + others;
}

EnginePlacement PlacePrompt(EnginePool& pool,
                            absl::Span<DirectoryEndpoint* const> engines,
                            const EngineQuery& query)
{
  const Elapsed now = query.choice.now;
  pool.placed = now;
  ForgetOldParts(pool, now);
  ForgetOldEngines(pool, now);
  const std::vector<std::uint64_t> paths = HashPaths(query.prompt);
  const std::vector<double> ranked = RankedSeconds(engines, query.prompt);
  const auto& avoid = query.choice.avoid;
  const std::vector<EngineLoad*> loads = LoadsOf(pool, engines);
  const PeerSpeeds peers = PeersOf(loads, now);
  const bool areMostFaulty = AreMostFaulty(loads);
  Expected best;
  Expected bestEjected;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    DirectoryEndpoint* engine = engines[i];
    if (std::find(avoid.begin(), avoid.end(), engine->id) != avoid.end()) {
      continue;
    }
    EngineLoad& load = *loads[i];
    ForgetOldReads(load, now);
    if (!BearsMore(pool, load, *engine, query)) {
      continue;
    }
    const TokensToRead tokens =
      CountTokens(pool, query, paths, engine->id, ranked[i] == 0.0);
    const double factor = ExpectedSlowdown(load.speed, peers, now);
    const double perToken = query.speed.secondsPerToken * factor;
    const double wait = BacklogSeconds(load, now);
    const double read = tokens.all * perToken;
    const bool isNear = engine->hall == query.choice.hall;
    const double finish =
      wait + read + (ReadAgainWeight - 1.0) * tokens.again * perToken +
      (ShareNow(engine->failures, now) + ShareNow(load.failures, now)) *
        FailureSeconds +
      (isNear ? 0.0 : query.choice.otherHallSeconds) + ranked[i];
    const bool isEjected =
      !areMostFaulty && IsEjected(load.speed, load.reads.size(), now);
    Expected& soonest = isEjected ? bestEjected : best;
    if (finish < soonest.finish) {
      // What it holds is certain by what it was sent, and else a guess.
      const double whole =
        now < pool.guessUntil
          ? static_cast<double>(query.prompt.tokensIn) * perToken
          : read;
      soonest = { { engine, read, wait, load.speed.isFaulty },
                  finish,
                  factor,
                  std::max(whole, read) };
    }
  }
  if (best.placement.endpoint == nullptr) {
    best = bestEjected;
  }
  if (best.placement.endpoint == nullptr) {
    return best.placement;
  }
  EngineLoad& load = pool.engines[best.placement.endpoint->id];
  if (load.reads.empty()) {
    load.headFrom = now;
  }
  if (query.cold.perSecond > 0.0) {
    load.sends.times.push_back(now);
  }
  load.reads.push_back({ query.key, best.placement.prefillSeconds,
                         best.placement.waitSeconds, now, best.factor,
                         best.wholeSeconds, WholeBacklogSeconds(load) });
  NoteHolder(pool, paths, best.placement.endpoint->id, now);
  return best.placement;
}

std::optional<EngineJudgement> EndRead(EnginePool& pool,
                                       const EngineReadKey& key,
                                       const EngineReadResult& result,
                                       Elapsed now)
{
  for (auto& [id, load] : pool.engines) {
    auto read = std::find_if(
      load.reads.begin(), load.reads.end(),
      [&key](const EngineRead& candidate) { return candidate.key == key; });
    if (read == load.reads.end()) {
      continue;
    }
    NoteOutcome(load.failures, result.failed, now);
    const std::optional<SpeedSample> sample =
      SampleOf(*read, result.tookSeconds);
    RemoveRead(load, read, now);
    if (!sample) {
      NoteWorkWithoutSample(load.speed, now);
      return std::nullopt;
    }
    const PeerSpeeds peers = PeersOf(LoadsOf(pool), now);
    const double lasting = LastingSlowdown(load.speed, peers).factor;
    const SpeedChange change = NoteSpeed(load.speed, peers, *sample, now);
    if (change == SpeedChange::None) {
      return std::nullopt;
    }
    return EngineJudgement{ id, change == SpeedChange::Faulty, lasting,
                            sample->factor };
  }
  return std::nullopt;
}

} // namespace wg
