// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgEndlessEndpoint.h"
#include "wgEndpointClient.h"
#include "wgEndpointOrder.h"

namespace {

using wg::test::EndlessBytes;
using wg::test::EndlessEndpoint;

constexpr absl::Duration Timeout = absl::Milliseconds(300);
constexpr absl::Duration Limit = absl::Seconds(2);

wg::EndpointAddress AddressOf(const EndlessEndpoint& endpoint)
{
  const std::string text = endpoint.Address();
  const std::size_t colon = text.rfind(':');
  int port = 0;
  REQUIRE(absl::SimpleAtoi(text.substr(colon + 1), &port));
  return { text.substr(0, colon), port };
}

/** Fetches, and gives an order, while both must end in time. */
void CheckGivenUp(const EndlessBytes& bytes)
{
  EndlessEndpoint endpoint([&bytes](const wg::HttpRequest&) { return bytes; });
  absl::Time begun = absl::Now();
  CHECK(wg::FetchText(AddressOf(endpoint), "/v1/load", Timeout).empty());
  CHECK(absl::Now() - begun < Limit);
  begun = absl::Now();
  CHECK_FALSE(wg::Succeeded(
    wg::SendOrder(AddressOf(endpoint), { 1, "adapter", "a" }, Timeout)));
  CHECK(absl::Now() - begun < Limit);
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";

} // namespace

// Each byte began the time anew, and the watch of all endpoints stood still.
TEST_CASE("An answer of some bytes a second is given up")
{
  const absl::Duration pause = absl::Milliseconds(100);
  CheckGivenUp({ Ok + "Field: ", "x", pause });
  CheckGivenUp({ Ok + "Content-Length: 1000\r\n\r\n", "x", pause });
}

TEST_CASE("A fetched answer without end is given up at a bound")
{
  CheckGivenUp({ Ok + "\r\n", std::string(32U << 10U, 'x'), {} });
  CheckGivenUp({ Ok, "Field: x\r\n", {} });
}

// The coded bytes were taken for the text.
TEST_CASE("A fetched answer in a coding that is not known is none")
{
  EndlessEndpoint endpoint([](const wg::HttpRequest&) {
    return EndlessBytes{ Ok + "Transfer-Encoding: gzip\r\n"
                              "Content-Length: 2\r\n\r\n{}",
                         "",
                         {} };
  });
  CHECK(
    wg::FetchText(AddressOf(endpoint), "/v1/load", absl::Seconds(5)).empty());
  const auto order = wg::SendOrder(AddressOf(endpoint), { 1, "adapter", "a" },
                                   absl::Seconds(5));
  REQUIRE_FALSE(wg::Succeeded(order));
  CHECK(absl::StrContains(wg::Message(order), "coding gzip"));
}

TEST_CASE("A whole answer is fetched")
{
  EndlessEndpoint endpoint([](const wg::HttpRequest&) {
    return EndlessBytes{ Ok + "Content-Length: 2\r\n\r\n{}", "", {} };
  });
  CHECK(wg::FetchText(AddressOf(endpoint), "/v1/load", absl::Seconds(5)) ==
        "{}");
}
