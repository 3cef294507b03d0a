// SPDX-License-Identifier: Apache-2.0
// Requests in real processes: kills, cuts, failing and leaving endpoints.
#include <atomic>
#include <csignal>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgCallers.h"
#include "wgServiceState.h"
#include "wgTestCluster.h"

namespace {

using wg::test::Await;
using wg::test::CallerRecord;
using wg::test::Callers;
using wg::test::ClusterLayout;
using wg::test::CountOk;
using wg::test::Input;
using wg::test::Observations;
using wg::test::TestCluster;
using wg::test::WaitFor;

constexpr int StatusOk = 200;

void CheckAll(TestCluster& cluster, std::vector<CallerRecord> callers)
{
  Observations seen;
  seen.callers = std::move(callers);
  seen.onceRuns = cluster.RunsOf(cluster.EndpointsOf("sms"));
  seen.anyRuns = seen.onceRuns;
  for (const char* group : { "encode", "llm" }) {
    for (const auto& run : cluster.RunsOf(cluster.EndpointsOf(group))) {
      seen.anyRuns.push_back(run);
    }
  }
  const auto violations = wg::test::Check(seen);
  for (const std::string& violation : violations) {
    FAIL_CHECK(violation);
  }
  CHECK(violations.empty());
}

/** Every entry says this state of it, and none has work there. */
bool IsLeftAlone(TestCluster& cluster, const std::string& endpoint,
                 const std::string& state)
{
  int alone = 0;
  for (int i = 0; i < 3; ++i) {
    const auto status = cluster.StatusOfEntry(i);
    if (!status.contains("endpoints")) {
      continue;
    }
    for (const auto& row : status["endpoints"]) {
      const bool left = row.value("endpoint", "") == endpoint &&
                        row.value("state", "") == state &&
                        row.value("running_here", 1) == 0;
      alone += left ? 1 : 0;
    }
  }
  return alone == 3;
}

/** Once every entry knows, the endpoint must get nothing more. */
void CheckLeaving(const std::string& state,
                  const std::function<void(TestCluster&)>& leave)
{
  TestCluster cluster;
  Callers callers(
    4, [&](int i) { return cluster.Call(i % 3, "answer", Input(i)); });
  Await("callers that go on", [&] { return callers.Count() > 30; });
  CHECK_FALSE(cluster.RunsOf({ "llm-1" }).empty());
  leave(cluster);
  const absl::Time asked = absl::Now();
  REQUIRE(WaitFor([&] { return IsLeftAlone(cluster, "llm-1", state); }));
  std::cout << state << ": left alone "
            << absl::ToDoubleSeconds(absl::Now() - asked) << " s after\n";
  const auto after = cluster.RunsOf({ "llm-1" }).size();
  const int before = callers.Count();
  Await("callers that go on", [&] { return callers.Count() > before + 200; });
  CHECK(cluster.RunsOf({ "llm-1" }).size() == after);
  const auto records = callers.Stop();
  CHECK(CountOk(records) == static_cast<int>(records.size()));
}

/** Stops an entry under load, among faults; no request may be cut short. */
void CheckPlannedStop(const std::string& pipeline,
                      const std::function<void(TestCluster&)>& breakSomething)
{
  ClusterLayout layout;
  layout.stageMs = 100; // a request runs for longer than the settle time
  TestCluster cluster(layout);
  std::atomic<int> target{ 0 };
  Callers callers(
    8, [&](int i) { return cluster.Call(target, pipeline, Input(i)); });
  Await("callers that go on", [&] { return callers.Count() > 40; });
  breakSomething(cluster);
  cluster.Entry(0).Signal(SIGTERM);
  // The balancer sees that it is not ready and goes to the next one.
  CHECK(WaitFor([&] {
    return !cluster.Get(cluster.EntryPort(0), "/readyz").is_string();
  }));
  target = 1;
  CHECK(cluster.Entry(0).Wait() == 0);
  const int before = callers.Count();
  Await("callers that go on", [&] { return callers.Count() > before + 20; });
  const auto records = callers.Stop();
  CHECK(CountOk(records) == static_cast<int>(records.size()));
  CheckAll(cluster, records);
  CHECK_THAT(cluster.LogOf("entry-0"), Catch::Contains("0 requests cut"));
}

} // namespace

TEST_CASE("a killed entry runs nothing twice, whoever sends it again",
          "[kill]")
{
  TestCluster cluster;
  std::mutex mutex;
  std::vector<CallerRecord> resent;
  Callers callers(6, [&](int i) {
    const std::string key = absl::StrCat("key-", i);
    CallerRecord first = cluster.Call(i % 3, "remind", Input(i), key);
    if (first.status == 0) { // the answer is lost: ask another entry
      const CallerRecord second =
        cluster.Call((i + 1) % 3, "remind", Input(i), key);
      const std::lock_guard<std::mutex> lock(mutex);
      resent.push_back(second);
    }
    return first;
  });
  for (int round = 0; round < 6; ++round) {
    const int before = callers.Count();
    Await("callers that go on", [&] { return callers.Count() > before + 40; });
    cluster.Entry(round % 3).Kill();
    cluster.StartEntry(round % 3);
    Await("an entry with a configuration",
          [&] { return cluster.RevisionAtEntry(round % 3) > 0; });
  }
  std::vector<CallerRecord> records = callers.Stop();
  CHECK(CountOk(records) > 100);
  records.insert(records.end(), resent.begin(), resent.end());
  CheckAll(cluster, records);
}

TEST_CASE("a large configuration reaches an entry over a poor link",
          "[poor-link]")
{
  // A configuration that takes longer on a link than a call may last was
  // asked for from its beginning for ever, as large documents were by
  // gateways. One of 6,000 boxes, 280 kB, over 50 kB/s was not in force at an
  // entry after a minute; a call ended a second after its wait.
  TestCluster cluster;
  const std::uint64_t before = cluster.RevisionAtEntry(0);
  cluster.AddBoxes(6000);
  Await("the configuration at all entries", [&] {
    return cluster.RevisionAtEntry(0) > before &&
           cluster.RevisionAtEntry(1) > before &&
           cluster.RevisionAtEntry(2) > before;
  });
  constexpr double poorLink = 50e3; // bytes a second
  cluster.LimitAnswers(poorLink);
  // All, as an entry would tell another one over a better link.
  for (int entry : { 0, 1, 2 }) {
    cluster.Entry(entry).Kill();
  }
  for (int entry : { 0, 1, 2 }) {
    cluster.StartEntry(entry);
  }
  CHECK(WaitFor([&] { return cluster.RevisionAtEntry(0) > before; }));
}

TEST_CASE("a key is run once while control leaders die", "[claims]")
{
  TestCluster cluster;
  Callers callers(6, [&](int i) {
    // Every key is sent twice, through different entries, at once.
    return cluster.Call(i % 3, "remind", Input(i / 2),
                        absl::StrCat("pair-", i / 2));
  });
  for (int round = 0; round < 3; ++round) {
    const int before = callers.Count();
    Await("callers that go on", [&] { return callers.Count() > before + 60; });
    const int leader = cluster.FindLeader();
    REQUIRE(leader >= 0);
    cluster.Control(leader).Kill();
    Await("a leader", [&] { return cluster.FindLeader() >= 0; });
    cluster.StartControl(leader);
  }
  const auto records = callers.Stop();
  CHECK(CountOk(records) > 50);
  CheckAll(cluster, records);
}

TEST_CASE("failing endpoints lose, double and swap nothing", "[endpoints]")
{
  TestCluster cluster;
  const int llm = cluster.PortOf("llm-1");
  const int encode = cluster.PortOf("encode-1");
  const int sms = cluster.PortOf("sms-1");
  Callers callers(6, [&](int i) {
    return cluster.Call(i % 3, i % 2 == 0 ? "remind" : "answer", Input(i));
  });
  for (int round = 0; round < 10; ++round) {
    const int before = callers.Count();
    // Faults that would hide each other are at different endpoints.
    cluster.Post(llm, "/v1/fault",
                 R"({"break_stream_next": 1, "fail_next": 1,
                     "end_early_next": 3})");
    cluster.Post(cluster.PortOf("llm-2"), "/v1/fault",
                 R"({"wrong_echo_next": 2})");
    cluster.Post(encode, "/v1/fault",
                 R"({"wrong_echo_next": 2, "cut_answer_next": 2,
                     "fail_next": 1})");
    cluster.Post(sms, "/v1/fault",
                 R"({"fail_next": 1, "wrong_echo_next": 1})");
    Await("callers that go on", [&] { return callers.Count() > before + 40; });
  }
  const auto records = callers.Stop();
  CHECK(CountOk(records) > static_cast<int>(records.size()) / 2);
  CheckAll(cluster, records);
  int foreign = 0;
  int resumed = 0;
  for (int i = 0; i < 3; ++i) {
    const std::string metrics =
      cluster.Get(cluster.EntryPort(i), "/metrics").get<std::string>();
    foreign += metrics.find("answer_foreign\"} 0") == std::string::npos;
    resumed += metrics.find("stream_resumed\"} 0") == std::string::npos;
  }
  CHECK(foreign > 0);
  CHECK(resumed > 0);
}

TEST_CASE("a planned stop cuts no request short", "[stop]")
{
  CheckPlannedStop("remind", [](TestCluster&) {});
}

TEST_CASE("an endpoint that says it is leaving gets no new work", "[leaving]")
{
  CheckLeaving("leaving", [](TestCluster& cluster) {
    cluster.Post(cluster.PortOf("llm-1"), "/v1/leave", "true");
  });
}

TEST_CASE("an endpoint that the platform lists as leaving gets no new work",
          "[platform]")
{
  CheckLeaving("leaving", [](TestCluster& cluster) {
    cluster.Post(cluster.PlatformPort(), "/v1/boxes",
                 absl::StrCat(R"([{"address": "127.0.0.1:)",
                              cluster.PortOf("llm-1"),
                              R"(", "state": "leaving"}, {"address": 5}])"));
  });
}

TEST_CASE("an endpoint that an operator drains gets no new work", "[drain]")
{
  CheckLeaving("drained", [](TestCluster& cluster) {
    wg::wire::Change change;
    change.set_id(wg::MakeChangeId());
    change.mutable_set_drained()->set_endpoint("llm-1");
    change.mutable_set_drained()->set_drained(true);
    CHECK(cluster.Send(change).verdict() == wg::wire::ChangeResult::ACCEPTED);
  });
}

TEST_CASE("a planned stop while a leader dies and endpoints fail cuts nothing",
          "[stop-two]")
{
  CheckPlannedStop("answer", [](TestCluster& cluster) {
    const int leader = cluster.FindLeader();
    REQUIRE(leader >= 0);
    cluster.Control(leader).Kill();
    cluster.Post(cluster.PortOf("llm-1"), "/v1/fault",
                 R"({"break_stream_next": 2})");
  });
}

TEST_CASE("cut off from control an entry serves what needs no claim",
          "[hall-cut]")
{
  TestCluster cluster;
  for (int i = 0; i < 3; ++i) {
    cluster.ControlWire(i).Cut();
  }
  CHECK(cluster.Call(0, "answer", Input(1)).status == StatusOk);
  std::vector<CallerRecord> records;
  records.push_back(cluster.Call(0, "remind", Input(2), "cut-key"));
  CHECK(records[0].status == 503);
  CHECK(records[0].run == "not_run");
  // A box that restarts in the cut hall gets what its neighbours have.
  cluster.Entry(1).Kill();
  cluster.StartEntry(1);
  CHECK(WaitFor([&] { return cluster.RevisionAtEntry(1) == 1; }));
  CHECK(cluster.Call(1, "answer", Input(3)).status == StatusOk);
  for (int i = 0; i < 3; ++i) {
    cluster.ControlWire(i).Mend();
  }
  CHECK(WaitFor([&] {
    records.push_back(cluster.Call(0, "remind", Input(2), "after-cut"));
    return records.back().status == StatusOk;
  }));
  CheckAll(cluster, records);
}

TEST_CASE("a frozen endpoint is left alone and costs few requests", "[freeze]")
{
  ClusterLayout layout;
  layout.deadlineMs = 3000;
  TestCluster cluster(layout);
  cluster.Post(cluster.PortOf("llm-1"), "/v1/fault", R"({"hang_next": 3})");
  std::vector<CallerRecord> records;
  Callers callers(
    4, [&](int i) { return cluster.Call(i % 3, "answer", Input(i)); });
  Await("callers that go on", [&] { return callers.Count() > 300; });
  records = callers.Stop();
  CHECK(CountOk(records) >= static_cast<int>(records.size()) - 3);
  CheckAll(cluster, records);
}

TEST_CASE("a refusal comes at once and says when to come back", "[refusal]")
{
  ClusterLayout layout;
  layout.generators = 1;
  layout.stageMs = 50;
  TestCluster cluster(layout);
  std::vector<CallerRecord> records;
  double longest = 0.0;
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (int i = 0; i < 48; ++i) {
    threads.emplace_back([&, i] {
      const absl::Time start = absl::Now();
      const CallerRecord record =
        cluster.Call(i % 3, "answer", Input(i), "", 1500);
      const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
      const std::lock_guard<std::mutex> lock(mutex);
      records.push_back(record);
      if (record.status == 503) {
        longest = std::max(longest, seconds);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const int ok = CountOk(records);
  CHECK(ok > 0);
  CHECK(ok < 48);
  std::cout << "of 48 requests at once " << ok
            << " answered, the slowest refusal took " << longest << " s\n";
  CheckAll(cluster, records);
}
