// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

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
constexpr int Endpoints = 3;
constexpr int WorkMs = 100;
constexpr int UsualQueue = 4;
constexpr int DownMs = 1500;
/** What an endpoint refuses in a second without falling over. */
constexpr double Bearable = 2.0;
/** Boxes may take so long until they heed what endpoints say. */
constexpr absl::Duration HeedWithin = absl::Milliseconds(500);
/** The rule: in one time in which they are brittle, endpoints fall over no
 * more often than this and a tenth of their number.
 */
constexpr int FallsAllowed = 2;
/** Twice as many as have a slot. */
constexpr int Callers = 24;

/** Endpoints of one service with their heartbeats. */
class BrittleService
{
public:
  BrittleService(PlatformCluster& cluster, const std::string& name)
  {
    for (int i = 0; i < Endpoints; ++i) {
      endpoints_.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat(name, "-", i)));
      endpoints_.back()->FallsFor(DownMs);
      endpoints_.back()->SetCallMs(WorkMs);
      endpoints_.back()->SetWork(WorkMs, UsualQueue);
    }
    heart_ = std::thread([this, &cluster, name] {
      while (!stopping_) {
        for (const auto& endpoint : endpoints_) {
          if (endpoint->Beats()) {
            endpoint->Register(cluster.Api(0), name);
          }
        }
        absl::SleepFor(absl::Milliseconds(200));
      }
    });
  }
  ~BrittleService()
  {
    stopping_ = true;
    heart_.join();
  }
  void SetBrittle(double perSecond)
  {
    for (const auto& endpoint : endpoints_) {
      endpoint->SetBrittle(perSecond);
    }
  }
  void SetQueue(int queue)
  {
    for (const auto& endpoint : endpoints_) {
      endpoint->SetWork(WorkMs, queue);
    }
  }
  PlatformStandin& First() { return *endpoints_.front(); }
  int Falls() const
  {
    int falls = 0;
    for (const auto& endpoint : endpoints_) {
      falls += endpoint->Ends();
    }
    return falls;
  }
  std::size_t Refusals() const
  {
    std::size_t refusals = 0;
    for (const auto& endpoint : endpoints_) {
      refusals += endpoint->Refusals().size();
    }
    return refusals;
  }

private:
  std::vector<std::unique_ptr<PlatformStandin>> endpoints_;
  std::atomic<bool> stopping_{ false };
  std::thread heart_;
};

int SendOne(PlatformCluster& cluster, int gateway, const std::string& path)
{
  static std::atomic<int> number{ 0 };
  const auto reply =
    cluster.Send(gateway, path, absl::StrCat("request", ++number));
  return reply ? reply->status : 0;
}

/** Callers at all boxes, each again 10 ms after its answer.
 * \return how many were served
 */
int SendMany(PlatformCluster& cluster, const std::string& path, int callers,
             absl::Duration time)
{
  const absl::Time until = absl::Now() + time;
  std::atomic<int> served{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      while (absl::Now() < until) {
        served += SendOne(cluster, i % Gateways, path) == Ok ? 1 : 0;
        absl::SleepFor(absl::Milliseconds(10));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return served;
}

/** Callers want more than there is room for while endpoints are brittle and
 * let none wait, and when one of them has fallen over all the same.
 */
void CheckBrittle(PlatformCluster& cluster, const std::string& path,
                  BrittleService& service)
{
  constexpr absl::Duration time = absl::Seconds(6);
  cluster.AwaitServing();
  for (int gateway = 0; gateway < Gateways; ++gateway) {
    Await("a request to be served by each box",
          [&] { return SendOne(cluster, gateway, path) == Ok; });
  }
  const int before = SendMany(cluster, path, Callers, absl::Seconds(2)) / 2;
  service.SetBrittle(Bearable);
  SendMany(cluster, path, Callers / 4, HeedWithin);
  service.SetQueue(0);
  const std::size_t refusedBefore = service.Refusals();
  const int served = SendMany(cluster, path, Callers, time);
  CAPTURE(before, served, service.Refusals() - refusedBefore);
  CAPTURE(service.Falls());
  CHECK(service.Falls() <= FallsAllowed);
  // What they can do is asked of them.
  CHECK(served >= before * absl::ToInt64Seconds(time) / 2);

  const int fallen = service.Falls();
  const std::size_t refused = service.Refusals();
  service.First().FallOver();
  SendMany(cluster, path, Callers, time);
  CAPTURE(service.Refusals() - refused);
  CHECK(service.Falls() - fallen <= 1 + FallsAllowed);

  service.SetBrittle(-1.0);
  service.SetQueue(UsualQueue);
  SendMany(cluster, path, Callers / 4, HeedWithin);
  const int after = SendMany(cluster, path, Callers, absl::Seconds(2)) / 2;
  CHECK(after >= before * 2 / 3);
}

} // namespace

TEST_CASE("Brittle plain endpoints fall over under what they turn away",
          "[brittle-plain]")
{
  // No box read that endpoints are brittle.
  PlatformCluster cluster(Gateways);
  BrittleService plain(cluster, "plain");
  CheckBrittle(cluster, "/p/x", plain);
}

TEST_CASE("Brittle engines fall over under what they turn away",
          "[brittle-engines]")
{
  // No box read that endpoints are brittle.
  PlatformCluster cluster(Gateways);
  BrittleService engines(cluster, "llm");
  CheckBrittle(cluster, "/r/x", engines);
}

TEST_CASE("A stage's brittle endpoints fall over under what they turn away",
          "[brittle-stages]")
{
  // No box read that endpoints are brittle.
  PlatformCluster cluster(Gateways);
  BrittleService engines(cluster, "llm");
  BrittleService encoders(cluster, "enc");
  CheckBrittle(cluster, "/s/x", encoders);
}
