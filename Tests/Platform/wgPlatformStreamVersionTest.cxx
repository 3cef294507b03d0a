// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include "wgStreamVersions.h"

namespace {

using wg::test::Await;
using wg::test::Names;
using wg::test::Ok;
using wg::test::OneHall;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::StandinConduct;
using wg::test::Stream;
using wg::test::TwoHalls;
using wg::test::TwoVersions;
using wg::test::Unavailable;
using wg::test::Versions;

} // namespace

// A stream that its caller takes up, at the box that began it or at another,
// goes on at an endpoint of another version.
TEST_CASE("A stream is taken up at another version", "[other-version]")
{
  Versions f(OneHall, TwoVersions);
  for (const Stream& first : f.BeginMany(0, TwoVersions, 20)) {
    f.CheckGoesOn(first, 0);
    f.CheckGoesOn(first, 1);
  }
}

// A stream whose endpoint falls silent is continued by the box at an endpoint
// of another version.
TEST_CASE("An answer goes on at another version", "[other-version]")
{
  Versions f({ "h1" }, TwoVersions);
  f.engines.front()->SetConduct(StandinConduct::Silent);
  f.engines.back()->SetConduct(StandinConduct::Silent);
  for (int i = 0; i < 24; ++i) {
    const Stream stream = f.Begin(0);
    CHECK(stream.status == Ok);
    CHECK(stream.ids == Names{ "1", "2", "3", "4" });
    CHECK(stream.versions.size() == 1);
  }
  CHECK(f.engines.front()->AllRuns() + f.engines.back()->AllRuns() > 0);
}

// A silent endpoint is the only one of its version: what it still says is
// lost if the box leaves it.
TEST_CASE("A stream is broken off for silence without another endpoint",
          "[silent-alone]")
{
  Versions f({ "h1" }, TwoVersions, 1);
  f.engines.front()->SetConduct(StandinConduct::Silent);
  std::thread late([&f] {
    absl::SleepFor(absl::Seconds(2));
    f.engines.front()->SetConduct(StandinConduct::Answer);
    f.engines.front()->GoOn();
  });
  int begun = 0;
  while (f.engines.front()->AllRuns() == 0 || begun == 0) {
    const Stream stream = f.Begin(0);
    begun += stream.versions.count("v1") > 0 ? 1 : 0;
    CHECK(stream.status == Ok);
    CHECK(stream.versions.size() == 1);
  }
  late.join();
}

// The version is forgotten with the box that began the stream.
TEST_CASE("The box that began a stream is killed", "[boxes-go]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 20);
  f.AwaitCopies(0);
  f.cluster.Gateway(0).Kill();
  for (int gateway = 1; gateway < f.cluster.Gateways(); ++gateway) {
    for (const Stream& first : begun) {
      f.CheckGoesOn(first, gateway);
    }
  }
}

// The version is forgotten with all boxes of the hall in which the stream was
// begun.
TEST_CASE("All boxes of a hall are killed", "[boxes-go]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 20);
  f.AwaitCopies(0);
  for (int gateway = 0; gateway < 3; ++gateway) {
    f.cluster.Gateway(gateway).Kill();
  }
  for (const Stream& first : begun) {
    f.CheckGoesOn(first, 3);
    f.CheckGoesOn(first, 4);
  }
}

// Boxes that stop one after the other take the version with them.
TEST_CASE("Boxes stop in turn before a stream is taken up", "[boxes-go]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 10);
  for (const int gateway : { 0, 1, 3, 4 }) {
    f.cluster.Gateway(gateway).Signal(SIGTERM);
    f.cluster.Gateway(gateway).Wait();
  }
  for (const Stream& first : begun) {
    f.CheckGoesOn(first, 2);
  }
}

// A box that is suspended answers no question.
TEST_CASE("The box that began a stream is suspended", "[boxes-go]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 20);
  f.AwaitCopies(0);
  f.cluster.Gateway(0).Signal(SIGSTOP);
  for (int gateway = 1; gateway < f.cluster.Gateways(); ++gateway) {
    for (const Stream& first : begun) {
      f.CheckGoesOn(first, gateway);
    }
  }
  f.cluster.Gateway(0).Signal(SIGCONT);
  for (const Stream& first : begun) {
    f.CheckGoesOn(first, 0);
  }
}

// What began a stream is guessed, or lost, once no box knows it.
TEST_CASE("All boxes are restarted before a stream is taken up",
          "[unknown-origin]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  f.AwaitCopies(0);
  f.RestartGateways();
  f.AwaitVersions(0, TwoVersions);
  for (const Stream& first : begun) {
    for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
      f.AwaitVersions(gateway, TwoVersions);
      f.CheckGoesOn(first, gateway);
    }
  }
}

// The version that began a stream has left as all boxes are killed, so that
// those that started again know the other version alone.
TEST_CASE("All boxes are restarted after a version has left",
          "[unknown-origin]")
{
  Versions f(TwoHalls, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  f.AwaitCopies(0);
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    REQUIRE(engine->Leave(f.cluster.Api(0)));
  }
  const auto check = [&f, &begun] {
    for (const Stream& first : begun) {
      for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
        f.AwaitVersions(gateway, { "v2" });
        if (first.versions.count("v1") > 0) {
          f.CheckRefused(f.TakeUp(gateway, first.request));
        } else {
          f.CheckGoesOn(first, gateway);
        }
      }
    }
  };
  f.RestartGateways();
  check();
  absl::SleepFor(absl::Seconds(3));
  check();
  f.RestartGateways();
  check();
}

// Where one version alone can have begun the stream, it goes on without a
// record.
TEST_CASE("All boxes are restarted while one version serves",
          "[unknown-origin]")
{
  Versions f(TwoHalls, { "v1" });
  const auto begun = f.BeginMany(0, { "v1" }, 2);
  f.RestartGateways();
  absl::SleepFor(absl::Seconds(3));
  for (const Stream& first : begun) {
    for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
      f.CheckGoesOn(first, gateway);
    }
  }
}

// Restarted boxes hear of one version alone while the control box that knows
// the other is suspended: streams without a record are refused, with one they
// go on at their own version.
TEST_CASE("All boxes are restarted beside a suspended control box",
          "[unknown-origin]")
{
  Versions f(OneHall, { "v1" });
  const auto other = Versions::MakeEngine("engine-v2", "v2");
  REQUIRE(other->Register(f.cluster.Api(1), "llm"));
  f.AwaitVersions(1, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  f.AwaitCopies(0);
  const auto check = [&](const Names& known) {
    for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
      const Stream unheard = f.TakeUp(gateway, "unheard-of");
      f.CheckRefused(unheard);
      CHECK(other->Runs(unheard.request) == 0);
      for (const Stream& first : begun) {
        const bool isKnown =
          std::count(known.begin(), known.end(), *first.versions.begin()) > 0;
        if (isKnown) {
          f.CheckGoesOn(first, gateway);
        } else {
          const Stream second = f.TakeUp(gateway, first.request);
          f.CheckRefused(second);
          CHECK(other->Runs(second.request) == 0);
        }
      }
    }
  };
  f.cluster.Control(1).Signal(SIGSTOP);
  f.RestartGateways();
  check({ "v1" });
  // By then the suspended control box is taken to be lost.
  absl::SleepFor(absl::Seconds(5));
  check({ "v1" });
  f.cluster.Control(1).Signal(SIGCONT);
  f.AwaitVersions(0, TwoVersions);
  f.AwaitVersions(1, TwoVersions);
  check(TwoVersions);
}

// Callers that name no request are served while one version serves, also by a
// box that has just started and by one whose neighbours do not answer.
TEST_CASE("A stream of the only version is taken up without a name",
          "[unknown-origin]")
{
  Versions f(TwoHalls, { "v1" });
  const auto takeUp = [&f](int gateway) {
    const Stream stream = f.Send(gateway, { { "Last-Event-Id", "2" } });
    CHECK(stream.status == Ok);
    CHECK(stream.ids == Names{ "3", "4" });
  };
  f.cluster.Gateway(0).Kill();
  f.cluster.StartGateway(0);
  Await("a ready gateway", [&] { return f.cluster.Ready(0) == Ok; });
  takeUp(0);
  for (const int gateway : { 1, 3, 4 }) {
    f.cluster.Gateway(gateway).Signal(SIGSTOP);
  }
  takeUp(2);
  f.cluster.Gateway(0).Kill();
  takeUp(2);
  for (const int gateway : { 1, 3, 4 }) {
    f.cluster.Gateway(gateway).Signal(SIGCONT);
  }
}

// A caller names no request, two, or one that began no stream.
TEST_CASE("A stream is taken up without a sound name", "[unknown-origin]")
{
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 2);
  const std::string one = begun[0].request;
  const std::string two = begun[1].request;
  const auto send = [&f](httplib::Headers headers) {
    headers.emplace("Last-Event-Id", "2");
    return f.Send(1, headers);
  };
  CHECK(f.CheckRefused(send({})) > 60.0);
  CHECK(f.CheckRefused(send({ { "Resumes", "unheard-of" } })) > 60.0);
  CHECK(f.CheckRefused(send({ { "Resumes", "" } })) > 60.0);
  CHECK(f.CheckRefused(send({ { "Resumes", one + " " + two } })) > 60.0);
  CHECK(f.CheckRefused(send({ { "Resumes", std::string(3000, 'a') } })) >
        60.0);
  CHECK(f.CheckRefused(send({ { "Resumes", one }, { "Resumes", two } })) >
        60.0);
  const Stream twice = send({ { "Resumes", two }, { "Resumes", two } });
  CHECK(twice.status == Ok);
  CHECK(twice.versions == begun[1].versions);
  // Without an event nothing is continued.
  CHECK(f.Send(1, { { "Resumes", "unheard-of" } }).ids.size() == 4);
}

// A stream is taken up twice: at its second try no event reached the caller.
TEST_CASE("A stream is taken up a third time", "[other-version]")
{
  Versions f(TwoHalls, TwoVersions);
  for (const Stream& first : f.BeginMany(0, TwoVersions, 10)) {
    f.CheckGoesOn(first, 3);
    f.cluster.Gateway(0).Signal(SIGSTOP);
    f.CheckGoesOn(first, 4);
    f.cluster.Gateway(0).Signal(SIGCONT);
  }
}

// The endpoints of the stream's version have left; others serve.
TEST_CASE("A stream is taken up whose version has gone", "[version-gone]")
{
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    REQUIRE(engine->Register(f.cluster.Api(0), "llm", "draining"));
  }
  Await("the version to leave",
        [&] { return f.TakeUp(1, begun[1].request).status == Unavailable; });
  for (const Stream& first : begun) {
    if (first.versions.count("v2") > 0) {
      f.CheckRefused(f.TakeUp(0, first.request));
      f.CheckRefused(f.TakeUp(1, first.request));
    } else {
      f.CheckGoesOn(first, 0);
      f.CheckGoesOn(first, 1);
    }
  }
}

// An endpoint is back under the same name, at the same address, with another
// version.
TEST_CASE("An endpoint restarts with another version", "[version-gone]")
{
  Versions f(OneHall, TwoVersions, 1);
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  f.engines[1]->SetVersion("v1");
  f.engines[1]->BornAt(Versions::FirstBornMs + 5000);
  REQUIRE(f.engines[1]->Register(f.cluster.Api(0), "llm"));
  Await("the new start to serve", [&] {
    f.TakeUp(0, begun[0].request);
    return f.TakeUp(1, begun[1].request).status == Unavailable &&
           f.TakeUp(0, begun[1].request).status == Unavailable;
  });
  for (const Stream& first : begun) {
    if (first.versions.count("v2") > 0) {
      f.CheckRefused(f.TakeUp(1, first.request));
    } else {
      f.CheckGoesOn(first, 1);
    }
  }
}

// The route leads to another service whose endpoints have the same version.
TEST_CASE("A stream is taken up after its route has left the service",
          "[service-changed]")
{
  Versions f(OneHall, { "v1" });
  PlatformStandin other("engine-other");
  other.SetVersion("v1");
  other.TellVersionInEvents();
  other.BornAt(Versions::FirstBornMs);
  REQUIRE(other.Register(f.cluster.Api(0), "other"));
  const auto begun = f.BeginMany(0, { "v1" }, 2);
  f.PublishTarget(2, "other");
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitBeginsAt(other, gateway);
    for (const Stream& first : begun) {
      CHECK(f.CheckRefused(f.TakeUp(gateway, first.request)) > 60.0);
    }
  }
  CHECK(other.Runs(begun[0].request) == 0);
  f.PublishTarget(3, "llm");
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    Await("the stream to go on",
          [&] { return f.TakeUp(gateway, begun[0].request).status == Ok; });
    f.CheckGoesOn(begun[1], gateway);
  }
}

// A stream goes on at the service that its route leads to now, once no box
// knows what began it.
TEST_CASE("All boxes are restarted before a route leaves its service",
          "[service-changed]")
{
  Versions f(OneHall, { "v1" });
  PlatformStandin other("engine-other");
  other.SetVersion("v1");
  other.TellVersionInEvents();
  other.BornAt(Versions::FirstBornMs);
  REQUIRE(other.Register(f.cluster.Api(0), "other"));
  const auto begun = f.BeginMany(0, { "v1" }, 2);
  f.RestartGateways();
  f.PublishTarget(2, "other");
  for (int gateway = 0; gateway < f.cluster.Gateways(); ++gateway) {
    f.AwaitBeginsAt(other, gateway);
    for (const Stream& first : begun) {
      const Stream second = f.TakeUp(gateway, first.request);
      f.CheckRefused(second);
      CHECK(other.Runs(second.request) == 0);
    }
  }
}

// An operator's order on a hall wins over a stream that only endpoints there
// could continue.
TEST_CASE("A stream is taken up whose version serves in an evacuated hall",
          "[orders-win]")
{
  Versions f(OneHall, TwoVersions);
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    engine->SetHall("h2");
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  Await("the order", [&] { return f.cluster.OrderHall(0, "h2", true) == Ok; });
  Await("the order to be heard", [&] {
    return f.TakeUp(0, begun[1].request).status == Unavailable &&
           f.TakeUp(1, begun[1].request).status == Unavailable;
  });
  for (const Stream& first : begun) {
    if (first.versions.count("v2") > 0) {
      f.CheckRefused(f.TakeUp(1, first.request));
    } else {
      f.CheckGoesOn(first, 1);
    }
  }
}

// The endpoints of the stream's version take no request now. Others do.
TEST_CASE("A stream is taken up whose endpoints have named a limit",
          "[orders-win]")
{
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 4);
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    engine->SetLimit(0.0);
  }
  Await("the limits to be named", [&] {
    f.Begin(0);
    return f.TakeUp(1, begun[1].request).status == Unavailable;
  });
  f.CheckRefused(f.TakeUp(0, begun[1].request));
  f.CheckRefused(f.TakeUp(0, begun[3].request));
  f.CheckGoesOn(begun[0], 1);
}

// An endpoint that asks for a rest gets it, and no other version stands in.
TEST_CASE("A stream is taken up whose endpoints rest", "[orders-win]")
{
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 2);
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    engine->SetRest(2.0);
    engine->SetTired(true);
  }
  for (int i = 0; i < 4; ++i) {
    f.CheckRefused(f.TakeUp(1, begun[1].request));
  }
  for (const auto& engine : { f.engines[2].get(), f.engines[3].get() }) {
    CHECK(engine->Refusals().size() == 1);
    engine->SetTired(false);
  }
  absl::SleepFor(absl::Seconds(2));
  f.CheckGoesOn(begun[1], 1);
}

// What cold endpoints bear is kept, and no other version stands in.
TEST_CASE("Streams are taken up whose endpoints are cold", "[orders-win]")
{
  constexpr double perSecond = 5.0;
  constexpr double borne = perSecond * 1.5 + 5.0; // as gateways are started
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 2);
  auto document = PlatformCluster::Json::parse(PlatformCluster::Document(2));
  document["services"][1]["warmupPerS"] = perSecond;
  REQUIRE(f.cluster.Publish(0, document.dump()) == Ok);
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    engine->SetWarmupMs(60000);
    REQUIRE(engine->Register(f.cluster.Api(0), "llm"));
  }
  absl::SleepFor(absl::Seconds(1));
  const absl::Time from = absl::Now();
  int wentOn = 0;
  for (int i = 0; absl::Now() < from + absl::Seconds(4); ++i) {
    const Stream stream = f.TakeUp(i % 2, begun[0].request);
    wentOn += stream.status == Ok ? 1 : 0;
    CHECK((stream.status == Ok || stream.status == Unavailable));
    CHECK((stream.status != Ok || stream.versions == begun[0].versions));
  }
  CHECK(wentOn > 0);
  for (const auto& engine : { f.engines[0].get(), f.engines[1].get() }) {
    const std::vector<absl::Time> arrivals = engine->Arrivals();
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto last =
        std::find_if(first, arrivals.end(), [&](absl::Time at) {
          return at >= *first + absl::Seconds(1);
        });
      CHECK((*first < from || last - first <= borne));
    }
  }
  f.CheckGoesOn(begun[1], 1);
}

// A roll-out decides where streams begin, not where they go on; once it has
// ended, the version that gives way continues none.
TEST_CASE("Streams are taken up during a roll-out", "[orders-win]")
{
  Versions f(OneHall, TwoVersions);
  const auto begun = f.BeginMany(0, TwoVersions, 20);
  httplib::Client client("127.0.0.1", f.cluster.Api(0));
  const auto state = [&client] {
    const auto reply = client.Get("/-/rollouts/llm");
    return reply ? reply->body : "";
  };
  Await("the roll-out to begin", [&] {
    const auto reply = client.Post(
      "/-/rollouts",
      R"({"service": "llm", "targetVersion": "v2", "durationS": 8})",
      "application/json");
    return reply && reply->status == Ok;
  });
  absl::SleepFor(absl::Milliseconds(500));
  for (const Stream& first : begun) {
    f.CheckGoesOn(first, 1);
  }
  Await("the roll-out to end", [&] {
    f.Begin(0);
    return absl::StrContains(state(), "completed") ||
           absl::StrContains(state(), "rolled_back");
  });
  const bool isCompleted = absl::StrContains(state(), "completed");
  Await("its end to be heard", [&] {
    return f.TakeUp(1, begun[isCompleted ? 0 : 1].request).status ==
           Unavailable;
  });
  f.CheckGoesOn(begun[isCompleted ? 1 : 0], 1);
}
