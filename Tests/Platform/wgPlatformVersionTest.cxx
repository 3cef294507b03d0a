// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::StandinConduct;
using Json = nlohmann::json;

constexpr int Ok = 200;
constexpr int Conflict = 409;
/** What the users' pages allow a bad version. */
constexpr double ExposureShare = 0.1;
constexpr int ExposureSlack = 50;

/** Endpoints of these tests tell of themselves while requests are sent. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "15000", 1);

struct Answer
{
  int status = 0; // 0: none
  Json body;
};

/** Endpoints of two versions of a plain service, and callers. */
struct Versions
{
  Versions()
  {
    cluster.AwaitServing();
    for (int i = 0; i < 2; ++i) {
      olds.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("old-", i)));
      news.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("new-", i)));
      news.back()->SetVersion("v2");
    }
    Register(olds);
    Await("requests to be served", [this] { return Send(0) && Send(1); });
  }
  ~Versions()
  {
    stopping = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  void Register(const std::vector<std::unique_ptr<PlatformStandin>>& list)
  {
    for (const auto& endpoint : list) {
      REQUIRE(endpoint->Register(cluster.Api(0), "plain"));
    }
  }
  bool Send(int gateway)
  {
    const auto reply =
      cluster.Send(gateway, "/p/x", absl::StrCat("request", ++requests));
    return reply && reply->status == Ok;
  }
  void StartCallers()
  {
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([this, i] {
        while (!stopping) {
          served += Send(i % 2) ? 1 : 0;
          absl::SleepFor(absl::Milliseconds(4));
        }
      });
    }
  }
  Answer Order(int control, const Json& order)
  {
    httplib::Client client("127.0.0.1", cluster.Api(control));
    const auto reply =
      client.Post("/-/rollouts", order.dump(), "application/json");
    return reply ? Answer{ reply->status,
                           Json::parse(reply->body, nullptr, false) }
                 : Answer{};
  }
  void AwaitOrder(double seconds)
  {
    const Json order{ { "service", "plain" },
                      { "targetVersion", "v2" },
                      { "durationS", seconds } };
    Await("the order to be acknowledged",
          [&] { return Order(1, order).status == Ok; });
    Register(news);
  }
  /** in_progress, completed or rolled_back; empty: not sure. */
  std::string State(int control)
  {
    httplib::Client client("127.0.0.1", cluster.Api(control));
    const auto reply = client.Get("/-/rollouts/plain");
    if (!reply || reply->status != Ok) {
      return "";
    }
    const Json body = Json::parse(reply->body, nullptr, false);
    CHECK(body.value("targetVersion", "") == "v2");
    return body.value("state", "");
  }
  void AwaitEnd(const std::string& state)
  {
    Await("the roll-out to end", [&] {
      for (int control = 0; control < PlatformCluster::Controls; ++control) {
        const std::string known = State(control);
        if (!known.empty() && known != "in_progress") {
          CHECK(known == state);
          return true;
        }
      }
      return false;
    });
  }
  static int RunsOf(const std::vector<std::unique_ptr<PlatformStandin>>& list)
  {
    int runs = 0;
    for (const auto& endpoint : list) {
      runs += endpoint->AllRuns();
    }
    return runs;
  }

  PlatformCluster cluster{ 2 };
  std::vector<std::unique_ptr<PlatformStandin>> olds;
  std::vector<std::unique_ptr<PlatformStandin>> news;
  std::atomic<int> requests{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<bool> stopping{ false };
  std::vector<std::thread> callers;
};

} // namespace

TEST_CASE("An order is read whole or refused with what to mend",
          "[rollout-order]")
{
  Versions f;
  const Json sound{ { "service", "plain" },
                    { "targetVersion", "v2" },
                    { "durationS", 30 } };
  const auto status = [&](const char* field, const Json& value) {
    Json order = sound;
    if (value.is_null()) {
      order.erase(field);
    } else {
      order[field] = value;
    }
    const Answer answer = f.Order(0, order);
    CHECK_FALSE(answer.body.value("error", "").empty());
    return answer.status;
  };
  constexpr int invalid = 400;
  CHECK(status("service", "unheard-of") == invalid);
  CHECK(status("service", 5) == invalid);
  CHECK(status("service", nullptr) == invalid);
  CHECK(status("targetVersion", "") == invalid);
  CHECK(status("targetVersion", Json::array()) == invalid);
  CHECK(status("durationS", 0) == invalid);
  CHECK(status("durationS", -3) == invalid);
  CHECK(status("durationS", 1e12) == invalid);
  CHECK(status("durationS", "12") == invalid);
  CHECK(status("durationS", nullptr) == invalid);
  CHECK(f.Order(0, Json::array()).status == invalid);
  CHECK(f.State(0).empty());
  Await("the order to be acknowledged",
        [&] { return f.Order(1, sound).status == Ok; });
  // Sent again, to any control box, it is under way.
  for (int control = 0; control < PlatformCluster::Controls; ++control) {
    Await("an answer that is sure", [&] {
      const int again = f.Order(control, sound).status;
      CHECK((again == Conflict || again == 503));
      return again == Conflict;
    });
    CHECK(f.State(control) == "in_progress");
  }
}

TEST_CASE("Requests move to a good version by its deadline", "[rollout-good]")
{
  Versions f;
  f.StartCallers();
  f.AwaitOrder(10.0);
  f.AwaitEnd("completed");
  // Endpoints of other versions stop at once.
  const int before = Versions::RunsOf(f.olds);
  absl::SleepFor(absl::Milliseconds(500));
  const int after = Versions::RunsOf(f.olds);
  absl::SleepFor(absl::Seconds(1));
  CHECK(after - before <= 2); // what was under way
  CHECK(Versions::RunsOf(f.olds) == after);
  CHECK(f.Send(0));
  CHECK(f.Send(1));
}

TEST_CASE("A version that fails gets few requests, and then none",
          "[rollout-fails]")
{
  Versions f;
  for (const auto& endpoint : f.news) {
    endpoint->SetConduct(StandinConduct::HangUp);
  }
  f.StartCallers();
  const int before = f.requests;
  f.AwaitOrder(15.0);
  f.AwaitEnd("rolled_back");
  absl::SleepFor(absl::Milliseconds(500));
  const int bad = Versions::RunsOf(f.news);
  CHECK(bad <= ExposureShare * (f.requests - before) + ExposureSlack);
  absl::SleepFor(absl::Seconds(1));
  CHECK(Versions::RunsOf(f.news) == bad);
  CHECK(f.Send(0));
}

TEST_CASE("A roll-out outlasts all control processes", "[rollout-leader]")
{
  Versions f;
  f.StartCallers();
  f.AwaitOrder(20.0);
  for (int control = 0; control < PlatformCluster::Controls; ++control) {
    f.cluster.Control(control).Kill();
  }
  for (int control = 0; control < PlatformCluster::Controls; ++control) {
    f.cluster.StartControl(control, false);
  }
  Await("the order to be known again", [&] {
    for (int control = 0; control < PlatformCluster::Controls; ++control) {
      if (f.State(control) == "in_progress") {
        return true;
      }
    }
    return false;
  });
  f.Register(f.olds);
  f.Register(f.news);
  f.AwaitEnd("completed");
}
