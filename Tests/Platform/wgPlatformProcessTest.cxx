// SPDX-License-Identifier: Apache-2.0
#include <csignal>
#include <filesystem>
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

#include "wgPlatformStandin.h"
#include "wgTestCluster.h"
#include "wgTestPorts.h"

namespace {

using Json = nlohmann::json;
using wg::test::Await;
using wg::test::PlatformStandin;
using wg::test::Process;
using wg::test::StandinConduct;

std::string Local(int port)
{
  return absl::StrCat("127.0.0.1:", port);
}

/** Real control and gateway processes, and endpoints that are stood in for. */
class PlatformCluster
{
public:
  explicit PlatformCluster(int gateways)
  {
    folder_ = std::filesystem::temp_directory_path() /
              absl::StrCat("wg-platform-", ports_.Take());
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < 3; ++i) {
      peers_.push_back(ports_.Take());
      apis_.push_back(ports_.Take());
      controls_.emplace_back();
    }
    for (int i = 0; i < gateways; ++i) {
      listens_.push_back(ports_.Take());
      readies_.push_back(ports_.Take());
      gatewayPeers_.push_back(ports_.Take());
      gateways_.emplace_back();
    }
    for (int i = 0; i < 3; ++i) {
      StartControl(i, true);
    }
    for (int i = 0; i < gateways; ++i) {
      StartGateway(i);
    }
  }
  ~PlatformCluster()
  {
    gateways_.clear();
    controls_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void StartControl(int index, bool founds)
  {
    std::vector<std::string> arguments = Common("control", index);
    for (const std::string& more :
         { absl::StrCat("--peer=", Local(peers_[index])),
           absl::StrCat("--api=", Local(apis_[index])),
           absl::StrCat("--data=", (folder_ / Name("c", index)).string()),
           absl::StrCat("--found=", founds ? "true" : "false"),
           std::string("--tolerated-losses=1") }) {
      arguments.push_back(more);
    }
    controls_[index] = std::make_unique<Process>(
      arguments, (folder_ / (Name("c", index) + ".log")).string());
  }
  void StartGateway(int index)
  {
    std::vector<std::string> arguments = Common("gateway", index);
    for (const std::string& more :
         { absl::StrCat("--peer=", Local(gatewayPeers_[index])),
           absl::StrCat("--listen=", Local(listens_[index])),
           absl::StrCat("--ready=", Local(readies_[index])),
           std::string("--retry-slack=50"), std::string("--settle-ms=300"),
           std::string("--grace-s=8") }) {
      arguments.push_back(more);
    }
    gateways_[index] = std::make_unique<Process>(
      arguments, (folder_ / (Name("g", index) + ".log")).string());
  }

  /** The status of what an operator's call to one control box got; 0: none. */
  int Publish(int control, const std::string& document)
  {
    httplib::Client client("127.0.0.1", apis_[control]);
    const auto reply = client.Put("/-/config", document, "application/json");
    return reply ? reply->status : 0;
  }
  std::string ReadBack(int control)
  {
    httplib::Client client("127.0.0.1", apis_[control]);
    const auto reply = client.Get("/-/config");
    return reply && reply->status == 200 ? reply->body : "";
  }
  int Ready(int gateway)
  {
    httplib::Client client("127.0.0.1", readies_[gateway]);
    const auto reply = client.Get("/-/readyz");
    return reply ? reply->status : 0;
  }
  httplib::Result Send(int gateway, const std::string& path,
                       const std::string& id, const std::string& key = "k1")
  {
    httplib::Client client("127.0.0.1", listens_[gateway]);
    client.set_read_timeout(20);
    httplib::Headers headers = { { "Host", "one.example" },
                                 { "X-Weirgate-Attempt-Id", id },
                                 { "X-Weirgate-Deadline-Ms", "15000" },
                                 { "X-Weirgate-Tenant", "forged" },
                                 { "Authorization", "Token " + key } };
    if (path.rfind("/s/", 0) == 0) {
      headers.emplace("X-Weirgate-Token-Usage", "100,20");
      headers.emplace("X-Weirgate-Prompt-Prefix", "aa:60,bb:40");
      headers.emplace("X-Weirgate-Chunk-Count", "2,3");
      headers.emplace("X-Weirgate-Chunk-Key", "file");
    }
    return client.Post(path, headers, "body of " + id, "text/plain");
  }
  void AwaitServing()
  {
    Await("the first document",
          [this] { return Publish(0, Document(1)) == 200; });
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      Await("a ready gateway",
            [this, i] { return Ready(static_cast<int>(i)) == 200; });
    }
  }
  static std::string Document(int number)
  {
    Json document{
      { "version", number },
      { "routes",
        { { { "name", "plain" },
            { "host", "one.example" },
            { "pathPrefix", "/p/" },
            { "type", "non_idempotent" },
            { "timeoutMs", 15000 },
            { "service", "plain" },
            { "maxAttempts", 1 } },
          { { "name", "stream" },
            { "host", "one.example" },
            { "pathPrefix", "/s/" },
            { "type", "streaming" },
            { "timeoutMs", 15000 },
            { "latencyGoalMs", 9000 },
            { "service", "llm" },
            { "maxAttempts", 1 },
            { "phases",
              { { { "service", "enc" },
                  { "afterRevision", Json::array() },
                  { "sizeBytes", 1000 } },
                { { "service", "enc" },
                  { "afterRevision", { 0 } },
                  { "sizeBytes", 1000 } } } } } } },
      { "services",
        { { { "name", "plain" } },
          { { "name", "llm" }, { "engine", { { "capacity", 4 } } } },
          { { "name", "enc" },
            { "segments",
              { { "capacity", 1 },
                { "batch", 8 },
                { "callMs", 50.0 },
                { "itemMs", 1.0 },
                { "headroomMb", 1.0 } } } } } },
      { "tenants", { { { "name", "t1" }, { "apiKeys", { "k1" } } } } }
    };
    if (number > 1) {
      Json added = document["routes"][0];
      added["name"] = "added";
      added["pathPrefix"] = absl::StrCat("/p", number, "/");
      document["routes"].push_back(added);
    }
    return document.dump();
  }

  Process& Control(int index) { return *controls_[index]; }
  Process& Gateway(int index) { return *gateways_[index]; }
  int Api(int index) const { return apis_[index]; }

private:
  static std::string Name(const std::string& kind, int index)
  {
    return absl::StrCat(kind, index);
  }
  std::vector<std::string> Common(const std::string& role, int index)
  {
    std::vector<std::string> controls;
    for (const int port : peers_) {
      controls.push_back(Local(port));
    }
    return { WG_DAEMON,
             "--role=" + role,
             absl::StrCat("--box=", role, index),
             "--hall=h1",
             "--peer-key=a key of the tests",
             "--controls=" + absl::StrJoin(controls, ",") };
  }

  wg::test::TestPorts ports_;
  std::filesystem::path folder_;
  std::vector<int> peers_;
  std::vector<int> apis_;
  std::vector<int> listens_;
  std::vector<int> readies_;
  std::vector<int> gatewayPeers_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> gateways_;
};

/** Until a gateway has heard of the endpoints. */
void AwaitAnswer(PlatformCluster& cluster, int gateway,
                 const std::string& path)
{
  static int number = 0;
  Await("an answer", [&] {
    const auto reply =
      cluster.Send(gateway, path, absl::StrCat("warm", ++number));
    return reply && reply->status == 200;
  });
}

} // namespace

TEST_CASE("A request goes through its stages to an engine", "[path]")
{
  PlatformCluster cluster(2);
  PlatformStandin engine("i-llm");
  PlatformStandin encoder("i-enc");
  cluster.AwaitServing();
  REQUIRE(engine.Register(cluster.Api(1), "llm"));
  REQUIRE(encoder.Register(cluster.Api(2), "enc"));
  for (int gateway : { 0, 1 }) {
    AwaitAnswer(cluster, gateway, "/s/x");
    const int before = encoder.Pieces();
    const std::string id = absl::StrCat("stream", gateway);
    const auto reply = cluster.Send(gateway, "/s/x", id);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->get_header_value("X-Weirgate-Server-Seal") == "i-llm");
    CHECK(reply->body.find("id: 4\ndata: " + id) != std::string::npos);
    CHECK(engine.Runs(id) == 1);
    CHECK(encoder.Pieces() - before == 5);
    CHECK(engine.LastField("X-Weirgate-Batch-Inputs").find(id + ".1.2") !=
          std::string::npos);
    CHECK(engine.LastField("X-Weirgate-Tenant") == "t1");
    CHECK(engine.LastField("Authorization").empty());
    CHECK(engine.LastField("X-Weirgate-Target-Instance") == "i-llm");
  }
  Await("results to be given up",
        [&] { return encoder.Released() == encoder.Pieces(); });
  CHECK(cluster.Send(0, "/s/x", "nokey", "wrong")->status == 401);
  CHECK(cluster.Send(0, "/none/x", "noroute")->status == 404);
  CHECK(engine.Runs("nokey") == 0);
}

TEST_CASE("What may run once runs once, and promises hold", "[once]")
{
  PlatformCluster cluster(1);
  PlatformStandin plain("i-1");
  cluster.AwaitServing();
  REQUIRE(plain.Register(cluster.Api(0), "plain"));
  AwaitAnswer(cluster, 0, "/p/x");
  plain.SetConduct(StandinConduct::HangUp);
  const auto cut = cluster.Send(0, "/p/x", "cut");
  REQUIRE(cut);
  CHECK(cut->status == 502);
  CHECK(plain.Runs("cut") == 1);
  plain.SetConduct(StandinConduct::Refuse);
  const auto refused = cluster.Send(0, "/p/x", "refused");
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK_FALSE(refused->get_header_value("Retry-After").empty());
  CHECK(plain.Runs("refused") == 0);
}

TEST_CASE("An endpoint that leaves gets nothing new", "[leaving]")
{
  PlatformCluster cluster(2);
  PlatformStandin staying("i-1");
  PlatformStandin leaving("i-2");
  cluster.AwaitServing();
  REQUIRE(staying.Register(cluster.Api(0), "plain"));
  REQUIRE(leaving.Register(cluster.Api(1), "plain"));
  Await("both to be used", [&] {
    static int number = 0;
    ++number;
    cluster.Send(number % 2, "/p/x", absl::StrCat("w", number));
    return staying.AllRuns() > 0 && leaving.AllRuns() > 0;
  });
  // Whichever control box it tells, without the one that it told before.
  cluster.Control(1).Kill();
  REQUIRE(leaving.Register(cluster.Api(2), "plain", "draining"));
  absl::SleepFor(absl::Milliseconds(500));
  const int before = leaving.AllRuns();
  for (int i = 0; i < 60; ++i) {
    const auto reply = cluster.Send(i % 2, "/p/x", absl::StrCat("after", i));
    REQUIRE(reply);
    CHECK(reply->status == 200);
  }
  CHECK(leaving.AllRuns() == before);
}

TEST_CASE("An acknowledged document is in force and lasts", "[document]")
{
  PlatformCluster cluster(2);
  PlatformStandin plain("i-1");
  cluster.AwaitServing();
  REQUIRE(plain.Register(cluster.Api(2), "plain"));
  AwaitAnswer(cluster, 0, "/p/x");
  AwaitAnswer(cluster, 1, "/p/x");
  CHECK(cluster.Publish(1, "{\"version\": 9") == 400);
  cluster.Control(0).Kill();
  const std::string second = PlatformCluster::Document(2);
  Await("the second document",
        [&] { return cluster.Publish(1, second) == 200; });
  const absl::Time acknowledged = absl::Now();
  for (int gateway : { 0, 1 }) {
    Await("the new route", [&] {
      const auto reply =
        cluster.Send(gateway, "/p2/x", absl::StrCat("new", gateway));
      return reply && reply->status == 200;
    });
  }
  CHECK(absl::Now() - acknowledged < absl::Seconds(2));
  // Older, or the same number with another content: acknowledged, not taken.
  CHECK(cluster.Publish(2, PlatformCluster::Document(1)) == 200);
  Json other = Json::parse(second);
  other["routes"].erase(0);
  CHECK(cluster.Publish(2, other.dump()) == 200);
  cluster.StartControl(0, false);
  for (int control : { 0, 1, 2 }) {
    Await("the document to be read back",
          [&] { return cluster.ReadBack(control) == second; });
  }
  // All at once, as when power is lost.
  for (int control : { 0, 1, 2 }) {
    cluster.Control(control).Kill();
  }
  for (int control : { 0, 1, 2 }) {
    cluster.StartControl(control, false);
  }
  Await("the document after all were killed",
        [&] { return cluster.ReadBack(1) == second; });
}

TEST_CASE("A planned stop cuts nothing", "[stop]")
{
  PlatformCluster cluster(1);
  PlatformStandin plain("i-1");
  cluster.AwaitServing();
  REQUIRE(plain.Register(cluster.Api(0), "plain"));
  AwaitAnswer(cluster, 0, "/p/x");
  plain.SetConduct(StandinConduct::Wait);
  std::unique_ptr<httplib::Result> reply;
  std::thread caller([&] {
    reply =
      std::make_unique<httplib::Result>(cluster.Send(0, "/p/x", "in flight"));
  });
  Await("the request to run", [&] { return plain.Runs("in flight") == 1; });
  cluster.Gateway(0).Signal(SIGTERM);
  Await("it not to be ready", [&] { return cluster.Ready(0) != 200; });
  absl::SleepFor(absl::Milliseconds(600));
  CHECK(cluster.Gateway(0).IsRunning());
  plain.GoOn();
  caller.join();
  REQUIRE(*reply);
  CHECK((*reply)->status == 200);
  CHECK((*reply)->body == "in flight|body of in flight");
  CHECK(cluster.Gateway(0).Wait() == 0);
}

TEST_CASE("A stop takes only what it can finish, and answers the rest",
          "[stop-late]")
{
  // A balancer that finds most boxes of a hall stopping uses them all: a
  // request that came late was cut off when the grace was over.
  PlatformCluster cluster(1);
  PlatformStandin plain("i-1");
  cluster.AwaitServing();
  REQUIRE(plain.Register(cluster.Api(0), "plain"));
  AwaitAnswer(cluster, 0, "/p/x");
  plain.SetConduct(StandinConduct::Wait);
  std::unique_ptr<httplib::Result> reply;
  std::thread caller([&] {
    reply = std::make_unique<httplib::Result>(
      cluster.Send(0, "/p/x", "never answered"));
  });
  Await("the request to run",
        [&] { return plain.Runs("never answered") == 1; });
  cluster.Gateway(0).Signal(SIGTERM);
  absl::SleepFor(absl::Milliseconds(600)); // beyond the settle time
  const auto late = cluster.Send(0, "/p/x", "late");
  REQUIRE(late);
  CHECK(late->status == 503);
  CHECK_FALSE(late->get_header_value("Retry-After").empty());
  CHECK(plain.Runs("late") == 0);
  caller.join();
  REQUIRE(*reply);
  CHECK((*reply)->status == 502);
  CHECK(cluster.Gateway(0).Wait() == 0);
}

TEST_CASE("Stage calls go on when the box that makes them dies", "[batches]")
{
  PlatformCluster cluster(3);
  PlatformStandin engine("i-llm");
  PlatformStandin encoder("i-enc");
  encoder.SetCallMs(150);
  cluster.AwaitServing();
  REQUIRE(engine.Register(cluster.Api(0), "llm"));
  REQUIRE(encoder.Register(cluster.Api(0), "enc"));
  for (int gateway : { 0, 1, 2 }) {
    AwaitAnswer(cluster, gateway, "/s/x");
  }
  // Two of three die one after the other: one of them may be the maker.
  for (int dead : { 0, 1 }) {
    std::vector<int> statuses(4, 0);
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([&, i] {
        const auto reply =
          cluster.Send(2, "/s/x", absl::StrCat("during", dead, ".", i));
        statuses[static_cast<std::size_t>(i)] = reply ? reply->status : 0;
      });
    }
    absl::SleepFor(absl::Milliseconds(100));
    cluster.Gateway(dead).Kill();
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(statuses == std::vector<int>(4, 200));
  }
}
