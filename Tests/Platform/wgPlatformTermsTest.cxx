// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::StandinConduct;

constexpr int Ok = 200;
constexpr int Gateways = 3;
/** The users allow boxes so long to heed what one of them was told. */
constexpr absl::Duration HeedWithin = absl::Milliseconds(500);
/** The rule on limits: within any LimitWindow at most one and a half times
 * what the limit allows, and LimitSlack more.
 */
constexpr absl::Duration LimitWindow = absl::Seconds(4);
constexpr double LimitOverrun = 1.5;
constexpr double LimitSlack = 5.0;

std::string NextId()
{
  static std::atomic<int> number{ 0 };
  return absl::StrCat("request", ++number);
}

/** Endpoints of one service with their heartbeats. */
class Service
{
public:
  Service(PlatformCluster& cluster, const std::string& name, int count)
  {
    for (int i = 0; i < count; ++i) {
      endpoints_.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat(name, "-", i)));
    }
    heart_ = std::thread([this, &cluster, name] {
      while (!stopping_) {
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
          const int control = static_cast<int>(i) % PlatformCluster::Controls;
          endpoints_[i]->Register(cluster.Api(control), name);
        }
        absl::SleepFor(absl::Milliseconds(300));
      }
    });
  }
  ~Service()
  {
    stopping_ = true;
    heart_.join();
  }
  PlatformStandin& MostUsed()
  {
    return **std::max_element(
      endpoints_.begin(), endpoints_.end(), [](const auto& a, const auto& b) {
        return a->Arrivals().size() < b->Arrivals().size();
      });
  }

  /** Of two. */
  PlatformStandin& Other(const PlatformStandin& endpoint)
  {
    return endpoints_[0].get() == &endpoint ? *endpoints_[1] : *endpoints_[0];
  }

private:
  std::vector<std::unique_ptr<PlatformStandin>> endpoints_;
  std::atomic<bool> stopping_{ false };
  std::thread heart_;
};

/** What one caller got. */
struct Got
{
  int status = 0;
  absl::Duration held;
  double retryAfter = 0.0; // seconds
};

Got SendOne(PlatformCluster& cluster, int gateway, const std::string& path)
{
  const absl::Time sent = absl::Now();
  const auto reply = cluster.Send(gateway, path, NextId());
  Got got;
  got.held = absl::Now() - sent;
  if (reply) {
    got.status = reply->status;
    const std::string after = reply->get_header_value("Retry-After");
    got.retryAfter = after.empty() ? 0.0 : std::stod(after);
  }
  return got;
}

/** Callers at so many gateways, each again `pause` after its answer. */
std::vector<Got> SendMany(PlatformCluster& cluster, const std::string& path,
                          int callers, absl::Duration time,
                          absl::Duration pause, int gateways = Gateways)
{
  const absl::Time until = absl::Now() + time;
  std::vector<std::vector<Got>> got(static_cast<std::size_t>(callers));
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      while (absl::Now() < until) {
        got[static_cast<std::size_t>(i)].push_back(
          SendOne(cluster, i % gateways, path));
        absl::SleepFor(pause);
      }
    });
  }
  std::vector<Got> all;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    all.insert(all.end(), got[i].begin(), got[i].end());
  }
  return all;
}

std::size_t CountServed(const std::vector<Got>& all)
{
  return static_cast<std::size_t>(std::count_if(
    all.begin(), all.end(), [](const Got& got) { return got.status == Ok; }));
}

/** The most arrivals within any LimitWindow from then on. */
std::size_t MostInWindow(const std::vector<absl::Time>& arrivals,
                         absl::Time from)
{
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (*first >= from) {
      const auto last =
        std::lower_bound(first, arrivals.end(), *first + LimitWindow);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
  }
  return most;
}

std::size_t CountSince(const std::vector<absl::Time>& arrivals,
                       absl::Time from)
{
  return static_cast<std::size_t>(
    arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), from));
}

void AwaitServed(PlatformCluster& cluster, const std::string& path)
{
  for (int gateway = 0; gateway < Gateways; ++gateway) {
    Await("a request to be served by each box",
          [&] { return SendOne(cluster, gateway, path).status == Ok; });
  }
}

/** While callers of all boxes go on, the endpoint that they use most names a
 * limit, then another one, then none any more.
 */
void CheckLimit(PlatformCluster& cluster, const std::string& path,
                Service& service)
{
  constexpr int callers = 9;
  constexpr absl::Duration pause = absl::Milliseconds(40);
  AwaitServed(cluster, path);
  SendMany(cluster, path, callers, absl::Seconds(1), pause);
  PlatformStandin& limited = service.MostUsed();
  for (const double limit : { 1.0, 4.0 }) {
    limited.SetLimit(limit);
    const absl::Time told = absl::Now() + HeedWithin;
    const auto all = SendMany(cluster, path, callers, 2 * LimitWindow, pause);
    const auto most = static_cast<double>(
      MostInWindow(limited.AllArrivals(), told + HeedWithin));
    const double allowed = absl::ToDoubleSeconds(LimitWindow) * limit;
    CAPTURE(limit, all.size());
    CHECK(most <= allowed * LimitOverrun + LimitSlack);
    CHECK(most >= allowed / 2);
    CHECK(CountServed(all) == all.size());
  }
  limited.SetLimit(-1.0);
  SendMany(cluster, path, callers, absl::Seconds(2), pause);
  const absl::Time ended = absl::Now();
  SendMany(cluster, path, callers, LimitWindow, pause);
  // It gets its share again, of three endpoints of which none has a limit.
  CHECK(CountSince(limited.Arrivals(), ended) > 30);
}

/** All boxes send to one endpoint, which names a limit so long after they
 * have come to know each other.
 */
void CheckAllLimited(absl::Duration known)
{
  constexpr int unavailable = 503;
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 1);
  cluster.AwaitServing();
  AwaitServed(cluster, "/p/x");
  absl::SleepFor(known);
  plain.MostUsed().SetLimit(1.0);
  SendMany(cluster, "/p/x", 3, HeedWithin, absl::Milliseconds(20));
  const auto all =
    SendMany(cluster, "/p/x", 6, absl::Seconds(8), absl::Milliseconds(100));
  int refused = 0;
  for (const Got& got : all) {
    REQUIRE((got.status == Ok || got.status == unavailable));
    refused += got.status == unavailable ? 1 : 0;
    if (got.status == unavailable) {
      CHECK(got.held < absl::Milliseconds(500));
      CHECK(got.retryAfter >= 0.3);
      CHECK(got.retryAfter < 4.0);
    }
  }
  CHECK(refused > 0);
  CHECK(CountServed(all) >= 5);
}

constexpr absl::Duration RestAsked = absl::Seconds(3);
/** The rule on rests: from HeedWithin after one is asked for until its end. */
constexpr std::size_t RestSlack = 2;

/** While callers of one box go on, the endpoint that they use most refuses
 * once, asks that box for a rest, and would answer from then on.
 */
void CheckRest(PlatformCluster& cluster, const std::string& path,
               Service& service)
{
  constexpr int callers = 6;
  constexpr int oneBox = 1;
  constexpr absl::Duration pause = absl::Milliseconds(20);
  AwaitServed(cluster, path);
  SendMany(cluster, path, callers, absl::Seconds(1), pause, oneBox);
  PlatformStandin& tired = service.MostUsed();
  tired.SetRest(absl::ToDoubleSeconds(RestAsked));
  tired.RefuseNext();
  const auto all = SendMany(cluster, path, callers,
                            RestAsked + absl::Seconds(2), pause, oneBox);
  REQUIRE(tired.Refusals().size() == 1);
  const absl::Time asked = tired.Refusals().front();
  const auto arrivals = tired.AllArrivals();
  const std::size_t after = CountSince(arrivals, asked + RestAsked);
  CHECK(CountSince(arrivals, asked + HeedWithin) - after <= RestSlack);
  CHECK(CountServed(all) + 1 >= all.size());
  CHECK(after > 10); // it gets its share again
}

/** What the users allow from the moment a box was told to the last request
 * that it sends there.
 */
constexpr absl::Duration DrainTime = absl::Seconds(2);

/** While callers of all boxes go on, the endpoint that they use most says that
 * it leaves, though its heartbeats don't.
 */
void CheckLeaving(PlatformCluster& cluster, const std::string& path,
                  Service& service)
{
  constexpr int callers = 9;
  constexpr absl::Duration pause = absl::Milliseconds(40);
  AwaitServed(cluster, path);
  SendMany(cluster, path, callers, absl::Seconds(1), pause);
  PlatformStandin& leaving = service.MostUsed();
  leaving.SetLeaving(true);
  const absl::Time told = absl::Now() + HeedWithin;
  const auto all = SendMany(cluster, path, callers,
                            HeedWithin + DrainTime + absl::Seconds(3), pause);
  CHECK(CountSince(leaving.AllArrivals(), told + DrainTime) == 0);
  CHECK(CountServed(all) == all.size());
}

} // namespace

TEST_CASE("A plain endpoint that names a limit gets more from all boxes",
          "[limit-plain]")
{
  // No box read the limits that endpoints name in their answers.
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 3);
  cluster.AwaitServing();
  CheckLimit(cluster, "/p/x", plain);
}

TEST_CASE("An engine that names a limit gets more from all boxes",
          "[limit-engines]")
{
  // No box read the limits that endpoints name in their answers.
  PlatformCluster cluster(Gateways);
  Service engines(cluster, "llm", 3);
  cluster.AwaitServing();
  CheckLimit(cluster, "/r/x", engines);
}

TEST_CASE("A stage's endpoint that names a limit gets more calls",
          "[limit-stages]")
{
  // No box read the limits that endpoints name in their answers.
  PlatformCluster cluster(Gateways);
  Service engines(cluster, "llm", 2);
  Service encoders(cluster, "enc", 3);
  cluster.AwaitServing();
  CheckLimit(cluster, "/s/x", encoders);
}

TEST_CASE("A limit is exceeded as boxes end and start again",
          "[limit-restarts]")
{
  // The box that hands out what all send may end, and others take its place.
  constexpr double limit = 10.0;
  constexpr int callers = 9;
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 3);
  cluster.AwaitServing();
  AwaitServed(cluster, "/p/x");
  PlatformStandin& limited = plain.MostUsed();
  limited.SetLimit(limit);
  const absl::Time told = absl::Now() + HeedWithin;
  std::atomic<bool> over{ false };
  std::thread restarts([&] {
    for (int i = 0; !over; ++i) {
      absl::SleepFor(absl::Milliseconds(900));
      cluster.Gateway(i % Gateways).Kill();
      absl::SleepFor(absl::Milliseconds(300));
      cluster.StartGateway(i % Gateways);
    }
  });
  SendMany(cluster, "/p/x", callers, 4 * LimitWindow, absl::Milliseconds(20));
  over = true;
  restarts.join();
  const auto most =
    static_cast<double>(MostInWindow(limited.Arrivals(), told + HeedWithin));
  CHECK(most <= absl::ToDoubleSeconds(LimitWindow) * limit * LimitOverrun +
                  LimitSlack);
}

TEST_CASE("Callers are kept waiting while all endpoints are limited",
          "[limit-all]")
{
  // What can't be sent anywhere is refused at once, with when to come back.
  CheckAllLimited(LimitWindow); // until the box that hands out is settled
}

TEST_CASE("Callers are kept waiting for a box that is about to be settled",
          "[limit-settling]")
{
  // They were told the wait at the lesser rate that this box had until then.
  CheckAllLimited(LimitWindow - absl::Seconds(1));
}

TEST_CASE("Callers are kept waiting as a box that stood in told them to",
          "[limit-stood-in]")
{
  // While one box was silent for a second, the box in its place handed out
  // little; others went on to heed that for 4 s.
  constexpr int unavailable = 503;
  constexpr double settledWait = 1.0 / 0.75 + 1.0; // seconds, with the spread
  const std::string path = "/p/x";
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 1);
  cluster.AwaitServing();
  AwaitServed(cluster, path);
  plain.MostUsed().SetLimit(1.0);
  SendMany(cluster, path, Gateways, LimitWindow, absl::Milliseconds(50));
  for (int silent = 0; silent < Gateways; ++silent) {
    const auto sendToOthers = [&] {
      std::vector<Got> got;
      for (int gateway = 0; gateway < Gateways; ++gateway) {
        if (gateway != silent) {
          got.push_back(SendOne(cluster, gateway, path));
        }
      }
      return got;
    };
    cluster.Gateway(silent).Signal(SIGSTOP);
    const absl::Time end = absl::Now() + absl::Seconds(1);
    while (absl::Now() < end) {
      sendToOthers();
      absl::SleepFor(absl::Milliseconds(50));
    }
    cluster.Gateway(silent).Signal(SIGCONT);
    absl::SleepFor(absl::Seconds(1)); // until it is asked again
    for (const Got& got : sendToOthers()) {
      CAPTURE(silent);
      REQUIRE((got.status == Ok || got.status == unavailable));
      CHECK(got.retryAfter <= settledWait + 0.1);
    }
    absl::SleepFor(LimitWindow);
  }
}

TEST_CASE("A plain endpoint that asked for a rest gets requests",
          "[rest-plain]")
{
  // No box read how long an endpoint that refused wants nothing from it.
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 3);
  cluster.AwaitServing();
  CheckRest(cluster, "/p/x", plain);
}

TEST_CASE("An engine that asked for a rest gets what others refuse",
          "[rest-engines]")
{
  // No box read how long an endpoint that refused wants nothing from it.
  constexpr int callers = 6;
  constexpr int oneBox = 1;
  constexpr absl::Duration pause = absl::Milliseconds(20);
  PlatformCluster cluster(Gateways);
  Service engines(cluster, "llm", 2);
  cluster.AwaitServing();
  AwaitServed(cluster, "/r/x");
  SendMany(cluster, "/r/x", callers, absl::Seconds(1), pause, oneBox);
  PlatformStandin& tired = engines.MostUsed();
  PlatformStandin& other = engines.Other(tired);
  tired.SetRest(absl::ToDoubleSeconds(RestAsked));
  tired.RefuseNext();
  Await("a refusal", [&] {
    SendOne(cluster, 0, "/r/x");
    return !tired.Refusals().empty();
  });
  other.SetConduct(StandinConduct::Refuse);
  const absl::Time asked = tired.Refusals().front();
  const auto all = SendMany(cluster, "/r/x", callers,
                            asked + RestAsked - absl::Now(), pause, oneBox);
  const auto arrivals = tired.AllArrivals();
  CHECK(CountSince(arrivals, asked + HeedWithin) -
          CountSince(arrivals, asked + RestAsked) <=
        RestSlack);
  for (const Got& got : all) {
    CHECK(got.held < absl::Milliseconds(500));
  }
  Await("the engine to serve again",
        [&] { return SendOne(cluster, 0, "/r/x").status == Ok; });
}

TEST_CASE("A stage's endpoint that asked for a rest gets calls",
          "[rest-stages]")
{
  // No box read how long an endpoint that refused wants nothing from it.
  PlatformCluster cluster(Gateways);
  Service engines(cluster, "llm", 2);
  Service encoders(cluster, "enc", 3);
  cluster.AwaitServing();
  CheckRest(cluster, "/s/x", encoders);
}

TEST_CASE("Callers are kept waiting while all endpoints rest", "[rest-all]")
{
  // What can't be sent anywhere is refused at once, with when to come back.
  constexpr int oneBox = 1;
  constexpr int unavailable = 503;
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 1);
  cluster.AwaitServing();
  AwaitServed(cluster, "/p/x");
  PlatformStandin& tired = plain.MostUsed();
  tired.SetRest(absl::ToDoubleSeconds(RestAsked));
  tired.RefuseNext();
  SendOne(cluster, 0, "/p/x");
  REQUIRE(tired.Refusals().size() == 1);
  const absl::Time end = tired.Refusals().front() + RestAsked;
  const auto all =
    SendMany(cluster, "/p/x", 3, end - absl::Now() - absl::Seconds(1),
             absl::Milliseconds(100), oneBox);
  for (const Got& got : all) {
    CHECK(got.status == unavailable);
    CHECK(got.held < absl::Milliseconds(500));
    CHECK(got.retryAfter > 0.9); // the rest is not over before
    CHECK(got.retryAfter < absl::ToDoubleSeconds(RestAsked) + 1.1);
  }
  // Other boxes were asked for nothing.
  CHECK(SendOne(cluster, 1, "/p/x").status == Ok);
  Await("the endpoint to be used again",
        [&] { return SendOne(cluster, 0, "/p/x").status == Ok; });
  CHECK(absl::Now() >= end);
}

TEST_CASE("A plain endpoint that says it leaves gets requests",
          "[leaving-plain]")
{
  // Only heartbeats were read, and these may say that it is ready.
  PlatformCluster cluster(Gateways);
  Service plain(cluster, "plain", 3);
  cluster.AwaitServing();
  CheckLeaving(cluster, "/p/x", plain);
}

TEST_CASE("An engine that says it leaves gets prompts", "[leaving-engines]")
{
  // Only heartbeats were read, and these may say that it is ready.
  PlatformCluster cluster(Gateways);
  Service engines(cluster, "llm", 3);
  cluster.AwaitServing();
  CheckLeaving(cluster, "/r/x", engines);
}

TEST_CASE("A stage's endpoint that says it leaves gets calls",
          "[leaving-stages]")
{
  // Only heartbeats were read, and these may say that it is ready.
  PlatformCluster cluster(Gateways);
  Service engines(cluster, "llm", 2);
  Service encoders(cluster, "enc", 3);
  cluster.AwaitServing();
  CheckLeaving(cluster, "/s/x", encoders);
}
