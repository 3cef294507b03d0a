// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgControlChoice.h"

namespace {

std::vector<wg::ControlCandidate> MakeControls(int halls, int inHall)
{
  std::vector<wg::ControlCandidate> controls;
  for (int hall = 0; hall < halls; ++hall) {
    for (int i = 0; i < inHall; ++i) {
      controls.push_back({ absl::StrCat("10.", hall, ".0.", i, ":7740"),
                           absl::StrCat("h", hall) });
    }
  }
  return controls;
}

std::string BoxName(int i)
{
  return absl::StrCat("box-", i);
}

} // namespace

TEST_CASE("Up to six control boxes are all followed")
{
  CHECK(wg::ChooseControls(MakeControls(3, 2), "box", "h0").size() == 6);
}

TEST_CASE("Boxes spread over the control boxes of their hall and of others")
{
  const int inHall = GENERATE(5, 10);
  const int boxes = 200 * inHall;
  const auto controls = MakeControls(5, inHall);
  std::map<std::size_t, int> followers;
  for (int i = 0; i < boxes; ++i) {
    const std::string hall = absl::StrCat("h", i % 5);
    const auto chosen = wg::ChooseControls(controls, BoxName(i), hall);
    REQUIRE(chosen.size() == wg::FollowedInHall + wg::FollowedElsewhere);
    const auto near =
      std::count_if(chosen.begin(), chosen.end(), [&](std::size_t control) {
        return controls[control].hall == hall;
      });
    CHECK(near == static_cast<int>(wg::FollowedInHall));
    for (const std::size_t control : chosen) {
      ++followers[control];
    }
  }
  // At any size each has some 120 followers.
  REQUIRE(followers.size() == controls.size());
  for (const auto& [control, count] : followers) {
    CHECK(count > 60);
    CHECK(count < 200);
  }
}

TEST_CASE("A lost control box moves only the boxes that follow it")
{
  auto controls = MakeControls(5, 5);
  const std::size_t lost = 7;
  for (int i = 0; i < 1000; ++i) {
    const std::string hall = absl::StrCat("h", i % 5);
    controls[lost].isReached = true;
    const auto before = wg::ChooseControls(controls, BoxName(i), hall);
    controls[lost].isReached = false;
    const auto after = wg::ChooseControls(controls, BoxName(i), hall);
    CHECK(std::count(after.begin(), after.end(), lost) == 0);
    CHECK(after.size() == before.size());
    const bool followed = std::count(before.begin(), before.end(), lost) > 0;
    const std::set<std::size_t> kept(after.begin(), after.end());
    const auto moved =
      std::count_if(before.begin(), before.end(), [&](std::size_t control) {
        return kept.count(control) == 0;
      });
    CHECK(moved == (followed ? 1 : 0));
  }
}

TEST_CASE("A box in an unreachable hall follows the control boxes of its hall")
{
  auto controls = MakeControls(5, 5);
  for (wg::ControlCandidate& control : controls) {
    control.isReached = control.hall == "h3";
  }
  const auto chosen = wg::ChooseControls(controls, "box", "h3");
  CHECK(chosen.size() == 3);
  for (const std::size_t control : chosen) {
    CHECK(controls[control].hall == "h3");
  }
}

TEST_CASE("A box that knows no halls yet follows three control boxes")
{
  auto controls = MakeControls(5, 5);
  for (wg::ControlCandidate& control : controls) {
    control.hall.clear();
  }
  CHECK(wg::ChooseControls(controls, "box", "h3").size() == 3);
  CHECK(wg::ChooseControls({}, "box", "h3").empty());
}
