// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgHttpServer.h"
#include "wgLoopThread.h"
#include "wgRawCaller.h"
#include "wgRunLoop.h"

namespace {

using wg::test::RawCaller;

/** A server whose handler each test gives. */
struct Served
{
  explicit Served(wg::HttpServer::Handler handler, wg::HttpLimits limits = {})
    : server(
        std::make_unique<wg::HttpServer>(thread.Loop(), std::move(handler)))
  {
    const bool listens = thread.Do([this, limits] {
      server->SetLimits(limits);
      return wg::Succeeded(server->Start("127.0.0.1", 0));
    });
    REQUIRE(listens);
    port = thread.Do([this] { return server->Port(); });
  }
  ~Served()
  {
    thread.Join();
    server.reset();
  }
  wg::LoopThread thread;
  std::unique_ptr<wg::HttpServer> server;
  int port = 0;
};

using Exchange = std::shared_ptr<wg::HttpExchange>;

void Echo(const Exchange& exchange)
{
  const auto target = exchange->Request().target();
  exchange->Respond(wg::MakeResponse(
    200, "text/plain",
    absl::StrCat(std::string(target), "|", exchange->Request().body())));
}

template <class Condition>
bool Eventually(Condition condition, absl::Duration limit = absl::Seconds(5))
{
  const absl::Time until = absl::Now() + limit;
  while (!condition() && absl::Now() < until) {
    absl::SleepFor(absl::Milliseconds(10));
  }
  return condition();
}

} // namespace

TEST_CASE("Requests follow each other on a connection")
{
  Served served(Echo);
  RawCaller caller(served.port);
  caller.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  caller.ReadUntil("/a|");
  caller.Send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3\r\nxyz\r\n0\r\n\r\n");
  caller.ReadUntil("/b|xyz");
  // Two at once: the second waits its turn.
  caller.Send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string all = caller.ReadAll();
  CHECK(absl::StrContains(all, "/c|"));
  CHECK(absl::StrContains(all, "/d|"));
}

TEST_CASE("Fields after a body in chunks are not taken for those before it")
{
  Served served([](const Exchange& exchange) {
    std::string names;
    for (const auto& field : exchange->Request()) {
      names += std::string(field.name_string()) + ",";
    }
    exchange->Respond(wg::MakeResponse(
      200, "text/plain",
      absl::StrCat(names, "|", exchange->Request().body(), "|")));
  });
  RawCaller caller(served.port);
  caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "X-Before: 1\r\n\r\n3\r\nxyz\r\n");
  absl::SleepFor(absl::Milliseconds(5));
  caller.Send("0\r\nX-After: 2\r\nAuthorization: Token k\r\n\r\n");
  const std::string got = caller.ReadUntil("|xyz|");
  CHECK(absl::StrContains(got, "X-Before"));
  CHECK_FALSE(absl::StrContains(got, "X-After"));
  CHECK_FALSE(absl::StrContains(got, "Authorization"));
  // The same when all of it comes at once, and the next request is sound.
  caller.Send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n3\r\nuvw\r\n0\r\nX-After: 2\r\n\r\n"
              "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
              "X-Third: 3\r\nConnection: close\r\n\r\nrst");
  const std::string all = caller.ReadAll();
  CHECK(absl::StrContains(all, "|uvw|"));
  CHECK(absl::StrContains(all, "X-Third"));
  CHECK(absl::StrContains(all, "|rst|"));
  CHECK_FALSE(absl::StrContains(all, "X-After"));
}

TEST_CASE("A body may come in any pieces, after a 100 if one is asked for")
{
  Served served(Echo);
  RawCaller caller(served.port);
  caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              "Expect: 100-continue\r\n\r\n");
  caller.ReadUntil("100 Continue\r\n\r\n");
  for (const char* byte : { "a", "b", "c", "d" }) {
    caller.Send(byte);
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(absl::StrContains(caller.ReadUntil("|abcd"), "200 OK"));
}

TEST_CASE("What is no sound request is refused, and the connection ends")
{
  wg::HttpLimits limits;
  limits.headerBytes = 2000;
  limits.bodyBytes = 1000;
  std::atomic<int> handled{ 0 };
  Served served(
    [&handled](const Exchange& exchange) {
      ++handled;
      Echo(exchange);
    },
    limits);
  const auto answer = [&served](const std::string& bytes) {
    RawCaller caller(served.port);
    caller.Send(bytes);
    return caller.ReadAll();
  };
  SECTION("two lengths")
  {
    CHECK(absl::StrContains(
      answer("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
             "Content-Length: 5\r\n\r\nabcde"),
      "400"));
  }
  SECTION("a length beside chunks, which hides a request")
  {
    CHECK(absl::StrContains(
      answer("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
             "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"),
      "400"));
  }
  SECTION("no HTTP")
  {
    CHECK(absl::StrContains(answer("\x16\x03\x01 hello\r\n\r\n"), "400"));
  }
  SECTION("a large header")
  {
    CHECK(absl::StrContains(answer("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                                   std::string(4000, 'x') + "\r\n\r\n"),
                            "431"));
  }
  SECTION("a large body, announced")
  {
    CHECK(absl::StrContains(answer("POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: 5000\r\n\r\n" +
                                   std::string(5000, 'x')),
                            "413"));
  }
  SECTION("a large body, in chunks")
  {
    CHECK(absl::StrContains(
      answer("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
             "\r\n7d0\r\n" +
             std::string(2000, 'x') + "\r\n0\r\n\r\n"),
      "413"));
  }
  CHECK(handled == 0);
}

// A line that does not end was kept until the time for a request was over.
TEST_CASE("A chunk's line without an end is refused")
{
  constexpr std::size_t tooLong = 1U << 20U;
  Served served(&Echo);
  RawCaller caller(served.port);
  caller.Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
              "chunked\r\n\r\n2;name=" +
              std::string(tooLong, 'x'));
  const std::string answer = caller.ReadAll();
  CHECK(absl::StartsWith(answer, "HTTP/1.1 431"));
}

// What is to be written was bounded, also where nothing else waited.
TEST_CASE("A long answer is written whole")
{
  const std::string body(9U << 20U, 'x');
  Served served([&body](const Exchange& exchange) {
    exchange->Respond(wg::MakeResponse(200, "text/plain", body));
  });
  RawCaller caller(served.port);
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(caller.ReadAll().size() > body.size());
}

TEST_CASE("A caller that is slow is told so, one at rest is closed")
{
  wg::HttpLimits limits;
  limits.headerTimeout = absl::Milliseconds(200);
  limits.idleTimeout = absl::Milliseconds(300);
  Served served(Echo, limits);
  RawCaller slow(served.port);
  slow.Send("GET / HTTP/1.1\r\nHo");
  CHECK(absl::StrContains(slow.ReadAll(), "408"));
  RawCaller resting(served.port);
  resting.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(absl::StrContains(resting.ReadAll(), "/a|"));
}

TEST_CASE("A caller's leaving is noticed while its answer is awaited")
{
  std::atomic<bool> left{ false };
  std::atomic<bool> began{ false };
  Exchange kept;
  Served served([&](const Exchange& exchange) {
    kept = exchange;
    exchange->OnCallerLeft([&left] { left = true; });
    began = true;
  });
  RawCaller caller(served.port);
  SECTION("before the answer")
  {
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  SECTION("midway in a stream, with a request sent ahead")
  {
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n");
    REQUIRE(Eventually([&] { return began.load(); }));
    served.thread.Do([&] {
      wg::HttpHead head;
      head.result(200);
      kept->StartStream(head);
      kept->WriteStream("one");
      return true;
    });
    caller.ReadUntil("one");
  }
  REQUIRE(Eventually([&] { return began.load(); }));
  caller.Close();
  CHECK(Eventually([&] { return left.load(); }));
  served.thread.Do([&] {
    kept->Respond(wg::MakeResponse(200, "", "late"));
    kept.reset();
    return true;
  });
}

TEST_CASE("A stream that is broken off does not look complete")
{
  Served served([](const Exchange& exchange) {
    wg::HttpHead head;
    head.result(200);
    head.set("X-Own", "kept");
    exchange->StartStream(head);
    exchange->WriteStream("part");
    if (exchange->Request().target() == "/whole") {
      exchange->FinishStream();
    } else {
      exchange->Abort();
    }
  });
  RawCaller whole(served.port);
  whole.Send("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string got = whole.ReadAll();
  CHECK(absl::StrContains(got, "X-Own: kept"));
  CHECK(absl::StrContains(got, "4\r\npart\r\n0\r\n\r\n"));
  RawCaller cut(served.port);
  cut.Send("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_FALSE(absl::StrContains(cut.ReadAll(), "0\r\n\r\n"));
}

TEST_CASE("Draining ends connections with the answer, those at rest later")
{
  Served served(Echo);
  RawCaller active(served.port);
  RawCaller resting(served.port);
  active.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  active.ReadUntil("/a|");
  served.thread.Do([&served] {
    served.server->StartDraining(absl::Milliseconds(400));
    return true;
  });
  active.Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string got = active.ReadAll();
  CHECK(absl::StrContains(got, "Connection: close"));
  CHECK(absl::StrContains(got, "/b|"));
  CHECK(resting.ReadAll().empty());
}

TEST_CASE("An answer that its connection ends is finished or reset")
{
  const auto stream = [](const Exchange& exchange, bool finishes) {
    wg::HttpHead head;
    head.result(200);
    exchange->StartStream(std::move(head), wg::BodyFraming::ByClose);
    exchange->WriteStream("all of it");
    if (finishes) {
      exchange->FinishStream();
    }
  };
  const std::string ask = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  SECTION("finished")
  {
    Served served([&](const Exchange& e) { stream(e, true); });
    RawCaller caller(served.port);
    caller.Send(ask);
    const std::string got = caller.ReadAll();
    CHECK(absl::EndsWith(got, "\r\n\r\nall of it"));
    CHECK(absl::StrContains(got, "Connection: close"));
    CHECK_FALSE(absl::StrContains(got, "Content-Length"));
    CHECK_FALSE(absl::StrContains(got, "chunked"));
    CHECK(caller.End() == boost::asio::error::eof);
  }
  SECTION("whole at once")
  {
    Served served([&](const Exchange& e) {
      e->Respond(wg::MakeResponse(200, "text/plain", "all of it"),
                 wg::BodyFraming::ByClose);
    });
    RawCaller caller(served.port);
    caller.Send(ask);
    const std::string got = caller.ReadAll();
    CHECK(absl::EndsWith(got, "\r\n\r\nall of it"));
    CHECK_FALSE(absl::StrContains(got, "Content-Length"));
    CHECK(caller.End() == boost::asio::error::eof);
  }
  SECTION("given up")
  {
    Exchange open;
    Served served([&](const Exchange& e) {
      stream(e, false);
      open = e;
    });
    RawCaller caller(served.port);
    caller.Send(ask);
    caller.ReadUntil("all of it");
    served.thread.Do([&open] {
      open->Abort();
      return true;
    });
    caller.ReadAll();
    CHECK(caller.End() == boost::asio::error::connection_reset);
  }
  SECTION("the server goes")
  {
    auto served =
      std::make_unique<Served>([&](const Exchange& e) { stream(e, false); });
    RawCaller caller(served->port);
    caller.Send(ask);
    caller.ReadUntil("all of it");
    served.reset();
    caller.ReadAll();
    CHECK(caller.End() == boost::asio::error::connection_reset);
  }
}

TEST_CASE("A connection is accepted as its server is destroyed")
{
  wg::EventLoop loop;
  auto server = std::make_unique<wg::HttpServer>(loop, Echo);
  REQUIRE(wg::Succeeded(server->Start("127.0.0.1", 0)));
  RawCaller first(server->Port());
  RawCaller second(server->Port());
  // The second is accepted with the first, and told of after the server went.
  boost::asio::post(loop,
                    [&] { boost::asio::post(loop, [&] { server.reset(); }); });
  loop.poll();
  CHECK(first.ReadAll().empty());
  CHECK(second.ReadAll().empty());
}

TEST_CASE("A connection that is not taken is closed unread")
{
  std::atomic<int> came{ 0 };
  Served served(Echo);
  served.thread.Do([&] {
    served.server->SetTakesConnection([&came] { return ++came != 2; });
    return 0;
  });
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const bool isTaken : { true, false, true }) {
    RawCaller caller(served.port);
    caller.Send(request);
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    CHECK(absl::StrContains(answer, "200 OK") == isTaken);
    CHECK(answer.empty() == !isTaken);
  }
}

// What a handler threw at one caller's request ended the process.
TEST_CASE("A handler that throws ends its connection alone")
{
  wg::EventLoop loop;
  wg::HttpServer server(loop, [](const Exchange& exchange) {
    if (exchange->Request().target() == "/throws") {
      throw std::length_error("too long");
    }
    Echo(exchange);
  });
  REQUIRE(wg::Succeeded(server.Start("127.0.0.1", 0)));
  const int port = server.Port();
  std::vector<std::string> thrown;
  std::thread thread([&] {
    wg::RunLoop(
      loop, [&thrown](absl::string_view what) { thrown.emplace_back(what); });
  });
  RawCaller beside(port);
  RawCaller caller(port);
  caller.Send("GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(caller.ReadAll().empty());
  beside.Send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(absl::StrContains(beside.ReadUntil("|"), "200 OK"));
  loop.stop();
  thread.join();
  CHECK(thrown == std::vector<std::string>{ "too long" });
}

// What a timer throws is no fault of a connection.
TEST_CASE("What a timer throws is not passed over")
{
  wg::EventLoop loop;
  boost::asio::post(loop, [] { throw std::logic_error("broken"); });
  CHECK_THROWS_AS(wg::RunLoop(loop, [](absl::string_view) {}),
                  std::logic_error);
}

// Each caller that did not read could leave 8 MB waiting for it.
TEST_CASE("What waits for callers is bounded for all of them together")
{
  constexpr int slow = 40;
  constexpr std::size_t waiting = 7U << 20U;
  // Of each the kernel takes some MB, so that more stay than 48 MB hold.
  constexpr int mustLeave = slow / 4;
  const std::string piece(64U << 10U, 'x');
  std::atomic<int> begun{ 0 };
  std::atomic<int> left{ 0 };
  Served served([&](const Exchange& e) {
    if (e->Request().target() == "/sound") {
      Echo(e);
      return;
    }
    ++begun;
    e->OnCallerLeft([&left] { ++left; });
    wg::HttpHead head;
    head.result(boost::beast::http::status::ok);
    e->StartStream(head);
    for (std::size_t sent = 0; sent < waiting; sent += piece.size()) {
      e->WriteStream(piece);
    }
  });
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < slow; ++i) {
    callers.push_back(std::make_unique<RawCaller>(served.port));
    callers.back()->Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  // Some 300 MB are written before anything is checked.
  CHECK(Eventually([&] { return begun == slow; }, absl::Minutes(1)));
  CHECK(left >= mustLeave);
  CHECK(left < slow);
  RawCaller sound(served.port);
  sound.Send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(absl::StrContains(sound.ReadUntil("\r\n\r\n"), "200 OK"));
}
