// SPDX-License-Identifier: Apache-2.0
// Endpoints drain or end, are acknowledged, and serve on for a while.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;

constexpr int Gateways = 2;
/** From an acknowledgement on, for so long requests may still come. */
constexpr absl::Duration DrainTime = absl::Seconds(2);
/** One that ends soon after another one. */
constexpr absl::Duration BetweenEnds = absl::Milliseconds(120);
constexpr absl::Duration HeartbeatPeriod = absl::Seconds(1);
/** Longer than a control box takes an endpoint that says nothing for ready. */
constexpr absl::Duration WatchTime = absl::Seconds(7);
constexpr absl::Duration DownTime = absl::Milliseconds(300);
constexpr std::int64_t BornMs = 1796000000000;

/** \brief How an endpoint says that it goes. */
enum class Notice
{
  Delete,
  DeleteWithoutBorn,
  Draining
};

/** \brief What happens after the last acknowledgement. */
struct Fault
{
  int afterMs;
  std::vector<int> controls;
  std::vector<int> gateways;
  std::vector<int> lostDisks; // of these control boxes
  std::vector<int> stayDown;  // of these control boxes
};

/** \class Site
 * \brief Endpoints that go say so to control box 0; one that stays tells
 * box 1.
 */
class Site
{
public:
  /** \param control that heartbeats of endpoints that go come to */
  Site(int leaving, int control)
    : cluster_(Gateways)
    , stays_("i-stays")
    , control_(control)
  {
    for (int i = 0; i < leaving; ++i) {
      leaving_.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("i-goes-", i)));
      leaving_.back()->BornAt(BornMs + i);
    }
    beats_ = std::thread([this] { SendHeartbeats(); });
    cluster_.AwaitServing();
    for (int gateway = 0; gateway < Gateways; ++gateway) {
      Await("requests to be served", [this, gateway] {
        return IsServed(gateway, absl::StrCat("first", gateway));
      });
    }
    absl::SleepFor(2 * HeartbeatPeriod); // until all of it is in files
  }
  ~Site()
  {
    isOver_ = true;
    beats_.join();
  }

  PlatformCluster& Cluster() { return cluster_; }

  /** \brief All that are to go say so; the time of the last yes. */
  absl::Time Leave(Notice notice)
  {
    isLeaving_ = true;
    absl::SleepFor(HeartbeatPeriod); // what was on its way has come
    for (const auto& endpoint : leaving_) {
      absl::SleepFor(BetweenEnds);
      if (notice == Notice::Draining) {
        CHECK(endpoint->Register(cluster_.Api(0), "plain", "draining"));
        continue;
      }
      if (notice == Notice::DeleteWithoutBorn) {
        CHECK(DeleteByName(endpoint->Id()));
      } else {
        CHECK(endpoint->Leave(cluster_.Api(0)));
      }
    }
    return absl::Now();
  }

  void Play(const Fault& fault)
  {
    absl::SleepFor(absl::Milliseconds(fault.afterMs));
    for (const int control : fault.controls) {
      cluster_.Control(control).Kill();
    }
    for (const int gateway : fault.gateways) {
      cluster_.Gateway(gateway).Kill();
    }
    absl::SleepFor(DownTime);
    for (const int control : fault.controls) {
      if (Contains(fault.lostDisks, control)) {
        cluster_.LoseDisk(control);
      } else if (!Contains(fault.stayDown, control)) {
        cluster_.StartControl(control, false);
      }
    }
    for (const int gateway : fault.gateways) {
      cluster_.StartGateway(gateway);
    }
  }

  /** \brief Sends requests to all gateways; how many of those that came later
   * than DrainTime after the yes reached endpoints that had gone.
   */
  int CountLate(absl::Time acknowledged)
  {
    std::atomic<int> served{ 0 };
    std::vector<std::thread> callers;
    for (int gateway = 0; gateway < Gateways; ++gateway) {
      callers.emplace_back([this, gateway, acknowledged, &served] {
        for (int i = 0; absl::Now() < acknowledged + WatchTime; ++i) {
          served += IsServed(gateway, absl::StrCat("r", gateway, "-", i));
          absl::SleepFor(absl::Milliseconds(5));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(served > 100); // else it says nothing
    int late = 0;
    for (const auto& endpoint : leaving_) {
      for (const absl::Time arrival : endpoint->Arrivals()) {
        late += arrival > acknowledged + DrainTime ? 1 : 0;
      }
    }
    return late;
  }

private:
  static bool Contains(const std::vector<int>& list, int value)
  {
    return std::find(list.begin(), list.end(), value) != list.end();
  }

  bool IsServed(int gateway, const std::string& id)
  {
    const auto reply = cluster_.Send(gateway, "/p/x", id);
    return reply && reply->status == 200;
  }

  bool DeleteByName(const std::string& name)
  {
    httplib::Client client("127.0.0.1", cluster_.Api(0));
    const auto reply = client.Delete("/-/instances/" + name);
    return reply && reply->status == 200;
  }

  void SendHeartbeats()
  {
    while (!isOver_) {
      for (const int control : { 1, 2, 0 }) {
        if (stays_.Register(cluster_.Api(control), "plain")) {
          break;
        }
      }
      for (const auto& endpoint : leaving_) {
        if (!isLeaving_) {
          endpoint->Register(cluster_.Api(control_), "plain");
        }
      }
      absl::SleepFor(HeartbeatPeriod);
    }
  }

  PlatformCluster cluster_;
  PlatformStandin stays_;
  int control_;
  std::vector<std::unique_ptr<PlatformStandin>> leaving_;
  std::atomic<bool> isLeaving_{ false };
  std::atomic<bool> isOver_{ false };
  std::thread beats_;
};

void CheckForgotten(Notice notice, const Fault& fault, int leaving = 2,
                    int control = 0)
{
  CAPTURE(static_cast<int>(notice), fault.afterMs, leaving,
          absl::StrJoin(fault.controls, " "),
          absl::StrJoin(fault.lostDisks, " "));
  Site site(leaving, control);
  const absl::Time acknowledged = site.Leave(notice);
  site.Play(fault);
  CHECK(site.CountLate(acknowledged) == 0);
}

} // namespace

// An acknowledged end is forgotten as the processes of one zone are killed.
TEST_CASE("An end outlasts the control box that acknowledged it",
          "[zone-killed]")
{
  for (const int afterMs : { 0, 450 }) {
    CheckForgotten(Notice::Delete, { afterMs, { 0 }, { 0 }, {}, {} });
  }
  CheckForgotten(Notice::DeleteWithoutBorn, { 100, { 0 }, { 0 }, {}, {} });
}

// The same of an endpoint that has said that it drains.
TEST_CASE("Draining outlasts the control box that acknowledged it",
          "[zone-killed-draining]")
{
  for (const int afterMs : { 0, 450 }) {
    CheckForgotten(Notice::Draining, { afterMs, { 0 }, { 0 }, {}, {} });
  }
}

// An acknowledged end is forgotten as all processes are killed.
TEST_CASE("Ends outlast all processes", "[ends-all-killed]")
{
  CheckForgotten(Notice::Delete, { 0, { 0, 1, 2 }, { 0, 1 }, {}, {} }, 12);
  CheckForgotten(Notice::Draining, { 200, { 0, 1, 2 }, { 0, 1 }, {}, {} }, 12);
}

// An acknowledged end is forgotten with the disk of the box that was told.
TEST_CASE("Ends outlast all processes and the disk of the box that was told",
          "[ends-disk-lost]")
{
  const Fault fault{ 0, { 0, 1, 2 }, { 0, 1 }, { 0 }, {} };
  // Box 1 knows them from their heartbeats.
  CheckForgotten(Notice::Delete, fault, 2, 1);
  CheckForgotten(Notice::Draining, fault, 2, 1);
}

// A heartbeat that comes late revives what has ended, at a control box that
// the endpoint had not told.
TEST_CASE("Late heartbeats revive nothing that has ended", "[late-heartbeat]")
{
  PlatformCluster cluster(1);
  PlatformStandin stays("i-stays");
  PlatformStandin goes("i-goes");
  goes.BornAt(BornMs);
  cluster.AwaitServing();
  CHECK(stays.Register(cluster.Api(1), "plain"));
  CHECK(goes.Register(cluster.Api(0), "plain"));
  CHECK(goes.Leave(cluster.Api(0)));
  const absl::Time acknowledged = absl::Now();
  CHECK(goes.Register(cluster.Api(2), "plain")); // delayed on its way
  cluster.Control(0).Kill();
  cluster.Gateway(0).Kill();
  cluster.StartGateway(0);
  Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
  absl::SleepFor(acknowledged + DrainTime - absl::Now());
  for (int i = 0; i < 100; ++i) {
    CHECK(stays.Register(cluster.Api(1), "plain"));
    cluster.Send(0, "/p/x", absl::StrCat("r", i));
  }
  for (const absl::Time arrival : goes.Arrivals()) {
    CHECK(arrival < acknowledged + DrainTime);
  }
}

// An end is acknowledged that one disk alone has.
TEST_CASE("Without a second control box no end is acknowledged",
          "[end-unkept]")
{
  PlatformCluster cluster(1);
  PlatformStandin goes("i-goes");
  goes.BornAt(BornMs);
  cluster.AwaitServing();
  CHECK(goes.Register(cluster.Api(0), "plain"));
  cluster.Control(1).Signal(SIGSTOP);
  cluster.Control(2).Signal(SIGSTOP);
  CHECK_FALSE(goes.Leave(cluster.Api(0)));
  cluster.Control(1).Signal(SIGCONT);
  Await("the end to be acknowledged",
        [&] { return goes.Leave(cluster.Api(0)); });
}
