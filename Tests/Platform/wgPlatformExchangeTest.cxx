// SPDX-License-Identifier: Apache-2.0
// More control boxes than a box follows: what one of them hears reaches the
// boxes that follow others.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;

constexpr int Ok = 200;
constexpr int Unavailable = 503;
constexpr int Controls = 8;

/** Endpoints of these tests tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "15000", 1);

struct ManyControls
{
  ManyControls() { cluster.AwaitServing(); }

  /** The figure in a gateway's metrics; below 0: none. */
  int Metric(int gateway, const std::string& name)
  {
    const std::string text = cluster.Metrics(gateway);
    for (absl::string_view line : absl::StrSplit(text, '\n')) {
      int value = 0;
      if (absl::ConsumePrefix(&line, name + " ") &&
          absl::SimpleAtoi(line, &value)) {
        return value;
      }
    }
    return -1;
  }

  /** An endpoint that is only told of. */
  int Tell(int control, const std::string& name, int sequence,
           const std::string& state = "ready")
  {
    const nlohmann::json heartbeat{
      { "service", "plain" }, { "address", "127.0.0.1:9" },
      { "zone", "h2" },       { "version", "v1" },
      { "capacity", 4 },      { "state", state },
      { "warmupLeftMs", 0 },  { "sequence", sequence },
      { "born", 1000 }
    };
    httplib::Client client("127.0.0.1", cluster.Api(control));
    const auto reply =
      client.Put("/-/instances/" + name, heartbeat.dump(), "application/json");
    return reply ? reply->status : 0;
  }

  int Send(int gateway)
  {
    const auto reply =
      cluster.Send(gateway, "/p/x", absl::StrCat("request", ++requests));
    return reply ? reply->status : 0;
  }

  void AwaitKnown(int count)
  {
    Await("all endpoints to be known", [&] {
      return Metric(0, "weirgate_endpoints_known") == count &&
             Metric(1, "weirgate_endpoints_known") == count;
    });
  }

  PlatformCluster cluster{ 2,
                           false,
                           { "h1", "h2" },
                           {},
                           { "h1", "h1", "h1", "h1", "h2", "h2", "h2",
                             "h2" } };
  int requests = 0;
};

} // namespace

TEST_CASE("Boxes that follow few of many control boxes know all endpoints",
          "[exchange]")
{
  ManyControls f;
  Await("few control boxes to be followed", [&] {
    return f.Metric(0, "weirgate_controls_followed") == 3 &&
           f.Metric(1, "weirgate_controls_followed") == 3;
  });
  constexpr int count = 400; // several pages
  for (int i = 0; i < count; ++i) {
    REQUIRE(f.Tell(i % Controls, absl::StrCat("i-", i), 1) == Ok);
  }
  f.AwaitKnown(count);
  // One that serves is used from both halls, and after its end from none,
  // whichever control box heard of it.
  PlatformStandin endpoint("serves");
  REQUIRE(endpoint.Register(f.cluster.Api(7), "plain"));
  for (int i = 0; i < count; ++i) {
    REQUIRE(f.Tell((i + 3) % Controls, absl::StrCat("i-", i), 2, "draining") ==
            Ok);
  }
  Await("the one that serves to be used",
        [&] { return f.Send(0) == Ok && f.Send(1) == Ok; });
  REQUIRE(endpoint.Leave(f.cluster.Api(2)));
  absl::SleepFor(absl::Seconds(1)); // drainMs of the users is 2.5 s or more
  const int runs = endpoint.AllRuns();
  CHECK(f.Send(0) == Unavailable);
  CHECK(f.Send(1) == Unavailable);
  CHECK(endpoint.AllRuns() == runs);
}

TEST_CASE("Control boxes that are killed take no endpoint with them",
          "[exchange-killed]")
{
  ManyControls f;
  constexpr int count = 600;
  for (int i = 0; i < count; ++i) {
    REQUIRE(f.Tell(i % 6, absl::StrCat("i-", i), 1) == Ok);
    if (i == count / 2) { // in the midst of the list
      f.cluster.Control(6).Kill();
      f.cluster.Control(7).Kill();
    }
  }
  f.AwaitKnown(count);
  // Back with an empty memory of what it missed.
  f.cluster.StartControl(6, false);
  Await("the control box to answer",
        [&] { return f.Tell(6, "late", 1) == Ok; });
  f.AwaitKnown(count + 1);
  // Those that heard of some are lost; what they told stays known.
  f.cluster.Control(0).Kill();
  f.cluster.Control(4).Kill();
  Await("an endpoint that is told to another one to be known", [&] {
    return f.Tell(1, "later", 1) == Ok &&
           f.Metric(0, "weirgate_endpoints_known") == count + 2 &&
           f.Metric(1, "weirgate_endpoints_known") == count + 2;
  });
}

TEST_CASE("A control box that is suspended is replaced while it sleeps",
          "[exchange-suspended]")
{
  ManyControls f;
  Await("few control boxes to be followed", [&] {
    return f.Metric(0, "weirgate_controls_followed") == 3 &&
           f.Metric(1, "weirgate_controls_followed") == 3;
  });
  // One box follows two of these four.
  for (const int control : { 4, 5, 6 }) {
    f.cluster.Control(control).Signal(SIGSTOP);
  }
  constexpr int count = 150;
  for (int i = 0; i < count; ++i) {
    REQUIRE(f.Tell(i % 4, absl::StrCat("i-", i), 1) == Ok);
  }
  f.AwaitKnown(count);
  for (const int control : { 4, 5, 6 }) {
    f.cluster.Control(control).Signal(SIGCONT);
  }
  REQUIRE(f.Tell(7, "after", 1) == Ok);
  f.AwaitKnown(count + 1);
}

TEST_CASE("A control box that lost its disk holds the document again",
          "[exchange-disk-lost]")
{
  // Whether it had a vote or not: a box may follow none but those without.
  // Each time anew, as the cluster bears one lost disk until all votes are
  // given again.
  for (int control = 1; control < Controls; ++control) {
    ManyControls f;
    const int metrics = f.cluster.FreePort();
    f.cluster.LoseDisk(
      control, { absl::StrCat("--metrics=", wg::test::Local(metrics)) });
    httplib::Client client("127.0.0.1", metrics);
    CHECK(wg::test::WaitFor([&client] {
      const auto reply = client.Get("/metrics");
      return reply &&
             absl::StrContains(reply->body, "weirgate_document_number 1\n");
    }));
  }
}

TEST_CASE("A word that comes late by another control box brings nothing back",
          "[exchange-old-word]")
{
  ManyControls f;
  PlatformStandin endpoint("serves");
  REQUIRE(endpoint.Register(f.cluster.Api(1), "plain"));
  Await("the endpoint to be used",
        [&] { return f.Send(0) == Ok && f.Send(1) == Ok; });
  REQUIRE(endpoint.Leave(f.cluster.Api(5)));
  Await("its end to be known",
        [&] { return f.Send(0) != Ok && f.Send(1) != Ok; });
  const int runs = endpoint.AllRuns();
  // A heartbeat that was under way comes to a third one.
  endpoint.Register(f.cluster.Api(3), "plain");
  for (int i = 0; i < 10; ++i) {
    CHECK(f.Send(0) == Unavailable);
    CHECK(f.Send(1) == Unavailable);
    absl::SleepFor(absl::Milliseconds(50));
  }
  CHECK(endpoint.AllRuns() == runs);
}
