// SPDX-License-Identifier: Apache-2.0
// 200 callers at once whose endpoints send bytes that are no answer, without
// end: the gateway keeps within the memory of the smallest boxes, and serves
// the callers of a sound service beside them.
#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgEndlessEndpoint.h"
#include "wgPlatformCluster.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using wg::test::Await;
using wg::test::EndlessBytes;
using wg::test::EndlessEndpoint;
using wg::test::PlatformCluster;

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";
constexpr int Callers = 200;
constexpr int SoundCallers = 4;
constexpr absl::Duration RunTime = absl::Seconds(8);
constexpr int DeadlineMs = 4000;
/** The most by which the thread sanitizer multiplies the memory and the time
 * of a program, by its documentation; the limits are those of the release.
 */
#ifdef __SANITIZE_THREAD__
constexpr int MemoryFactor = 10;
constexpr int TimeFactor = 15;
#else
constexpr int MemoryFactor = 1;
constexpr int TimeFactor = 1;
#endif
/** The smallest boxes have 160 MB; 40 MB of it are what a gateway holds of a
 * large site without a request.
 */
constexpr long MostKilobytes = MemoryFactor * (160L - 40L) * 1024L;
/** Clients leave a node that has not read a request for so long. */
constexpr absl::Duration SoundLimit = absl::Seconds(TimeFactor);
const std::string SoundBody(100000, 's');

std::string Head(const std::string& id, const std::string& more)
{
  return absl::StrCat("HTTP/1.1 200 OK\r\n", RequestField, ": ", id, "\r\n",
                      "X-Weirgate-Server-Seal: seal\r\n", more, "\r\n");
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n";

std::string Chunk(const std::string& bytes)
{
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

using Answer = EndlessBytes (*)(const std::string& id);

const std::string Block(32U << 10U, 'x');
constexpr absl::Duration Slow = absl::Seconds(1);

/** What an endpoint sends, by a part of the request's path. */
const std::map<std::string, Answer> Answers = {
  { "/p/slow-head",
    [](const std::string&) {
      return EndlessBytes{ "HTTP/1.1 200 OK\r\nField: ", "x", Slow };
    } },
  { "/p/interim-heads",
    [](const std::string&) {
      return EndlessBytes{ "", "HTTP/1.1 102 Processing\r\n\r\n", {} };
    } },
  { "/p/foreign",
    [](const std::string&) {
      return EndlessBytes{ Head("another", Chunked), Chunk(Block), {} };
    } },
  { "/p/body",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked), Chunk(Block), {} };
    } },
  { "/p/slow-body",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked), Chunk("x"), Slow };
    } },
  { "/p/length",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, "Content-Length: 70368744177664\r\n"),
                           Block,
                           {} };
    } },
  { "/p/chunk-line",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked) + "2;name=", Block, {} };
    } },
  { "/p/json",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked +
                                      "Content-Type: application/json\r\n"),
                           Chunk(std::string(32U << 10U, '[')),
                           {} };
    } },
  { "/s/line",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked) +
                             Chunk("id: 1\ndata: e1\n\ndata: "),
                           Chunk(Block),
                           {} };
    } },
  { "/s/no-event",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked), Chunk(Block), {} };
    } },
  { "/s/slow-line",
    [](const std::string& id) {
      return EndlessBytes{ Head(id, Chunked) + Chunk("id: 1\ndata: e1\n\nd"),
                           Chunk("x"), Slow };
    } },
};

struct CallerAnswer
{
  unsigned status = 0; // 0: none
  std::string body;
  bool isWhole = false;
};

/** One request on a connection of its own. */
CallerAnswer Ask(int port, const std::string& path, const std::string& id)
{
  asio::io_context loop;
  tcp::socket socket(loop);
  error_code error;
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port) },
    error);
  const std::string request = absl::StrCat(
    "POST ", path, " HTTP/1.1\r\nHost: one.example\r\n", RequestField, ": ",
    id, "\r\nX-Weirgate-Deadline-Ms: ", DeadlineMs,
    "\r\nContent-Length: ", id.size(), "\r\n\r\n", id);
  asio::write(socket, asio::buffer(request), error);
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{ 1 } << 30U);
  boost::beast::flat_buffer input;
  http::read(socket, input, parser, error);
  return { parser.get().result_int(), parser.get().body(),
           !error && parser.is_done() };
}

bool Register(int apiPort, const std::string& id, const std::string& service,
              const std::string& address, int sequence)
{
  const nlohmann::json heartbeat{
    { "service", service }, { "address", address },  { "zone", "h1" },
    { "version", "v1" },    { "capacity", Callers }, { "state", "ready" },
    { "warmupLeftMs", 0 },  { "sequence", sequence }
  };
  httplib::Client client("127.0.0.1", apiPort);
  const auto reply =
    client.Put("/-/instances/" + id, heartbeat.dump(), "application/json");
  return reply && reply->status == 200;
}

struct Cluster
{
  Cluster()
  {
    nlohmann::json document =
      nlohmann::json::parse(PlatformCluster::Document(1));
    nlohmann::json& routes = document["routes"];
    for (nlohmann::json& route : routes) {
      route["service"] = "endless";
      route.erase("phases");
    }
    nlohmann::json sound = routes[0];
    sound["name"] = "sound";
    sound["pathPrefix"] = "/sound/";
    sound["service"] = "sound";
    routes.push_back(sound);
    document["services"] = { { { "name", "endless" } },
                             { { "name", "sound" } } };
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
    Await("the sound endpoint to be used", [&] {
      return Ask(cluster.Listen(0), "/sound/x", "first").status == 200;
    });
  }
  ~Cluster()
  {
    stopping = true;
    heartbeats.join();
  }
  bool RegisterAll()
  {
    ++sequence;
    const int api = cluster.Api(0);
    return Register(api, "s", "sound", sound.Address(), sequence) &&
           Register(api, "e1", "endless", first.Address(), sequence) &&
           Register(api, "e2", "endless", second.Address(), sequence);
  }

  static EndlessBytes Endless(const wg::HttpRequest& request)
  {
    const auto found = Answers.find(std::string(request.target()));
    return found == Answers.end()
             ? EndlessBytes{}
             : found->second(std::string(wg::FieldOf(request, RequestField)));
  }
  static EndlessBytes Sound(const wg::HttpRequest& request)
  {
    const std::string id(wg::FieldOf(request, RequestField));
    const std::string length =
      absl::StrCat("Content-Length: ", SoundBody.size(), "\r\n");
    return { Head(id, length) + SoundBody, "", {} };
  }

  PlatformCluster cluster{ 1 };
  EndlessEndpoint first{ &Endless };
  EndlessEndpoint second{ &Endless };
  EndlessEndpoint sound{ &Sound };
  int sequence = 0;
  std::atomic<bool> stopping{ false };
  std::thread heartbeats;
};

/** What callers got, by path: the statuses, and how often. */
struct Seen
{
  std::mutex mutex;
  std::map<std::string, std::map<unsigned, int>> statuses;
  int wholeSuccesses = 0; // of what has no end
};

void AskOnAndOn(Cluster& f, Seen& seen, int caller, absl::Time end)
{
  auto kind =
    std::next(Answers.begin(), caller % static_cast<int>(Answers.size()));
  for (int i = 0; absl::Now() < end; ++i) {
    const CallerAnswer answer =
      Ask(f.cluster.Listen(0), kind->first, absl::StrCat("c", caller, "-", i));
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      ++seen.statuses[kind->first][answer.status];
      seen.wholeSuccesses += answer.status == 200 && answer.isWhole ? 1 : 0;
    }
    absl::SleepFor(absl::Milliseconds(50));
  }
}

/** What the callers of the sound service got. */
struct SoundSeen
{
  std::mutex mutex;
  int served = 0;
  int failed = 0;
  absl::Duration longest;
};

void AskSoundly(Cluster& f, SoundSeen& seen, int caller, absl::Time end)
{
  for (int i = 0; absl::Now() < end; ++i) {
    const absl::Time sent = absl::Now();
    const CallerAnswer answer =
      Ask(f.cluster.Listen(0), "/sound/x", absl::StrCat("s", caller, "-", i));
    const bool isServed =
      answer.status == 200 && answer.isWhole && answer.body == SoundBody;
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      ++(isServed ? seen.served : seen.failed);
      seen.longest = std::max(seen.longest, absl::Now() - sent);
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
}

} // namespace

TEST_CASE("200 answers without end leave other callers undisturbed")
{
  Cluster f;
  const long base = f.cluster.Gateway(0).PeakKilobytes();
  Seen seen;
  SoundSeen soundSeen;
  const absl::Time end = absl::Now() + RunTime;
  std::vector<std::thread> callers;
  // First: a busy machine may take until the end to start the others.
  for (int i = 0; i < SoundCallers; ++i) {
    callers.emplace_back([&, i] { AskSoundly(f, soundSeen, i, end); });
  }
  for (int i = 0; i < Callers; ++i) {
    callers.emplace_back([&, i] { AskOnAndOn(f, seen, i, end); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const long peak = f.cluster.Gateway(0).PeakKilobytes();
  std::string statusesSeen;
  for (const auto& [path, statuses] : seen.statuses) {
    for (const auto& [status, count] : statuses) {
      absl::StrAppend(&statusesSeen, path, ": ", count, " times ", status,
                      "\n");
    }
  }
  INFO(statusesSeen);
  const int asked = f.first.Asked() + f.second.Asked();
  INFO("asked of endless endpoints: " << asked);
  INFO("at rest " << base << " kB, at the peak " << peak << " kB");
  INFO("sound: " << soundSeen.served << " served, " << soundSeen.failed
                 << " failed, longest " << soundSeen.longest);
  REQUIRE(f.cluster.Gateway(0).IsRunning());
  CHECK(asked >= Callers);
  CHECK(base > 0);
  CHECK(peak < MostKilobytes);
  CHECK(seen.wholeSuccesses == 0);
  CHECK(soundSeen.served > 0);
  CHECK(soundSeen.failed == 0);
  CHECK(soundSeen.longest < SoundLimit);
  // No call goes on for a caller that has gone.
  Await("the answers' end",
        [&f] { return f.first.Open() == 0 && f.second.Open() == 0; });
}

// A byte of an event that never ends counted as a sign of life.
TEST_CASE("A stream goes on elsewhere as its event comes a byte at a time")
{
  std::atomic<int> endless{ 0 };
  const auto answer = [&endless](const wg::HttpRequest& request) {
    const std::string id(wg::FieldOf(request, RequestField));
    const std::string type = "Content-Type: text/event-stream\r\n";
    if (request.target() == "/-/report") {
      return EndlessBytes{ Head(id, "Content-Length: 2\r\n") + "{}", "", {} };
    }
    if (wg::FieldOf(request, "Last-Event-Id").empty()) {
      ++endless;
      return EndlessBytes{ Head(id, Chunked + type) +
                             Chunk("id: 1\ndata: e1\n\nd"),
                           Chunk("x"), absl::Milliseconds(50) };
    }
    return EndlessBytes{ Head(id, Chunked + type) +
                           Chunk("id: 2\ndata: e2\n\n") + "0\r\n\r\n",
                         "",
                         {} };
  };
  EndlessEndpoint first(answer);
  EndlessEndpoint second(answer);
  PlatformCluster cluster{ 1 };
  nlohmann::json document =
    nlohmann::json::parse(PlatformCluster::Document(1));
  for (nlohmann::json& route : document["routes"]) {
    route["service"] = "endless";
    route.erase("phases");
  }
  document["services"] = { { { "name", "endless" },
                             { "engine", { { "capacity", 4 } } } } };
  document.erase("tenants");
  Await("the document",
        [&] { return cluster.Publish(0, document.dump()) == 200; });
  Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
  REQUIRE(Register(cluster.Api(0), "e1", "endless", first.Address(), 1));
  REQUIRE(Register(cluster.Api(0), "e2", "endless", second.Address(), 1));
  CallerAnswer got;
  Await("the endpoints to be used", [&] {
    got = Ask(cluster.Listen(0), "/r/x", "slow");
    return got.status != 503;
  });
  CAPTURE(endless, got.status, got.body);
  CHECK(got.isWhole);
  CHECK(absl::StrContains(got.body, "e2"));
}
