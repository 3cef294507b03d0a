// SPDX-License-Identifier: Apache-2.0
// Versions rolled out over real processes, under load and faults.
#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgCallers.h"
#include "wgTestCluster.h"

namespace {

using wg::test::Await;
using wg::test::CallerRecord;
using wg::test::Callers;
using wg::test::ClusterLayout;
using wg::test::CountOk;
using wg::test::Input;
using wg::test::TestCluster;

const std::vector<std::string> Engines = { "llm-1", "llm-2", "llm-3" };

nlohmann::json LoadOf(TestCluster& cluster, const std::string& engine)
{
  return cluster.Get(cluster.PortOf(engine), "/v1/load");
}

int CountVersion(TestCluster& cluster, const std::string& version)
{
  int count = 0;
  for (const std::string& engine : Engines) {
    const auto load = LoadOf(cluster, engine);
    count += load.is_object() && load.value("version", "") == version &&
                 load.value("ready", false)
               ? 1
               : 0;
  }
  return count;
}

/** What the leader says of the roll-out's state. */
std::string StateOf(TestCluster& cluster)
{
  const int leader = cluster.FindLeader();
  if (leader < 0) {
    return "";
  }
  const auto status = cluster.StatusOfControl(leader);
  for (const auto& row : status.value("rollouts", nlohmann::json::array())) {
    return row.value("state", "");
  }
  return "";
}

/** Watches until it ends that enough engines serve, by what entries see. */
class ReadyWatch
{
public:
  explicit ReadyWatch(TestCluster& cluster)
    : thread_([this, &cluster] {
      while (!stopping_) {
        int ready = 0;
        for (const std::string& engine : Engines) {
          const auto load = LoadOf(cluster, engine);
          ready += load.is_object() && load.value("ready", false) ? 1 : 0;
        }
        least_ = std::min(least_.load(), ready);
      }
    })
  {
  }
  ~ReadyWatch() { Stop(); }
  int Stop()
  {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return least_;
  }

private:
  std::atomic<bool> stopping_{ false };
  std::atomic<int> least_{ 3 };
  std::thread thread_;
};

void SetLoading(TestCluster& cluster, const std::string& fault)
{
  for (const std::string& engine : Engines) {
    cluster.Post(cluster.PortOf(engine), "/v1/fault", fault);
  }
}

} // namespace

TEST_CASE("a roll-out under load cuts nothing, also when its leader dies",
          "[rollout]")
{
  ClusterLayout layout;
  layout.stageMs = 100; // there is work at an engine that is drained
  TestCluster cluster(layout);
  SetLoading(cluster, R"({"load_ms": 300})");
  Callers callers(
    6, [&](int i) { return cluster.Call(i % 3, "answer", Input(i)); });
  ReadyWatch watch(cluster);
  REQUIRE(cluster.RunClient({ "rollout", "group", "llm", "version", "v2",
                              "ready", "2" }) == 0);
  Await("a first engine in the new version",
        [&] { return CountVersion(cluster, "v2") > 0; });
  const int leader = cluster.FindLeader();
  REQUIRE(leader >= 0);
  cluster.Control(leader).Kill();
  Await("all engines in the new version", [&] {
    return CountVersion(cluster, "v2") == 3 && StateOf(cluster) == "done";
  });
  CHECK(watch.Stop() >= 2);
  const std::vector<CallerRecord> records = callers.Stop();
  CHECK(CountOk(records) == static_cast<int>(records.size()));
  for (const std::string& engine : Engines) {
    const auto runs = cluster.Get(cluster.PortOf(engine), "/v1/runs");
    CHECK(runs["while_loading"] == 0);
    CHECK(runs["while_busy"] == 0);
  }
  CHECK(cluster.RunClient({ "show", "rollouts" }) == 0);
  CHECK(cluster.RunClient({ "stop", "rollout", "llm" }) == 0);
  CHECK(cluster.RunClient({ "stop", "rollout", "llm" }) == 1);
}

TEST_CASE("a version that does not come up stops at one engine",
          "[rollout-bad]")
{
  TestCluster cluster;
  SetLoading(cluster, R"({"bad_version": "v2"})");
  REQUIRE(cluster.RunClient({ "rollout", "group", "llm", "version", "v2",
                              "ready", "1" }) == 0);
  Await("an engine that loads", [&] { return StateOf(cluster) == "loading"; });
  Await("an engine that is not ready",
        [&] { return CountVersion(cluster, "v1") == 2; });
  // The others keep serving, in the old version, whatever time goes by.
  for (int i = 0; i < 50; ++i) {
    CHECK(cluster.Call(i % 3, "answer", Input(i)).status == 200);
    CHECK(CountVersion(cluster, "v1") == 2);
  }
  // The operator goes back: the engine that hangs gets the old version.
  REQUIRE(cluster.RunClient({ "rollout", "group", "llm", "version", "v1",
                              "ready", "1" }) == 0);
  Await("all engines in the old version", [&] {
    return CountVersion(cluster, "v1") == 3 && StateOf(cluster) == "done";
  });
}

TEST_CASE("a roll-out goes on around what operators do meanwhile",
          "[rollout-meanwhile]")
{
  TestCluster cluster;
  SetLoading(cluster, R"({"load_ms": 300})");
  CHECK(cluster.RunClient({ "drain", "endpoint", "llm-2" }) == 0);
  CHECK(cluster.RunClient(
          { "rollout", "group", "llm", "version", "v2", "ready", "3" }) == 1);
  REQUIRE(cluster.RunClient({ "rollout", "group", "llm", "version", "v2",
                              "ready", "2" }) == 0);
  // Only the drained one can be updated while two are to stay ready.
  Await("too few ready", [&] { return StateOf(cluster) == "too_few_ready"; });
  CHECK(CountVersion(cluster, "v2") == 1);
  CHECK(LoadOf(cluster, "llm-2")["version"] == "v2");
  CHECK(cluster.SetWeight(3).verdict() == wg::wire::ChangeResult::ACCEPTED);
  CHECK(cluster.RunClient({ "undrain", "endpoint", "llm-2" }) == 0);
  Await("all engines in the new version", [&] {
    return CountVersion(cluster, "v2") == 3 && StateOf(cluster) == "done";
  });
  Await("endpoints that are given back", [&] {
    const auto seen = cluster.StatusOfEntry(0);
    int live = 0;
    for (const auto& row : seen.value("endpoints", nlohmann::json::array())) {
      live +=
        row.value("group", "") == "llm" && row.value("state", "") == "live"
          ? 1
          : 0;
    }
    return live == 3;
  });
}

// A generation whose engine breaks off is continued by an engine of another
// version.
TEST_CASE("a generation is continued at another version", "[rollout-streams]")
{
  TestCluster cluster;
  SetLoading(cluster, R"({"tell_version": true})");
  REQUIRE(
    cluster.RunClient({ "order", "endpoint", "llm-1", "version", "v2" }) == 0);
  Await("an engine in the new version",
        [&] { return CountVersion(cluster, "v2") == 1; });
  int mixed = 0;
  int whole = 0;
  for (int i = 0; i < 60; ++i) {
    SetLoading(cluster, R"({"break_stream_next": 1})");
    const CallerRecord record = cluster.Call(i % 3, "answer", Input(i));
    const bool hasOld = absl::StrContains(record.text, "@v1;");
    const bool hasNew = absl::StrContains(record.text, "@v2;");
    mixed += hasOld && hasNew ? 1 : 0;
    whole += record.status == 200 ? 1 : 0;
  }
  CHECK(mixed == 0);
  CHECK(whole > 0);
  int resumed = 0;
  for (int i = 0; i < 3; ++i) {
    const std::string metrics =
      cluster.Get(cluster.EntryPort(i), "/metrics").get<std::string>();
    resumed += absl::StrContains(metrics, "stream_resumed\"} 0") ? 0 : 1;
  }
  CHECK(resumed > 0);
}
