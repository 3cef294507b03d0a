// SPDX-License-Identifier: Apache-2.0
// The soak's checker finds each fault that is planted in a sound record.
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgPlatformSoakCheck.h"

namespace {

using wg::test::CheckSoak;
using wg::test::SoakRecord;

SoakRecord Sound()
{
  SoakRecord record;
  record.requests = { { "a", "a|x", 200, "a|x", "i-1", 0, {} },
                      { "b", "b|x", 503, "", "", 0, {} },
                      { "c", "c|x", 502, "", "", 0, {} },
                      { "d", "d|x", 0, "", "", 0, {} } };
  record.runs = { { "a", 1 }, { "c", 1 } };
  record.reads = { { 3, 3 }, { 3, 4 } };
  record.acknowledged = 4;
  record.readAtEnd = 4;
  return record;
}

/** The one finding, by its first word. */
std::string Found(const SoakRecord& record)
{
  const auto findings = CheckSoak(record);
  REQUIRE(findings.size() == 1);
  return findings[0].substr(0, findings[0].find(':'));
}

} // namespace

TEST_CASE("A sound record has no finding")
{
  CHECK(CheckSoak(Sound()).empty());
}

TEST_CASE("Each planted fault is found")
{
  SoakRecord record = Sound();
  SECTION("another request's answer")
  {
    record.requests[0].body = "c|x";
    CHECK(Found(record) == "MIXED");
  }
  SECTION("an answer that was cut")
  {
    record.requests[0].body = "a|";
    CHECK(Found(record) == "MIXED");
  }
  SECTION("an answer whose status is none")
  {
    record.requests[3].hasAnswer = true;
    CHECK(Found(record) == "MIXED");
    record.requests[3].status = 600;
    CHECK(Found(record) == "MIXED");
  }
  SECTION("an answer without a signature")
  {
    record.requests[0].sealedBy.clear();
    CHECK(Found(record) == "MIXED");
  }
  SECTION("an answer without a run")
  {
    record.runs.erase("a");
    CHECK(Found(record) == "MIXED");
  }
  SECTION("a promise that does not hold")
  {
    record.runs["b"] = 1;
    CHECK(Found(record) == "REFUSED");
  }
  SECTION("a second run")
  {
    record.runs["c"] = 2;
    CHECK(Found(record) == "TWICE");
  }
  SECTION("a run that nobody asked for")
  {
    record.runs["e"] = 1;
    CHECK(Found(record) == "UNASKED");
  }
  SECTION("inputs of another request")
  {
    record.unsoundPieces = 1;
    CHECK(Found(record) == "MIXED");
  }
  SECTION("an older document")
  {
    record.reads.push_back({ 4, 3 });
    CHECK(Found(record) == "CONFIG");
  }
  SECTION("a lost document")
  {
    record.readAtEnd = 3;
    CHECK(Found(record) == "LOST");
  }
  SECTION("a gateway that does not come back")
  {
    record.unservedAtEnd = 1;
    CHECK(Found(record) == "RECOVER");
  }
}

TEST_CASE("What endpoints ask of senders and do not get is found")
{
  using Kind = wg::test::SoakAsk::Kind;
  const absl::Time start = absl::UnixEpoch();
  wg::test::SoakAsk ask;
  ask.endpoint = "e";
  ask.from = start;
  ask.until = start + absl::Seconds(10);
  ask.perSecond = 1.0;
  ask.boxes = 3;
  ask.callers = 6;
  const auto findings = [&](Kind kind, int arrivals, double at) {
    ask.kind = kind;
    ask.arrivals.assign(static_cast<std::size_t>(arrivals),
                        start + absl::Seconds(at));
    wg::test::SoakRecord record = Sound();
    record.asks.push_back(ask);
    return wg::test::CheckSoak(record).size();
  };
  CHECK(findings(Kind::Limit, 11, 5.0) == 0);
  CHECK(findings(Kind::Limit, 12, 5.0) == 1);
  CHECK(findings(Kind::Limit, 12, 2.0) == 0); // not all were told
  CHECK(findings(Kind::Rest, 24, 1.0) == 0);
  CHECK(findings(Kind::Rest, 25, 1.0) == 1);
  CHECK(findings(Kind::Rest, 25, 0.2) == 0);
  CHECK(findings(Kind::Leaving, 18, 4.0) == 0);
  CHECK(findings(Kind::Leaving, 19, 4.0) == 1);
  CHECK(findings(Kind::Leaving, 19, 2.0) == 0);
}

TEST_CASE("Boxes without a path that serve far less are found")
{
  constexpr int each = 60;
  SoakRecord record = Sound();
  const absl::Time from = absl::UnixEpoch() + absl::Seconds(100);
  record.cuts = { { { 1, 2 }, from, from + absl::Seconds(8), "" } };
  const auto send = [&record](int box, absl::Time sent, int served) {
    for (int i = 0; i < each; ++i) {
      const std::string id = absl::StrCat("r", record.requests.size());
      const bool isServed = i < served;
      record.requests.push_back({ id, id, isServed ? 200 : 503,
                                  isServed ? id : "", isServed ? "i-1" : "",
                                  box, sent });
      if (isServed) {
        record.runs[id] = 1;
      }
    }
  };
  const absl::Time judged = from + absl::Seconds(4);
  send(0, judged, each);
  send(1, from + absl::Seconds(2), 0); // before all have been told
  send(1, from + absl::Seconds(9), 0); // after it
  SECTION("as often as the others")
  {
    send(1, judged, each);
    CHECK(CheckSoak(record).empty());
  }
  SECTION("two thirds as often")
  {
    send(1, judged, each * 2 / 3);
    CHECK(CheckSoak(record).empty());
  }
  SECTION("half as often")
  {
    send(2, judged, each / 2);
    CHECK(Found(record) == "RECOVER");
  }
  SECTION("the others serve as little")
  {
    send(2, judged, 0);
    for (wg::test::SoakRequest& request : record.requests) {
      request.status = request.box == 0 ? 503 : request.status;
    }
    record.runs.clear();
    CHECK(CheckSoak(record).empty());
  }
}

TEST_CASE("Brittle endpoints that fell over too often are found")
{
  SoakRecord record = Sound();
  record.brittle = { { "svc", 6, 2 }, { "svc", 20, 4 } };
  CHECK(CheckSoak(record).empty());
  record.brittle = { { "svc", 6, 3 } };
  CHECK(Found(record) == "LIMIT");
}

namespace {

wg::test::SoakStream WholeStream(const std::vector<int>& events,
                                 const std::set<std::string>& versions)
{
  wg::test::SoakStream stream;
  stream.id = "s";
  stream.length = 4;
  stream.events = events;
  stream.versions = versions;
  stream.tries.resize(1);
  stream.tries[0].isWhole = true;
  return stream;
}

std::size_t FindingsOf(const wg::test::SoakStream& stream)
{
  wg::test::SoakStreams record;
  record.streams = { stream };
  return wg::test::CheckStreams(record).size();
}

} // namespace

TEST_CASE("Streams over two versions, with gaps or ended early are found")
{
  CHECK(FindingsOf(WholeStream({ 1, 2, 3, 4 }, { "v1" })) == 0);
  CHECK(FindingsOf(WholeStream({ 1, 2, 3, 4 }, { "v1", "v2" })) == 1);
  CHECK(FindingsOf(WholeStream({ 1, 3, 4 }, { "v1" })) == 1);
  CHECK(FindingsOf(WholeStream({ 1, 2, 2, 3, 4 }, { "v1" })) == 1);
  CHECK(FindingsOf(WholeStream({ 1, 2, 3 }, { "v1" })) == 1);
  auto open = WholeStream({ 1, 2, 3 }, { "v1" });
  open.tries[0].isWhole = false;
  CHECK(FindingsOf(open) == 0);
}

TEST_CASE("Streams that are taken up and rarely go on are found")
{
  const absl::Time now = absl::FromUnixSeconds(1000);
  wg::test::SoakStreams record;
  for (int i = 0; i < 20; ++i) {
    wg::test::SoakStream stream;
    stream.tries.resize(2);
    stream.tries[0].sent = now;
    stream.tries[0].events = i < 18 ? 1 : 0;
    stream.tries[1].sent = now;
    stream.tries[1].takesUp = true;
    stream.tries[1].events = i < 9 ? 1 : 0; // half of 18
    record.streams.push_back(stream);
  }
  CHECK(wg::test::CheckStreams(record).empty());
  record.streams[0].tries[1].events = 0;
  CHECK(wg::test::CheckStreams(record).size() == 1);
  // Boxes out of touch do not count.
  record.disturbances = { { 0, now - absl::Seconds(2),
                            now - absl::Seconds(1) } };
  CHECK(wg::test::CheckStreams(record).empty());
  record.disturbances = { { 1, now - absl::Seconds(2), now } };
  CHECK(wg::test::CheckStreams(record).size() == 1);
  record.disturbances = { { wg::test::SoakDisturbance::AllBoxes,
                            now - absl::Seconds(2), now } };
  CHECK(wg::test::CheckStreams(record).empty());
}

TEST_CASE("A service whose endpoints some boxes do not reach serves less")
{
  constexpr int each = 100;
  SoakRecord record = Sound();
  const absl::Time from = absl::UnixEpoch() + absl::Seconds(100);
  record.cuts = { { { 1 }, from, from + absl::Seconds(8), "enc" } };
  const auto send = [&record](absl::Time sent, bool isStream, int served) {
    for (int i = 0; i < each; ++i) {
      const std::string id = absl::StrCat("r", record.requests.size());
      const bool isServed = i < served;
      record.requests.push_back({ id, id, isServed ? 200 : 503,
                                  isServed ? id : "", isServed ? "i-1" : "", 0,
                                  sent, isStream });
      if (isServed) {
        record.runs[id] = 1;
      }
    }
  };
  const absl::Time judged = from + absl::Seconds(4);
  send(from - absl::Seconds(5), true, each);
  send(from + absl::Seconds(2), true, 0); // before all have found out
  send(judged, false, 0);                 // these need another service
  SECTION("the aim")
  {
    send(judged, true, each * 95 / 100);
    CHECK(CheckSoak(record).empty());
  }
  SECTION("below the aim")
  {
    send(judged, true, each * 94 / 100);
    CHECK(CheckSoak(record).size() == 1);
  }
}
