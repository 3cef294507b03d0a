// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgBeatsAfterEnd.h"

using wg::BeatsAfterEnd;
using wg::CrashEvidence;
using wg::IsQuarantined;
using wg::NoteBeatAfterEnd;

namespace {

const wg::Elapsed Now = absl::Hours(2);

wg::wire::Registration Beat(const std::string& endpoint, int sequence,
                            std::int64_t born = 0)
{
  wg::wire::Registration beat;
  beat.set_endpoint(endpoint);
  beat.set_sequence(static_cast<std::uint64_t>(sequence));
  beat.set_born_ms(born);
  return beat;
}

/** A request that was cut off at three endpoints. */
struct Site
{
  Site()
  {
    for (int i = 1; i <= 3; ++i) {
      wg::wire::Crash crash;
      crash.set_request("a");
      crash.set_endpoint(absl::StrCat("e", i));
      MergeCrash(evidence, crash, absl::Hours(1));
    }
  }
  CrashEvidence evidence;
  BeatsAfterEnd beats;
};

} // namespace

TEST_CASE("An endpoint that goes on to send heartbeats has not ended",
          "[beats]")
{
  Site site;
  REQUIRE(IsQuarantined(site.evidence, wg::RequestSuspect("a")));
  CHECK_FALSE(NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", 7), Now));
  CHECK_FALSE(NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", 8), Now));
  CHECK(IsQuarantined(site.evidence, wg::RequestSuspect("a")));
  CHECK(NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", 9), Now));
  CHECK_FALSE(IsQuarantined(site.evidence, wg::RequestSuspect("a")));
  CHECK_FALSE(
    NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", 19), Now));
}

TEST_CASE("Heartbeats on their way, and those of a later start, show nothing",
          "[beats]")
{
  Site site;
  NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", 7), Now);
  NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", 8), Now);
  for (int sequence = 1; sequence < 20; ++sequence) {
    NoteBeatAfterEnd(site.beats, site.evidence, Beat("e1", sequence, 99), Now);
    NoteBeatAfterEnd(site.beats, site.evidence, Beat("e9", sequence), Now);
  }
  CHECK(IsQuarantined(site.evidence, wg::RequestSuspect("a")));
}
