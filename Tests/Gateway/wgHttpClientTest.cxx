// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgHttpClient.h"
#include "wgLoopThread.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** An endpoint that answers each request with the bytes that a test gives,
 * and may close after them.
 */
class ScriptedEndpoint
{
public:
  struct Answer
  {
    std::string bytes;
    bool closes = false;
    bool resets = false;
    std::string later = {}; // in a segment of its own
  };

  explicit ScriptedEndpoint(std::vector<Answer> answers)
    : answers_(std::move(answers))
    , acceptor_(loop_, { asio::ip::make_address("127.0.0.1"), 0 })
    , thread_([this] { Run(); })
  {
  }
  ~ScriptedEndpoint()
  {
    ending_ = true;
    boost::system::error_code ignored;
    tcp::socket knock(loop_);
    knock.connect(acceptor_.local_endpoint(), ignored);
    knock.close(ignored);
    thread_.join();
  }
  std::string Address() const
  {
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  }
  int Connections() const { return connections_; }

private:
  void Run()
  {
    while (!ending_) {
      boost::system::error_code error;
      tcp::socket socket(loop_);
      acceptor_.accept(socket, error);
      if (error || ending_) {
        return;
      }
      ++connections_;
      Serve(socket);
    }
  }
  void Serve(tcp::socket& socket)
  {
    asio::streambuf input;
    boost::system::error_code error;
    while (next_ < answers_.size()) {
      asio::read_until(socket, input, "\r\n\r\n", error);
      if (error) {
        return;
      }
      input.consume(input.size());
      const Answer& answer = answers_[next_++];
      asio::write(socket, asio::buffer(answer.bytes), error);
      if (!answer.later.empty()) {
        absl::SleepFor(absl::Milliseconds(50));
        asio::write(socket, asio::buffer(answer.later), error);
      }
      if (answer.resets) {
        socket.set_option(asio::socket_base::linger(true, 0), error);
      }
      if (answer.closes || answer.resets) {
        absl::SleepFor(absl::Milliseconds(20));
        socket.close(error);
        return;
      }
    }
    // Waits for the peer to close, or the test's end.
    while (!error && !ending_) {
      socket.non_blocking(true);
      char byte = 0;
      socket.read_some(asio::buffer(&byte, 1), error);
      if (error == asio::error::would_block) {
        error.clear();
        absl::SleepFor(absl::Milliseconds(5));
      }
    }
  }

  std::vector<Answer> answers_;
  std::size_t next_ = 0;
  std::atomic<int> connections_{ 0 };
  std::atomic<bool> ending_{ false };
  asio::io_context loop_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

struct Result
{
  unsigned status = 0;
  std::string body;
  wg::BodyFraming framing = wg::BodyFraming::Explicit;
  wg::HttpCallEnd end = wg::HttpCallEnd::Cut;
  std::optional<wg::UnsoundAnswer> unsound = {};
};

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** A client on a loop of its own, whose calls are waited for. */
struct Caller
{
  Caller()
    : client(std::make_unique<wg::HttpClient>(thread.Loop()))
  {
  }
  ~Caller()
  {
    thread.Join();
    client.reset();
  }
  /** \param limit a call that goes on for longer is taken to be Unreached */
  Result Call(const std::string& address, bool acceptHead = true,
              absl::Duration limit = absl::Seconds(30),
              const std::string& request = Request)
  {
    std::promise<Result> done;
    auto result = std::make_shared<Result>();
    std::unique_ptr<wg::HttpCall> call;
    wg::HttpCallHandler handler;
    handler.onHead = [result, acceptHead](const wg::HttpHead& head,
                                          wg::BodyFraming framing) {
      result->status = head.result_int();
      result->framing = framing;
      return acceptHead;
    };
    handler.onBody = [result](absl::string_view bytes) {
      result->body.append(bytes.data(), bytes.size());
    };
    handler.onUnsound = [result](const wg::UnsoundAnswer& answer) {
      result->unsound = answer;
    };
    handler.onEnd = [result, &done](wg::HttpCallEnd end) {
      result->end = end;
      done.set_value(*result);
    };
    thread.Do([&] {
      call = client->Start(address, request, {}, std::move(handler));
      return true;
    });
    auto future = done.get_future();
    const bool ended = future.wait_for(absl::ToChronoMilliseconds(limit)) ==
                       std::future_status::ready;
    Result got;
    got.end = wg::HttpCallEnd::Unreached;
    if (ended) {
      got = future.get();
    }
    thread.Do([&] {
      call.reset();
      return true;
    });
    return got;
  }
  wg::LoopThread thread;
  std::unique_ptr<wg::HttpClient> client;
};

constexpr absl::Duration CallLimit = absl::Seconds(2);
const std::string Good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("Answers by length, chunks and close are read whole")
{
  Caller caller;
  ScriptedEndpoint endpoint(
    { { Good },
      { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n" },
      { "HTTP/1.1 200 OK\r\n\r\nuntil the end", true } });
  CHECK(caller.Call(endpoint.Address()).body == "ok");
  CHECK(caller.Call(endpoint.Address()).body == "abcde");
  const Result last = caller.Call(endpoint.Address());
  CHECK(last.body == "until the end");
  CHECK(last.end == wg::HttpCallEnd::EndedByClose);
  CHECK(endpoint.Connections() == 1);
}

// A head with a length, without the body's first byte, was taken for a cut
// answer.
TEST_CASE("Answers whose head comes alone are read whole")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string byLength = ok + "Content-Length: 4\r\n\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  ScriptedEndpoint endpoint(
    { { byLength, false, false, "body" },
      { chunked, false, false, "4\r\nbody\r\n0\r\n\r\n" },
      { ok + "\r\n", true, false, "body" } });
  Caller caller;
  for (int i = 0; i < 3; ++i) {
    CAPTURE(i);
    const Result result = caller.Call(endpoint.Address());
    CHECK(result.status == 200);
    CHECK(result.body == "body");
    CHECK(result.end ==
          (i < 2 ? wg::HttpCallEnd::Complete : wg::HttpCallEnd::EndedByClose));
  }
}

// Beside answers without end, one of 100 kB waited behind all of them 13
// times.
TEST_CASE("An answer that has come is read in few turns of the loop")
{
  const std::string body(64U << 10U, 'b');
  ScriptedEndpoint endpoint(
    { { absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
                     "\r\n\r\n"),
        false, false, body } });
  Caller caller;
  std::promise<wg::HttpCallEnd> ended;
  int turns = 0;
  std::size_t bytes = 0;
  wg::HttpCallHandler handler;
  handler.onHead = [](const wg::HttpHead&, wg::BodyFraming) {
    absl::SleepFor(absl::Milliseconds(500)); // the body comes meanwhile
    return true;
  };
  handler.onBody = [&turns, &bytes](absl::string_view part) {
    ++turns;
    bytes += part.size();
  };
  handler.onEnd = [&ended](wg::HttpCallEnd end) { ended.set_value(end); };
  std::unique_ptr<wg::HttpCall> call;
  caller.thread.Do([&] {
    call = caller.client->Start(endpoint.Address(), Request, {},
                                std::move(handler));
    return true;
  });
  CHECK(ended.get_future().get() == wg::HttpCallEnd::Complete);
  caller.thread.Do([&] {
    call.reset();
    return true;
  });
  CHECK(bytes == body.size());
  CHECK(turns <= 4);
}

TEST_CASE("An answer that is cut off is not whole")
{
  Caller caller;
  SECTION("before its length")
  {
    ScriptedEndpoint endpoint(
      { { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true } });
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Cut);
  }
  SECTION("between chunks")
  {
    ScriptedEndpoint endpoint(
      { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
          true } });
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Cut);
  }
  SECTION("by a reset, without a length")
  {
    ScriptedEndpoint endpoint(
      { { "HTTP/1.1 200 OK\r\n\r\npart", false, true } });
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Cut);
  }
  SECTION("before it began")
  {
    ScriptedEndpoint endpoint({ { "", true } });
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Cut);
  }
  SECTION("by what is no answer")
  {
    ScriptedEndpoint endpoint({ { "hello there\r\n\r\n" } });
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Cut);
  }
}

TEST_CASE("An answer says what tells its end")
{
  using wg::BodyFraming;
  using wg::HttpCallEnd;
  Caller caller;
  const auto call = [&caller](const std::string& bytes) {
    ScriptedEndpoint endpoint({ { bytes, true } });
    return caller.Call(endpoint.Address());
  };
  SECTION("by the close, with and without bytes")
  {
    for (const std::string body : { "", "part" }) {
      const Result got = call("HTTP/1.1 200 OK\r\n\r\n" + body);
      CHECK(got.end == HttpCallEnd::EndedByClose);
      CHECK(got.framing == BodyFraming::ByClose);
    }
  }
  SECTION("by its kind, whatever its connection does")
  {
    for (const std::string status : { "204 No Content", "304 Not Modified" }) {
      const Result got = call("HTTP/1.1 " + status + "\r\n\r\n");
      CHECK(got.end == HttpCallEnd::Complete);
      CHECK(got.framing == BodyFraming::Explicit);
    }
  }
  SECTION("after an interim head")
  {
    const Result got =
      call("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nall");
    CHECK(got.end == HttpCallEnd::EndedByClose);
    CHECK(got.body == "all");
    CHECK(call("HTTP/1.1 100 Continue\r\n\r\n").end == HttpCallEnd::Cut);
  }
  SECTION("by nothing sound: a length and chunks, two lengths, a bad length")
  {
    for (const std::string fields :
         { "Content-Length: 2\r\nTransfer-Encoding: chunked",
           "Transfer-Encoding: chunked\r\nContent-Length: 2",
           "Content-Length: 2\r\nContent-Length: 3", "Content-Length: -1",
           "Content-Length: 2x" }) {
      const Result got =
        call("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
      CHECK(got.end == HttpCallEnd::Cut);
    }
  }
}

// The library takes any three digits for a status.
TEST_CASE("Heads whose status is none end the call as cut")
{
  Caller caller;
  std::vector<std::string> observed;
  caller.client->OnUnsound(
    [&observed](const std::string& address, const wg::UnsoundAnswer& answer) {
      observed.push_back(absl::StrCat(address, " ", wg::NameOf(answer.fault),
                                      " ", answer.detail));
    });
  const std::pair<std::string, std::string> statuses[] = {
    { "000", "0" },   { "099", "99" },  { "101", "101" },
    { "600", "600" }, { "999", "999" },
  };
  for (const auto& [status, detail] : statuses) {
    CAPTURE(status);
    ScriptedEndpoint endpoint(
      { { "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok" } });
    const Result got = caller.Call(endpoint.Address());
    CHECK(got.end == wg::HttpCallEnd::Cut);
    CHECK(got.status == 0);
    CHECK(got.body.empty());
    REQUIRE(got.unsound);
    CHECK(got.unsound->fault == wg::AnswerFault::Status);
    CHECK(observed == std::vector{ endpoint.Address() + " status " + detail });
    observed.clear();
  }
  for (const std::string status : { "200", "299", "304", "404", "599" }) {
    CAPTURE(status);
    ScriptedEndpoint endpoint(
      { { "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n" } });
    const Result got = caller.Call(endpoint.Address());
    CHECK(got.end == wg::HttpCallEnd::Complete);
    CHECK(absl::StrCat(got.status) == status);
  }
  CHECK(observed.empty());
}

// The library takes such a body for one without a length, or decodes the
// chunks alone.
TEST_CASE("Answers in another transfer coding than chunks are cut")
{
  Caller caller;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
  const std::string chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  for (const std::string coding :
       { "gzip", "gzip, chunked", "chunked, gzip", "xchunked", "identity",
         "gzip\r\nTransfer-Encoding: chunked" }) {
    CAPTURE(coding);
    ScriptedEndpoint endpoint(
      { { absl::StrCat(head, coding, chunks), true } });
    const Result got = caller.Call(endpoint.Address());
    CHECK(got.end == wg::HttpCallEnd::Cut);
    CHECK(got.status == 0);
    REQUIRE(got.unsound);
    CHECK(got.unsound->fault == wg::AnswerFault::Coding);
  }
  for (const std::string coding : { "chunked", "Chunked", ", chunked," }) {
    CAPTURE(coding);
    ScriptedEndpoint endpoint({ { absl::StrCat(head, coding, chunks) } });
    const Result got = caller.Call(endpoint.Address());
    CHECK(got.end == wg::HttpCallEnd::Complete);
    CHECK(got.body == "ok");
  }
}

// The write that waited took the socket's error, and the read after it saw an
// orderly end.
TEST_CASE("An answer that a reset ends while its request is sent is cut")
{
  Caller caller;
  const std::size_t bytes = 8U << 20U;
  const std::string request =
    absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", bytes,
                 "\r\n\r\n", std::string(bytes, 'u'));
  const auto call = [&](const std::string& fields, const std::string& body) {
    ScriptedEndpoint endpoint(
      { { absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "\r\n", body), false,
          true } });
    return caller.Call(endpoint.Address(), true, absl::Seconds(30), request);
  };
  for (const std::string& body : { std::string(), std::string(4000, 'b') }) {
    for (int i = 0; i < 10; ++i) {
      CAPTURE(i, body.size());
      CHECK(call("", body).end == wg::HttpCallEnd::Cut);
      CHECK(call("Content-Length: 4001\r\n", body).end ==
            wg::HttpCallEnd::Cut);
      // Whole by its length, whatever follows.
      const Result whole =
        call(absl::StrCat("Content-Length: ", body.size(), "\r\n"), body);
      CHECK(whole.end == wg::HttpCallEnd::Complete);
      CHECK(whole.body == body);
    }
  }
}

TEST_CASE("Answers that the library refuses are told with its reason")
{
  Caller caller;
  const std::pair<std::string, wg::AnswerFault> answers[] = {
    { "HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n", wg::AnswerFault::Syntax },
    { "hello there\r\n\r\n", wg::AnswerFault::Syntax },
    { "HTTP/1.1 200 OK\r\nX: " + std::string(1U << 17U, 'x'),
      wg::AnswerFault::TooLong },
  };
  for (const auto& [bytes, fault] : answers) {
    ScriptedEndpoint endpoint({ { bytes } });
    const Result got = caller.Call(endpoint.Address());
    CHECK(got.end == wg::HttpCallEnd::Cut);
    REQUIRE(got.unsound);
    CHECK(got.unsound->fault == fault);
    CHECK_FALSE(got.unsound->detail.empty());
  }
  ScriptedEndpoint endpoint({ { "HTTP/1.1 200 OK\r\n", true } });
  CHECK_FALSE(caller.Call(endpoint.Address()).unsound);
}

TEST_CASE("Bytes after an answer reach no other call")
{
  Caller caller;
  SECTION("at once")
  {
    ScriptedEndpoint endpoint({ { Good + Good }, { Good } });
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Complete);
    CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Complete);
    CHECK(endpoint.Connections() == 2);
  }
  SECTION("as an answer that was refused by its head")
  {
    ScriptedEndpoint endpoint({ { Good }, { Good } });
    CHECK(caller.Call(endpoint.Address(), false).end ==
          wg::HttpCallEnd::Refused);
    CHECK(caller.Call(endpoint.Address()).body == "ok");
    CHECK(endpoint.Connections() == 2);
  }
}

TEST_CASE("A connection that the endpoint closes is not used again")
{
  Caller caller;
  ScriptedEndpoint endpoint({ { Good, true }, { Good } });
  CHECK(caller.Call(endpoint.Address()).body == "ok");
  absl::SleepFor(absl::Milliseconds(100));
  CHECK(caller.Call(endpoint.Address()).body == "ok");
  CHECK(endpoint.Connections() == 2);
}

TEST_CASE("Connection: close is heeded, and a short Keep-Alive")
{
  Caller caller;
  ScriptedEndpoint endpoint(
    { { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        true },
      { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n"
        "\r\n" },
      { Good } });
  CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Complete);
  CHECK(caller.Call(endpoint.Address()).end == wg::HttpCallEnd::Complete);
  CHECK(endpoint.Connections() == 2);
  CHECK(caller.Call(endpoint.Address()).body == "ok");
  CHECK(endpoint.Connections() == 3);
}

// Bytes that are no answer came without end, and the call with them until its
// deadline; what the parser had not used was kept.
TEST_CASE("Bytes that are no answer end the call at a bound")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t tooLong = 1U << 20U;
  std::string interim;
  while (interim.size() < tooLong) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const std::vector<std::string> endless = {
    "HTTP/1.1 200 " + std::string(tooLong, 'x'),
    ok + "Field: " + std::string(tooLong, 'x'),
    interim,
    chunked + "2;name=" + std::string(tooLong, 'x'),
    chunked + "2\r\nok\r\n0\r\nTrailer: " + std::string(tooLong, 'x'),
    std::string(tooLong, 'x'),
    ok + "Content-Length: 99999999999999999999999\r\n\r\n",
  };
  for (std::size_t i = 0; i < endless.size(); ++i) {
    CAPTURE(i);
    ScriptedEndpoint endpoint({ { endless[i] } });
    Caller caller;
    const absl::Time begun = absl::Now();
    CHECK(caller.Call(endpoint.Address(), true, CallLimit).end ==
          wg::HttpCallEnd::Cut);
    CHECK(absl::Now() - begun < CallLimit);
  }
}

// Room for the whole of it was reserved, and the process ended.
TEST_CASE("A length that no answer has reserves nothing")
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
  for (const absl::string_view length :
       { "4611686018427387904", "9223372036854775806", "70368744177664" }) {
    CAPTURE(length);
    ScriptedEndpoint endpoint(
      { { absl::StrCat(head, length, "\r\n\r\nbytes"), true } });
    Caller caller;
    const Result got = caller.Call(endpoint.Address(), true, CallLimit);
    CHECK(got.end == wg::HttpCallEnd::Cut);
    CHECK(got.status == 200);
    CHECK(got.body == "bytes");
  }
}

TEST_CASE("What was never sent is told apart")
{
  Caller caller;
  std::string address;
  {
    ScriptedEndpoint gone({});
    address = gone.Address();
  }
  CHECK(caller.Call(address).end == wg::HttpCallEnd::NotConnected);
  CHECK(caller.Call("no address").end == wg::HttpCallEnd::NotConnected);
}
