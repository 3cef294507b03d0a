// SPDX-License-Identifier: Apache-2.0
// Operators' orders on halls, by the product's own client.
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "wgTestCluster.h"

namespace {

using wg::test::Await;
using wg::test::TestCluster;

constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;
constexpr int ExitBadCommand = 2;

/** The states that an entry shows of the endpoints of a hall. */
std::set<std::string> StatesInHall(TestCluster& cluster, int entry,
                                   const std::string& hall)
{
  std::set<std::string> states;
  const nlohmann::json status = cluster.StatusOfEntry(entry);
  for (const auto& row : status["endpoints"]) {
    if (row.value("hall", "") == hall) {
      states.insert(row.value("state", ""));
    }
  }
  return states;
}

/** All runs at endpoints of the hall. */
std::size_t RunsInHall(TestCluster& cluster, const std::string& hall)
{
  std::vector<std::string> endpoints;
  const nlohmann::json status = cluster.StatusOfEntry(0);
  for (const auto& row : status["endpoints"]) {
    if (row.value("hall", "") == hall) {
      endpoints.push_back(row.value("endpoint", ""));
    }
  }
  return cluster.RunsOf(endpoints).size();
}

} // namespace

TEST_CASE("An evacuated hall's endpoints get no new stages", "[hall-order]")
{
  // All entries are in the hall, and prefer its endpoints.
  TestCluster cluster;
  const std::set<std::string> evacuated{ "evacuated" };
  const auto ask = [&cluster](const std::string& when) {
    for (int i = 0; i < 12; ++i) {
      CHECK(cluster.Call(i % 3, "answer", absl::StrCat(when, " ", i)).status ==
            200);
    }
  };
  ask("before");
  const std::size_t before = RunsInHall(cluster, "h1");
  REQUIRE(before > 0);
  REQUIRE(cluster.RunClient({ "evacuate", "h1" }) == ExitDone);
  CHECK(cluster.RunClient({ "evacuate", "h1" }) == ExitDone); // the same order
  for (int entry = 0; entry < 3; ++entry) {
    Await("an entry to hear of the order",
          [&] { return StatesInHall(cluster, entry, "h1") == evacuated; });
  }
  ask("during");
  CHECK(RunsInHall(cluster, "h1") == before);
  CHECK(cluster.RunClient({ "show", "halls" }) == ExitDone);
  REQUIRE(cluster.RunClient({ "return", "h1" }) == ExitDone);
  for (int entry = 0; entry < 3; ++entry) {
    Await("an entry to hear that the hall is back", [&] {
      return StatesInHall(cluster, entry, "h1").count("evacuated") == 0;
    });
  }
  ask("after");
  CHECK(RunsInHall(cluster, "h1") > before);
  CHECK(cluster.RunClient({ "evacuate" }) == ExitBadCommand);
  CHECK(cluster.RunClient({ "evacuate", "h9" }) == ExitRefused);
}
