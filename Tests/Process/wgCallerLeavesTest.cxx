// SPDX-License-Identifier: Apache-2.0
// Callers that leave before their answer is whole.
#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "absl/strings/str_cat.h"

#include "wgCallers.h"
#include "wgTestCluster.h"

namespace {

using wg::test::Await;
using wg::test::ClusterLayout;
using wg::test::TestCluster;
using wg::test::WaitFor;

/** A caller that reads its stream until it is told to leave. */
class StreamCaller
{
public:
  StreamCaller(int port, const std::string& input,
               const std::string& deadlineMs = "600000")
    : client_("127.0.0.1", port)
    , thread_([this, input, deadlineMs] { Read(input, deadlineMs); })
  {
  }
  ~StreamCaller() { Leave(); }
  StreamCaller(const StreamCaller&) = delete;
  StreamCaller& operator=(const StreamCaller&) = delete;
  void Leave()
  {
    client_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  int Events() const { return events_; }

private:
  void Read(const std::string& input, const std::string& deadlineMs)
  {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/pipelines/answer";
    request.headers = { { "Weirgate-Account", "a" },
                        { "Accept", "text/event-stream" },
                        { "Weirgate-Deadline-Ms", deadlineMs },
                        { "Content-Type", "application/json" } };
    request.body =
      nlohmann::json{ { "input", input }, { "max_tokens", 1000 } }.dump();
    request.content_receiver = [this](const char*, std::size_t, std::uint64_t,
                                      std::uint64_t) {
      ++events_;
      return true;
    };
    client_.send(request);
  }

  httplib::Client client_;
  std::atomic<int> events_{ 0 };
  std::thread thread_;
};

/** One engine that runs one generation at a time, of a minute each. */
ClusterLayout OneSlowEngine()
{
  ClusterLayout layout;
  layout.generators = 1;
  layout.slots = 1;
  layout.stageMs = 200;
  layout.deadlineMs = 600000;
  return layout;
}

std::string LongInput()
{
  std::string text;
  for (int i = 0; i < 40; ++i) {
    text += wg::test::Input(i);
  }
  return text;
}

bool HasRefused(TestCluster& cluster, const std::string& reason, int count)
{
  const auto metrics = cluster.Get(cluster.EntryPort(0), "/metrics");
  return metrics.is_string() &&
         metrics.get<std::string>().find(
           absl::StrCat(reason, "\"} ", count, "\n")) != std::string::npos;
}

} // namespace

TEST_CASE("a caller that leaves ends its work at the engine", "[left]")
{
  TestCluster cluster(OneSlowEngine());
  const int engine = cluster.PortOf("llm-1");
  StreamCaller caller(cluster.EntryPort(0), LongInput());
  Await("tokens", [&] { return caller.Events() > 1; });
  caller.Leave();
  CHECK(WaitFor([&] {
    return cluster.Get(engine, "/v1/runs")["cancelled"] == 1 &&
           cluster.Get(engine, "/v1/load")["running"] == 0;
  }));
  CHECK(WaitFor([&] { return HasRefused(cluster, "caller_left", 1); }));
}

TEST_CASE("a deadline that passes ends the work at the engine", "[left-late]")
{
  TestCluster cluster(OneSlowEngine());
  const int engine = cluster.PortOf("llm-1");
  StreamCaller caller(cluster.EntryPort(0), LongInput(), "6000");
  Await("tokens", [&] { return caller.Events() > 1; });
  CHECK(WaitFor([&] {
    return cluster.Get(engine, "/v1/runs")["cancelled"] == 1 &&
           cluster.Get(engine, "/v1/load")["running"] == 0;
  }));
  CHECK(WaitFor([&] { return HasRefused(cluster, "deadline_passed", 1); }));
}

TEST_CASE("a caller that leaves while its stage waits runs nothing more",
          "[left-waiting]")
{
  TestCluster cluster(OneSlowEngine());
  const int engine = cluster.PortOf("llm-1");
  StreamCaller running(cluster.EntryPort(0), LongInput());
  Await("tokens", [&] { return running.Events() > 1; });
  StreamCaller waiting(cluster.EntryPort(0), LongInput());
  Await("a stage that waits", [&] {
    const auto status = cluster.StatusOfEntry(0);
    for (const auto& row : status.value("groups", nlohmann::json::array())) {
      if (row.value("group", "") == "llm") {
        return row.value("waiting", 0) == 1;
      }
    }
    return false;
  });
  waiting.Leave();
  Await("a counted caller",
        [&] { return HasRefused(cluster, "caller_left", 1); });
  running.Leave();
  Await("a second one", [&] { return HasRefused(cluster, "caller_left", 2); });
  CHECK(cluster.Get(engine, "/v1/runs")["runs"].size() == 1);
}
