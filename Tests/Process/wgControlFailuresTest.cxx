// SPDX-License-Identifier: Apache-2.0
// The replicated state in real processes: kills, freezes, cuts, lost disks.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgServiceState.h"
#include "wgTestCluster.h"

namespace {

using wg::test::AcknowledgedChange;
using wg::test::ClusterLayout;
using wg::test::Observations;
using wg::test::TestCluster;
using wg::test::WaitFor;
using wg::wire::ChangeResult;

/** Makes changes with rising values and notes which were acknowledged. */
void ChangeWeights(TestCluster& cluster, int count, double& value,
                   Observations& seen)
{
  for (int i = 0; i < count; ++i) {
    value += 1.0;
    const ChangeResult result = cluster.SetWeight(value);
    REQUIRE(result.verdict() == ChangeResult::ACCEPTED);
    seen.acknowledged.push_back({ result.revision(), value });
  }
}

/** The last acknowledged value must be in force at every entry. */
void CheckKept(TestCluster& cluster, int entries, double value,
               Observations& seen)
{
  const std::uint64_t revision = seen.acknowledged.back().revision;
  for (int i = 0; i < entries; ++i) {
    REQUIRE(WaitFor([&] { return cluster.RevisionAtEntry(i) >= revision; }));
    CHECK(cluster.WeightAtEntry(i) == value);
  }
  seen.finalRevision = cluster.RevisionAtEntry(0);
  CHECK(wg::test::Check(seen).empty());
}

/** Notes what the entries have in force, over and over, until stopped. */
class RevisionWatch
{
public:
  RevisionWatch(TestCluster& cluster, int entries)
    : thread_([this, &cluster, entries] {
      while (!stopping_) {
        for (int i = 0; i < entries; ++i) {
          const std::uint64_t revision = cluster.RevisionAtEntry(i);
          if (revision != 0) {
            seen_.push_back({ absl::StrCat("entry-", i), revision });
          }
        }
      }
    })
  {
  }
  std::vector<wg::test::RevisionSeen> Stop()
  {
    stopping_ = true;
    thread_.join();
    return seen_;
  }

private:
  std::vector<wg::test::RevisionSeen> seen_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace

TEST_CASE("killed leaders lose no acknowledged change", "[kill]")
{
  TestCluster cluster;
  Observations seen;
  double value = 0.0;
  RevisionWatch watch(cluster, 3);
  for (int round = 0; round < 4; ++round) {
    ChangeWeights(cluster, 25, value, seen);
    const int leader = cluster.FindLeader();
    REQUIRE(leader >= 0);
    cluster.Control(leader).Kill();
    ChangeWeights(cluster, 25, value, seen);
    cluster.StartControl(leader);
  }
  CHECK(WaitFor([&] { return cluster.VoterCount() == 3; }));
  seen.inForce = watch.Stop();
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("a leader frozen for ten seconds reverts nothing", "[freeze]")
{
  TestCluster cluster;
  Observations seen;
  double value = 0.0;
  ChangeWeights(cluster, 10, value, seen);
  const int leader = cluster.FindLeader();
  REQUIRE(leader >= 0);
  RevisionWatch watch(cluster, 3);
  cluster.Control(leader).Signal(SIGSTOP);
  const absl::Time frozen = absl::Now();
  ChangeWeights(cluster, 10, value, seen);
  absl::SleepFor(frozen + absl::Seconds(10) - absl::Now());
  cluster.Control(leader).Signal(SIGCONT);
  ChangeWeights(cluster, 10, value, seen);
  CHECK(WaitFor([&] {
    return cluster.StatusOfControl(leader).value("revision", 0U) ==
           seen.acknowledged.back().revision;
  }));
  seen.inForce = watch.Stop();
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("a control box that is cut off silently steps down and comes back",
          "[cut]")
{
  TestCluster cluster;
  Observations seen;
  double value = 0.0;
  ChangeWeights(cluster, 5, value, seen);
  const int leader = cluster.FindLeader();
  REQUIRE(leader >= 0);
  cluster.ControlWire(leader).Cut();
  CHECK(WaitFor([&] {
    return cluster.StatusOfControl(leader).value("replica", "") != "leader";
  }));
  CHECK_FALSE(cluster.StatusOfControl(leader).value("lease", true));
  ChangeWeights(cluster, 100, value, seen);
  cluster.ControlWire(leader).Mend();
  CHECK(WaitFor([&] {
    return cluster.StatusOfControl(leader).value("revision", 0U) ==
           seen.acknowledged.back().revision;
  }));
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("a wiped box is repaired, and a second loss right after loses "
          "nothing",
          "[wipe]")
{
  TestCluster cluster;
  Observations seen;
  double value = 0.0;
  ChangeWeights(cluster, 120, value, seen); // more than a snapshot's worth
  for (int box = 0; box < 3; ++box) {
    const std::string before = cluster.StatusOfControl(box).value("id", "");
    cluster.Control(box).Kill();
    std::filesystem::remove_all(cluster.DataFolder(box));
    cluster.StartControl(box);
    ChangeWeights(cluster, 10, value, seen);
    REQUIRE(WaitFor([&] { return cluster.AllVote(); }));
    CHECK(cluster.StatusOfControl(box).value("id", "") != before);
  }
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("a spare takes a lost box's place, and a second loss right after "
          "loses nothing",
          "[spare]")
{
  ClusterLayout layout;
  layout.controls = 4;
  layout.spareAfterSeconds = 1;
  TestCluster cluster(layout);
  Observations seen;
  double value = 0.0;
  ChangeWeights(cluster, 60, value, seen);
  const int first = cluster.FindLeader();
  REQUIRE(first >= 0);
  cluster.Control(first).Kill();
  ChangeWeights(cluster, 10, value, seen);
  REQUIRE(WaitFor([&] { return cluster.AllVote(); }));
  const int second = cluster.FindLeader();
  REQUIRE(second >= 0);
  cluster.Control(second).Kill();
  ChangeWeights(cluster, 10, value, seen);
  // The first comes back as it was, not knowing that it was replaced.
  cluster.StartControl(first);
  REQUIRE(WaitFor([&] { return cluster.AllVote(); }));
  ChangeWeights(cluster, 10, value, seen);
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("an operator gives a box's vote to another", "[replace]")
{
  ClusterLayout layout;
  layout.controls = 4;
  TestCluster cluster(layout);
  REQUIRE(WaitFor([&] { return cluster.Spares().size() == 1; }));
  const int spare = cluster.Spares()[0];
  const int lost = (spare + 1) % 4;
  cluster.Control(lost).Kill();
  CHECK(cluster.RunClient({ "replace", "box", absl::StrCat("control-", lost),
                            "with", absl::StrCat("control-", spare) }) == 0);
  REQUIRE(WaitFor([&] { return cluster.AllVote(); }));
  CHECK(cluster.SetWeight(4).verdict() == ChangeResult::ACCEPTED);
  CHECK(cluster.RunClient(
          { "replace", "box", "control-1", "with", "control-1" }) == 1);
}

TEST_CASE("a log cut short makes a new replica, and nothing is lost",
          "[damage]")
{
  TestCluster cluster;
  Observations seen;
  double value = 0.0;
  ChangeWeights(cluster, 20, value, seen);
  const int box = (cluster.FindLeader() + 1) % 3;
  const std::string before = cluster.StatusOfControl(box).value("id", "");
  cluster.Control(box).Kill();
  const std::string log = cluster.DataFolder(box) + "/log";
  std::filesystem::resize_file(log, std::filesystem::file_size(log) - 50);
  cluster.StartControl(box);
  CHECK(WaitFor([&] {
    const std::string id = cluster.StatusOfControl(box).value("id", "");
    return !id.empty() && id != before;
  }));
  CHECK(WaitFor([&] { return cluster.VoterCount() == 3; }));
  ChangeWeights(cluster, 5, value, seen);
  // Each repair is four changes of the voters: added without a vote, the old
  // one out, a vote, and one for a change of leader between.
  for (int box = 0; box < 3; ++box) {
    const auto index = cluster.StatusOfControl(box).value("last_index", 0U);
    CHECK(index < 150 + 60);
  }
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("of two operators with equal numbers one wins, resent commands get "
          "their first answer",
          "[race]")
{
  TestCluster cluster;
  for (int round = 0; round < 10; ++round) {
    const std::uint64_t base =
      cluster.StatusOfControl(std::max(cluster.FindLeader(), 0))
        .value("revision", std::uint64_t{ 0 });
    ChangeResult first;
    ChangeResult second;
    const std::string firstId = wg::MakeChangeId();
    std::thread other([&] { second = cluster.SetWeight(100 + round, base); });
    first = cluster.SetWeight(200 + round, base, firstId);
    other.join();
    const bool firstWon = first.verdict() == ChangeResult::ACCEPTED;
    const bool secondWon = second.verdict() == ChangeResult::ACCEPTED;
    CHECK(firstWon != secondWon);
    const ChangeResult& lost = firstWon ? second : first;
    CHECK_THAT(lost.message(), Catch::Contains("came first"));
    const ChangeResult again = cluster.SetWeight(200 + round, base, firstId);
    CHECK(again.SerializeAsString() == first.SerializeAsString());
  }
}

TEST_CASE("an entry restarted after hundreds of changes has the newest",
          "[restart]")
{
  TestCluster cluster;
  Observations seen;
  double value = 0.0;
  cluster.Entry(2).Kill();
  ChangeWeights(cluster, 300, value, seen);
  cluster.StartEntry(2);
  CheckKept(cluster, 3, value, seen);
}

TEST_CASE("changes are in force on every entry soon", "[in-force]")
{
  wg::test::ClusterLayout layout;
  layout.entries = 9;
  layout.generators = 1;
  layout.services = 1;
  TestCluster cluster(layout);
  std::vector<double> times;
  for (int i = 0; i < 200; ++i) {
    const ChangeResult result = cluster.SetWeight(1.0 + i);
    REQUIRE(result.verdict() == ChangeResult::ACCEPTED);
    const absl::Time accepted = absl::Now();
    for (int entry = 0; entry < 9; ++entry) {
      while (cluster.RevisionAtEntry(entry) < result.revision()) {
        REQUIRE(absl::Now() - accepted < absl::Seconds(30));
      }
    }
    times.push_back(absl::ToDoubleMilliseconds(absl::Now() - accepted));
  }
  std::sort(times.begin(), times.end());
  std::cout << "in force on 9 entries after acceptance, 200 changes: median "
            << times[100] << " ms, worst " << times.back() << " ms\n";
}

TEST_CASE("orders to engines go under a fence that only rises", "[orders]")
{
  TestCluster cluster;
  const int port = cluster.PortOf("llm-1");
  CHECK(cluster.RunClient(
          { "order", "endpoint", "llm-1", "model", "base-2" }) == 0);
  CHECK(cluster.Get(port, "/v1/load")["model"] == "base-2");
  CHECK(cluster.Get(port, "/v1/load")["fence"] == 1);
  const int leader = cluster.FindLeader();
  REQUIRE(leader >= 0);
  cluster.Control(leader).Kill();
  CHECK(WaitFor([&] { return cluster.FindLeader() >= 0; }));
  CHECK(cluster.RunClient(
          { "order", "endpoint", "llm-1", "model", "base-3" }) == 0);
  CHECK(cluster.Get(port, "/v1/load")["fence"] == 2);
  // An order of the former leader that comes late changes nothing.
  cluster.Post(port, "/v1/orders", R"({"fence": 1, "model": "base-2"})");
  CHECK(cluster.Get(port, "/v1/load")["model"] == "base-3");
  // An endpoint that does not check fences is given none.
  CHECK(cluster.RunClient({ "order", "endpoint", "sms-1", "model", "x" }) ==
        1);
}

TEST_CASE("the operators' client changes and shows what it says", "[client]")
{
  TestCluster cluster;
  CHECK(cluster.RunClient({ "set", "account", "a", "weight", "7", "at",
                            "revision", "1" }) == 0);
  CHECK(cluster.RunClient({ "set", "account", "a", "weight", "8", "at",
                            "revision", "1" }) == 1);
  CHECK(cluster.RunClient({ "wait", "revision", "2" }) == 0);
  CHECK(cluster.RunClient(
          { "--timeout-ms", "300", "wait", "revision", "99" }) == 4);
  CHECK(cluster.WeightAtEntry(0) == 7.0);
  CHECK(cluster.Call(0, "answer", "explain me").status == 200);
  for (const char* table : { "endpoints", "groups", "accounts", "boxes",
                             "requests", "cost", "replicas", "config" }) {
    CHECK(cluster.RunClient({ "show", table }) == 0);
    CHECK(cluster.RunClient({ "--output", "json", "show", table }) == 0);
  }
  CHECK(cluster.RunClient({ "show", "endpoints", "where", "group", "=", "llm",
                            "and", "slots", ">", "3" }) == 0);
  CHECK(cluster.RunClient(
          { "show", "endpoints", "where", "colour", "=", "red" }) == 2);
  CHECK(cluster.RunClient({ "show", "cost", "by", "stage" }) == 0);
  CHECK(cluster.RunClient({ "explain", "request", "no-such" }) == 1);
  CHECK(cluster.RunClient({ "drain", "endpoint", "nobody" }) == 1);
  CHECK(cluster.RunClient({ "drain", "endpoint", "llm-1" }) == 0);
  // A box that should be there and was never heard is missed.
  cluster.AddBox("entry-9");
  CHECK(cluster.RunClient(
          { "--timeout-ms", "300", "wait", "revision", "1" }) == 4);
  CHECK(cluster.RunClient({ "show", "boxes" }) == 0);
  CHECK_THAT(cluster.LogOf("client"), Catch::Contains("never_heard"));
  const std::string log = cluster.LogOf("client");
  CHECK_THAT(log, Catch::Contains("came first"));
  CHECK_THAT(log, Catch::Contains("There is no endpoint \"nobody\""));
  CHECK_THAT(log, Catch::Contains("has no field \"colour\""));
}
