// SPDX-License-Identifier: Apache-2.0
// Streams whose endpoint is to be left for another one, and what may happen to
// either of them until the other has them.
#include <algorithm>
#include <atomic>
#include <cstdint>
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
#include "wgScriptedEndpoint.h"

namespace {

using wg::test::AnswerClose;
using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::ScriptedAnswer;
using wg::test::ScriptedEndpoint;
using wg::test::StandinConduct;

using Names = std::vector<std::string>;

constexpr int Ok = 200;
const Names WholeStream{ "1", "2", "3", "4" };
/** Longer than any test runs. */
constexpr int DownMs = 30000;
/** What a box waits for a next event, and the answer to a question. */
constexpr int SilenceMs = 500;
constexpr int QuestionMs = 400;

/** Endpoints of these tests tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

struct Stream
{
  std::string request;
  int status = 0; // 0: the answer was not whole
  Names ids;
};

/** Callers of streams that run a stage, and who executes it. */
struct Callers
{
  Callers()
    : cluster(1)
    , encoder("enc-1")
  {
    Publish();
    Await("a ready gateway", [&] { return cluster.Ready(0) == Ok; });
    REQUIRE(encoder.Register(cluster.Api(0), "enc"));
  }

  /** Streams that may be resumed run a stage of their own. */
  void Publish()
  {
    auto document = PlatformCluster::Json::parse(PlatformCluster::Document(1));
    for (auto& route : document["routes"]) {
      if (route["name"] == "resumable") {
        route["phases"] = { { { "service", "enc" },
                              { "afterRevision",
                                PlatformCluster::Json::array() },
                              { "sizeBytes", 1000 } } };
      }
    }
    Await("the document to be acknowledged",
          [&] { return cluster.Publish(0, document.dump()) == Ok; });
  }

  Stream Send()
  {
    const int number = ++sent;
    Stream stream;
    stream.request = absl::StrCat("continued", number);
    httplib::Client client("127.0.0.1", cluster.Listen(0));
    client.set_read_timeout(20);
    const httplib::Headers headers = {
      { "Host", "one.example" },
      { "X-Weirgate-Attempt-Id", stream.request },
      { "X-Weirgate-Deadline-Ms", "10000" },
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

  int Counter(absl::string_view name) { return cluster.Counter(0, name); }

  PlatformCluster cluster;
  PlatformStandin encoder;
  std::atomic<int> sent{ 0 };
};

/** Engines that fetch the results of a stage. The first one loses each of its
 * streams midway, and is asked for its status by then.
 */
struct Site : Callers
{
  explicit Site(int engineCount)
  {
    for (int i = 0; i < engineCount; ++i) {
      engines.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("engine-", i)));
      engines.back()->FallsFor(DownMs);
      engines.back()->FetchesInputsFrom(encoder);
      REQUIRE(engines.back()->Register(cluster.Api(0), "llm"));
    }
    Await("all engines to serve", [this] {
      Send();
      return std::all_of(engines.begin(), engines.end(),
                         [](const auto& e) { return e->AllRuns() > 0; });
    });
    engines.front()->SetConduct(StandinConduct::Silent);
  }

  /** Sends so many streams at once, and does something once all have begun. */
  template <class Meanwhile>
  std::vector<Stream> SendMany(int count, Meanwhile meanwhile)
  {
    std::vector<Stream> streams(count);
    std::vector<std::thread> callers;
    const int before = Runs();
    for (Stream& stream : streams) {
      callers.emplace_back([this, &stream] { stream = Send(); });
    }
    Await("all streams to begin", [&] { return Runs() >= before + count; });
    meanwhile();
    for (std::thread& caller : callers) {
      caller.join();
    }
    return streams;
  }

  int Runs() const
  {
    int runs = 0;
    for (const auto& engine : engines) {
      runs += engine->AllRuns();
    }
    return runs;
  }

  std::vector<std::unique_ptr<PlatformStandin>> engines;
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

// An endpoint that was found to be gone was chosen and asked without a pause,
// and a sound one never.
TEST_CASE("A stream is not continued as endpoints beside it are gone",
          "[next-gone]")
{
  constexpr int gone = 2;
  Site site(gone + 2);
  const int before = site.engines[0]->AllRuns();
  const absl::Time begun = absl::Now();
  const auto streams = site.SendMany(12, [&] {
    site.engines[1]->FallOver();
    site.engines[2]->FallOver();
  });
  const auto tookMs = absl::ToInt64Milliseconds(absl::Now() - begun);
  const int left = site.engines[0]->AllRuns() - before;
  REQUIRE(left > 0);
  CheckWhole(streams);
  // For each stream that is left the two that live, and one that is gone not
  // before an answer could have come.
  CHECK(site.Counter("endpoint_status_asked") <=
        std::int64_t{ 2 } * left + gone * (1 + tookMs / QuestionMs));
}

// Its endpoint ended while the next one was asked, which did not answer: from
// then on nothing happened.
TEST_CASE("A stream hangs whose endpoint ends as the next one is asked",
          "[cut-meanwhile]")
{
  Site site(2);
  const int before = site.engines[0]->AllRuns();
  const auto streams = site.SendMany(8, [&] {
    site.engines[1]->PauseFor(4 * SilenceMs + QuestionMs);
    Await("streams to be left",
          [&] { return site.Counter("answers_silent_going_on") > 0; });
    absl::SleepFor(absl::Milliseconds(QuestionMs / 2));
    site.engines[0]->FallOver();
  });
  REQUIRE(site.engines[0]->AllRuns() > before);
  CheckWhole(streams);
}

// While no endpoint could go on, the stages were executed again and again.
TEST_CASE("Stages are executed for an endpoint that stands still",
          "[stages-for-none]")
{
  Site site(2);
  int made = 0;
  const int before = site.engines[0]->AllRuns();
  const auto streams = site.SendMany(8, [&] {
    constexpr int pauseMs = 8 * SilenceMs;
    site.engines[1]->PauseFor(pauseMs);
    const int pieces = site.encoder.Pieces();
    absl::SleepFor(absl::Milliseconds(pauseMs - SilenceMs));
    made = site.encoder.Pieces() - pieces;
  });
  REQUIRE(site.engines[0]->AllRuns() > before);
  CHECK(made == 0);
  CheckWhole(streams);
}

// Results that were made again for the next endpoint were gone once more, as
// when who made them ends: for a first endpoint they are made again, for a
// next one they were not.
TEST_CASE("A stream is cut as results of its stages are gone for the next",
          "[results-gone]")
{
  Callers callers;
  std::atomic<int> begun{ 0 };
  std::atomic<int> gone{ 0 };
  const auto script = [&begun, &gone](const wg::HttpRequest& request) {
    const std::string id(wg::FieldOf(request, "X-Weirgate-Attempt-Id"));
    if (id.empty()) {
      return ScriptedAnswer{
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
      };
    }
    const std::string head = absl::StrCat("X-Weirgate-Attempt-Id: ", id,
                                          "\r\nX-Weirgate-Server-Seal: s\r\n");
    if (wg::FieldOf(request, "Last-Event-Id").empty()) {
      ++begun;
      return ScriptedAnswer{ absl::StrCat("HTTP/1.1 200 OK\r\n", head,
                                          "Content-Length: 1000\r\n\r\n",
                                          "id: 1\n\nid: 2\n\n"),
                             AnswerClose::Reset };
    }
    if (gone.fetch_add(1) == 0) {
      return ScriptedAnswer{ absl::StrCat(
        "HTTP/1.1 409 Conflict\r\n", head,
        "X-Weirgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n") };
    }
    const std::string events = "id: 3\n\nid: 4\n\n";
    return ScriptedAnswer{ absl::StrCat("HTTP/1.1 200 OK\r\n", head,
                                        "Content-Length: ", events.size(),
                                        "\r\n\r\n", events) };
  };
  std::vector<std::unique_ptr<ScriptedEndpoint>> engines;
  for (int i = 0; i < 3; ++i) {
    engines.push_back(
      std::make_unique<ScriptedEndpoint>(absl::StrCat("engine-", i), script));
    REQUIRE(engines.back()->Register(callers.cluster.Api(0), "llm"));
  }
  Await("all endpoints to be known", [&] {
    return absl::StrContains(callers.cluster.Metrics(0),
                             "weirgate_endpoints_known 4\n");
  });
  Stream stream;
  Await("a stream to begin", [&] {
    stream = callers.Send();
    return begun > 0;
  });
  REQUIRE(gone > 0);
  CheckWhole({ stream });
}

// An endpoint that answered but was slow was left for one that refused.
TEST_CASE("A stream is cut as the next endpoint refuses it", "[next-refuses]")
{
  Site site(2);
  const int before = site.engines[0]->AllRuns();
  const auto streams = site.SendMany(8, [&] {
    site.engines[1]->SetTired(true);
    absl::SleepFor(absl::Milliseconds(3 * SilenceMs));
    site.engines[0]->GoOn();
  });
  REQUIRE(site.engines[0]->AllRuns() > before);
  CheckWhole(streams);
}
