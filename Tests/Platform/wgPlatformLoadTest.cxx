// SPDX-License-Identifier: Apache-2.0
// Real processes with endpoints that report a false load.
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;

constexpr int Ok = 200;
constexpr int Requests = 12;

std::string NextId()
{
  static std::atomic<int> number{ 0 };
  return absl::StrCat("request", ++number);
}

/** Endpoints of the services of a streaming route, with their heartbeats. */
class Endpoints
{
public:
  explicit Endpoints(const std::function<void(PlatformStandin&)>& prepare)
  {
    for (const char* service : { "enc", "llm" }) {
      services_.emplace_back(service);
      endpoints_.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat(service, "-0")));
      prepare(*endpoints_.back());
    }
  }
  ~Endpoints()
  {
    stopping_ = true;
    if (heart_.joinable()) {
      heart_.join();
    }
  }
  Endpoints(const Endpoints&) = delete;
  Endpoints& operator=(const Endpoints&) = delete;

  void Beat(PlatformCluster& cluster)
  {
    heart_ = std::thread([this, &cluster] {
      while (!stopping_) {
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
          endpoints_[i]->Register(cluster.Api(0), services_[i]);
        }
        absl::SleepFor(absl::Milliseconds(300));
      }
    });
  }

private:
  std::vector<std::string> services_;
  std::vector<std::unique_ptr<PlatformStandin>> endpoints_;
  std::atomic<bool> stopping_{ false };
  std::thread heart_;
};

/** Sends requests one after the other; all are to be served. */
void Serve(PlatformCluster& cluster)
{
  Await("a first answer", [&cluster] {
    const auto reply = cluster.Send(0, "/s/x", NextId());
    return reply && reply->status == Ok;
  });
  for (int i = 0; i < Requests; ++i) {
    const auto reply = cluster.Send(0, "/s/x", NextId());
    REQUIRE(reply);
    CHECK(reply->status == Ok);
  }
}

} // namespace

// Guards against a report that can't be read stopping a box or its calls.
TEST_CASE("Reports that can't be read are counted, and work goes on",
          "[load-unreadable]")
{
  PlatformCluster cluster(1);
  Endpoints endpoints(
    [](PlatformStandin& endpoint) { endpoint.SetReport("1,-2,nan"); });
  endpoints.Beat(cluster);
  cluster.AwaitServing();
  Serve(cluster);
  CHECK(absl::StrContains(cluster.Metrics(0), "load_reports_unreadable"));
}

// Guards against a report that says twice as fast of an endpoint that is five
// times as slow being believed for ever.
TEST_CASE("Reports that calls contradict are ignored, and work goes on",
          "[load-lie]")
{
  constexpr int callMs = 250;
  PlatformCluster cluster(1);
  Endpoints endpoints([](PlatformStandin& endpoint) {
    endpoint.SetCallMs(callMs);
    endpoint.SetReport("0,0,4,50");
  });
  endpoints.Beat(cluster);
  cluster.AwaitServing();
  Serve(cluster);
  CHECK(absl::StrContains(cluster.Metrics(0), "load_reports_contradicted"));
}
