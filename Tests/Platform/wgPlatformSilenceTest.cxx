// SPDX-License-Identifier: Apache-2.0
// Endpoints that fall silent while they answer: for a moment, as a process
// that is suspended does, or for good, as a connection does whose state was
// lost on the way.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::StandinConduct;

using Names = std::vector<std::string>;

constexpr int Ok = 200;
const Names WholeStream{ "1", "2", "3", "4" };
/** Twice what a box waits for the next event of these routes. */
constexpr int PauseMs = 1000;
constexpr int EventMs = 150;

/** Endpoints of these tests tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

struct Stream
{
  std::string request;
  int status = 0; // 0: the answer was not whole
  Names ids;
};

/** Engines that fetch the results of a stage, and callers of streams. */
struct Site
{
  explicit Site(int engineCount, int gateways = 1)
    : cluster(gateways)
    , encoder("enc-1")
  {
    Publish(1);
    for (int i = 0; i < gateways; ++i) {
      Await("a ready gateway", [&] { return cluster.Ready(i) == Ok; });
    }
    REQUIRE(encoder.Register(cluster.Api(0), "enc"));
    for (int i = 0; i < engineCount; ++i) {
      engines.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("engine-", i)));
      engines.back()->FetchesInputsFrom(encoder);
      engines.back()->SetEventMs(EventMs);
      REQUIRE(engines.back()->Register(cluster.Api(0), "llm"));
    }
    Await("all engines to serve", [this] {
      Send();
      return std::all_of(engines.begin(), engines.end(),
                         [](const auto& e) { return e->AllRuns() > 0; });
    });
  }

  /** Streams that may be resumed run a stage of their own. */
  void Publish(int number)
  {
    auto document =
      PlatformCluster::Json::parse(PlatformCluster::Document(number));
    for (auto& route : document["routes"]) {
      if (route["name"] == "resumable") {
        route["phases"] = { { { "service", "enc" },
                              { "afterRevision",
                                PlatformCluster::Json::array() },
                              { "sizeBytes", 1000 } } };
      }
    }
    document["limits"] = { { "idleTimeoutMs", 15000 + number } };
    Await("the document to be acknowledged",
          [&] { return cluster.Publish(0, document.dump()) == Ok; });
  }

  Stream Send()
  {
    const int number = ++sent;
    Stream stream;
    stream.request = absl::StrCat("silence", number);
    httplib::Client client("127.0.0.1", cluster.Listen(0));
    client.set_read_timeout(20);
    const httplib::Headers headers = {
      { "Host", "one.example" },
      { "X-Weirgate-Attempt-Id", stream.request },
      { "X-Weirgate-Deadline-Ms", "12000" },
      { "Authorization", "Token k1" },
      { "X-Weirgate-Token-Usage", "100,20" },
      { "X-Weirgate-Prompt-Prefix",
        absl::StrCat(absl::Hex(number), ":60,bb:40") },
      { "X-Weirgate-Chunk-Count", "2" },
      { "X-Weirgate-Chunk-Key", "file" }
    };
    const auto reply = client.Post("/r/x", headers, "body", "text/plain");
    if (!reply) {
      return stream;
    }
    stream.status = reply->status;
    for (absl::string_view line : absl::StrSplit(reply->body, '\n')) {
      if (absl::ConsumePrefix(&line, "id: ")) {
        stream.ids.emplace_back(line);
      }
    }
    return stream;
  }

  /** Sends so many streams at once, and does something once all have begun. */
  template <class Meanwhile>
  std::vector<Stream> SendMany(int count, Meanwhile meanwhile)
  {
    std::vector<Stream> streams(count);
    std::vector<std::thread> callers;
    const int before = Begun();
    for (Stream& stream : streams) {
      callers.emplace_back([this, &stream] { stream = Send(); });
    }
    Await("all streams to begin", [&] { return Begun() >= before + count; });
    meanwhile();
    for (std::thread& caller : callers) {
      caller.join();
    }
    return streams;
  }

  int Begun() const
  {
    int begun = 0;
    for (const auto& engine : engines) {
      begun += engine->StreamsBegun();
    }
    return begun;
  }

  PlatformCluster cluster;
  PlatformStandin encoder;
  std::vector<std::unique_ptr<PlatformStandin>> engines;
  std::atomic<int> sent{ 0 };
};

void CheckWhole(const std::vector<Stream>& streams)
{
  for (const Stream& stream : streams) {
    CAPTURE(stream.request);
    CHECK(stream.status == Ok);
    CHECK(stream.ids == WholeStream);
  }
}

} // namespace

// The box left an engine that paused for a moment, and only then asked for
// what going on elsewhere needs: the results of stages had been released.
TEST_CASE("A stream is cut as its engine pauses", "[answers-cut][paused]")
{
  Site site(2);
  CheckWhole(site.SendMany(4, [&] { site.engines[0]->PauseFor(PauseMs); }));
}

TEST_CASE("Streams are cut as all engines pause", "[answers-cut][paused]")
{
  Site site(2);
  CheckWhole(site.SendMany(4, [&] {
    for (const auto& engine : site.engines) {
      engine->PauseFor(PauseMs);
    }
  }));
}

// The same while documents come into force, which must make no difference.
TEST_CASE("Streams are cut as engines pause while documents come",
          "[answers-cut][paused-documents]")
{
  Site site(2);
  int number = 1;
  for (int round = 0; round < 3; ++round) {
    CheckWhole(site.SendMany(4, [&] {
      site.Publish(++number);
      for (const auto& engine : site.engines) {
        engine->PauseFor(PauseMs);
      }
      site.Publish(++number);
    }));
  }
}

// Nothing more comes over a connection for good; new ones work.
TEST_CASE("A stream whose connection is dead is cut",
          "[answers-cut][dead-connection]")
{
  Site site(2);
  site.engines[0]->SetEventMs(0);
  site.engines[0]->SetConduct(StandinConduct::Silent);
  int left = 0;
  for (int i = 0; i < 8; ++i) {
    const Stream stream = site.Send();
    CheckWhole({ stream });
    left += site.engines[0]->Runs(stream.request);
  }
  CHECK(left > 0);
}

// The engine is gone after its first event: the results of stages are made
// again for the next one.
TEST_CASE("A stream with stages is cut as its engine ends",
          "[answers-cut][engine-ends]")
{
  Site site(2);
  site.engines[0]->FallsFor(PauseMs);
  CheckWhole(site.SendMany(4, [&] { site.engines[0]->FallOver(); }));
}
