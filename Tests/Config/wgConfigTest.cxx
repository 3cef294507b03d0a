// SPDX-License-Identifier: Apache-2.0
#include <fstream>
#include <iterator>

#include <catch2/catch.hpp>

#include "wgChange.h"
#include "wgConfigText.h"
#include "wgLanguage.h"

namespace {

const char* const Sound = R"(
[[hall]]
name = "h1"
[[group]]
name = "llm"
kind = "generate"
[[endpoint]]
name = "llm-1"
group = "llm"
hall = "h1"
address = "127.0.0.1"
port = 9000
[[pipeline]]
name = "p"
stages = ["llm"]
[[account]]
name = "a"
weight = 2
)";

std::string ErrorOf(const std::string& text)
{
  const auto config = wg::ReadConfig(text);
  REQUIRE_FALSE(wg::Succeeded(config));
  return wg::Message(config);
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to)
{
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a sound configuration is read and printed back the same")
{
  const auto config = wg::ReadConfig(Sound);
  REQUIRE(wg::Succeeded(config));
  const std::string printed = wg::PrintConfig(wg::Value(config));
  const auto again = wg::ReadConfig(printed);
  REQUIRE(wg::Succeeded(again));
  CHECK(wg::PrintConfig(wg::Value(again)) == printed);
  CHECK(wg::Value(again).accounts[0].weight == 2.0);
}

TEST_CASE("both deployments are sound")
{
  for (const char* name : { "hinokuni.toml", "windward.toml" }) {
    std::ifstream file(std::string(WG_DEMO_FOLDER) + "/" + name);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto config = wg::ReadConfig(text);
    INFO(name);
    REQUIRE(wg::Succeeded(config));
    CHECK(wg::Value(config).halls.size() == 3);
    CHECK(wg::Value(config).accounts.size() == 5);
  }
}

TEST_CASE("errors name the line, the value and the rule")
{
  CHECK_THAT(ErrorOf(Replace(Sound, "port = 9000", "port = \"x\"")),
             Catch::Contains("Line 12") && Catch::Contains("port"));
  CHECK_THAT(ErrorOf(Replace(Sound, "port = 9000", "port = 90000")),
             Catch::Contains("90000") && Catch::Contains("65535"));
  CHECK_THAT(ErrorOf(Replace(Sound, "group = \"llm\"", "group = \"nope\"")),
             Catch::Contains("nope"));
  CHECK_THAT(ErrorOf(Replace(Sound, "weight = 2", "wieght = 2")),
             Catch::Contains("wieght") && Catch::Contains("Line 18"));
  CHECK_THAT(ErrorOf(Replace(Sound, "weight = 2", "weight = -1")),
             Catch::Contains("weight above 0"));
  CHECK_THAT(
    ErrorOf(Replace(Sound, "kind = \"generate\"", "kind = \"dream\"")),
    Catch::Contains("dream"));
  CHECK_THAT(ErrorOf(Replace(Sound, "address = \"127.0.0.1\"",
                             "address = \"example.org\"")),
             Catch::Contains("IP number"));
  CHECK_THAT(ErrorOf("[[hall"), Catch::Contains("Line 1"));
}

TEST_CASE("a refused change changes nothing")
{
  const wg::Config config = wg::Value(wg::ReadConfig(Sound));
  wg::wire::Change change;
  change.mutable_set_account()->set_account("a");
  change.mutable_set_account()->set_field("weight");
  change.mutable_set_account()->set_value(-3);
  CHECK_FALSE(wg::Succeeded(wg::ApplyConfigChange(config, change)));
  change.mutable_set_account()->set_value(5);
  const auto next = wg::ApplyConfigChange(config, change);
  REQUIRE(wg::Succeeded(next));
  CHECK(wg::Value(next).accounts[0].weight == 5.0);
  CHECK(wg::Value(next).revision == config.revision + 1);
}

TEST_CASE("the operators' language reads its commands")
{
  const auto show = wg::ParseCommand(
    "show endpoints where hall = h1 and state != live order by running");
  REQUIRE(std::holds_alternative<wg::Command>(show));
  const auto& command = std::get<wg::ShowCommand>(std::get<wg::Command>(show));
  CHECK(command.table == "endpoints");
  CHECK(command.filters.size() == 2);
  CHECK(command.filters[1].comparison == wg::Comparison::NotEqual);
  CHECK(command.orderBy == "running");
  const auto set =
    wg::ParseCommand("set account clinic weight 3 at revision 41");
  REQUIRE(std::holds_alternative<wg::Command>(set));
  CHECK(
    std::get<wg::SetAccountCommand>(std::get<wg::Command>(set)).baseRevision ==
    41);
}

TEST_CASE("an error points at the wrong word and suggests the right one")
{
  const auto parsed = wg::ParseCommand("show endpionts");
  REQUIRE(std::holds_alternative<wg::LanguageError>(parsed));
  const auto& error = std::get<wg::LanguageError>(parsed);
  CHECK(error.position == 5);
  CHECK_THAT(error.message, Catch::Contains("Did you mean \"endpoints\"?"));
  for (const char* text :
       { "", "show", "set account a weight x", "wait revision", "drain",
         "show endpoints where", "show endpoints extra", "\"open",
         "set account a weight 1 at revision -1" }) {
    INFO(text);
    CHECK(std::holds_alternative<wg::LanguageError>(wg::ParseCommand(text)));
  }
}

TEST_CASE("completion offers what may follow")
{
  CHECK(wg::CompleteCommand("show").front() == "endpoints");
  CHECK(wg::CompleteCommand("drain").front() == "endpoint");
}
