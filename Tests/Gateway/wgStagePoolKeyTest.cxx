// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgGatewayMember.h"
#include "wgStagePoolKey.h"

namespace {

using Registration = wg::wire::Registration;

void Add(wg::Directory& directory, const std::string& hall, int count,
         Registration::State state = Registration::READY)
{
  for (int i = 0; i < count; ++i) {
    Registration heartbeat;
    heartbeat.set_endpoint(absl::StrCat(hall, directory.endpoints.size()));
    heartbeat.set_service("enc");
    heartbeat.set_hall(hall);
    heartbeat.set_state(state);
    heartbeat.set_sequence(1);
    wg::MergeRegistration(directory, heartbeat, absl::ZeroDuration());
  }
}

wg::GatewayMember Member(const std::string& box, const std::string& hall)
{
  wg::GatewayMember member;
  member.box = box;
  member.hall = hall;
  return member;
}

} // namespace

TEST_CASE("Few endpoints are one pool")
{
  wg::Directory directory;
  Add(directory, "h1", 4);
  Add(directory, "h2", 2);
  CHECK(wg::ChoosePool(directory, "enc", "h1").hall.empty());
  CHECK(wg::PoolsOf(directory, "enc").size() == 1);
  CHECK(wg::ChoosePool(directory, "unknown", "h1").hall.empty());
}

TEST_CASE("Where each hall has enough, each has a pool")
{
  wg::Directory directory;
  Add(directory, "h1", 3);
  Add(directory, "h2", 2);
  Add(directory, "h2", 1, Registration::SILENT);
  CHECK(wg::ChoosePool(directory, "enc", "h1").hall == "h1");
  CHECK(wg::ChoosePool(directory, "enc", "h2").hall == "h2");
  CHECK(wg::PoolsOf(directory, "enc").size() == 2);
  // A hall without any is served by another one.
  CHECK_FALSE(wg::ChoosePool(directory, "enc", "h3").hall.empty());
  // What has ended does not count.
  Add(directory, "h3", 2, Registration::GONE);
  CHECK(wg::PoolsOf(directory, "enc").size() == 2);
}

TEST_CASE("The pool of a hall that is cut off is not used")
{
  wg::Directory directory;
  Add(directory, "h1", 3);
  Add(directory, "h2", 3);
  wg::NoteUnreached(directory.reach, "h1", "a", absl::Seconds(1));
  wg::NoteUnreached(directory.reach, "h1", "b", absl::Seconds(1));
  REQUIRE(wg::IsCutOff(directory.reach, "h1"));
  CHECK(wg::ChoosePool(directory, "enc", "h1").hall == "h2");
}

TEST_CASE("A pool's calls are made by a box of its hall")
{
  const wg::GatewayMember self = Member("b0", "h1");
  std::vector<wg::GatewayMember> others;
  for (int i = 1; i <= 6; ++i) {
    others.push_back(Member(absl::StrCat("b", i), i % 2 == 0 ? "h1" : "h2"));
  }
  const wg::StagePoolKey near{ "enc", "h2" };
  const wg::GatewayMember& first =
    wg::ChooseCoordinator(self, others, near, {});
  CHECK(first.hall == "h2");
  for (wg::GatewayMember& member : others) {
    member.suspect = member.hall == "h2";
  }
  CHECK(wg::ChooseCoordinator(self, others, near, {}).hall == "h1");
  // All boxes choose the same.
  const wg::StagePoolKey all{ "enc", "" };
  for (wg::GatewayMember& member : others) {
    member.suspect = false;
  }
  const std::string chosen = wg::ChooseCoordinator(self, others, all, {}).box;
  std::vector<wg::GatewayMember> seen = others;
  const wg::GatewayMember asking = seen.back();
  seen.back() = self;
  CHECK(wg::ChooseCoordinator(asking, seen, all, {}).box == chosen);
}

TEST_CASE("Boxes of a silent hall are passed over together")
{
  const wg::GatewayMember self = Member("b0", "h1");
  std::vector<wg::GatewayMember> others;
  for (int i = 1; i <= 8; ++i) {
    others.push_back(Member(absl::StrCat("b", i), i % 4 == 0 ? "h1" : "h2"));
  }
  for (const wg::StagePoolKey& pool :
       { wg::StagePoolKey{ "enc", "" }, wg::StagePoolKey{ "enc", "h2" } }) {
    CHECK(wg::ChooseCoordinator(self, others, pool, { "h2" }).hall == "h1");
  }
}
