// SPDX-License-Identifier: Apache-2.0
// Endpoints that fall silent while they answer: for a moment, as a process
// that is suspended does, or for good, as a connection does whose state was
// lost on the way.
#include "wgSilenceSite.h"

namespace {

using wg::test::Ok;
using wg::test::PauseMs;
using wg::test::StandinConduct;
using wg::test::Stream;
using wg::test::WholeStream;
using Site = wg::test::SilenceSite;

/** Endpoints of these tests tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

void CheckWhole(const std::vector<Stream>& streams)
{
  for (const Stream& stream : streams) {
    CAPTURE(stream.request);
    CHECK(stream.status == Ok);
    CHECK(stream.ids == WholeStream);
  }
}

} // namespace

// The box left an engine that paused for a moment, and only then asked for
// what going on elsewhere needs: the results of stages had been released.
TEST_CASE("A stream is cut as its engine pauses", "[answers-cut][paused]")
{
  Site site(2);
  CheckWhole(site.SendMany(4, [&] { site.engines[0]->PauseFor(PauseMs); }));
}

TEST_CASE("Streams are cut as all engines pause", "[answers-cut][paused]")
{
  Site site(2);
  CheckWhole(site.SendMany(4, [&] {
    for (const auto& engine : site.engines) {
      engine->PauseFor(PauseMs);
    }
  }));
}

// The same while documents come into force, which must make no difference.
TEST_CASE("Streams are cut as engines pause while documents come",
          "[answers-cut][paused-documents]")
{
  Site site(2);
  int number = 1;
  for (int round = 0; round < 3; ++round) {
    CheckWhole(site.SendMany(4, [&] {
      site.Publish(++number);
      for (const auto& engine : site.engines) {
        engine->PauseFor(PauseMs);
      }
      site.Publish(++number);
    }));
  }
}

// Nothing more comes over a connection for good; new ones work.
TEST_CASE("A stream whose connection is dead is cut",
          "[answers-cut][dead-connection]")
{
  Site site(2);
  site.engines[0]->SetEventMs(0);
  site.engines[0]->SetConduct(StandinConduct::Silent);
  int left = 0;
  for (int i = 0; i < 8; ++i) {
    const Stream stream = site.Send();
    CheckWhole({ stream });
    left += site.engines[0]->Runs(stream.request);
  }
  CHECK(left > 0);
}

// The engine is gone after its first event: the results of stages are made
// again for the next one.
TEST_CASE("A stream with stages is cut as its engine ends",
          "[answers-cut][engine-ends]")
{
  Site site(2);
  site.engines[0]->FallsFor(PauseMs);
  CheckWhole(site.SendMany(4, [&] { site.engines[0]->FallOver(); }));
}
