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
[[hall]]
name = "h2"
[[link]]
between = ["h2", "h1"]
one_way_ms = 3
[[box]]
name = "entry-1"
hall = "h1"
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

TEST_CASE("links and boxes name halls that exist")
{
  const wg::Config config = wg::Value(wg::ReadConfig(Sound));
  CHECK(wg::RoundTripSeconds(config, "h1", "h2") == 0.006);
  CHECK(wg::RoundTripSeconds(config, "h1", "h1") == 0.0);
  CHECK(wg::RoundTripSeconds(config, "h1", "h3") == 0.001);
  CHECK_THAT(ErrorOf(Replace(Sound, "[\"h2\", \"h1\"]", "[\"h2\", \"h9\"]")),
             Catch::Contains("the hall \"h9\""));
  CHECK_THAT(ErrorOf(Replace(Sound, "[\"h2\", \"h1\"]", "[\"h1\", \"h1\"]")),
             Catch::Contains("two halls"));
  CHECK_THAT(ErrorOf(Replace(Sound, "one_way_ms = 3", "one_way_ms = -1")),
             Catch::Contains("one_way_ms"));
  CHECK_THAT(ErrorOf(Replace(Sound, "entry-1\"\nhall = \"h1\"",
                             "entry-1\"\nhall = \"h9\"")),
             Catch::Contains("The box \"entry-1\""));
}

namespace {

wg::Config Apply(const wg::Config& config, const wg::wire::Change& change)
{
  auto next = wg::ApplyConfigChange(config, change);
  REQUIRE(wg::Succeeded(next));
  return wg::Value(next);
}

wg::wire::Change Start(const std::string& version)
{
  wg::wire::Change change;
  change.mutable_start_rollout()->set_group("llm");
  change.mutable_start_rollout()->set_version(version);
  return change;
}

wg::wire::Change Step(wg::wire::StepRollout::Kind kind)
{
  wg::wire::Change change;
  change.mutable_step_rollout()->set_group("llm");
  change.mutable_step_rollout()->set_endpoint("llm-1");
  change.mutable_step_rollout()->set_kind(kind);
  return change;
}

wg::wire::Change Drain(bool drained)
{
  wg::wire::Change change;
  change.mutable_set_drained()->set_endpoint("llm-1");
  change.mutable_set_drained()->set_drained(drained);
  return change;
}

const auto Begin = wg::wire::StepRollout::BEGIN;
const auto End = wg::wire::StepRollout::END;

} // namespace

TEST_CASE("steps of a roll-out count once, and only in their order")
{
  const wg::Config config = wg::Value(wg::ReadConfig(Sound));
  CHECK_FALSE(wg::Succeeded(wg::ApplyConfigChange(config, Step(Begin))));
  const wg::Config started = Apply(config, Start("v2"));
  CHECK_FALSE(wg::Succeeded(wg::ApplyConfigChange(started, Step(End))));
  const wg::Config begun = Apply(started, Step(Begin));
  CHECK(begun.endpoints[0].drained);
  CHECK_FALSE(wg::Succeeded(wg::ApplyConfigChange(begun, Step(Begin))));
  const wg::Config ended = Apply(begun, Step(End));
  CHECK_FALSE(ended.endpoints[0].drained);
  CHECK_FALSE(wg::Succeeded(wg::ApplyConfigChange(ended, Step(End))));
}

TEST_CASE("an operator's word on draining holds once the update is over")
{
  const wg::Config begun =
    Apply(Apply(wg::Value(wg::ReadConfig(Sound)), Start("v2")), Step(Begin));
  const wg::Config undrained = Apply(begun, Drain(false));
  CHECK(undrained.endpoints[0].drained);
  const wg::Config drained = Apply(undrained, Drain(true));
  CHECK(Apply(drained, Step(End)).endpoints[0].drained);
  CHECK_FALSE(Apply(undrained, Step(End)).endpoints[0].drained);
}

TEST_CASE("a file neither starts, changes nor ends a roll-out")
{
  const wg::Config begun =
    Apply(Apply(wg::Value(wg::ReadConfig(Sound)), Start("v2")), Step(Begin));
  wg::wire::Change file;
  file.mutable_apply()->set_toml(Sound);
  const wg::Config applied = Apply(begun, file);
  REQUIRE(applied.rollouts.size() == 1);
  CHECK(applied.rollouts[0].current == "llm-1");
  CHECK(applied.endpoints[0].drained);
  const auto again = wg::ReadConfig(wg::PrintConfig(applied));
  REQUIRE(wg::Succeeded(again));
  CHECK(wg::Value(again).rollouts[0].version == "v2");
  const wg::Config config = wg::Value(wg::ReadConfig(Sound));
  file.mutable_apply()->set_toml(wg::PrintConfig(applied));
  CHECK(Apply(config, file).rollouts.empty());
}

TEST_CASE("a roll-out that could never go on is refused")
{
  const wg::Config config = wg::Value(wg::ReadConfig(Sound));
  wg::wire::Change change = Start("v2");
  change.mutable_start_rollout()->set_min_ready(1);
  const auto refused = wg::ApplyConfigChange(config, change);
  REQUIRE_FALSE(wg::Succeeded(refused));
  CHECK_THAT(wg::Message(refused), Catch::Contains("keep 1 of 1"));
  CHECK_FALSE(wg::Succeeded(wg::ApplyConfigChange(config, Start(""))));
}
