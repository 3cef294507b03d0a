// SPDX-License-Identifier: Apache-2.0
// Cost by stage: what entries count against what endpoints and callers saw.
#include <catch2/catch.hpp>

#include "wgCallers.h"
#include "wgTestCluster.h"

namespace {

using wg::test::Await;
using wg::test::CallerRecord;
using wg::test::Callers;
using wg::test::CountOk;
using wg::test::Input;
using wg::test::TestCluster;

constexpr std::size_t PieceCharacters = 4;
constexpr double FaultsInRound = 4.0;

/** What all entries counted for one stage. */
struct StageSum
{
  std::uint64_t tries = 0;
  std::uint64_t tokens = 0;
  double wastedSeconds = 0.0;
};

StageSum SumOf(TestCluster& cluster, const std::string& stage)
{
  StageSum sum;
  for (int i = 0; i < 3; ++i) {
    const auto status = cluster.StatusOfEntry(i);
    for (const auto& row : status.value("cost", nlohmann::json::array())) {
      if (row.value("stage", "") == stage) {
        sum.tries += row.value("tries", std::uint64_t{ 0 });
        sum.tokens += row.value("tokens", std::uint64_t{ 0 });
        sum.wastedSeconds += row.value("wasted_s", 0.0);
      }
    }
  }
  return sum;
}

std::uint64_t RunsOf(TestCluster& cluster, const std::string& group)
{
  std::uint64_t runs = 0;
  for (const auto& run : cluster.RunsOf(cluster.EndpointsOf(group))) {
    runs += static_cast<std::uint64_t>(run.runs);
  }
  return runs;
}

/** Whether each entry may send so many requests again: all faults of a round
 * may meet requests of one entry.
 */
bool MayRepeat(TestCluster& cluster, double times)
{
  for (int i = 0; i < 3; ++i) {
    const auto groups =
      cluster.StatusOfEntry(i).value("groups", nlohmann::json::array());
    for (const auto& row : groups) {
      const std::string group = row.value("group", "");
      const bool isFaulty = group == "llm" || group == "encode";
      if (isFaulty && row.value("retry_tokens", 0.0) < times) {
        return false;
      }
    }
  }
  return true;
}

/** Tokens of the stand-in's making: each of a few characters. */
std::uint64_t TokensOf(const std::string& text)
{
  std::size_t characters = 0;
  for (const char c : text) {
    characters += (static_cast<unsigned char>(c) & 0xC0U) != 0x80U ? 1 : 0;
  }
  return (characters + PieceCharacters - 1) / PieceCharacters;
}

} // namespace

TEST_CASE("costs agree with what endpoints ran and callers got", "[cost]")
{
  TestCluster cluster;
  Callers callers(4, [&](int i) {
    return cluster.Call(i % 3, i % 2 == 0 ? "remind" : "answer", Input(i));
  });
  for (int round = 0; round < 5; ++round) {
    Await("repetitions that are allowed",
          [&] { return MayRepeat(cluster, FaultsInRound); });
    const int before = callers.Count();
    cluster.Post(cluster.PortOf("llm-1"), "/v1/fault",
                 R"({"break_stream_next": 2, "fail_next": 1})");
    cluster.Post(cluster.PortOf("encode-1"), "/v1/fault",
                 R"({"cut_answer_next": 1})");
    Await("callers that go on", [&] { return callers.Count() > before + 40; });
  }
  const std::vector<CallerRecord> records = callers.Stop();
  for (const CallerRecord& record : records) {
    INFO("request " << record.request << ", run: " << record.run
                    << ", answer: " << record.error);
    CHECK(record.status == 200);
  }
  REQUIRE(CountOk(records) == static_cast<int>(records.size()));
  std::uint64_t tokens = 0;
  for (const CallerRecord& record : records) {
    tokens += TokensOf(record.text);
  }
  for (const char* stage : { "encode", "llm", "sms" }) {
    CHECK(SumOf(cluster, stage).tries == RunsOf(cluster, stage));
  }
  CHECK(SumOf(cluster, "llm").tokens == tokens);
  CHECK(SumOf(cluster, "encode").tokens == 0);
  CHECK(SumOf(cluster, "sms").tokens == 0);
  CHECK(SumOf(cluster, "llm").wastedSeconds > 0.0);
}
