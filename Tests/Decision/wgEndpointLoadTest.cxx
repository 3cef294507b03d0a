// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgEndpointLoad.h"

namespace {

using wg::Elapsed;
using wg::EndpointLoadReport;
using wg::KnownLoad;
using wg::ReportTrust;

constexpr Elapsed Now = absl::Seconds(100);

EndpointLoadReport Report(double running, double pace)
{
  wg::EndpointLoad load;
  load.running = running;
  load.slots = 1.0;
  load.pace = pace;
  return { load, false };
}

Elapsed After(int ms)
{
  return Now + absl::Milliseconds(ms);
}

} // namespace

// Guards against using a stale report for new calls.
TEST_CASE("A reported load is used for 200 ms")
{
  KnownLoad known;
  CHECK(FreshLoad(known, "e", Now) == nullptr);
  ApplyLoadReport(known, Report(1.0, 2.5), "e", Now);
  REQUIRE(FreshLoad(known, "e", After(200)) != nullptr);
  CHECK(FreshLoad(known, "e", After(200))->pace == 2.5);
  CHECK(FreshLoad(known, "e", After(201)) == nullptr);
  // A report from the future is not used: clocks are monotonic.
  CHECK(FreshLoad(known, "e", Now - absl::Milliseconds(1)) == nullptr);
}

// Guards against applying the report of an earlier start to the next one.
TEST_CASE("A reported load applies only to the start that reported it")
{
  KnownLoad known;
  ApplyLoadReport(known, Report(1.0, 2.5), "e@1", Now);
  CHECK(FreshLoad(known, "e@1", Now) != nullptr);
  CHECK(FreshLoad(known, "e@2", Now) == nullptr);
}

// Guards against a damaged report that renews or erases the previous one.
TEST_CASE("A missing or unreadable report leaves the previous one to age")
{
  KnownLoad known;
  ApplyLoadReport(known, Report(1.0, 2.5), "e", Now);
  ApplyLoadReport(known, {}, "e", After(100));
  CHECK(known.unreadable == 0);
  ApplyLoadReport(known, { {}, true }, "e", After(150));
  CHECK(known.unreadable == 1);
  CHECK(FreshLoad(known, "e", After(200)) != nullptr);
  CHECK(FreshLoad(known, "e", After(250)) == nullptr);
}

// Guards against an endpoint that attracts calls by false reports.
TEST_CASE("Reports that three calls in a row contradict are ignored for 5 s")
{
  ReportTrust trust;
  const auto note = [&trust](double took) {
    return NoteReportedCall(trust, 0.4, took, Now);
  };
  SECTION("calls take longer")
  {
    CHECK_FALSE(note(0.8));
    CHECK_FALSE(note(1.0));
    CHECK(IsTrusted(trust, Now));
    CHECK(note(2.0));
    CHECK_FALSE(IsTrusted(trust, After(4999)));
    CHECK(IsTrusted(trust, After(5000)));
  }
  SECTION("calls take less time, so reports repel work needlessly")
  {
    CHECK_FALSE(note(0.2));
    CHECK_FALSE(note(0.1));
    CHECK(note(0.2));
  }
  SECTION("not in a row")
  {
    for (int i = 0; i < 5; ++i) {
      CHECK_FALSE(note(1.0));
      CHECK_FALSE(note(1.0));
      CHECK_FALSE(note(0.4));
    }
    CHECK(IsTrusted(trust, Now));
  }
}
