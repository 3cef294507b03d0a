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
using wg::StreamOrigin;

constexpr wg::Elapsed Now = absl::Seconds(100);
const StreamOrigin V1{ "llm", "v1" };
const StreamOrigin V2{ "llm", "v2" };

using Origins = std::vector<StreamOrigin>;
const Origins One{ V1 };
const Origins Two{ V1, V2 };

OriginAnswer AnswerOf(Origins possible)
{
  OriginAnswer answer;
  answer.hasAnswered = true;
  answer.possible = std::move(possible);
  return answer;
}

/** Of a control box that is followed. */
OriginAnswer HistoryOf(const std::string& control, Origins possible,
                       bool isWhole = true)
{
  OriginAnswer answer = AnswerOf(std::move(possible));
  answer.control = control;
  answer.isFollowed = true;
  answer.isWhole = isWhole;
  return answer;
}

OriginAnswer Reported(const StreamOrigin& origin)
{
  OriginAnswer answer = AnswerOf(Two);
  answer.origin = origin;
  return answer;
}

OriginAnswer Silent()
{
  return {};
}

OriginAnswer SilentControl(const std::string& control, bool isFollowed = true)
{
  OriginAnswer answer;
  answer.control = control;
  answer.isFollowed = isFollowed;
  return answer;
}

OriginEvidence Judge(const Origins& own,
                     const std::vector<OriginAnswer>& answers,
                     bool isNamed = true)
{
  return wg::EvaluateOrigin(isNamed, own, answers).evidence;
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

TEST_CASE("Two control boxes in two halls keep a copy")
{
  std::vector<OriginKeeper> controls;
  for (std::uint64_t i = 0; i < 9; ++i) {
    controls.push_back({ 100 - i, absl::StrCat("h", i / 3), true });
  }
  const auto hallOf = [&](std::size_t place) {
    return controls[wg::RankOriginControls(controls)[place]].hall;
  };
  CHECK(wg::RankOriginControls(controls).size() == 9);
  CHECK(hallOf(0) == "h0");
  CHECK(hallOf(1) == "h1");
  controls[0].isReachable = false;
  controls[3].isReachable = false;
  CHECK(wg::RankOriginControls(controls) ==
        std::vector<std::size_t>{ 1, 4, 2, 5, 6, 7, 8 });
  for (OriginKeeper& control : controls) {
    control.hall = "h";
  }
  CHECK(wg::RankOriginControls(controls).size() == 7);
  CHECK(wg::RankOriginControls({}).empty());
}

TEST_CASE("An origin that a box keeps decides, whatever versions serve")
{
  const auto verdict =
    wg::EvaluateOrigin(true, Two, { Silent(), Reported(V2), Silent() });
  CHECK(verdict.evidence == OriginEvidence::Reported);
  CHECK(verdict.origin == V2);
  // It holds against boxes that know the other version alone.
  CHECK(wg::EvaluateOrigin(true, One, { HistoryOf("c1", One), Reported(V2) })
          .origin == V2);
  CHECK(Judge(Two, { Reported(V1), Reported(V2) }) == OriginEvidence::None);
  CHECK(Judge(Two, { Reported({ "llm", "" }) }) == OriginEvidence::None);
}

TEST_CASE("Without a record a stream goes on only if one version has served")
{
  const OriginAnswer whole = HistoryOf("c1", One);
  CHECK(Judge(One, { whole }) == OriginEvidence::OnlyVersion);
  CHECK(Judge(One, { whole, AnswerOf(One), Silent() }) ==
        OriginEvidence::OnlyVersion);
  // A box that has just started knows no endpoint yet.
  CHECK(Judge({}, { whole }) == OriginEvidence::OnlyVersion);
  CHECK(Judge(Two, { whole }) == OriginEvidence::None);
  CHECK(Judge(One, { whole, AnswerOf(Two) }) == OriginEvidence::None);
  CHECK(Judge({}, { HistoryOf("c1", Two) }) == OriginEvidence::None);
  CHECK(Judge({}, { HistoryOf("c1", {}) }) == OriginEvidence::None);
  CHECK(Judge({}, { HistoryOf("c1", { { "llm", "" } }) }) ==
        OriginEvidence::None);
  CHECK(Judge({}, { HistoryOf("c1", { V1, { "other", "v1" } }) }) ==
        OriginEvidence::None);
  // What boxes know themselves is no evidence: news may be on its way.
  CHECK(Judge(One, {}) == OriginEvidence::None);
  CHECK(Judge(One, { AnswerOf(One), AnswerOf(One) }) == OriginEvidence::None);
}

TEST_CASE("Without a record each control box must tell what has served")
{
  const OriginAnswer whole = HistoryOf("c1", One);
  CHECK(Judge(One, { whole, HistoryOf("c2", One) }) ==
        OriginEvidence::OnlyVersion);
  CHECK(Judge(One, { whole, HistoryOf("c2", { V2 }) }) ==
        OriginEvidence::None);
  CHECK(Judge(One, { whole, SilentControl("c2") }) == OriginEvidence::None);
  // One that lost its disk may have told of others before.
  CHECK(Judge(One, { whole, HistoryOf("c2", One, false) }) ==
        OriginEvidence::None);
  // One that was not heard for long counts as a member of the cluster only.
  CHECK(Judge(One, { whole, SilentControl("c2", false) }) ==
        OriginEvidence::OnlyVersion);
  OriginAnswer member = whole;
  member.members = { "c1", "c2" };
  CHECK(Judge(One, { member, SilentControl("c2", false) }) ==
        OriginEvidence::None);
  // This box does not know of it yet.
  CHECK(Judge(One, { member }) == OriginEvidence::None);
  CHECK(Judge(One, { member, HistoryOf("c2", One) }) ==
        OriginEvidence::OnlyVersion);
}

TEST_CASE("A stream whose request is not named needs the control boxes that "
          "answer")
{
  const OriginAnswer whole = HistoryOf("c1", One);
  CHECK(Judge(One, { whole, SilentControl("c2") }, false) ==
        OriginEvidence::OnlyVersion);
  CHECK(Judge({}, { whole, Silent() }, false) == OriginEvidence::OnlyVersion);
  CHECK(Judge(One, { SilentControl("c1") }, false) == OriginEvidence::None);
  CHECK(Judge(One, { AnswerOf(One) }, false) == OriginEvidence::None);
  CHECK(Judge(Two, { whole }, false) == OriginEvidence::None);
  CHECK(Judge(One, { whole, HistoryOf("c2", { V2 }) }, false) ==
        OriginEvidence::None);
  CHECK(Judge(One, { whole, HistoryOf("c2", One, false) }, false) ==
        OriginEvidence::OnlyVersion);
}

TEST_CASE("Asking again is worth it where boxes did not answer")
{
  const OriginAnswer whole = HistoryOf("c1", Two);
  const auto isFinal = [](const Origins& own,
                          const std::vector<OriginAnswer>& answers) {
    return wg::EvaluateOrigin(true, own, answers).isFinal;
  };
  CHECK(isFinal(Two, { whole }));
  CHECK_FALSE(isFinal(Two, { whole, Silent() }));
  CHECK_FALSE(isFinal(Two, { whole, SilentControl("c2") }));
  CHECK_FALSE(isFinal(One, { HistoryOf("c1", One, false) }));
  CHECK_FALSE(isFinal(One, {}));
}

TEST_CASE("A verdict tells what it rests on")
{
  const wg::OriginBasis basis = wg::DescribeBasis(
    One, { HistoryOf("c1", Two), SilentControl("c2"), AnswerOf(One) });
  CHECK(basis.asked == 3);
  CHECK(basis.answered == 2);
  CHECK(basis.controls == 1);
  CHECK(basis.possible == Two);
}
