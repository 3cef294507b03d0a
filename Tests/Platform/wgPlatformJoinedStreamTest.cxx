// SPDX-License-Identifier: Apache-2.0
#include <csignal>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/time/clock.h"

#include "wgStreamVersions.h"

namespace {

using wg::test::Await;
using wg::test::Names;
using wg::test::Ok;
using wg::test::OneHall;
using wg::test::Stream;
using wg::test::TwoHalls;
using wg::test::TwoVersions;
using wg::test::Versions;

constexpr int Count = 12;
constexpr int Rounds = 4;

/** How all processes are killed and come back. */
struct KillOrder
{
  bool areControlsFirst; // 0.3 s before the others
  int downMs;
  int lateMs;     // one control box comes back so much later
  bool losesDisk; // one control box does
};

/** How the endpoints of a version leave before all processes are killed. */
struct VersionLeft
{
  int beforeMs;
  bool drains; // else they are deleted
};

} // namespace

// Control boxes that start again know no endpoints after a calm minute, and
// boxes take the version that is heard first for the only one.
TEST_CASE("All processes are killed after a calm minute", "[all-killed]")
{
  Versions f(OneHall, TwoVersions);
  absl::SleepFor(absl::Seconds(62));
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.AwaitCopies(0);
  absl::SleepFor(absl::Seconds(2)); // disks of test machines may stall
  f.RestartAll();
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int round = 0; round < Rounds; ++round) {
    absl::SleepFor(absl::Milliseconds(500));
    f.CheckNoneJoined(begun, 0);
    f.CheckNoneJoined(begun, 1);
  }
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitVersions(gateway, TwoVersions);
    for (const Stream& first : begun) {
      f.CheckGoesOn(first, gateway);
    }
  }
}

// What tells the versions apart must not rest on which process comes first.
TEST_CASE("All processes are killed in any order", "[kill-orders]")
{
  const KillOrder order = GENERATE(
    KillOrder{ true, 100, 0, false }, KillOrder{ false, 700, 0, false },
    KillOrder{ true, 3000, 0, false }, KillOrder{ true, 700, 5000, false },
    KillOrder{ false, 700, 0, true });
  CAPTURE(order.areControlsFirst, order.downMs, order.lateMs, order.losesDisk);
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.AwaitCopies(0);
  absl::SleepFor(absl::Seconds(2)); // disks of test machines may stall
  if (!order.areControlsFirst) {
    f.KillGateways();
    absl::SleepFor(absl::Milliseconds(300));
  }
  f.KillControls();
  if (order.areControlsFirst) {
    absl::SleepFor(absl::Milliseconds(300));
    f.KillGateways();
  }
  absl::SleepFor(absl::Milliseconds(order.downMs));
  f.cluster.StartControl(0, false);
  f.cluster.StartControl(1, false);
  if (order.losesDisk) {
    f.cluster.LoseDisk(2);
  } else if (order.lateMs == 0) {
    f.cluster.StartControl(2, false);
  }
  f.StartGateways();
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int round = 0; round < Rounds; ++round) {
    absl::SleepFor(absl::Milliseconds(500));
    f.CheckNoneJoined(begun, 0);
    f.CheckNoneJoined(begun, 1);
  }
  if (order.lateMs > 0) {
    absl::SleepFor(absl::Milliseconds(order.lateMs));
    f.cluster.StartControl(2, false);
  }
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitVersions(gateway, TwoVersions);
    for (const Stream& first : begun) {
      f.CheckGoesOn(first, gateway);
    }
  }
}

// Control boxes that start again take a version that has just left for one
// that left long ago.
TEST_CASE("All processes are killed after a version has left", "[all-killed]")
{
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.AwaitCopies(0);
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    REQUIRE(engine->Leave(f.cluster.Api(0)));
  }
  absl::SleepFor(absl::Seconds(2));
  f.RestartAll();
  for (int round = 0; round < Rounds; ++round) {
    absl::SleepFor(absl::Milliseconds(500));
    f.CheckNoneJoined(begun, 0);
    f.CheckNoneJoined(begun, 1);
  }
}

// What may have begun a stream must not hang on how long ago its version left.
TEST_CASE("A version leaves some time before all processes are killed",
          "[left-before]")
{
  const VersionLeft left = GENERATE(
    VersionLeft{ 0, false }, VersionLeft{ 0, true }, VersionLeft{ 8000, true },
    VersionLeft{ 18000, false }); // callers' deadlines are up to 20 s
  CAPTURE(left.beforeMs, left.drains);
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.AwaitCopies(0);
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    REQUIRE((left.drains
               ? engine->Register(f.cluster.Api(0), "llm", "draining")
               : engine->Leave(f.cluster.Api(0))));
  }
  absl::SleepFor(absl::Milliseconds(left.beforeMs));
  f.RestartAll();
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    Await("a stream to begin", [&] { return f.Begin(gateway).status == Ok; });
  }
  for (int round = 0; round < Rounds; ++round) {
    f.CheckNoneJoined(begun, 0);
    f.CheckNoneJoined(begun, 1);
    absl::SleepFor(absl::Milliseconds(500));
  }
}

// A box that stood still takes what it hears of one control box for the whole.
TEST_CASE("A box is suspended while endpoints of another version start",
          "[out-of-step]")
{
  Versions f(OneHall, { "v1" }, 2, true);
  f.cluster.Gateway(1).Signal(SIGSTOP);
  Await("the box to get no more copies", [&f] {
    f.Begin(0);
    return f.cluster.Counter(0, "coordinators_suspected") > 0;
  });
  absl::SleepFor(absl::Seconds(2)); // calls to control boxes wait for 1 s
  const auto other = Versions::MakeEngine("engine-v2", "v2");
  REQUIRE(other->Register(f.cluster.Api(1), "llm"));
  f.AwaitVersions(0, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.cluster.ControlLink(1).Cut();
  f.cluster.Gateway(0).Kill();
  f.cluster.StartGateway(0);
  Await("a ready gateway", [&f] { return f.cluster.Ready(0) == Ok; });
  f.cluster.Gateway(1).Signal(SIGCONT);
  for (int round = 0; round < Rounds; ++round) {
    absl::SleepFor(absl::Milliseconds(500));
    f.CheckNoneJoined(begun, 1);
  }
}

// What began a stream is forgotten with all gateways, though control boxes run
// on.
TEST_CASE("All gateways are killed while two versions serve",
          "[gateways-killed]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.AwaitCopies(0);
  f.RestartGateways();
  absl::SleepFor(absl::Seconds(3));
  for (const Stream& first : begun) {
    for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
      f.CheckGoesOn(first, gateway);
    }
  }
}

// Streams that go on only at a later try are lost to callers whose time is
// short: what counts is the first try, whenever it comes.
TEST_CASE("Streams are taken up as often as new ones begin after a kill",
          "[first-tries]")
{
  const Names halls =
    GENERATE(Names{ "h1", "h1", "h2" },
             Names{ "h1", "h1", "h1", "h1", "h1", "h2", "h2", "h2", "h2" });
  CAPTURE(halls.size());
  Versions f(halls, TwoVersions);
  for (int kill = 0; kill < 2; ++kill) { // some 8 s apart
    const auto begun = f.BeginMany(0, TwoVersions, Count);
    f.AwaitCopies(0);
    f.RestartGateways();
    const absl::Time started = absl::Now();
    int asked = 0;
    int goOn = 0;
    int begin = 0;
    while (absl::Now() - started < absl::Seconds(7)) {
      const int gateway = asked % f.cluster.Gateways();
      const Stream& first =
        begun[static_cast<std::size_t>(asked) % begun.size()];
      const Stream second = f.TakeUp(gateway, first.request);
      CHECK((second.status != Ok || second.versions == first.versions));
      goOn += second.status == Ok ? 1 : 0;
      begin += f.Begin(gateway).status == Ok ? 1 : 0;
      ++asked;
      absl::SleepFor(absl::Milliseconds(50));
    }
    CAPTURE(asked, goOn, begin);
    CHECK(begin > 0);
    CHECK(10 * goOn >= 9 * begin);
  }
}

// What began before another version came is sent to no control box.
TEST_CASE("All gateways are killed after another version has come",
          "[gateways-killed]")
{
  Versions f(TwoHalls, { "v1" });
  const auto begun = f.BeginMany(0, { "v1" }, Count);
  const auto other = Versions::MakeEngine("engine-v2", "v2");
  REQUIRE(other->Register(f.cluster.Api(1), "llm"));
  f.AwaitVersions(0, TwoVersions);
  f.AwaitCopies(0);
  f.RestartGateways();
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitVersions(gateway, TwoVersions);
    for (const Stream& first : begun) {
      f.CheckGoesOn(first, gateway);
    }
  }
}

// What began a stream must not be asked of control boxes alone.
TEST_CASE("All control boxes are killed while two versions serve",
          "[controls-killed]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, Count);
  f.AwaitCopies(0);
  f.KillControls();
  for (int round = 0; round < Rounds; ++round) {
    for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
      for (const Stream& first : begun) {
        f.CheckGoesOn(first, gateway);
      }
    }
    absl::SleepFor(absl::Seconds(1));
    if (round == 1) {
      for (int i = 0; i < wg::test::PlatformCluster::Controls; ++i) {
        f.cluster.StartControl(i, false);
      }
    }
  }
}

// Boxes that are killed as a version comes may not have told of it what they
// know of streams before it.
TEST_CASE("Another version comes in the moment before a kill",
          "[comes-before]")
{
  const int beforeMs = GENERATE(30, 100, 300, 1000);
  const bool areControlsKilled = GENERATE(false, true);
  CAPTURE(beforeMs, areControlsKilled);
  // Records take some 60 ms to the control boxes; their disks may stall.
  const bool isTold = beforeMs >= (areControlsKilled ? 1000 : 100);
  Versions f(TwoHalls, { "v1" });
  const auto begun = f.BeginMany(0, { "v1" }, Count);
  const auto other = Versions::MakeEngine("engine-v2", "v2");
  REQUIRE(other->Register(f.cluster.Api(1), "llm"));
  absl::SleepFor(absl::Milliseconds(beforeMs));
  if (areControlsKilled) {
    f.RestartAll();
  } else {
    f.RestartGateways();
  }
  // The version that came may be the first that boxes hear of.
  REQUIRE(other->Register(f.cluster.Api(1), "llm"));
  for (int round = 0; round < Rounds; ++round) {
    f.CheckNoneJoined(begun, round % f.cluster.Gateways());
    absl::SleepFor(absl::Milliseconds(300));
  }
  for (const auto& engine : f.engines) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitVersions(gateway, TwoVersions);
    const int goOn = f.CountGoingOn(begun, gateway);
    CAPTURE(gateway, goOn);
    CHECK((!isTold || 2 * goOn >= Count));
  }
}

// Streams that began in the moments before all processes are killed are lost.
TEST_CASE("All processes are killed as streams have just begun",
          "[early-streams]")
{
  const bool areControlsAlone = GENERATE(false, true);
  CAPTURE(areControlsAlone);
  constexpr int streams = 30;
  Versions f(TwoHalls, TwoVersions);
  absl::SleepFor(absl::Seconds(1)); // what began before is written
  const absl::Time first = absl::Now();
  std::vector<Stream> begun;
  for (int i = 0; i < streams; ++i) {
    begun.push_back(f.Begin(i % f.cluster.Gateways()));
    CHECK(begun.back().status == Ok);
  }
  const absl::Duration took = absl::Now() - first;
  CAPTURE(absl::FormatDuration(took));
  if (areControlsAlone) {
    f.KillControls();
    for (int i = 0; i < wg::test::PlatformCluster::Controls; ++i) {
      f.cluster.StartControl(i, false);
    }
    f.RestartGateways();
  } else {
    f.RestartAll();
  }
  for (const auto& engine : f.engines) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitVersions(gateway, TwoVersions);
    const int goOn = f.CountGoingOn(begun, gateway);
    CAPTURE(gateway, goOn);
    CHECK(10 * goOn >= 9 * streams); // all new ones begin
  }
}

// A version that a restart would forget begins streams.
TEST_CASE("A version starts while a disk takes nothing", "[unwritten]")
{
  Versions f(OneHall, { "v1" });
  REQUIRE(
    std::filesystem::create_directory(f.cluster.FileAt("c1/endpoints.new")));
  const auto other = Versions::MakeEngine("engine-v2", "v2");
  const absl::Time registered = absl::Now();
  REQUIRE(other->Register(f.cluster.Api(1), "llm"));
  for (bool isHeld = true; isHeld;) {
    const Stream stream = f.Begin(0);
    isHeld = absl::Now() < registered + absl::Seconds(1);
    CHECK((!isHeld || stream.versions == std::set<std::string>{ "v1" }));
  }
  // The service does not wait for the disk for ever.
  f.AwaitVersions(0, TwoVersions);
}
