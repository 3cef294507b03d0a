// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "wgPlatformHeartbeat.h"

namespace {

using Json = nlohmann::json;

Json Heartbeat()
{
  return Json::parse(R"({"service": "s", "address": "10.1.2.3:80",
    "zone": "z", "version": "v1", "capacity": 64, "state": "draining",
    "warmupLeftMs": 10.5, "sequence": 4, "born": 1764720000123,
    "phase": "combined"})");
}

bool IsTaken(const std::string& text, const std::string& endpoint = "i-1")
{
  return wg::Succeeded(wg::detail::ReadPlatformHeartbeat(endpoint, text));
}

bool IsTakenWith(const std::string& field, const Json& value)
{
  Json heartbeat = Heartbeat();
  heartbeat[field] = value;
  return IsTaken(heartbeat.dump());
}

} // namespace

TEST_CASE("Heartbeats become registrations")
{
  const auto read =
    wg::detail::ReadPlatformHeartbeat("i-1", Heartbeat().dump());
  REQUIRE(wg::Succeeded(read));
  const wg::wire::Registration& registration = wg::Value(read);
  CHECK(registration.endpoint() == "i-1");
  CHECK(registration.service() == "s");
  CHECK(registration.address() == "10.1.2.3:80");
  CHECK(registration.hall() == "z");
  CHECK(registration.slots() == 64);
  CHECK(registration.warmup_ms() == 10);
  CHECK(registration.sequence() == 4);
  CHECK(registration.born_ms() == 1764720000123);
  CHECK(registration.state() == wg::wire::Registration::LEAVING);
}

TEST_CASE("Endpoints that do not tell their start are taken")
{
  // Deployments of before the field have no other heartbeats.
  Json heartbeat = Heartbeat();
  heartbeat.erase("born");
  const auto read = wg::detail::ReadPlatformHeartbeat("i-1", heartbeat.dump());
  REQUIRE(wg::Succeeded(read));
  CHECK(wg::Value(read).born_ms() == 0);
}

TEST_CASE("Each field that is missing makes a heartbeat another writer's")
{
  for (const char* field :
       { "service", "address", "zone", "version", "capacity", "state",
         "warmupLeftMs", "sequence" }) {
    CAPTURE(field);
    Json heartbeat = Heartbeat();
    heartbeat.erase(field);
    const auto read =
      wg::detail::ReadPlatformHeartbeat("i-1", heartbeat.dump());
    REQUIRE_FALSE(wg::Succeeded(read));
    CHECK(wg::Message(read).find(field) != std::string::npos);
  }
}

TEST_CASE("Fields of another type or beyond their range are refused")
{
  // Another writer's state was taken for "ready", a capacity of -1 for four
  // thousand million places, and a sequence of 1e30 for any number: such an
  // endpoint got work, and its heartbeats hid the ones that were sound.
  const Json wrong[] = { nullptr, true,  -1,
                         1e30,    "",    Json::array(),
                         7.5,     "a b", Json{ { "a", 1 } } };
  for (const char* field : { "service", "zone", "version", "address", "state",
                             "capacity", "sequence", "born" }) {
    for (const Json& value : wrong) {
      CAPTURE(field, value.dump());
      CHECK_FALSE(IsTakenWith(field, value));
    }
  }
  CHECK_FALSE(IsTakenWith("state", "warm"));
  CHECK_FALSE(IsTakenWith("state", "READY"));
  CHECK_FALSE(IsTakenWith("capacity", 0));
  CHECK_FALSE(IsTakenWith("capacity", 4000000000U));
  CHECK_FALSE(IsTakenWith("warmupLeftMs", -1));
  CHECK_FALSE(IsTakenWith("warmupLeftMs", "0"));
  CHECK_FALSE(IsTakenWith("warmupLeftMs", 1e12));
  CHECK_FALSE(IsTakenWith("sequence", 18446744073709551615U));
  CHECK_FALSE(IsTakenWith("born", 0));
  CHECK_FALSE(IsTakenWith("address", "10.1.2.3"));
  CHECK_FALSE(IsTakenWith("address", "10.1.2.3:0"));
  CHECK_FALSE(IsTakenWith("address", "host.example:80"));
  CHECK_FALSE(IsTakenWith("service", std::string(129, 's')));
  CHECK(IsTakenWith("state", "ready"));
  CHECK(IsTakenWith("unknown", Json::array({ 1, "x" })));
}

TEST_CASE("Bytes that are no heartbeat are refused")
{
  for (const std::string& text :
       { std::string(), std::string("[]"), std::string("null"),
         std::string("\xff\xfe\x00{", 4),
         std::string("{\"service\": \"\xc3\x28\"}"), std::string(4096, '['),
         std::string(4096, '\0'), Heartbeat().dump().substr(0, 60),
         Heartbeat().dump() + std::string(70000, ' ') }) {
    CHECK_FALSE(IsTaken(text));
  }
}

TEST_CASE("A path that can't be an endpoint's name is refused")
{
  const std::string heartbeat = Heartbeat().dump();
  for (const std::string& name :
       { std::string(), std::string("a b"), std::string("i-1@5"),
         std::string("a/b"), std::string("i?x=1"), std::string("%41"),
         std::string("\xff"), std::string(129, 'i') }) {
    CAPTURE(name.size());
    CHECK_FALSE(IsTaken(heartbeat, name));
    CHECK_FALSE(wg::Succeeded(wg::detail::ReadPlatformLeave(name, "")));
  }
}

TEST_CASE("An end may tell which start it is of")
{
  const auto all = wg::detail::ReadPlatformLeave("i-1", "");
  REQUIRE(wg::Succeeded(all));
  CHECK(wg::Value(all).name == "i-1");
  CHECK(wg::Value(all).bornMs == 0);
  const auto one = wg::detail::ReadPlatformLeave("i-1", R"({"born": 5})");
  REQUIRE(wg::Succeeded(one));
  CHECK(wg::Value(one).bornMs == 5);
  for (const char* text : { "x", "[]", R"({"born": "5"})", R"({"born": 1.5})",
                            R"({"born": -5})" }) {
    CHECK_FALSE(wg::Succeeded(wg::detail::ReadPlatformLeave("i-1", text)));
  }
}
