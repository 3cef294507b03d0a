// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgStreamOrigin.h"

namespace {

using wg::OriginAnswer;
using wg::OriginEvidence;
using wg::OriginKeeper;
using wg::OriginView;
using wg::StreamOrigin;

constexpr wg::Elapsed Now = absl::Seconds(100);
const StreamOrigin V1{ "llm", "v1" };
const StreamOrigin V2{ "llm", "v2" };

OriginAnswer AnswerOf(const std::string& hall, OriginView view)
{
  OriginAnswer answer;
  answer.hall = hall;
  answer.hasAnswered = true;
  answer.view = std::move(view);
  return answer;
}

OriginAnswer Reported(const StreamOrigin& origin)
{
  OriginAnswer answer = AnswerOf("h1", { true, { V1, V2 } });
  answer.origin = origin;
  return answer;
}

OriginAnswer Silent(const std::string& hall)
{
  OriginAnswer answer;
  answer.hall = hall;
  return answer;
}

} // namespace

TEST_CASE("An origin is kept for as long as its stream may be taken up")
{
  wg::OriginRecords records;
  wg::KeepOrigin(records, "a", { V1, Now + absl::Seconds(5) }, Now);
  REQUIRE(wg::FindOrigin(records, "a", Now) != nullptr);
  CHECK(wg::FindOrigin(records, "a", Now)->origin == V1);
  CHECK(wg::FindOrigin(records, "b", Now) == nullptr);
  CHECK(wg::FindOrigin(records, "a", Now + absl::Seconds(5)) == nullptr);
  // A copy that comes late does not shorten it.
  wg::KeepOrigin(records, "a", { V1, Now + absl::Seconds(2) }, Now);
  CHECK(wg::FindOrigin(records, "a", Now + absl::Seconds(4)) != nullptr);
  wg::ExpireOrigins(records, Now + absl::Seconds(5));
  CHECK(records.byRequest.empty());
  CHECK(records.byExpiry.empty());
  // No caller's deadline keeps it for longer than a stream lasts.
  wg::KeepOrigin(records, "a", { V1, absl::InfiniteDuration() }, Now);
  CHECK(wg::FindOrigin(records, "a", Now + wg::MaxStreamTime) == nullptr);
  wg::KeepOrigin(records, "late", { V1, Now - absl::Seconds(1) }, Now);
  CHECK(wg::FindOrigin(records, "late", Now) == nullptr);
}

TEST_CASE("Names without bounds are not kept")
{
  const std::string longest(wg::MaxOriginNameBytes, 'x');
  const auto isKept = [](const std::string& request,
                         const StreamOrigin& origin) {
    wg::OriginRecords records;
    wg::KeepOrigin(records, request, { origin, Now + absl::Seconds(5) }, Now);
    return wg::FindOrigin(records, request, Now) != nullptr;
  };
  CHECK(isKept(longest, { longest, longest }));
  CHECK_FALSE(isKept(longest + "x", V1));
  CHECK_FALSE(isKept("a", { longest + "x", "v1" }));
  CHECK_FALSE(isKept("a", { "llm", longest + "x" }));
}

TEST_CASE("A name that stands for two streams has no version")
{
  wg::OriginRecords records;
  wg::KeepOrigin(records, "a", { V1, Now + absl::Seconds(5) }, Now);
  wg::KeepOrigin(records, "a", { V2, Now + absl::Seconds(5) }, Now);
  CHECK(wg::FindOrigin(records, "a", Now)->origin.version.empty());
  wg::KeepOrigin(records, "a", { V1, Now + absl::Seconds(5) }, Now);
  CHECK(wg::FindOrigin(records, "a", Now)->origin.version.empty());
}

TEST_CASE("Origins are bounded in number and in the length of their names")
{
  wg::OriginRecords records;
  records.maxRecords = 3;
  for (int i = 0; i < 10; ++i) {
    wg::KeepOrigin(records, absl::StrCat("r", i),
                   { V1, Now + absl::Seconds(10 - i) }, Now);
    CHECK(records.byRequest.size() <= 3);
    CHECK(records.byRequest.size() == records.byExpiry.size());
  }
  CHECK(wg::FindOrigin(records, "r0", Now) != nullptr);
  const std::string longName(wg::MaxOriginNameBytes + 1, 'a');
  CHECK_FALSE(wg::IsOriginName(longName));
  CHECK_FALSE(wg::IsOriginName(""));
  CHECK_FALSE(wg::IsOriginName("a b"));
  CHECK_FALSE(wg::IsOriginName("a\x01"));
  CHECK(wg::IsOriginName("e2988204d96e589a"));
}

TEST_CASE("Boxes that are asked include those that keep copies")
{
  std::vector<OriginKeeper> boxes;
  for (std::uint64_t i = 0; i < 30; ++i) {
    boxes.push_back({ (i * 7919) % 1009, absl::StrCat("h", i % 3), true });
  }
  const auto contains = [](const std::vector<std::size_t>& list,
                           std::size_t box) {
    return std::find(list.begin(), list.end(), box) != list.end();
  };
  for (const std::string hall : { "h0", "h1", "h2" }) {
    const wg::OriginKeepers keepers = wg::RankOriginKeepers(boxes, hall);
    CHECK(keepers.near.size() == 10);
    CHECK(keepers.far.size() == 20);
    // Any one box of those may have gone, or a new one have come first.
    for (std::size_t gone = 0; gone < boxes.size(); ++gone) {
      std::vector<OriginKeeper> left = boxes;
      left[gone].isReachable = false;
      left.push_back({ 2000, hall, true });
      const auto sources = wg::ChooseOriginSources(left);
      CHECK(sources.size() == 9);
      CHECK_FALSE(contains(sources, gone));
      for (std::size_t i = 0; i < wg::NearCopies; ++i) {
        CHECK((keepers.near[i] == gone || contains(sources, keepers.near[i])));
      }
      CHECK((keepers.far[0] == gone || contains(sources, keepers.far[0])));
    }
  }
  CHECK(wg::ChooseOriginSources({}).empty());
}

TEST_CASE("An origin that a box keeps decides, whatever versions serve")
{
  const OriginView own{ true, { V1, V2 } };
  const auto verdict = wg::EvaluateOrigin(
    true, own, { Silent("h1"), Reported(V2), Silent("h2") });
  CHECK(verdict.evidence == OriginEvidence::Reported);
  CHECK(verdict.origin == V2);
  // It holds against a box that knows the other version alone.
  CHECK(wg::EvaluateOrigin(true, { true, { V1 } }, { Reported(V2) }).origin ==
        V2);
  CHECK(
    wg::EvaluateOrigin(true, own, { Reported(V1), Reported(V2) }).evidence ==
    OriginEvidence::None);
  CHECK(wg::EvaluateOrigin(true, own, { Reported({ "llm", "" }) }).evidence ==
        OriginEvidence::None);
}

TEST_CASE("Without a record a stream goes on only if one version serves")
{
  const OriginView one{ true, { V1 }, true };
  const OriginView two{ true, { V1, V2 }, true };
  const OriginView stale{ false, { V1 } };
  const auto judge = [](const OriginView& own,
                        const std::vector<OriginAnswer>& answers) {
    return wg::EvaluateOrigin(true, own, answers).evidence;
  };
  CHECK(judge(one, {}) == OriginEvidence::OnlyVersion);
  CHECK(judge(one, { AnswerOf("h1", one), AnswerOf("h2", one) }) ==
        OriginEvidence::OnlyVersion);
  CHECK(judge(two, { AnswerOf("h1", one) }) == OriginEvidence::None);
  CHECK(judge(one, { AnswerOf("h1", two) }) == OriginEvidence::None);
  CHECK(judge(one, { AnswerOf("h1", { false, { V1, V2 } }) }) ==
        OriginEvidence::None);
  // This box may not have heard of all.
  CHECK(judge(stale, { AnswerOf("h1", one) }) == OriginEvidence::None);
  CHECK(judge({ true, {}, true }, {}) == OriginEvidence::None);
  CHECK(judge({ true, { { "llm", "" } }, true }, {}) == OriginEvidence::None);
  CHECK(judge({ true, { V1, { "other", "v1" } }, true }, {}) ==
        OriginEvidence::None);
  // Of each hall one box confirms it.
  CHECK(judge(one, { AnswerOf("h1", one), Silent("h1"), Silent("h2") }) ==
        OriginEvidence::None);
  CHECK(judge(one, { AnswerOf("h1", one), AnswerOf("h2", stale) }) ==
        OriginEvidence::None);
  CHECK(judge(one, { Silent("h1"), AnswerOf("h1", one) }) ==
        OriginEvidence::OnlyVersion);
}

TEST_CASE("Without a record one box must have heard from all control boxes")
{
  const OriginView complete{ true, { V1 }, true };
  const OriginView partial{ true, { V1 }, false };
  const auto evaluate = [](const OriginView& own,
                           const std::vector<OriginAnswer>& answers) {
    return wg::EvaluateOrigin(true, own, answers);
  };
  const auto alone = evaluate(partial, {});
  CHECK(alone.evidence == OriginEvidence::None);
  CHECK_FALSE(alone.isFinal);
  CHECK(evaluate(partial, { AnswerOf("h1", partial) }).evidence ==
        OriginEvidence::None);
  CHECK(evaluate(partial, { AnswerOf("h1", complete) }).evidence ==
        OriginEvidence::OnlyVersion);
  CHECK(evaluate(complete, { AnswerOf("h1", partial) }).evidence ==
        OriginEvidence::OnlyVersion);
  // Two versions stay two.
  CHECK(evaluate({ true, { V1, V2 }, false }, {}).isFinal);
}

TEST_CASE("A stream whose request is not named needs one view up to date")
{
  const OriginView one{ true, { V1 } };
  const OriginView stale{ false, { V1 } };
  const auto judge = [](const OriginView& own,
                        const std::vector<OriginAnswer>& answers) {
    return wg::EvaluateOrigin(false, own, answers).evidence;
  };
  CHECK(judge(one, {}) == OriginEvidence::OnlyVersion);
  CHECK(judge(one, { Silent("h1"), Silent("h2") }) ==
        OriginEvidence::OnlyVersion);
  CHECK(judge(stale, {}) == OriginEvidence::None);
  CHECK(judge(stale, { Silent("h1"), AnswerOf("h2", one) }) ==
        OriginEvidence::OnlyVersion);
  // A box that has just started knows no endpoint yet.
  CHECK(judge({ false, {} }, { AnswerOf("h1", one) }) ==
        OriginEvidence::OnlyVersion);
  CHECK(judge(stale, { AnswerOf("h1", stale) }) == OriginEvidence::None);
  CHECK(judge({ true, { V1, V2 } }, {}) == OriginEvidence::None);
  CHECK(judge(one, { AnswerOf("h1", { false, { V2 } }) }) ==
        OriginEvidence::None);
}

TEST_CASE("Asking again is worth it where boxes did not answer")
{
  const OriginView two{ true, { V1, V2 } };
  CHECK(wg::EvaluateOrigin(true, two, { AnswerOf("h1", two) }).isFinal);
  CHECK_FALSE(
    wg::EvaluateOrigin(true, two, { AnswerOf("h1", two), Silent("h2") })
      .isFinal);
  CHECK_FALSE(wg::EvaluateOrigin(true, { false, { V1 } }, {}).isFinal);
}
