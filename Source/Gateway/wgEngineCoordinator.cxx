// SPDX-License-Identifier: Apache-2.0
#include "wgEngineCoordinator.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace wg {
namespace {

constexpr double MicrosInSecond = 1e6;
constexpr double MsInSecond = 1e3;
constexpr int MostTold = 4000;

EngineQuery ReadQuery(const wire::EngineAsk& ask,
                      const std::vector<std::string>& avoid, Elapsed now)
{
  EngineQuery query;
  query.key = { ask.box(), ask.read() };
  query.prompt.tokensIn = ask.tokens_in();
  for (const wire::PromptPartSize& part : ask.parts()) {
    query.prompt.parts.push_back({ part.id(), part.tokens() });
  }
  query.choice.now = now;
  query.choice.hall = ask.hall();
  query.choice.otherHallSeconds =
    static_cast<double>(ask.other_hall_us()) / MicrosInSecond;
  query.choice.avoid = avoid;
  return query;
}

} // namespace

EngineCoordinator::EngineCoordinator(Directory& directory,
                                     SendPermits& permits, bool isRestarted,
                                     GatewayMetrics& metrics, DecisionLog& log)
  : directory_(directory)
  , permits_(permits)
  , guessUntil_(isRestarted ? ElapsedNow() + PartsHeldFor : Elapsed())
  , metrics_(metrics)
  , log_(log)
{
}

ColdBounds EngineCoordinator::ColdBoundsOf(const std::string& service) const
{
  ColdBounds bounds = coldBounds_;
  bounds.perSecond = table_ == nullptr ? 0.0 : ColdRateOf(*table_, service);
  return bounds;
}

/** \return how long until the first of them may be sent a request */
absl::Duration EngineCoordinator::LeaveOutLimited(
  std::vector<DirectoryEndpoint*>& engines, const StagePoolKey& pool)
{
  absl::Duration soonest = absl::InfiniteDuration();
  engines.erase(
    std::remove_if(engines.begin(), engines.end(),
                   [&](const DirectoryEndpoint* engine) {
                     const absl::Duration wait =
                       permits_.TimeUntilRoom(*engine, pool);
                     const bool isUsedUp = wait > absl::ZeroDuration();
                     soonest = isUsedUp ? std::min(soonest, wait) : soonest;
                     return isUsedUp;
                   }),
    engines.end());
  return soonest == absl::InfiniteDuration() ? absl::ZeroDuration() : soonest;
}

wire::EngineAnswer EngineCoordinator::Place(const wire::EngineAsk& ask)
{
  const Elapsed now = ElapsedNow();
  const StagePoolKey key{ ask.service(), ask.pool_hall() };
  const std::vector<std::string> avoid(ask.avoid().begin(), ask.avoid().end());
  EngineQuery query = ReadQuery(ask, avoid, now);
  query.speed = speed_;
  query.cold = ColdBoundsOf(key.service);
  EnginePool& pool = pools_[key];
  if (MissesNews(pool, now)) {
    BeginToChoose(pool, now);
    if (begin_) {
      begin_(key);
    }
  }
  pool.guessUntil = guessUntil_;
  const VersionBound bound =
    ask.version().empty() ? VersionBound() : VersionBound(ask.version());
  std::vector<DirectoryEndpoint*> engines = SoundEndpoints(
    directory_, key.service, now, Sender::AnyBox, key.hall, bound);
  if (!bound) {
    engines = OfWantedVersion(directory_, key.service, std::move(engines),
                              ask.wants_version());
  }
  const absl::Duration limited = LeaveOutLimited(engines, key);
  const EnginePlacement placed = PlacePrompt(pool, engines, query);
  metrics_.Count("engines_asked");
  if (placed.isProbe) {
    metrics_.Count("engine_probes");
  }
  wire::EngineAnswer answer;
  answer.set_limited_ms(absl::ToInt64Milliseconds(limited));
  if (placed.endpoint == nullptr) {
    return answer;
  }
  answer.set_grant(permits_.TakeFor(*placed.endpoint, key, ask.box()));
  answer.set_counted(NeedsPermit(directory_, *placed.endpoint, now));
  answer.set_endpoint(placed.endpoint->id);
  answer.set_read_us(
    static_cast<std::int64_t>(placed.prefillSeconds * MicrosInSecond));
  answer.set_wait_us(
    static_cast<std::int64_t>(placed.waitSeconds * MicrosInSecond));
  log_.Write(LogWeight::Routine, "engine_chosen",
             { { "request", ask.request() },
               { "asked_by", ask.box() },
               { "endpoint", placed.endpoint->id },
               { "tokens", ask.tokens_in() },
               { "read_ms", placed.prefillSeconds * MsInSecond },
               { "wait_ms", placed.waitSeconds * MsInSecond } });
  return answer;
}

void EngineCoordinator::Learn(const StagePoolKey& key,
                              const wire::EnginePrompts& prompts)
{
  const Elapsed now = ElapsedNow();
  EnginePool& pool = pools_[key];
  guessUntil_ =
    std::min(guessUntil_, now + absl::Milliseconds(prompts.guess_ms()));
  for (const wire::EnginePrompt& prompt : prompts.prompts()) {
    const std::vector<std::uint64_t> paths(prompt.paths().begin(),
                                           prompt.paths().end());
    NoteHolder(pool, paths, prompt.endpoint(),
               now - absl::Milliseconds(prompt.age_ms()));
  }
  metrics_.Count("engine_prompts_learned",
                 static_cast<std::uint64_t>(prompts.prompts_size()));
}

void EngineCoordinator::AddKnown(const StagePoolKey& key,
                                 wire::EnginePrompts& prompts) const
{
  const Elapsed now = ElapsedNow();
  const absl::Duration guesses =
    std::max(guessUntil_ - now, absl::ZeroDuration());
  prompts.set_guess_ms(absl::ToInt64Milliseconds(guesses));
  auto pool = pools_.find(key);
  if (pool == pools_.end()) {
    return;
  }
  for (const auto& [path, holders] : pool->second.holders) {
    for (const PartHolder& holder : holders) {
      if (prompts.prompts_size() >= MostTold) {
        return;
      }
      wire::EnginePrompt& prompt = *prompts.add_prompts();
      prompt.set_endpoint(holder.engine);
      prompt.add_paths(path);
      prompt.set_age_ms(absl::ToInt64Milliseconds(now - holder.used));
    }
  }
}

void EngineCoordinator::End(const wire::EngineReadEnd& end)
{
  const StagePoolKey key{ end.service(), end.pool_hall() };
  const EngineReadResult result{
    static_cast<double>(end.took_us()) / MicrosInSecond, end.failed()
  };
  const auto judged =
    EndRead(pools_[key], { end.box(), end.read() }, result, ElapsedNow());
  if (judged) {
    LogJudgement(key, *judged);
  }
}

void EngineCoordinator::LogJudgement(const StagePoolKey& key,
                                     const EngineJudgement& judged)
{
  metrics_.Count(judged.isFaulty ? "engines_judged_faulty"
                                 : "engines_judged_sound");
  log_.Write(LogWeight::Notable,
             judged.isFaulty ? "engine_faulty" : "engine_sound",
             { { "endpoint", judged.engine },
               { "service", key.service },
               { "hall", key.hall },
               { "took_factor", judged.tookFactor },
               { "lasting_factor", judged.lasting } });
}

} // namespace wg
