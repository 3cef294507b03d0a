// SPDX-License-Identifier: Apache-2.0
// All boxes lose power while as many control boxes lose their disks as are
// tolerated.
#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "wgPlatformCluster.h"

namespace {

using Json = nlohmann::json;
using wg::test::Await;
using wg::test::PlatformCluster;

constexpr int Ok = 200;
constexpr int Gateways = 2;

struct PowerLoss
{
  int controls; // boxes with a disk
  std::vector<int> disks;
};

/** What operators have had acknowledged. */
struct Acknowledged
{
  std::string document = PlatformCluster::Document(2);
  std::string rollout = Json{
    { "service", "plain" },
    { "targetVersion", "v2" },
    { "durationS", 300 }
  }.dump();
};

/** One control box acknowledges all of it. */
void Order(PlatformCluster& cluster, int control, const Acknowledged& orders)
{
  Await("the hall to be evacuated",
        [&] { return cluster.OrderHall(control, "h2", true) == Ok; });
  Await("the roll-out to begin", [&] {
    httplib::Client client("127.0.0.1", cluster.Api(control));
    const auto reply =
      client.Post("/-/rollouts", orders.rollout, "application/json");
    return reply && reply->status == Ok;
  });
  Await("the document",
        [&] { return cluster.Publish(control, orders.document) == Ok; });
}

/** Every process of every box ends before the first one is back. */
void LosePower(PlatformCluster& cluster, const PowerLoss& loss)
{
  for (int control = 0; control < loss.controls; ++control) {
    cluster.Control(control).Kill();
  }
  for (int gateway = 0; gateway < Gateways; ++gateway) {
    cluster.Gateway(gateway).Kill();
  }
  for (int control = 0; control < loss.controls; ++control) {
    const bool isLost = std::find(loss.disks.begin(), loss.disks.end(),
                                  control) != loss.disks.end();
    if (isLost) {
      cluster.LoseDisk(control);
    } else {
      cluster.StartControl(control, false);
    }
  }
  for (int gateway = 0; gateway < Gateways; ++gateway) {
    cluster.StartGateway(gateway);
  }
}

void CheckKept(PlatformCluster& cluster, int controls,
               const Acknowledged& orders)
{
  for (int control = 0; control < controls; ++control) {
    CAPTURE(control);
    Await("the document to be read back",
          [&] { return cluster.ReadBack(control) == orders.document; });
    Await("the roll-out to be known", [&] {
      httplib::Client client("127.0.0.1", cluster.Api(control));
      const auto reply = client.Get("/-/rollouts/plain");
      return reply && reply->status == Ok &&
             Json::parse(reply->body)["state"] == "in_progress";
    });
  }
  for (int gateway = 0; gateway < Gateways; ++gateway) {
    Await("the order on the hall to be known", [&] {
      return absl::StrContains(cluster.Metrics(gateway),
                               "weirgate_hall_orders 1");
    });
  }
}

void CheckPowerLoss(const PowerLoss& loss)
{
  CAPTURE(absl::StrJoin(loss.disks, " "));
  PlatformCluster cluster(
    Gateways, false, { "h1", "h2" }, {},
    std::vector<std::string>(static_cast<std::size_t>(loss.controls), "h1"),
    static_cast<int>(loss.disks.size()));
  cluster.AwaitServing();
  const Acknowledged orders;
  // A box whose disk is lost has acknowledged all of it.
  Order(cluster, loss.disks.back(), orders);
  LosePower(cluster, loss);
  CheckKept(cluster, loss.controls, orders);
}

} // namespace

// What was acknowledged is gone after a loss that is tolerated.
TEST_CASE("All boxes lose power and two of five control boxes their disks",
          "[two-disks]")
{
  for (const std::vector<int>& disks :
       { std::vector<int>{ 0, 1 }, { 1, 4 }, { 3, 4 }, { 4, 0 } }) {
    CheckPowerLoss({ 5, disks });
  }
}

// The same where the boxes without a vote outnumber those that may be lost.
TEST_CASE("All boxes lose power and two of eight control boxes their disks",
          "[two-disks]")
{
  for (const std::vector<int>& disks :
       { std::vector<int>{ 0, 1 }, { 2, 7 }, { 7, 3 } }) {
    CheckPowerLoss({ 8, disks });
  }
}
