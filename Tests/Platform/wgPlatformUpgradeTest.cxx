// SPDX-License-Identifier: Apache-2.0
// Boxes of an older program are replaced one after the other. By hand: the
// variable WG_OLDER_DAEMON names the older program.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;

constexpr int Ok = 200;
constexpr int Gateways = 3;

/** Callers that go on while boxes are replaced, and endpoints' heartbeats. */
class Traffic
{
public:
  Traffic(PlatformCluster& cluster, PlatformStandin& first,
          PlatformStandin& second)
  {
    heart_ = std::thread([this, &cluster, &first, &second] {
      while (!stopping_) {
        for (int control = 0; control < PlatformCluster::Controls; ++control) {
          if (first.Register(cluster.Api(control), "plain") &&
              second.Register(cluster.Api(control), "plain")) {
            break;
          }
        }
        absl::SleepFor(absl::Milliseconds(200));
      }
    });
    callers_ = std::thread([this, &cluster] {
      for (int number = 0; !stopping_; ++number) {
        const int gateway = number % Gateways;
        if (gateway == away_) {
          continue;
        }
        const auto reply =
          cluster.Send(gateway, "/p/x", absl::StrCat("t", number));
        ++(reply && reply->status == Ok ? served_ : notServed_);
        absl::SleepFor(absl::Milliseconds(5));
      }
    });
  }
  ~Traffic()
  {
    stopping_ = true;
    callers_.join();
    heart_.join();
  }
  /** Its balancer sends nothing to a box that stops or starts; -1: to all. */
  void LeaveOut(int gateway) { away_ = gateway; }
  int Served() const { return served_; }
  int NotServed() const { return notServed_; }

private:
  std::atomic<bool> stopping_{ false };
  std::atomic<int> away_{ -1 };
  std::atomic<int> served_{ 0 };
  std::atomic<int> notServed_{ 0 };
  std::thread heart_;
  std::thread callers_;
};

void ReplaceGateway(PlatformCluster& cluster, Traffic& traffic, int gateway)
{
  traffic.LeaveOut(gateway);
  absl::SleepFor(absl::Milliseconds(100));
  cluster.Gateway(gateway).Signal(SIGTERM);
  CHECK(cluster.Gateway(gateway).Wait() == 0);
  cluster.StartGateway(gateway);
  Await("a ready gateway", [&] { return cluster.Ready(gateway) == Ok; });
  absl::SleepFor(absl::Milliseconds(300));
  traffic.LeaveOut(-1);
}

void AwaitOrder(PlatformCluster& cluster, bool evacuate)
{
  int control = 0;
  Await("an acknowledged order", [&] {
    control = (control + 1) % PlatformCluster::Controls;
    return cluster.OrderHall(control, "h1", evacuate) == Ok;
  });
}

} // namespace

TEST_CASE("Boxes of an older program are replaced in turn", "[upgrade]")
{
  const char* older = std::getenv("WG_OLDER_DAEMON");
  REQUIRE(older != nullptr);
  PlatformCluster cluster(Gateways, false, { "h1", "h2", "h1" }, older);
  PlatformStandin first("i-1");
  PlatformStandin second("i-2");
  second.SetHall("h2");
  cluster.AwaitServing();
  REQUIRE(first.Register(cluster.Api(0), "plain"));
  REQUIRE(second.Register(cluster.Api(0), "plain"));
  Await("an answer", [&] {
    const auto reply = cluster.Send(0, "/p/x", "warm");
    return reply && reply->status == Ok;
  });
  Traffic traffic(cluster, first, second);
  const std::string document = PlatformCluster::Document(2);
  Await("a document", [&] { return cluster.Publish(1, document) == Ok; });

  cluster.SetDaemon("");
  for (int control = 0; control < PlatformCluster::Controls; ++control) {
    // While one that votes is older, no order is taken.
    CHECK(cluster.OrderHall((control + 2) % 3, "h1", true) != Ok);
    cluster.Control(control).Kill();
    cluster.StartControl(control, false);
    for (int read = 0; read < PlatformCluster::Controls; ++read) {
      Await("the document to be read back",
            [&] { return cluster.ReadBack(read) == document; });
    }
  }
  ReplaceGateway(cluster, traffic, 0);
  // Two gateways are older still; they too leave the hall alone.
  AwaitOrder(cluster, true);
  absl::SleepFor(absl::Milliseconds(500));
  const int before = first.AllRuns();
  absl::SleepFor(absl::Seconds(2));
  CHECK(first.AllRuns() == before);
  ReplaceGateway(cluster, traffic, 1);
  CHECK(first.AllRuns() == before);
  AwaitOrder(cluster, false);
  Await("the hall to be used again",
        [&] { return first.AllRuns() > before + 20; });
  ReplaceGateway(cluster, traffic, 2);
  const std::string third = PlatformCluster::Document(3);
  Await("another document", [&] { return cluster.Publish(2, third) == Ok; });
  // A box that has not applied it yet answers 503, and is asked again.
  Await("it to be read back", [&] { return cluster.ReadBack(2) == third; });
  WARN("served " << traffic.Served() << ", not served "
                 << traffic.NotServed());
  CHECK(traffic.NotServed() == 0);
}
