// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgEnginePool.h"

namespace {

constexpr wg::Elapsed Now = absl::Seconds(100);
constexpr double PerToken = wg::EngineSpeed{}.secondsPerToken;

/** Engines e0, e1, ... in one hall. */
struct Engines
{
  explicit Engines(int count)
  {
    for (int i = 0; i < count; ++i) {
      wg::wire::Registration news;
      news.set_endpoint(absl::StrCat("e", i));
      news.set_service("svc");
      news.set_address(absl::StrCat("10.0.0.", i + 1, ":80"));
      news.set_hall("h");
      news.set_sequence(1);
      news.set_state(wg::wire::Registration::READY);
      wg::MergeRegistration(directory, news, Now);
    }
    all = wg::ServingEndpoints(directory, "svc");
  }
  wg::Directory directory;
  std::vector<wg::DirectoryEndpoint*> all;
};

/** A prompt of a shared part and one of its own. */
wg::EngineQuery Ask(std::uint64_t read, const std::string& shared,
                    wg::Elapsed now = Now)
{
  wg::EngineQuery query;
  query.key = { "box", read };
  query.prompt.parts = { { shared, 12000 },
                         { absl::StrCat("own", read), 3000 } };
  query.prompt.tokensIn = 15000;
  query.choice.now = now;
  query.choice.hall = "h";
  return query;
}

TEST_CASE("Prompts of several boxes do not wait for each other")
{
  Engines engines(6);
  wg::EnginePool pool;
  int boxes = 0;
  int atFirst = 0;
  double longest = 0.0;
  for (std::uint64_t i = 0; boxes < 5; ++i) {
    wg::EngineQuery query = Ask(1, absl::StrCat("p", i));
    const auto alone =
      wg::ChooseEngine(engines.all, query.prompt, query.speed, query.choice);
    if (alone.endpoint->id != "e0") {
      continue; // only such parts for which each box alone takes this one
    }
    query.key.first = absl::StrCat("box", boxes++);
    const auto placed = wg::PlacePrompt(pool, engines.all, query);
    atFirst += placed.endpoint->id == "e0" ? 1 : 0;
    longest = std::max(longest, placed.waitSeconds);
  }
  CHECK(atFirst <= 3);
  CHECK(longest <= 2 * 15000 * PerToken); // alone the last waits for four
}

TEST_CASE("A part goes to the engine that has read it")
{
  Engines engines(6);
  wg::EnginePool pool;
  const auto first = wg::PlacePrompt(pool, engines.all, Ask(1, "p"));
  CHECK(first.prefillSeconds == Approx(15000 * PerToken));
  const wg::Elapsed later = Now + absl::Milliseconds(400);
  wg::EndRead(pool, { "box", 1 }, { 0.3, false }, later);
  const auto second = wg::PlacePrompt(pool, engines.all, Ask(2, "p", later));
  CHECK(second.endpoint == first.endpoint);
  CHECK(second.prefillSeconds < 3500 * PerToken);
  SECTION("unless it is busy for longer than reading it anew is worth")
  {
    std::set<std::string> taken;
    double longest = 0.0;
    for (std::uint64_t i = 3; i < 30; ++i) {
      const auto next = wg::PlacePrompt(pool, engines.all, Ask(i, "p", later));
      taken.insert(next.endpoint->id);
      longest = std::max(longest, next.waitSeconds);
    }
    CHECK(taken.size() > 1);
    // Reading anew, as it is weighed, and the order; 27 are 1.3 s at one.
    CHECK(longest < 1.0);
  }
  SECTION("for as long as it is likely to hold it")
  {
    const wg::Elapsed muchLater = later + wg::PartsHeldFor;
    const auto third =
      wg::PlacePrompt(pool, engines.all, Ask(3, "p", muchLater));
    CHECK(third.prefillSeconds > 12000 * PerToken);
  }
}

TEST_CASE("A part below another one is not the same part")
{
  const wg::PromptShape one{ { { "a", 1 }, { "b", 1 } }, 2, 0 };
  const wg::PromptShape other{ { { "c", 1 }, { "b", 1 } }, 2, 0 };
  const auto onePaths = wg::HashPaths(one);
  const auto otherPaths = wg::HashPaths(other);
  REQUIRE(onePaths.size() == 2);
  CHECK(onePaths[1] != otherPaths[1]);
  CHECK(wg::HashPaths(one) == onePaths);
}

TEST_CASE("What an engine has to read shrinks with time and with ends")
{
  Engines engines(1);
  wg::EnginePool pool;
  wg::PlacePrompt(pool, engines.all, Ask(1, "p"));
  wg::PlacePrompt(pool, engines.all, Ask(2, "q"));
  const wg::EngineLoad& load = pool.engines["e0"];
  const double each = 15000 * PerToken;
  CHECK(wg::BacklogSeconds(load, Now) == Approx(2 * each));
  const wg::Elapsed half = Now + absl::Seconds(each / 2);
  CHECK(wg::BacklogSeconds(load, half) == Approx(1.5 * each));
  SECTION("the first is read")
  {
    wg::EndRead(pool, { "box", 1 }, { each, false }, half);
    CHECK(wg::BacklogSeconds(load, half) == Approx(each));
  }
  SECTION("one that is late is taken to last as long again")
  {
    const wg::Elapsed late = Now + absl::Seconds(3 * each);
    CHECK(wg::BacklogSeconds(load, late) == Approx(2 * each + each));
  }
  SECTION("a box that ended never tells of its prompts' ends")
  {
    const wg::Elapsed muchLater = Now + absl::Seconds(20);
    const auto next =
      wg::PlacePrompt(pool, engines.all, Ask(3, "r", muchLater));
    CHECK(next.waitSeconds == 0.0);
    CHECK(pool.engines["e0"].reads.size() == 1);
  }
}

TEST_CASE("Failures and slowness that any box has met keep prompts away")
{
  Engines engines(4);
  wg::EnginePool pool;
  const std::string bad =
    wg::PlacePrompt(pool, engines.all, Ask(1, "p")).endpoint->id;
  SECTION("failures")
  {
    for (std::uint64_t i = 1; i < 4; ++i) {
      wg::EndRead(pool, { "box", i }, { 0.0, true }, Now);
      wg::PlacePrompt(pool, engines.all, Ask(i + 1, "p"));
    }
    CHECK(wg::PlacePrompt(pool, engines.all, Ask(9, "p")).endpoint->id != bad);
  }
  SECTION("slowness")
  {
    wg::EndRead(pool, { "box", 1 }, { 2.5, false }, Now);
    // A part that is held nowhere.
    wg::EngineQuery query = Ask(2, "p");
    query.prompt.parts[0].id = "q";
    query.prompt.parts[0].tokens = 60000;
    query.prompt.tokensIn = 63000;
    CHECK(wg::PlacePrompt(pool, engines.all, query).endpoint->id != bad);
  }
  SECTION("an attempt that failed at one")
  {
    const std::vector<std::string> tried = { bad };
    wg::EngineQuery query = Ask(2, "p");
    query.choice.avoid = tried;
    CHECK(wg::PlacePrompt(pool, engines.all, query).endpoint->id != bad);
  }
}

TEST_CASE("Old news of a part does not make it older")
{
  Engines engines(6);
  wg::EnginePool pool;
  const wg::EngineQuery query = Ask(1, "p", Now + absl::Seconds(25));
  const auto paths = wg::HashPaths(query.prompt);
  wg::NoteHolder(pool, paths, "e2", Now + absl::Seconds(20));
  wg::NoteHolder(pool, paths, "e2", Now - absl::Seconds(20));
  const auto placed = wg::PlacePrompt(pool, engines.all, query);
  CHECK(placed.endpoint->id == "e2");
  CHECK(placed.prefillSeconds == 0.0);
}

TEST_CASE("What an engine failed is known when it is chosen from again")
{
  Engines engines(4);
  wg::EnginePool pool;
  const auto first = wg::PlacePrompt(pool, engines.all, Ask(1, "p"));
  const std::string bad = first.endpoint->id;
  wg::EndRead(pool, { "box", 1 }, { 0.0, true }, Now);
  std::vector<wg::DirectoryEndpoint*> others;
  std::copy_if(engines.all.begin(), engines.all.end(),
               std::back_inserter(others),
               [&bad](const auto* engine) { return engine->id != bad; });
  wg::PlacePrompt(pool, others, Ask(2, "q"));
  CHECK(wg::ShareNow(pool.engines[bad].failures, Now) > 0.1);
  // Not for ever: engines come and go.
  wg::PlacePrompt(pool, others, Ask(3, "q", Now + absl::Minutes(2)));
  CHECK(pool.engines.count(bad) == 0);
}

TEST_CASE("No engine is chosen where there is none")
{
  wg::EnginePool pool;
  CHECK(wg::PlacePrompt(pool, {}, Ask(1, "p")).endpoint == nullptr);
}

TEST_CASE("After a restart of all, parts go where they would go alone")
{
  Engines engines(6);
  wg::EnginePool pool;
  pool.guessUntil = Now + absl::Seconds(1);
  wg::EngineQuery query = Ask(1, "p");
  const auto alone =
    wg::ChooseEngine(engines.all, query.prompt, query.speed, query.choice);
  const auto guessed = wg::PlacePrompt(pool, engines.all, query);
  CHECK(guessed.endpoint == alone.endpoint);
  CHECK(guessed.prefillSeconds == Approx(3000 * PerToken));
  SECTION("but not where it is known to lie elsewhere")
  {
    const std::string other = alone.endpoint->id == "e0" ? "e1" : "e0";
    wg::EnginePool knowing;
    knowing.guessUntil = pool.guessUntil;
    const auto paths = wg::HashPaths(query.prompt);
    wg::NoteHolder(knowing, absl::MakeSpan(paths).first(1), other, Now);
    CHECK(wg::PlacePrompt(knowing, engines.all, query).endpoint->id == other);
  }
}

/** Engines that read one prompt after the other; boxes that choose. */
struct Readings
{
  double meanWait = 0.0; // seconds
  double readTokens = 0.0;
};

/** \param together whether one box chooses for all */
Readings Play(bool together, std::uint64_t seed)
{
  constexpr int boxes = 8;
  constexpr int prompts = 1500;
  constexpr double perSecond = 60.0;
  Engines engines(12);
  wg::EnginePool shared;
  std::vector<Engines> own;
  for (int i = 0; i < boxes; ++i) {
    own.emplace_back(12);
  }
  struct Pending
  {
    double end;
    wg::EngineReadKey key;
    int box;
    std::string engine;
    double estimate;
    double began;
  };
  std::vector<Pending> pending;
  std::map<std::string, double> freeAt;
  std::map<std::string, std::map<std::string, bool>> holds;
  std::mt19937_64 random(seed);
  Readings result;
  double now = 100.0;
  for (std::uint64_t i = 0; i < prompts; ++i) {
    now += std::exponential_distribution<double>(perSecond)(random);
    for (auto p = pending.begin(); p != pending.end();) {
      if (p->end > now) {
        ++p;
        continue;
      }
      wg::EndRead(shared, p->key, { p->end - p->began, false },
                  absl::Seconds(p->end));
      wg::FindEndpoint(own[p->box].directory, p->engine)->pendingSeconds -=
        p->estimate;
      p = pending.erase(p);
    }
    const int box = std::uniform_int_distribution<int>(0, boxes - 1)(random);
    const int part = std::uniform_int_distribution<int>(0, 200)(random);
    wg::EngineQuery query =
      Ask(i, absl::StrCat("p", part), absl::Seconds(now));
    wg::DirectoryEndpoint* engine = nullptr;
    double estimate = 0.0;
    if (together) {
      engine = wg::PlacePrompt(shared, engines.all, query).endpoint;
    } else {
      const auto choice = wg::ChooseEngine(own[box].all, query.prompt,
                                           query.speed, query.choice);
      engine = choice.endpoint;
      estimate = choice.prefillSeconds;
      engine->pendingSeconds += estimate;
    }
    bool& held = holds[engine->id][query.prompt.parts[0].id];
    const double tokens = held ? 3000 : 15000;
    held = true;
    const double end = std::max(now, freeAt[engine->id]) + tokens * PerToken;
    freeAt[engine->id] = end;
    pending.push_back({ end, query.key, box, engine->id, estimate, now });
    result.meanWait += (end - now - tokens * PerToken) / prompts;
    result.readTokens += tokens;
  }
  return result;
}

TEST_CASE("Prompts wait shorter where one box chooses for all")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    const Readings alone = Play(false, seed);
    const Readings together = Play(true, seed);
    CAPTURE(seed, alone.meanWait, together.meanWait, alone.readTokens,
            together.readTokens);
    CHECK(together.meanWait < 0.6 * alone.meanWait);
    CHECK(together.readTokens < 1.2 * alone.readTokens);
  }
}

} // namespace

TEST_CASE("An engine is sent no more than it bears while it may be cold")
{
  // Bounds of a site in use: 9.1 * 1.5 + 5 = 18.65 in any second, of all
  // boxes. Two boxes may each believe that they choose.
  wg::Directory directory;
  for (const char* name : { "cold", "warm" }) {
    wg::wire::Registration news;
    news.set_endpoint(name);
    news.set_service("svc");
    news.set_hall("h");
    news.set_sequence(1);
    news.set_state(wg::wire::Registration::READY);
    news.set_warmup_ms(name == std::string("cold") ? 60000 : 0);
    wg::MergeRegistration(directory, news, absl::Seconds(1));
  }
  std::vector<wg::DirectoryEndpoint*> engines =
    wg::ServingEndpoints(directory, "svc");
  wg::EnginePool pool;
  std::map<std::string, int> sent;
  int passedOver = 0;
  for (int i = 0; i < 100; ++i) { // 100 prompts in 0.8 s
    wg::EngineQuery query;
    query.key = { "box", static_cast<std::uint64_t>(i) };
    query.prompt.tokensIn = 100;
    query.choice.now = absl::Seconds(10) + absl::Milliseconds(8 * i);
    query.cold = { 9.1, 1.5, 5.0 };
    const auto placed = wg::PlacePrompt(pool, engines, query);
    if (placed.endpoint == nullptr) {
      ++passedOver;
    } else {
      ++sent[placed.endpoint->id];
    }
  }
  CHECK(sent["cold"] == 9);
  CHECK(sent["warm"] == 13); // it may have turned cold unheard
  CHECK(passedOver == 100 - 9 - 13);
  // A second later there is room again.
  wg::EngineQuery query;
  query.key = { "box", 1000 };
  query.choice.now = absl::Seconds(13);
  query.cold = { 9.1, 1.5, 5.0 };
  CHECK(wg::PlacePrompt(pool, engines, query).endpoint != nullptr);
}

TEST_CASE("A box that begins to choose sends nothing to cold engines at first")
{
  // Boxes that have just started and do not know each other yet each choose
  // for themselves: three of them would send three times 5 a second to an
  // engine that bears 12.5.
  wg::Directory directory;
  wg::wire::Registration news;
  news.set_endpoint("e");
  news.set_service("svc");
  news.set_hall("h");
  news.set_sequence(1);
  news.set_state(wg::wire::Registration::READY);
  news.set_warmup_ms(60000);
  wg::MergeRegistration(directory, news, absl::Seconds(1));
  const auto engines = wg::ServingEndpoints(directory, "svc");
  wg::EnginePool pool;
  wg::EngineQuery query;
  query.cold = { 5.0, 1.5, 5.0 };
  wg::BeginToChoose(pool, absl::Seconds(10));
  query.choice.now = absl::Seconds(11);
  CHECK(wg::PlacePrompt(pool, engines, query).endpoint == nullptr);
  query.choice.now = absl::Seconds(12);
  CHECK(wg::PlacePrompt(pool, engines, query).endpoint != nullptr);
}

TEST_CASE("Where endpoints are never cold, an engine is sent what comes")
{
  wg::Directory directory;
  wg::wire::Registration news;
  news.set_endpoint("e");
  news.set_service("svc");
  news.set_hall("h");
  news.set_sequence(1);
  news.set_state(wg::wire::Registration::READY);
  wg::MergeRegistration(directory, news, absl::Seconds(1));
  const auto engines = wg::ServingEndpoints(directory, "svc");
  wg::EnginePool pool;
  for (int i = 0; i < 100; ++i) {
    wg::EngineQuery query;
    query.key = { "box", static_cast<std::uint64_t>(i) };
    query.choice.now = absl::Seconds(10);
    REQUIRE(wg::PlacePrompt(pool, engines, query).endpoint != nullptr);
  }
}

// Guards against an engine at fault that goes on to get prompts, or that is
// never tried again.
TEST_CASE("An engine at fault gets single prompts until it is sound")
{
  Engines engines(3);
  wg::EnginePool pool;
  std::uint64_t last = 0;
  const auto ask = [&](absl::Span<wg::DirectoryEndpoint* const> among,
                       wg::Elapsed now) {
    wg::EngineQuery query;
    query.key = { "box", ++last };
    query.prompt.tokensIn = 15000;
    query.choice.now = now;
    query.choice.hall = "h";
    return wg::PlacePrompt(pool, among, query);
  };
  const auto end = [&](double factor, wg::Elapsed now) {
    const double took = 0.03 + 15000 * PerToken * factor;
    return wg::EndRead(pool, { "box", last }, { took, false }, now);
  };
  const auto all = absl::MakeSpan(engines.all);
  wg::Elapsed now = Now;
  for (int i = 0; i < 10; ++i) {
    for (std::size_t engine = 0; engine < 3; ++engine) {
      now += absl::Milliseconds(250);
      ask(all.subspan(engine, 1), now - absl::Milliseconds(240));
      CHECK_FALSE(end(1.0, now));
    }
  }
  const auto fail = [&](std::size_t engine) {
    std::optional<wg::EngineJudgement> judged;
    for (int i = 0; i < 3; ++i) {
      CHECK_FALSE(judged);
      now += absl::Milliseconds(500);
      ask(all.subspan(engine, 1), now - absl::Milliseconds(490));
      judged = end(5.0, now);
    }
    return judged;
  };
  const auto judged = fail(0);
  REQUIRE(judged);
  CHECK(judged->engine == "e0");
  CHECK(judged->isFaulty);
  SECTION("it gets nothing for a second, however busy the others are")
  {
    for (int i = 0; i < 40; ++i) {
      CHECK(ask(all, now).endpoint->id != "e0");
    }
  }
  SECTION("it gets one prompt then, and others once it is sound")
  {
    now += absl::Milliseconds(1010);
    const auto probe = ask(all.first(1), now);
    CHECK(probe.isProbe);
    for (int i = 0; i < 10; ++i) {
      const auto other = ask(all, now);
      CHECK(other.endpoint->id != "e0");
      CHECK_FALSE(other.isProbe);
    }
    last -= 10;
    CHECK_FALSE(end(1.0, now + absl::Milliseconds(280)));
    last += 10;
    now += absl::Milliseconds(300);
    CHECK(ask(all.first(1), now).isProbe);
    const auto sound = end(1.0, now + absl::Milliseconds(280));
    REQUIRE(sound);
    CHECK_FALSE(sound->isFaulty);
    CHECK_FALSE(ask(all.first(1), now + absl::Milliseconds(300)).isProbe);
  }
  SECTION("where no other may be chosen it is")
  {
    CHECK(ask(all.first(1), now).endpoint->id == "e0");
  }
  SECTION("where most are faulty none is left out")
  {
    now += absl::Seconds(2);
    fail(1);
    std::set<std::string> chosen;
    for (int i = 0; i < 40; ++i) {
      chosen.insert(ask(all, now).endpoint->id);
    }
    CHECK(chosen.size() == 3);
  }
}

// Guards against measurements of an engine that ended being kept for ever.
TEST_CASE("What was measured of an engine is forgotten after SpeedMemory")
{
  Engines engines(2);
  wg::EnginePool pool;
  const std::string first =
    wg::PlacePrompt(pool, engines.all, Ask(1, "p")).endpoint->id;
  wg::EndRead(pool, { "box", 1 }, { 0.3, false }, Now);
  std::vector<wg::DirectoryEndpoint*> others;
  std::copy_if(engines.all.begin(), engines.all.end(),
               std::back_inserter(others),
               [&first](const auto* engine) { return engine->id != first; });
  wg::PlacePrompt(pool, others, Ask(2, "q", Now + wg::SpeedMemory));
  CHECK(pool.engines.count(first) == 1);
  wg::PlacePrompt(pool, others,
                  Ask(3, "q", Now + wg::SpeedMemory + absl::Seconds(1)));
  CHECK(pool.engines.count(first) == 0);
}
