// SPDX-License-Identifier: Apache-2.0
// Endpoints and callers send what no reader expects: it concerns one request,
// and the gateway goes on serving the others.
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgRawCaller.h"
#include "wgScriptedEndpoint.h"

namespace {

using Json = nlohmann::json;
using wg::test::AnswerClose;
using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::RawCaller;
using wg::test::ScriptedAnswer;
using wg::test::ScriptedEndpoint;

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";

std::string Answer(const std::string& id, const std::string& type,
                   const std::string& body, const std::string& trailers = "")
{
  const std::string head = absl::StrCat(
    "HTTP/1.1 200 OK\r\nContent-Type: ", type, "\r\n", RequestField, ": ", id,
    "\r\nX-Weirgate-Server-Seal: seal\r\n");
  if (trailers.empty()) {
    return absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n",
                        body);
  }
  return absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n",
                      absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n",
                      trailers, "\r\n");
}

/** Makes the item of a piece. */
using MakeItem = std::function<Json(int number)>;

Json SoundItem(int number)
{
  return { { "handle", absl::StrCat("127.0.0.1:9/", number) } };
}

struct Cluster
{
  Cluster()
    : stage("stage", [this](const auto& r) { return RunStage(r); })
    , engine("engine", [this](const auto& r) { return RunEngine(r); })
    , otherEngine("other", [this](const auto& r) { return RunEngine(r); })
    , plain("plain", [this](const auto& r) { return RunPlain(r); })
  {
    Json document = Json::parse(PlatformCluster::Document(1));
    document["routes"][2]["phases"] = Json::array();
    document["services"][2]["segments"]["batch"] = 1000;
    document["services"][2]["segments"]["headroomMb"] = 100.0;
    document.erase("tenants");
    Await("the document",
          [&] { return cluster.Publish(0, document.dump()) == 200; });
    Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
    Await("the endpoints", [&] { return RegisterAll(); });
    heartbeats = std::thread([this] {
      while (!stopping) {
        RegisterAll();
        absl::SleepFor(absl::Milliseconds(300));
      }
    });
    Await("all services", [this] {
      return IsServed("/p/x") && IsServed("/s/x") && IsServed("/r/x");
    });
    stageCalls = 0;
  }
  ~Cluster()
  {
    stopping = true;
    heartbeats.join();
  }

  bool RegisterAll()
  {
    const int api = cluster.Api(0);
    return stage.Register(api, "enc") && engine.Register(api, "llm") &&
           otherEngine.Register(api, "llm") && plain.Register(api, "plain");
  }

  ScriptedAnswer RunStage(const wg::HttpRequest& request)
  {
    const std::string id(wg::FieldOf(request, RequestField));
    if (request.target() != "/-/stage-run") {
      return { Answer(id, "application/json", "{}") };
    }
    ++stageCalls;
    const Json call = Json::parse(request.body(), nullptr, false);
    MakeItem make;
    std::string ends;
    std::string start;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      make = std::exchange(nextItem, nullptr);
      ends = std::exchange(nextTrailers, "");
      start = std::exchange(nextStart, "");
    }
    Json items = Json::array();
    for (std::size_t i = 0; i < call["items"].size(); ++i) {
      const int number = ++handles;
      items.push_back(make ? make(number) : SoundItem(number));
    }
    std::string answer =
      Answer(id, "application/json", Json{ { "items", items } }.dump(), ends);
    if (!start.empty()) {
      answer.replace(0, answer.find("Content-Type"), start);
    }
    return { answer };
  }

  /** The first attempt of a stream is cut after the event that a test gave. */
  ScriptedAnswer RunEngine(const wg::HttpRequest& request)
  {
    const std::string id(wg::FieldOf(request, RequestField));
    const std::lock_guard<std::mutex> lock(mutex);
    lastEvent = std::string(wg::FieldOf(request, "Last-Event-Id"));
    if (!firstEvent.empty() && ++attempts[id] == 1) {
      const std::string whole =
        Answer(id, "text/event-stream", firstEvent + std::string(10, 'x'));
      return { whole.substr(0, whole.size() - 10), AnswerClose::Finish };
    }
    return { Answer(id, "text/event-stream", "id: 1\ndata: e\n\n") };
  }

  ScriptedAnswer RunPlain(const wg::HttpRequest& request)
  {
    const std::string id(wg::FieldOf(request, RequestField));
    const std::lock_guard<std::mutex> lock(mutex);
    return { Answer(id, "text/plain", "plain",
                    std::exchange(nextTrailers, "")) };
  }

  bool IsServed(const std::string& path)
  {
    const auto reply =
      cluster.Send(0, path, absl::StrCat("sound-", ++requests));
    return reply && reply->status == 200;
  }

  /** The status of a request that names pieces as a test gives them. */
  std::string Ask(const std::string& more)
  {
    RawCaller caller(cluster.Listen(0));
    caller.Send(absl::StrCat("POST /s/x HTTP/1.1\r\nHost: one.example\r\n",
                             RequestField, ": raw-", ++requests,
                             "\r\nX-Weirgate-Deadline-Ms: 15000\r\n", more,
                             "Content-Length: 2\r\nConnection: close\r\n\r\n"
                             "ab"));
    return caller.ReadAll().substr(0, 12);
  }

  std::mutex mutex;
  MakeItem nextItem;
  std::string nextTrailers;
  std::string nextStart; // of a stage's answer, in place of its status line
  std::string firstEvent;
  std::string lastEvent;
  std::map<std::string, int> attempts;
  std::atomic<int> handles{ 0 };
  std::atomic<int> stageCalls{ 0 };
  std::atomic<int> requests{ 0 };
  PlatformCluster cluster{ 1 };
  ScriptedEndpoint stage;
  ScriptedEndpoint engine;
  ScriptedEndpoint otherEngine;
  ScriptedEndpoint plain;
  std::atomic<bool> stopping{ false };
  std::thread heartbeats;
};

} // namespace

// A reason that is no text, or a handle that no field holds, ended the
// process.
TEST_CASE("Unsound items of a stage's answer end no gateway",
          "[unsound-items]")
{
  Cluster f;
  const std::vector<std::pair<std::string, Json>> items = {
    { "a reason that is null", { { "reason", nullptr } } },
    { "a reason that is a number", { { "reason", 7 } } },
    { "a reason that is a list", { { "reason", { "late" } } } },
    { "a handle of 70,000 bytes",
      { { "handle", "127.0.0.1:9/" + std::string(70000, 'h') } } },
    { "a handle with a line's end",
      { { "handle", "127.0.0.1:9/1\r\nX-Other: 1" } } },
    { "a handle with a comma",
      { { "handle", "127.0.0.1:9/1,127.0.0.1:9/2" } } },
    { "a handle that is a number", { { "handle", 7 } } },
    { "no handle, no reason", Json::object() },
    { "an item that is null", nullptr },
    { "a handle that is null, and a reason",
      { { "handle", nullptr }, { "reason", "error" } } },
  };
  for (const auto& [name, item] : items) {
    CAPTURE(name);
    {
      const std::lock_guard<std::mutex> lock(f.mutex);
      f.nextItem = [item = item](int) { return item; };
    }
    f.IsServed("/s/x"); // served by another call, or not
    REQUIRE(f.cluster.Gateway(0).IsRunning());
    CHECK(f.IsServed("/p/x"));
    Await("the stage", [&f] { return f.IsServed("/s/x"); });
  }
  CHECK(f.cluster.Counter(0, "stage_pieces_failed") > 0);
  CHECK(f.cluster.Counter(0, "handlers_threw") == 0);
}

// The call fails as one that is cut, and its pieces are made by another.
TEST_CASE("Stages' answers with an unsound head are none", "[stage-heads]")
{
  Cluster f;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::pair<std::string, std::string> starts[] = {
    { "HTTP/1.1 000 Odd\r\n", "unsound_answer_status" },
    { "HTTP/1.1 600 Odd\r\n", "unsound_answer_status" },
    { ok + "Transfer-Encoding: gzip\r\n", "unsound_answer_coding" },
    { ok + "X Bad: 1\r\n", "unsound_answer_syntax" },
  };
  for (const auto& [start, counter] : starts) {
    CAPTURE(start);
    const int before = f.cluster.Counter(0, counter);
    const int failed = f.cluster.Counter(0, "stage_calls_failed");
    {
      const std::lock_guard<std::mutex> lock(f.mutex);
      f.nextStart = start;
    }
    CHECK(f.IsServed("/s/x"));
    CHECK(f.cluster.Counter(0, counter) == before + 1);
    CHECK(f.cluster.Counter(0, "stage_calls_failed") == failed + 1);
  }
}

// Handles that are sound one by one, and together too long for a field.
TEST_CASE("Requests whose results no field can name are refused",
          "[many-pieces]")
{
  Cluster f;
  for (const char* pieces : { "2600", "10000", "0,2600", "10000,10000" }) {
    CAPTURE(pieces);
    CHECK(f.Ask(absl::StrCat("X-Weirgate-Chunk-Count: ", pieces,
                             "\r\nX-Weirgate-Chunk-Key: file\r\n")) ==
          "HTTP/1.1 413");
  }
  CHECK(f.stageCalls == 0);
  CHECK(f.Ask("X-Weirgate-Chunk-Count: 1000,1\r\n"
              "X-Weirgate-Chunk-Key: file\r\n") == "HTTP/1.1 200");
  {
    const std::lock_guard<std::mutex> lock(f.mutex);
    f.nextItem = [](int number) -> Json {
      return { { "handle", absl::StrCat("127.0.0.1:9/", std::string(200, 'h'),
                                        number) } };
    };
  }
  CHECK(f.Ask("X-Weirgate-Chunk-Count: 500,1\r\n"
              "X-Weirgate-Chunk-Key: file\r\n") == "HTTP/1.1 503");
  REQUIRE(f.cluster.Gateway(0).IsRunning());
  CHECK(f.IsServed("/s/x"));
  CHECK(f.cluster.Counter(0, "handlers_threw") == 0);
}

// A key of bytes that are no UTF-8 ended the process that called a stage.
TEST_CASE("Names that are no text are refused before any stage runs",
          "[bad-names]")
{
  Cluster f;
  CHECK(f.Ask("X-Weirgate-Chunk-Count: 1,1\r\n"
              "X-Weirgate-Chunk-Key: \xff\xfe\r\n") == "HTTP/1.1 400");
  CHECK(f.stageCalls == 0);
  CHECK(f.Ask("X-Weirgate-Chunk-Count: 1,1\r\nX-Weirgate-Chunk-Key: file\r\n"
              "X-Weirgate-Prompt-Prefix: \xff:60,bb:40\r\n") ==
        "HTTP/1.1 200");
  const auto reply = f.cluster.Send(0, "/p/x", "\xff\xfe");
  REQUIRE(reply);
  CHECK(reply->status == 400);
  REQUIRE(f.cluster.Gateway(0).IsRunning());
  CHECK(f.cluster.Counter(0, "handlers_threw") == 0);
}

// An event's id that no field holds ended the process as its stream went on.
TEST_CASE("Streams with ids that can't be named do not go on elsewhere",
          "[event-ids]")
{
  Cluster f;
  const std::pair<std::string, bool> ids[] = {
    { "1", true },
    { std::string(70000, '7'), false },
    { "1\rX: 2", false },
    { std::string("1\0", 2), false }
  };
  for (const auto& [id, isNamed] : ids) {
    CAPTURE(id.size());
    {
      const std::lock_guard<std::mutex> lock(f.mutex);
      f.firstEvent = absl::StrCat("id: ", id, "\ndata: e\n\n");
    }
    CHECK(f.IsServed("/r/x") == isNamed);
    REQUIRE(f.cluster.Gateway(0).IsRunning());
    const std::lock_guard<std::mutex> lock(f.mutex);
    f.firstEvent.clear();
  }
  Await("a sound stream", [&f] { return f.IsServed("/r/x"); });
  CHECK(f.cluster.Counter(0, "handlers_threw") == 0);
}

// A field after the last chunk passed the bound of heads.
TEST_CASE("Trailers that no field holds end no gateway", "[long-trailers]")
{
  Cluster f;
  for (const std::size_t bytes : { 65000U, 65530U, 65600U, 70000U }) {
    CAPTURE(bytes);
    const std::string trailer =
      absl::StrCat("X-Trailer: ", std::string(bytes, 't'), "\r\n");
    for (const char* path : { "/p/x", "/s/x" }) {
      {
        const std::lock_guard<std::mutex> lock(f.mutex);
        f.nextTrailers = trailer;
      }
      f.IsServed(path); // served, or not
      REQUIRE(f.cluster.Gateway(0).IsRunning());
    }
    RawCaller caller(f.cluster.Listen(0));
    caller.Send(absl::StrCat("POST /p/x HTTP/1.1\r\nHost: one.example\r\n",
                             RequestField, ": raw-", ++f.requests,
                             "\r\nX-Weirgate-Deadline-Ms: 15000\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "2\r\nab\r\n0\r\n",
                             trailer, "\r\n"));
    caller.ReadUntil("\r\n\r\n");
    REQUIRE(f.cluster.Gateway(0).IsRunning());
    Await("a sound request", [&f] { return f.IsServed("/p/x"); });
  }
  CHECK(f.cluster.Counter(0, "handlers_threw") == 0);
}
