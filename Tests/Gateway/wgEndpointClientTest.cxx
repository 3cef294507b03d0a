// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgEndlessEndpoint.h"
#include "wgEndpointClient.h"

namespace {

using wg::test::EndlessBytes;
using wg::test::EndlessEndpoint;

constexpr absl::Duration FarDeadline = absl::Seconds(6);
constexpr absl::Duration Limit = absl::Seconds(2);

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Echo =
  Ok + "Weirgate-Request: r\r\nWeirgate-Stage: 0\r\nWeirgate-Attempt: 1\r\n";

wg::EndpointCall CallOf(const EndlessEndpoint& endpoint,
                        absl::Duration timeout)
{
  const std::string text = endpoint.Address();
  const std::size_t colon = text.rfind(':');
  int port = 0;
  REQUIRE(absl::SimpleAtoi(text.substr(colon + 1), &port));
  wg::EndpointCall call;
  call.address = { text.substr(0, colon), port };
  call.path = "/v1/stage";
  call.body = "{}";
  call.attempt = { "r", 0, 1 };
  call.deadline = wg::ElapsedNow() + timeout;
  return call;
}

/** The attempt fails long before its deadline. */
void CheckGivenUp(const EndlessBytes& bytes)
{
  EndlessEndpoint endpoint([&bytes](const wg::HttpRequest&) { return bytes; });
  wg::EndpointClient client;
  const absl::Time begun = absl::Now();
  const wg::EndpointReply reply = client.Call(CallOf(endpoint, FarDeadline));
  CHECK(reply.end == wg::AttemptEnd::Failed);
  CHECK_FALSE(reply.deadlinePassed);
  CHECK(absl::Now() - begun < Limit);
  CHECK(client.CountOpenCalls() == 0);
}

} // namespace

// Lines of a head and heads of 1xx were read until the deadline, and kept.
TEST_CASE("A head without end fails the attempt at a bound")
{
  const std::string much(32U << 10U, 'x');
  CheckGivenUp({ "", much, {} });
  CheckGivenUp({ Ok + "Field: ", much, {} });
  CheckGivenUp({ Ok, "Field: x\r\n", {} });
  CheckGivenUp({ "", "HTTP/1.1 100 Continue\r\n\r\n", {} });
}

// An answer without end would be kept until the deadline.
TEST_CASE("A body without end fails the attempt at a bound")
{
  const std::string much(32U << 10U, 'x');
  CheckGivenUp({ Echo + "\r\n", much, {} });
}

// A byte now and then must not put the deadline off.
TEST_CASE("An answer of some bytes a second ends with the deadline")
{
  EndlessEndpoint endpoint([](const wg::HttpRequest&) {
    return EndlessBytes{ Echo + "Content-Length: 1000\r\n\r\n", "x",
                         absl::Milliseconds(100) };
  });
  wg::EndpointClient client;
  const absl::Time begun = absl::Now();
  std::thread watch([&client] {
    while (client.CountOpenCalls() == 0) {
      absl::SleepFor(absl::Milliseconds(1));
    }
    while (client.CountOpenCalls() > 0) {
      client.BreakOffLateCalls(wg::ElapsedNow());
      absl::SleepFor(absl::Milliseconds(10));
    }
  });
  const wg::EndpointReply reply =
    client.Call(CallOf(endpoint, absl::Milliseconds(300)));
  watch.join();
  CHECK(reply.end == wg::AttemptEnd::Failed);
  CHECK(reply.deadlinePassed);
  CHECK(absl::Now() - begun < Limit);
}

// A sink that wants no more must not wait for the rest.
TEST_CASE("A call ends as its sink wants no more bytes")
{
  EndlessEndpoint endpoint([](const wg::HttpRequest&) {
    return EndlessBytes{ Echo + "\r\n", "x", absl::Milliseconds(10) };
  });
  wg::EndpointClient client;
  wg::EndpointCall call = CallOf(endpoint, FarDeadline);
  std::size_t taken = 0;
  call.onBytes = [&taken](absl::string_view bytes) {
    taken += bytes.size();
    return taken < 3;
  };
  const absl::Time begun = absl::Now();
  CHECK(client.Call(call).end == wg::AttemptEnd::Failed);
  CHECK(taken >= 3);
  CHECK(absl::Now() - begun < Limit);
}

// A second call would pay for a connection again, or be lost on an old one.
TEST_CASE("Answers are read whole, and their connections used again")
{
  EndlessEndpoint endpoint([](const wg::HttpRequest& request) {
    CHECK(request.body() == "{}");
    CHECK(wg::FieldOf(request, "Weirgate-Request") == "r");
    return EndlessBytes{ Echo + "Weirgate-Load: 3,4\r\nWeirgate-Version: v\r\n"
                                "Content-Length: 4\r\n\r\nbody",
                         "",
                         {} };
  });
  wg::EndpointClient client;
  for (int i = 0; i < 3; ++i) {
    const wg::EndpointReply reply = client.Call(CallOf(endpoint, FarDeadline));
    CHECK(reply.end == wg::AttemptEnd::Answered);
    CHECK(reply.status == 200);
    CHECK(reply.body == "body");
    CHECK(reply.version == "v");
    CHECK(reply.hasLoad);
    CHECK(reply.load.waiting == 4);
  }
  CHECK(endpoint.Asked() == 3);
  CHECK(endpoint.Open() == 1);
  wg::EndpointCall fresh = CallOf(endpoint, FarDeadline);
  fresh.mayReuseConnection = false;
  CHECK(client.Call(fresh).end == wg::AttemptEnd::Answered);
  CHECK(endpoint.Open() == 2);
}

// Another request's answer, or another version's, must not be read.
// Its bytes were taken for the answer.
TEST_CASE("An answer in a coding that is not known fails the attempt")
{
  CheckGivenUp({ Echo + "Transfer-Encoding: gzip\r\n"
                        "Content-Length: 2\r\n\r\n{}",
                 "",
                 {} });
  CheckGivenUp({ Echo + "Transfer-Encoding: gzip, chunked\r\n\r\n"
                        "2\r\n{}\r\n0\r\n\r\n",
                 "",
                 {} });
}

TEST_CASE("A foreign answer is not read")
{
  EndlessEndpoint endpoint([](const wg::HttpRequest&) {
    return EndlessBytes{ Ok + "Weirgate-Request: other\r\n"
                              "Content-Length: 4\r\n\r\nbody",
                         "",
                         {} };
  });
  wg::EndpointClient client;
  const wg::EndpointReply reply = client.Call(CallOf(endpoint, FarDeadline));
  CHECK(reply.end == wg::AttemptEnd::Failed);
  CHECK(reply.isForeign);
  CHECK(reply.body.empty());
}

// A call that could not have run was taken for one that may have.
TEST_CASE("An endpoint that nothing listens for is unreached")
{
  wg::EndpointClient client;
  wg::EndpointCall call;
  {
    EndlessEndpoint gone(
      [](const wg::HttpRequest&) { return EndlessBytes{}; });
    call = CallOf(gone, FarDeadline);
  }
  CHECK(client.Call(call).end == wg::AttemptEnd::Unreached);
}
