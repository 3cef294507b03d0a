// SPDX-License-Identifier: Apache-2.0
#include <cstdint>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "wgAttemptRules.h"
#include "wgEventSplitter.h"
#include "wgRetryWindow.h"
#include "wgRouteTable.h"

namespace {

wg::Route MakeRoute(const std::string& name, const std::string& host,
                    const std::string& prefix)
{
  wg::Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.targets = { { name + "-a", 3.0 }, { name + "-b", 1.0 } };
  return route;
}

} // namespace

TEST_CASE("The longest prefix of a host decides")
{
  wg::RouteTable table;
  table.routes = { MakeRoute("all", "one.example", "/"),
                   MakeRoute("deep", "one.example", "/a/b/"),
                   MakeRoute("mid", "one.example", "/a/"),
                   MakeRoute("other", "two.example", "/a/") };
  wg::IndexRoutes(table);
  CHECK(wg::FindRoute(table, "one.example", "/a/b/c")->name == "deep");
  CHECK(wg::FindRoute(table, "ONE.example:80", "/a/x?y=/a/b/")->name == "mid");
  CHECK(wg::FindRoute(table, "one.example", "/")->name == "all");
  CHECK(wg::FindRoute(table, "two.example", "/b/") == nullptr);
  CHECK(wg::FindRoute(table, "three.example", "/a/") == nullptr);
}

TEST_CASE("A service is chosen by weight")
{
  const wg::Route route = MakeRoute("r", "h", "/");
  CHECK(wg::ChooseTarget(route, 0.0) == "r-a");
  CHECK(wg::ChooseTarget(route, 0.74) == "r-a");
  CHECK(wg::ChooseTarget(route, 0.76) == "r-b");
  CHECK(wg::ChooseTarget(route, 0.999999) == "r-b");
}

TEST_CASE("A route's former services count until their streams are over")
{
  constexpr absl::Duration memory = absl::Seconds(30);
  const auto makeTable = [](const std::string& service) {
    wg::RouteTable table;
    table.routes = { MakeRoute("r", "h", "/") };
    table.routes[0].targets = { { service, 1.0 } };
    return table;
  };
  const auto possibleAt = [](const wg::RouteTable& table, wg::Elapsed now) {
    return wg::PossibleServices(table.routes[0], now);
  };
  using Names = std::vector<std::string>;
  const wg::Elapsed begun = absl::Seconds(100);
  const wg::RouteTable first = makeTable("a");
  CHECK(possibleAt(first, begun) == Names{ "a" });
  wg::RouteTable second = makeTable("b");
  wg::KeepFormerTargets(second, first, begun, memory);
  CHECK(possibleAt(second, begun) == Names{ "b", "a" });
  CHECK_FALSE(wg::IsTarget(second.routes[0], "a"));
  CHECK(possibleAt(second, begun + memory) == Names{ "b" });
  // Documents that leave the route as it is do not prolong it.
  const wg::Elapsed later = begun + absl::Seconds(20);
  wg::RouteTable third = makeTable("b");
  wg::KeepFormerTargets(third, second, later, memory);
  CHECK(possibleAt(third, later) == Names{ "b", "a" });
  CHECK(possibleAt(third, begun + memory) == Names{ "b" });
  wg::RouteTable fourth = makeTable("a");
  wg::KeepFormerTargets(fourth, third, later, memory);
  CHECK(possibleAt(fourth, later) == Names{ "a", "b" });
  wg::RouteTable fifth = makeTable("b");
  wg::KeepFormerTargets(fifth, fourth, later + memory, memory);
  CHECK(fifth.routes[0].formerTargets.size() == 1);
  CHECK(possibleAt(fifth, later + memory) == Names{ "b", "a" });
}

TEST_CASE("Stages know what comes after them")
{
  // 0 alone; 1, 2 and 3 in a row.
  const std::vector<wg::RouteStage> stages = {
    { "a", {}, 0 }, { "a", {}, 0 }, { "b", { 1 }, 0 }, { "c", { 2 }, 0 }
  };
  CHECK(wg::FinalStages(stages) == std::vector<std::size_t>{ 0, 3 });
  CHECK(wg::StagesToEnd(stages) == std::vector<int>{ 1, 3, 2, 1 });
  CHECK(wg::StagesAreOrdered(stages));
  CHECK_FALSE(wg::StagesAreOrdered({ { "a", { 0 }, 0 } }));
}

TEST_CASE("What is told of a request follows from what is known of its sends")
{
  using wg::AfterAttempt;
  using wg::AttemptKnowledge;
  wg::AttemptFacts facts;
  facts.maxAttempts = 2;

  SECTION("never sent: another endpoint, without budget, else a promise")
  {
    facts.last = AttemptKnowledge::NotSent;
    facts.budgetLeft = false;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SendAgain);
    facts.endpointLeft = false;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SayNotRun);
  }
  SECTION("said not run: the budget decides")
  {
    facts.last = AttemptKnowledge::SaidNotRun;
    facts.endpointsTried = 1;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SendAgain);
    facts.budgetLeft = false;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SayNotRun);
  }
  SECTION("may have run, to run once: never again, and no promise")
  {
    facts.last = AttemptKnowledge::MayHaveRun;
    facts.anyMayHaveRun = true;
    facts.endpointsTried = 1;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SayMayHave);
    // A later attempt that was refused does not take that back.
    facts.last = AttemptKnowledge::SaidNotRun;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SayMayHave);
  }
  SECTION("may have run, repeatable: again, up to the attempts")
  {
    facts.repetition = wg::Repetition::Repeatable;
    facts.last = AttemptKnowledge::MayHaveRun;
    facts.anyMayHaveRun = true;
    facts.endpointsTried = 1;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SendAgain);
    facts.endpointsTried = 2;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SayMayHave);
  }
  SECTION("the answer has begun: only a resumable stream goes on")
  {
    facts.last = AttemptKnowledge::MayHaveRun;
    facts.anyMayHaveRun = true;
    facts.answerBegun = true;
    facts.endpointsTried = 1;
    facts.repetition = wg::Repetition::Repeatable;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::BreakOff);
    facts.repetition = wg::Repetition::Resumable;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::SendAgain);
    facts.hasPosition = false;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::BreakOff);
    facts.hasPosition = true;
    facts.timeLeft = false;
    CHECK(wg::JudgeAttempt(facts) == AfterAttempt::BreakOff);
  }
}

TEST_CASE("Only whole events are passed on")
{
  wg::EventSplitter splitter;
  CHECK(wg::TakeEvents(splitter, "id: 1\ndata: a\n").empty());
  CHECK(wg::TakeEvents(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.lastId == "1");
  CHECK(wg::TakeEvents(splitter, "ta: b\r\n\r").empty());
  CHECK(wg::TakeEvents(splitter, "\nid: 3\n\n") ==
        "id: 2\ndata: b\r\n\r\nid: 3\n\n");
  CHECK(splitter.lastId == "3");
  CHECK(splitter.events == 3);
  CHECK(splitter.partial.empty());
}

TEST_CASE("An event's id that no request can name is not kept")
{
  for (const std::string& id :
       { std::string(1025, '7'), std::string("7\rX: 1"),
         std::string("7\0", 2) }) {
    wg::EventSplitter splitter;
    wg::TakeEvents(splitter, "id: " + std::string(1024, '6') + "\n\n");
    CHECK_FALSE(splitter.hasUnusableId);
    const std::string event = "id: " + id + "\ndata: a\n\n";
    CHECK(wg::TakeEvents(splitter, event) == event);
    CHECK(splitter.hasUnusableId);
    CHECK(splitter.lastId == std::string(1024, '6'));
  }
}

TEST_CASE("Repetitions are paid from this box's share of the window")
{
  wg::RetryRules rules;
  rules.ratio = 0.2;
  rules.slack = 20;
  rules.window = absl::Seconds(10);
  wg::RetryWindow window;
  for (int i = 0; i < 100; ++i) {
    wg::NoteRequest(window, absl::Seconds(1));
  }
  int spent = 0;
  while (wg::SpendRetry(window, rules, 4, absl::Seconds(2))) {
    ++spent;
  }
  // 0.7 of 0.2 * 100 + 20 / 4
  CHECK(spent == 17);
  CHECK_FALSE(wg::SpendRetry(window, rules, 4, absl::Seconds(10)));
  // All has left the window but the slack.
  CHECK(wg::SpendRetry(window, rules, 4, absl::Seconds(13)));
}

TEST_CASE("Many boxes use a slack of less than one repetition each together")
{
  const int boxes = GENERATE(986, 2000, 8000);
  const int seed = GENERATE(1, 2, 3, 4, 5);
  CAPTURE(boxes, seed);
  wg::RetryRules rules;
  rules.ratio = 0.2;
  rules.slack = 1040;
  rules.window = absl::Seconds(10);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  std::vector<wg::RetryWindow> windows(static_cast<std::size_t>(boxes));
  // Each box has one request that fails each second, for three windows.
  std::vector<int> spentAt(30, 0);
  for (int second = 0; second < 30; ++second) {
    for (wg::RetryWindow& window : windows) {
      // What came just a window ago no longer counts.
      const wg::Elapsed now =
        absl::Seconds(100 + second) + absl::Milliseconds(second / 10);
      if (second % 10 == 0) {
        wg::NoteRequest(window, now);
      }
      wg::DrawRounding(window, random);
      const bool spent =
        wg::SpendRetry(window, rules, static_cast<std::size_t>(boxes), now);
      spentAt[static_cast<std::size_t>(second)] += spent ? 1 : 0;
    }
  }
  const double allowed = rules.slack + rules.ratio * boxes;
  for (std::size_t first = 0; first + 10 <= spentAt.size(); ++first) {
    int spent = 0;
    for (std::size_t second = first; second < first + 10; ++second) {
      spent += spentAt[second];
    }
    CHECK(spent <= allowed);
  }
  int inFirstWindow = 0;
  for (std::size_t second = 0; second < 10; ++second) {
    inFirstWindow += spentAt[second];
  }
  CHECK(inFirstWindow >= 0.6 * allowed);
}

TEST_CASE("Streams are split at their events, whatever bytes come at once")
{
  for (const std::string line : { "\n", "\r\n" }) {
    const std::string first =
      absl::StrCat("id: 1", line, "data: a", line, line);
    const std::string text =
      absl::StrCat(first, "id: 2", line, "data: b", line, line);
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
      for (std::size_t split = 0; split <= cut; ++split) {
        wg::EventSplitter splitter;
        std::string events = wg::TakeEvents(splitter, text.substr(0, split));
        events += wg::TakeEvents(splitter, text.substr(split, cut - split));
        const std::size_t whole = cut == text.size()    ? text.size()
                                  : cut >= first.size() ? first.size()
                                                        : 0;
        REQUIRE(events == text.substr(0, whole));
        REQUIRE(splitter.partial == text.substr(whole, cut - whole));
      }
    }
  }
}

TEST_CASE("An answer is whole by its framing, or by content that could end")
{
  using wg::HttpCallEnd;
  wg::AnswerFacts facts;
  CHECK_FALSE(wg::IsWholeAnswer(facts));
  SECTION("a plain answer")
  {
    facts.end = HttpCallEnd::Complete;
    CHECK(wg::IsWholeAnswer(facts));
    facts.end = HttpCallEnd::EndedByClose;
    CHECK(wg::IsWholeAnswer(facts));
    facts.isJson = true;
    CHECK(wg::IsWholeAnswer(facts));
    facts.parses = false;
    CHECK_FALSE(wg::IsWholeAnswer(facts));
    facts.end = HttpCallEnd::Complete; // the endpoint's own document
    CHECK(wg::IsWholeAnswer(facts));
  }
  SECTION("a stream")
  {
    facts.streams = true;
    facts.end = HttpCallEnd::Complete;
    CHECK(wg::IsWholeAnswer(facts));
    facts.end = HttpCallEnd::EndedByClose;
    CHECK_FALSE(wg::IsWholeAnswer(facts)); // no event
    facts.hasEvent = true;
    CHECK(wg::IsWholeAnswer(facts));
    facts.isInsideEvent = true;
    CHECK_FALSE(wg::IsWholeAnswer(facts));
    facts.end = HttpCallEnd::Complete;
    CHECK_FALSE(wg::IsWholeAnswer(facts));
  }
}
