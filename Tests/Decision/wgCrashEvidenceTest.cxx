// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgCrashEvidence.h"

using wg::CrashesSince;
using wg::CrashEvidence;
using wg::Elapsed;
using wg::ExpireCrashes;
using wg::MergeCrash;
using wg::PartSuspect;
using wg::RequestSuspect;
using wg::wire::Crash;

namespace {

const Elapsed Start = absl::Hours(100);

Crash Ran(const std::string& request, const std::string& endpoint)
{
  Crash crash;
  crash.set_request(request);
  crash.set_endpoint(endpoint);
  return crash;
}

bool IsQuarantined(const CrashEvidence& evidence, const std::string& request)
{
  return wg::IsQuarantined(evidence, RequestSuspect(request));
}

bool IsSuspect(const CrashEvidence& evidence, const std::string& request)
{
  return wg::CountedEnds(evidence, RequestSuspect(request)) > 0;
}

bool NoteAnswered(CrashEvidence& evidence, const std::string& request)
{
  return wg::NoteAnswered(evidence, RequestSuspect(request), Start);
}

/** An endpoint ended with these requests. */
void End(CrashEvidence& evidence, const std::string& endpoint,
         const std::vector<std::string>& requests, Elapsed now = Start)
{
  for (const std::string& request : requests) {
    MergeCrash(evidence, Ran(request, endpoint), now);
  }
}

/** An endpoint ended with requests that had these parts. */
void EndWithParts(CrashEvidence& evidence, const std::string& endpoint,
                  const std::vector<std::string>& parts, Elapsed now)
{
  for (const std::string& part : parts) {
    Crash crash = Ran(part, endpoint);
    crash.set_cause(wg::wire::PROMPT_PART);
    MergeCrash(evidence, crash, now);
  }
}

} // namespace

TEST_CASE("A request that ran at three endpoints that ended is quarantined",
          "[crashes]")
{
  CrashEvidence evidence;
  End(evidence, "e1", { "a" });
  End(evidence, "e2", { "a" });
  End(evidence, "e2", { "a" }); // reported by two boxes
  CHECK(IsSuspect(evidence, "a"));
  CHECK_FALSE(IsQuarantined(evidence, "a"));
  End(evidence, "e3", { "a" });
  CHECK(IsQuarantined(evidence, "a"));
}

TEST_CASE(
  "Innocent requests beside one that ends endpoints are not quarantined",
  "[crashes]")
{
  // 64 requests run at an engine. Each of twelve engines that ended cut off 1
  // to 4 other streams, some of which met the bad request again.
  CrashEvidence evidence;
  End(evidence, "e1", { "bad", "b" });
  End(evidence, "e2", { "bad", "b" });
  End(evidence, "e3", { "bad", "c" });
  End(evidence, "e4", { "bad", "b", "c" });
  CHECK(IsQuarantined(evidence, "bad"));
  CHECK_FALSE(IsQuarantined(evidence, "b"));
  CHECK_FALSE(IsQuarantined(evidence, "c"));
}

TEST_CASE(
  "The quarantine of an innocent request ends once another has more ends",
  "[crashes]")
{
  CrashEvidence evidence;
  for (const char* endpoint : { "e1", "e2", "e3" }) {
    End(evidence, endpoint, { "a-innocent", "bad" });
  }
  // Both have the same ends: one is quarantined until the next end decides.
  CHECK(evidence.quarantined.size() == 1);
  End(evidence, "e4", { "bad" });
  CHECK(IsQuarantined(evidence, "bad"));
  CHECK_FALSE(IsQuarantined(evidence, "a-innocent"));
}

TEST_CASE("An answer outweighs the crashes before it, not those after it",
          "[crashes]")
{
  CrashEvidence evidence;
  End(evidence, "e1", { "a" });
  End(evidence, "e2", { "a" });
  CHECK(NoteAnswered(evidence, "a"));
  CHECK_FALSE(NoteAnswered(evidence, "a"));
  CHECK_FALSE(NoteAnswered(evidence, "never met a crash"));
  End(evidence, "e3", { "a" });
  CHECK_FALSE(IsQuarantined(evidence, "a"));
  // A new version may have brought the defect.
  End(evidence, "e4", { "a" });
  End(evidence, "e5", { "a" });
  CHECK(IsQuarantined(evidence, "a"));
}

TEST_CASE("An answer ends the quarantine of its request", "[crashes]")
{
  CrashEvidence evidence;
  for (const char* endpoint : { "e1", "e2", "e3" }) {
    End(evidence, endpoint, { "a" });
  }
  NoteAnswered(evidence, "a"); // it was running elsewhere
  CHECK_FALSE(IsQuarantined(evidence, "a"));
}

TEST_CASE("Merging in any order gives the same evidence", "[crashes]")
{
  const unsigned seed = GENERATE(range(1U, 60U));
  CAPTURE(seed);
  std::mt19937 random(seed);
  std::vector<Crash> crashes;
  for (int i = 0; i < 30; ++i) {
    crashes.push_back(
      Ran(absl::StrCat("r", random() % 6), absl::StrCat("e", random() % 8)));
    crashes.back().set_outweighed(random() % 5 == 0);
    crashes.back().set_age_ms(random() % 1000);
  }
  CrashEvidence one;
  CrashEvidence other;
  for (const Crash& crash : crashes) {
    MergeCrash(one, crash, Start);
  }
  crashes.insert(crashes.end(), crashes.begin(), crashes.begin() + 10);
  std::shuffle(crashes.begin(), crashes.end(), random);
  for (const Crash& crash : crashes) {
    MergeCrash(other, crash, Start);
  }
  CHECK(one.quarantined == other.quarantined);
  REQUIRE(one.records.size() == other.records.size());
  for (const auto& [key, record] : one.records) {
    CHECK(other.records.at(key).outweighed == record.outweighed);
    CHECK(other.records.at(key).noted == record.noted);
  }
}

TEST_CASE("Suspicion ends in minutes, quarantine in a day", "[crashes]")
{
  CrashEvidence evidence;
  End(evidence, "e1", { "a", "bad" });
  End(evidence, "e2", { "bad" });
  End(evidence, "e3", { "bad" });
  ExpireCrashes(evidence, Start + absl::Minutes(11));
  CHECK_FALSE(IsSuspect(evidence, "a"));
  CHECK(IsQuarantined(evidence, "bad"));
  ExpireCrashes(evidence, Start + absl::Hours(25));
  CHECK_FALSE(IsQuarantined(evidence, "bad"));
  CHECK(evidence.records.empty());
  // Expired records of other boxes are ignored.
  Crash old = Ran("bad", "e1");
  old.set_age_ms(absl::ToInt64Milliseconds(absl::Hours(25)));
  CHECK_FALSE(MergeCrash(evidence, old, Start + absl::Hours(25)));
}

TEST_CASE("Records are bounded, and suspects evict no quarantined request",
          "[crashes]")
{
  CrashEvidence evidence;
  evidence.rules.maxRecords = 20;
  for (const char* endpoint : { "e1", "e2", "e3" }) {
    End(evidence, endpoint, { "bad" });
  }
  for (int i = 0; i < 100; ++i) {
    End(evidence, "e9", { absl::StrCat("r", i) },
        Start + absl::Seconds(i + 1));
  }
  CHECK(evidence.records.size() == 20);
  CHECK(IsQuarantined(evidence, "bad"));
  CHECK(IsSuspect(evidence, "r99"));
  CHECK_FALSE(IsSuspect(evidence, "r0"));
}

TEST_CASE("Invalid crashes are ignored", "[crashes]")
{
  CrashEvidence evidence;
  CHECK_FALSE(MergeCrash(evidence, Ran("", "e1"), Start));
  CHECK_FALSE(MergeCrash(evidence, Ran("a", ""), Start));
  CHECK_FALSE(MergeCrash(evidence, Ran(std::string(300, 'a'), "e1"), Start));
  Crash future = Ran("a", "e1");
  future.set_age_ms(-5);
  CHECK_FALSE(MergeCrash(evidence, future, Start));
}

TEST_CASE("Changes are returned in order, up to a maximum count", "[crashes]")
{
  CrashEvidence evidence;
  for (int i = 0; i < 5; ++i) {
    End(evidence, absl::StrCat("e", i), { "a" });
  }
  const auto first = CrashesSince(evidence, 0, 3, Start + absl::Seconds(2));
  REQUIRE(first.size() == 3);
  CHECK(first[0].age_ms() == 2000);
  const auto rest = CrashesSince(evidence, first.back().revision(), 3, Start);
  REQUIRE(rest.size() == 2);
  CHECK(rest[1].revision() == evidence.revision);
}

TEST_CASE("A part that ended three endpoints is quarantined, those that "
          "others answer are not",
          "[crashes]")
{
  CrashEvidence evidence;
  EndWithParts(evidence, "e1", { "common", "bad" }, Start);
  EndWithParts(evidence, "e2", { "common", "bad" }, Start + absl::Seconds(1));
  CHECK(evidence.quarantined.empty());
  wg::NoteAnswered(evidence, PartSuspect("common"), Start);
  EndWithParts(evidence, "e3", { "common", "bad" }, Start + absl::Seconds(2));
  CHECK(wg::IsQuarantined(evidence, PartSuspect("bad")));
  CHECK(evidence.quarantined.size() == 1);
  // What only has the name of a part is no part.
  CHECK_FALSE(IsQuarantined(evidence, "bad"));
}

TEST_CASE("A request that comes again is held narrower than its parts",
          "[crashes]")
{
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    const Elapsed now = Start + absl::Seconds(i);
    EndWithParts(evidence, absl::StrCat("e", i), { "part" }, now);
    End(evidence, absl::StrCat("e", i), { "request" }, now);
  }
  CHECK(IsQuarantined(evidence, "request"));
  CHECK_FALSE(wg::IsQuarantined(evidence, PartSuspect("part")));
}

// A rack loses power: six endpoints end at once, with what began at them.
TEST_CASE("Endpoints that end together count once against a part", "[crashes]")
{
  CrashEvidence evidence;
  const auto endTogether = [&evidence](const std::string& rack, Elapsed now) {
    for (int i = 0; i < 6; ++i) {
      EndWithParts(evidence, absl::StrCat(rack, i), { "part" },
                   now + absl::Milliseconds(20 * i));
    }
  };
  endTogether("a", Start);
  endTogether("b", Start + absl::Seconds(2));
  CHECK(evidence.quarantined.empty());
  endTogether("c", Start + absl::Seconds(4));
  CHECK(wg::IsQuarantined(evidence, PartSuspect("part")));
}

// Boxes tell the same end at different times; the earliest holds.
TEST_CASE("An end that another box noted earlier lies further from the others",
          "[crashes]")
{
  CrashEvidence evidence;
  EndWithParts(evidence, "e1", { "part" }, Start + absl::Milliseconds(400));
  EndWithParts(evidence, "e2", { "part" }, Start + absl::Milliseconds(600));
  EndWithParts(evidence, "e3", { "part" }, Start + absl::Milliseconds(1200));
  CHECK(evidence.quarantined.empty());
  EndWithParts(evidence, "e1", { "part" }, Start);
  CHECK(wg::IsQuarantined(evidence, PartSuspect("part")));
}

TEST_CASE("Answers of a rare part outweigh its ends", "[crashes]")
{
  CrashEvidence evidence;
  const std::vector<wg::CrashSuspect> common = { PartSuspect("common") };
  const std::vector<wg::CrashSuspect> both = { PartSuspect("common"),
                                               PartSuspect("rare") };
  for (int i = 0; i < 10; ++i) {
    wg::NotePartsArrived(evidence, i == 0 ? both : common, Start);
  }
  EndWithParts(evidence, "e1", { "common", "rare" }, Start);
  // One in four for a part of all requests, one in forty for a tenth.
  constexpr double draw = 0.1;
  CHECK_FALSE(wg::NotePartAnswered(evidence, both[1], draw, Start));
  CHECK(wg::NotePartAnswered(evidence, both[0], draw, Start));
  CHECK_FALSE(wg::NotePartAnswered(evidence, both[0], draw, Start));
  CHECK(wg::CountedEnds(evidence, both[0]) == 0);
  CHECK(wg::CountedEnds(evidence, both[1]) == 1);
  // Nothing is known of what came.
  CrashEvidence fresh;
  EndWithParts(fresh, "e1", { "rare" }, Start);
  CHECK_FALSE(wg::NotePartAnswered(fresh, both[1], 0.0, Start));
}

// Ends of all boxes were held against the answers of one.
TEST_CASE("A common part is taken for sound by answers of all boxes",
          "[crashes]")
{
  CrashEvidence evidence;
  wg::NotePartsArrived(evidence, { PartSuspect("common") }, Start);
  wg::NotePartsArrived(evidence, { PartSuspect("common") }, Start);
  wg::NotePartAnswered(evidence, PartSuspect("common"), 1.0, Start);
  const auto endSeven = [&evidence] {
    for (int i = 0; i < 7; ++i) {
      EndWithParts(evidence, absl::StrCat("e", i), { "common" },
                   Start + absl::Seconds(i));
    }
  };
  SECTION("this box is the only one")
  {
    endSeven();
    CHECK(wg::IsQuarantined(evidence, PartSuspect("common")));
  }
  SECTION("there are eight others")
  {
    evidence.boxes = 9;
    endSeven();
    CHECK(evidence.quarantined.empty());
  }
}

// After all boxes were restarted none had seen an answer, and all held the
// part that all requests have.
TEST_CASE("A process that has seen no answers holds the part that came least",
          "[crashes]")
{
  CrashEvidence evidence;
  for (int i = 0; i < 6; ++i) {
    EndWithParts(evidence, absl::StrCat("e", i), { "common", "dead" },
                 Start + absl::Seconds(i));
  }
  const Elapsed later = Start + absl::Seconds(10);
  wg::NotePartsArrived(evidence,
                       { PartSuspect("common"), PartSuspect("dead") }, later);
  wg::NotePartsArrived(evidence, { PartSuspect("common") },
                       later + absl::Seconds(1));
  CHECK(wg::IsQuarantined(evidence, PartSuspect("dead")));
  CHECK(evidence.quarantined.size() == 1);
}

// A box that few requests had reached went on sending what all others held.
TEST_CASE("A rare part of which a box got many by chance is held there",
          "[crashes]")
{
  CrashEvidence evidence;
  constexpr int came = 24;
  constexpr int bad = 7;
  constexpr int answered = 5;
  for (int i = 0; i < came; ++i) {
    wg::NotePartsArrived(evidence, { PartSuspect(i < bad ? "bad" : "sound") },
                         Start);
  }
  for (int i = 0; i < answered; ++i) {
    wg::NotePartAnswered(evidence, PartSuspect("bad"), 1.0, Start);
  }
  for (int i = 0; i < 4; ++i) {
    EndWithParts(evidence, absl::StrCat("e", i), { "bad" },
                 Start + absl::Seconds(i));
  }
  CHECK(wg::IsQuarantined(evidence, PartSuspect("bad")));
}

TEST_CASE("A part of all requests is held for what one of them ends",
          "[crashes]")
{
  CrashEvidence evidence;
  const std::vector<wg::CrashSuspect> parts = { PartSuspect("a common part"),
                                                PartSuspect("bad") };
  const auto endThree = [&evidence] {
    for (int i = 0; i < 3; ++i) {
      EndWithParts(evidence, absl::StrCat("e", i), { "a common part", "bad" },
                   Start + absl::Seconds(i));
    }
  };
  SECTION("one answer tells them apart")
  {
    wg::NotePartAnswered(evidence, parts[0], 1.0, Start);
    endThree();
    CHECK(evidence.quarantined.size() == 1);
    CHECK(wg::IsQuarantined(evidence, parts[1]));
  }
  SECTION("it is taken for sound once it was answered as often as it met ends")
  {
    endThree();
    CHECK(wg::IsQuarantined(evidence, parts[0]));
    for (int i = 0; i < 3; ++i) {
      wg::NotePartsArrived(evidence, { parts[0] }, Start);
      wg::NotePartAnswered(evidence, parts[0], 1.0, Start);
    }
    wg::NotePartsArrived(evidence, { parts[0] }, Start + absl::Seconds(3));
    CHECK(evidence.quarantined.size() == 1);
    CHECK(wg::IsQuarantined(evidence, parts[1]));
  }
}
