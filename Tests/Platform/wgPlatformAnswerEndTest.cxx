// SPDX-License-Identifier: Apache-2.0
// Answers of endpoints that are cut at every byte, in each framing, by an
// orderly end and by a reset: what is not whole must not look whole.
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
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgScriptedEndpoint.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using wg::test::AnswerClose;
using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::ScriptedAnswer;
using wg::test::ScriptedEndpoint;

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";
constexpr int Events = 3;

enum class Framing
{
  Length,
  Chunks,
  Close
};

/** A kind of answer, and the route on which it is asked for. */
struct Kind
{
  std::string name;
  std::string path;
  std::string contentType;
  std::string lineEnd; // of a stream's events; empty: not a stream
};

const std::vector<Kind> Kinds = {
  { "text", "/p/", "text/plain", "" },
  { "json", "/p/", "application/json", "" },
  { "stream", "/s/", "text/event-stream", "\n" },
  { "stream with CRLF", "/s/", "text/event-stream", "\r\n" },
  { "resumable", "/r/", "text/event-stream", "\n" },
  { "resumable with CRLF", "/r/", "text/event-stream", "\r\n" },
};

std::string Event(int number, const std::string& lineEnd)
{
  return absl::StrCat("id: ", number, lineEnd, "data: e", number, lineEnd,
                      lineEnd);
}

std::vector<std::string> PartsOf(const Kind& kind, int firstEvent = 1)
{
  if (kind.lineEnd.empty()) {
    return kind.contentType == "text/plain"
             ? std::vector<std::string>{ "some plain ", "text" }
             : std::vector<std::string>{ "{\"list\":[1,2",
                                         "],\"name\":\"x\"}" };
  }
  std::vector<std::string> events;
  for (int i = firstEvent; i <= Events; ++i) {
    events.push_back(Event(i, kind.lineEnd));
  }
  return events;
}

std::string BodyOf(const Kind& kind)
{
  return absl::StrJoin(PartsOf(kind), "");
}

struct Wire
{
  std::string bytes;
  std::size_t headBytes = 0;
};

Wire MakeAnswer(const Kind& kind, Framing framing, const std::string& id,
                const std::vector<std::string>& parts)
{
  const std::string body = absl::StrJoin(parts, "");
  std::string head = absl::StrCat(
    "HTTP/1.1 200 OK\r\nContent-Type: ", kind.contentType, "\r\n",
    RequestField, ": ", id, "\r\nX-Weirgate-Server-Seal: seal\r\n");
  if (framing == Framing::Length) {
    absl::StrAppend(&head, "Content-Length: ", body.size(), "\r\n");
  } else if (framing == Framing::Chunks) {
    absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  Wire wire{ head, head.size() };
  for (const std::string& part : parts) {
    if (framing == Framing::Chunks) {
      absl::StrAppend(&wire.bytes, absl::Hex(part.size()), "\r\n", part,
                      "\r\n");
    } else {
      absl::StrAppend(&wire.bytes, part);
    }
  }
  if (framing == Framing::Chunks) {
    absl::StrAppend(&wire.bytes, "0\r\n\r\n");
  }
  return wire;
}

enum class CallerEnd
{
  Whole,  // by a length or a last chunk
  Closed, // neither, and an orderly end
  Broken
};

struct CallerAnswer
{
  unsigned status = 0;
  std::string body;
  CallerEnd end = CallerEnd::Broken;
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
    "POST ", path, "x HTTP/1.1\r\nHost: one.example\r\n", RequestField, ": ",
    id, "\r\nX-Weirgate-Deadline-Ms: 9000\r\n", "Content-Length: ", id.size(),
    "\r\n\r\n", id);
  asio::write(socket, asio::buffer(request), error);
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{ 1 } << 30U);
  boost::beast::flat_buffer input;
  http::read_header(socket, input, parser, error);
  if (error) {
    return {};
  }
  const bool isFramed = parser.chunked() || parser.content_length();
  while (!error && !parser.is_done()) {
    http::read_some(socket, input, parser, error);
  }
  CallerAnswer answer{ parser.get().result_int(), parser.get().body() };
  if (!error && parser.is_done()) {
    answer.end = isFramed ? CallerEnd::Whole : CallerEnd::Closed;
  }
  return answer;
}

struct Cluster
{
  Cluster()
    : first("first", [this](const auto& r) { return Answer(r); })
    , second("second", [this](const auto& r) { return Answer(r); })
  {
    nlohmann::json document =
      nlohmann::json::parse(PlatformCluster::Document(1));
    nlohmann::json& routes = document["routes"];
    routes[1].erase("phases");
    for (nlohmann::json& route : routes) {
      route["service"] = "plain";
    }
    document.erase("tenants");
    Await("the document",
          [&] { return cluster.Publish(0, document.dump()) == 200; });
    Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
    REQUIRE(first.Register(cluster.Api(0), "plain"));
    REQUIRE(second.Register(cluster.Api(0), "plain"));
    kind = &Kinds.front();
    Await("the endpoints to be used", [&] { return Send().status == 200; });
    // An endpoint is silent some seconds after its last heartbeat.
    heartbeats = std::thread([this] {
      while (!stopping) {
        first.Register(cluster.Api(0), "plain");
        second.Register(cluster.Api(0), "plain");
        absl::SleepFor(absl::Milliseconds(300));
      }
    });
  }
  ~Cluster()
  {
    stopping = true;
    heartbeats.join();
  }

  /** The first attempt of a request gets what the test says, a later one the
   * rest of the answer.
   */
  ScriptedAnswer Answer(const wg::HttpRequest& request)
  {
    const std::string id(wg::FieldOf(request, RequestField));
    const std::lock_guard<std::mutex> lock(mutex);
    if (++attempts[id] > 1) {
      ++resumed;
      const auto seen = wg::NumberOf(request, "Last-Event-Id", 0);
      return { MakeAnswer(*kind, Framing::Chunks, id,
                          PartsOf(*kind, static_cast<int>(seen) + 1))
                 .bytes };
    }
    return {
      MakeAnswer(*kind, framing, id, PartsOf(*kind)).bytes.substr(0, cut),
      close
    };
  }

  CallerAnswer Send()
  {
    const std::string id = absl::StrCat("request", ++requests);
    CallerAnswer answer = Ask(cluster.Listen(0), kind->path, id);
    const std::lock_guard<std::mutex> lock(mutex);
    wasResumed = attempts[id] > 1;
    return answer;
  }

  std::mutex mutex;
  std::map<std::string, int> attempts;
  int resumed = 0;
  bool wasResumed = false;
  int requests = 1000000; // ids of equal length
  const Kind* kind = nullptr;
  Framing framing = Framing::Length;
  std::size_t cut = std::string::npos;
  AnswerClose close = AnswerClose::KeepOpen;
  PlatformCluster cluster{ 1 };
  ScriptedEndpoint first;
  ScriptedEndpoint second;
  std::atomic<bool> stopping{ false };
  std::thread heartbeats;
};

/** What a stream's body is up to the last whole event within `bytes`. */
std::string WholeEvents(const Kind& kind, absl::string_view bytes)
{
  std::string whole;
  for (const std::string& event : PartsOf(kind)) {
    if (!absl::StartsWith(bytes.substr(whole.size()), event)) {
      break;
    }
    whole += event;
  }
  return whole;
}

/** \return what is wrong with a caller's answer; empty: nothing */
std::string FaultOf(const Cluster& f, const CallerAnswer& answer,
                    const Wire& sent)
{
  const Kind& kind = *f.kind;
  const std::string whole = BodyOf(kind);
  const bool isReset = f.close == AnswerClose::Reset;
  const bool wasWhole = f.cut == sent.bytes.size() && !isReset;
  if (answer.status != 200 || answer.end == CallerEnd::Broken) {
    if (wasWhole) {
      return "a whole answer is not delivered";
    }
    return answer.end == CallerEnd::Closed ? "a failure without a length" : "";
  }
  const bool isWhole = answer.body == whole;
  if (f.wasResumed) {
    return isWhole ? "" : "a resumed answer is not whole";
  }
  if (answer.end == CallerEnd::Whole) {
    if (f.framing == Framing::Close) {
      return "a close is passed on as a length or a last chunk";
    }
    return isWhole ? "" : "a part is framed as whole";
  }
  if (f.framing != Framing::Close || isReset) {
    return "an answer ends with its connection that did not so";
  }
  if (!kind.lineEnd.empty() && answer.body != WholeEvents(kind, answer.body)) {
    return "a stream ends within an event";
  }
  if (kind.contentType == "application/json" && !isWhole) {
    return "a part of a document is delivered";
  }
  const std::string body =
    f.cut > sent.headBytes
      ? sent.bytes.substr(sent.headBytes, f.cut - sent.headBytes)
      : "";
  return answer.body == body ? "" : "it is not what the endpoint sent";
}

} // namespace

TEST_CASE("Answers cut at any byte do not look whole", "[cut-anywhere]")
{
  Cluster f;
  std::map<std::string, int> faults;
  std::string first;
  for (const Kind& kind : Kinds) {
    for (const Framing framing :
         { Framing::Length, Framing::Chunks, Framing::Close }) {
      const Wire whole =
        MakeAnswer(kind, framing, "request1000000", PartsOf(kind));
      // Cuts within the head are the same for all kinds.
      const std::size_t from =
        &kind == &Kinds.front() ? 0 : whole.headBytes - 1;
      for (const AnswerClose close :
           { AnswerClose::Finish, AnswerClose::Reset }) {
        for (std::size_t cut = from; cut <= whole.bytes.size(); ++cut) {
          {
            const std::lock_guard<std::mutex> lock(f.mutex);
            f.kind = &kind;
            f.framing = framing;
            f.close = close;
            f.cut = cut;
          }
          const CallerAnswer answer = f.Send();
          const std::string fault = FaultOf(f, answer, whole);
          if (fault.empty()) {
            continue;
          }
          ++faults[absl::StrCat(kind.name, ": ", fault)];
          if (first.empty()) {
            first = absl::StrCat(kind.name, ", cut at ", cut, " of ",
                                 whole.bytes.size(), ": ", answer.status, " ",
                                 answer.body);
          }
        }
      }
    }
  }
  for (const auto& [fault, count] : faults) {
    UNSCOPED_INFO(count << " times " << fault);
  }
  INFO("first: " << first);
  CHECK(faults.empty());
  CHECK(f.resumed > 0);
}

// A head that stops in its middle is taken for the head of an empty answer.
TEST_CASE("Heads cut at any byte are no answers", "[cut-in-head]")
{
  Cluster f;
  std::map<std::string, int> faults;
  int kept = 0;
  const auto send = [&f](std::size_t cut, AnswerClose close) {
    {
      const std::lock_guard<std::mutex> lock(f.mutex);
      f.cut = cut;
      f.close = close;
    }
    return f.Send();
  };
  for (const Kind& kind : Kinds) {
    for (const Framing framing :
         { Framing::Length, Framing::Chunks, Framing::Close }) {
      const Wire whole =
        MakeAnswer(kind, framing, "request1000000", PartsOf(kind));
      {
        const std::lock_guard<std::mutex> lock(f.mutex);
        f.kind = &kind;
        f.framing = framing;
      }
      for (const AnswerClose close :
           { AnswerClose::Finish, AnswerClose::Reset }) {
        for (std::size_t cut = 0; cut < whole.headBytes; ++cut) {
          // Both endpoints have a connection that has answered before.
          const bool isLater = framing != Framing::Close && cut % 2 == 1;
          if (isLater) {
            const std::size_t all = std::string::npos;
            kept += send(all, AnswerClose::KeepOpen).status == 200 ? 1 : 0;
            kept += send(all, AnswerClose::KeepOpen).status == 200 ? 1 : 0;
          }
          const CallerAnswer answer = send(cut, close);
          const bool isResumed = f.wasResumed && answer.status == 200 &&
                                 answer.end == CallerEnd::Whole &&
                                 answer.body == BodyOf(kind);
          if (answer.status == 200 && !isResumed) {
            ++faults[absl::StrCat(kind.name, ", cut at ", cut, " of ",
                                  whole.headBytes)];
          }
        }
      }
    }
  }
  for (const auto& [fault, count] : faults) {
    UNSCOPED_INFO(count << " times " << fault);
  }
  CHECK(faults.empty());
  CHECK(kept > 0);
  CHECK(f.resumed > 0);
}

// An event without an end was kept whole for each of its streams, and the
// answer to a stage's call as well.
TEST_CASE("An event without an end is kept", "[too-long]")
{
  constexpr std::size_t tooLong = 4U << 20U;
  ScriptedEndpoint endpoint("long", [](const wg::HttpRequest& request) {
    const std::string id(wg::FieldOf(request, RequestField));
    return ScriptedAnswer{ MakeAnswer(Kinds[2], Framing::Chunks, id,
                                      { Event(1, "\n"),
                                        "data: " + std::string(tooLong, 'x') })
                             .bytes };
  });
  PlatformCluster cluster{ 1 };
  nlohmann::json document =
    nlohmann::json::parse(PlatformCluster::Document(1));
  document.erase("tenants");
  for (nlohmann::json& route : document["routes"]) {
    route["service"] = "plain";
    route.erase("phases");
  }
  Await("the document",
        [&] { return cluster.Publish(0, document.dump()) == 200; });
  Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
  REQUIRE(endpoint.Register(cluster.Api(0), "plain"));
  CallerAnswer answer;
  Await("the endpoint to be used", [&] {
    answer = Ask(cluster.Listen(0), "/s/", "long");
    return answer.status != 503;
  });
  CHECK(answer.end == CallerEnd::Broken);
  CHECK(answer.body == Event(1, "\n"));
  CHECK(absl::StrContains(
    cluster.Metrics(0),
    "weirgate_gateway_total{event=\"attempt_event_too_long\"} "));
}

TEST_CASE("An answer that is too long does not arrive short", "[too-long]")
{
  constexpr std::size_t tooLong = 33U << 20U;
  ScriptedEndpoint endpoint("long", [](const wg::HttpRequest& request) {
    const std::string id(wg::FieldOf(request, RequestField));
    const Kind& text = Kinds.front();
    return ScriptedAnswer{ MakeAnswer(text, Framing::Length, id,
                                      { std::string(tooLong, 'x') })
                             .bytes };
  });
  PlatformCluster cluster{ 1 };
  nlohmann::json document =
    nlohmann::json::parse(PlatformCluster::Document(1));
  document.erase("tenants");
  Await("the document",
        [&] { return cluster.Publish(0, document.dump()) == 200; });
  Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
  REQUIRE(endpoint.Register(cluster.Api(0), "plain"));
  CallerAnswer answer;
  Await("the endpoint to be used", [&] {
    answer = Ask(cluster.Listen(0), "/p/", "long");
    return answer.status != 503;
  });
  CHECK(answer.status == 502);
  CHECK(answer.body.empty());
}
