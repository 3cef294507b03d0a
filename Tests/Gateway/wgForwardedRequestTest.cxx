// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/ascii.h"

#include "wgForwardedRequest.h"

namespace {

wg::HttpRequest Asked()
{
  wg::HttpRequest request;
  request.method(boost::beast::http::verb::post);
  request.target("/a/b?c");
  request.set("Host", "one.example");
  request.set("Weirgate-Request-Id", "r1");
  request.set("Weirgate-Deadline-Ms", "8000");
  request.set("Weirgate-Prompt", "aa:60");
  request.set("Authorization", "Bearer k1");
  request.set("X-Other", "passed on");
  request.body() = "body";
  return request;
}

wg::FieldNames Names()
{
  wg::FieldNames names;
  names.reserved = { "Cache-Room", "Cache-From" };
  return names;
}

wg::ForwardFacts Facts()
{
  wg::ForwardFacts facts;
  facts.account = "t1";
  facts.endpoint = "i-1";
  facts.left = absl::Milliseconds(1234);
  return facts;
}

wg::HttpRequest Forward(const wg::HttpRequest& asked)
{
  return wg::Value(wg::MakeForwardedRequest(asked, Names(), Facts()));
}

std::size_t Count(const wg::HttpRequest& request, const std::string& name)
{
  const auto lines = request.equal_range(name);
  return static_cast<std::size_t>(std::distance(lines.first, lines.second));
}

} // namespace

TEST_CASE("A request is passed on as it came, with what weirgate says of it")
{
  const wg::HttpRequest sent = Forward(Asked());
  CHECK(sent.method() == boost::beast::http::verb::post);
  CHECK(sent.target() == "/a/b?c");
  CHECK(sent.body() == "body");
  CHECK(wg::FieldOf(sent, "Weirgate-Request-Id") == "r1");
  CHECK(wg::FieldOf(sent, "Weirgate-Prompt") == "aa:60");
  CHECK(wg::FieldOf(sent, "X-Other") == "passed on");
  CHECK(wg::FieldOf(sent, "Weirgate-Account") == "t1");
  CHECK(wg::FieldOf(sent, "Weirgate-Endpoint") == "i-1");
  CHECK(wg::FieldOf(sent, "Weirgate-Deadline-Ms") == "1234");
  CHECK(Count(sent, "Authorization") == 0);
  CHECK(Count(sent, "Weirgate-Inputs") == 0);
  CHECK(Count(sent, "Last-Event-ID") == 0);
}

TEST_CASE("What only weirgate may say is dropped however a caller says it")
{
  const std::string ours[] = { "Weirgate-Account", "Weirgate-Endpoint",
                               "Weirgate-Rank",    "Weirgate-Inputs",
                               "Cache-Room",       "Cache-From" };
  for (const std::string& name : ours) {
    CAPTURE(name);
    wg::HttpRequest asked = Asked();
    asked.insert(name, "forged");
    asked.insert(absl::AsciiStrToUpper(name), "forged twice");
    asked.insert("Connection", "close, " + absl::AsciiStrToLower(name));
    const wg::HttpRequest sent = Forward(asked);
    const bool isSet =
      name == "Weirgate-Account" || name == "Weirgate-Endpoint";
    CHECK(Count(sent, name) == (isSet ? 1 : 0));
    CHECK(wg::FieldOf(sent, name).find("forged") == std::string::npos);
  }
}

TEST_CASE("An account is not forged where a route needs no key")
{
  wg::HttpRequest asked = Asked();
  asked.set("Weirgate-Account", "forged");
  wg::ForwardFacts facts = Facts();
  facts.account = "";
  const auto sent = wg::Value(wg::MakeForwardedRequest(asked, Names(), facts));
  CHECK(Count(sent, "Weirgate-Account") == 0);
}

TEST_CASE("A deadline that stands twice is replaced by what is left")
{
  wg::HttpRequest asked = Asked();
  asked.insert("Weirgate-Deadline-Ms", "999999");
  const wg::HttpRequest sent = Forward(asked);
  CHECK(Count(sent, "Weirgate-Deadline-Ms") == 1);
  CHECK(wg::FieldOf(sent, "Weirgate-Deadline-Ms") == "1234");
}

TEST_CASE("A Connection field can't take away what is for the endpoint")
{
  wg::HttpRequest asked = Asked();
  asked.insert("Connection", "weirgate-prompt, X-Other");
  asked.insert("Connection", "Weirgate-Request-Id, host, X-Third");
  asked.insert("X-Third", "of this connection");
  const wg::HttpRequest sent = Forward(asked);
  CHECK(wg::FieldOf(sent, "Weirgate-Prompt") == "aa:60");
  CHECK(wg::FieldOf(sent, "Weirgate-Request-Id") == "r1");
  CHECK(wg::FieldOf(sent, "Host") == "one.example");
  CHECK(Count(sent, "X-Other") == 0);
  CHECK(Count(sent, "X-Third") == 0);
  CHECK(Count(sent, "Connection") == 0);
}

// The library throws at values of more than 65,533 bytes; a line's end in one
// would begin another field.
TEST_CASE("What no field can hold is not passed on")
{
  const std::string longest(wg::MaxFieldBytes, 'h');
  wg::ForwardFacts facts = Facts();
  facts.inputs = longest;
  CHECK(wg::Succeeded(wg::MakeForwardedRequest(Asked(), Names(), facts)));
  for (const std::string& bad :
       { longest + "h", std::string("a\r\nX-Other: 1"), std::string("a\n"),
         std::string("a\0b", 3), std::string("a\x7f") }) {
    CAPTURE(bad.size());
    for (const int field : { 0, 1, 2, 3 }) {
      facts = Facts();
      facts.inputs = field == 0 ? bad : "";
      facts.lastEvent = field == 1 ? absl::string_view(bad) : "";
      facts.account = field == 2 ? absl::string_view(bad) : "";
      facts.endpoint = field == 3 ? absl::string_view(bad) : "";
      CHECK_FALSE(
        wg::Succeeded(wg::MakeForwardedRequest(Asked(), Names(), facts)));
    }
  }
}

TEST_CASE("A stream that goes on names the event after which it does")
{
  wg::ForwardFacts facts = Facts();
  facts.lastEvent = "17";
  facts.inputs = "10.0.0.1:1/a,10.0.0.1:1/b";
  const auto sent =
    wg::Value(wg::MakeForwardedRequest(Asked(), Names(), facts));
  CHECK(wg::FieldOf(sent, "Last-Event-ID") == "17");
  CHECK(wg::FieldOf(sent, "Weirgate-Inputs") == facts.inputs);
}
