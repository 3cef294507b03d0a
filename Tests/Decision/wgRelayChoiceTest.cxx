// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "wgHallReach.h"
#include "wgRelayChoice.h"

namespace {

constexpr wg::Elapsed Now = absl::Seconds(100);

wg::RelayOffer MakeOffer(const char* box, bool isNear, int open)
{
  wg::RelayOffer offer;
  offer.box = box;
  offer.isNear = isNear;
  offer.open = open;
  offer.most = 40;
  offer.told = Now;
  return offer;
}

} // namespace

TEST_CASE("The least loaded relay is chosen, one of the own hall first")
{
  std::vector<wg::RelayOffer> offers = { MakeOffer("far", false, 0),
                                         MakeOffer("near", true, 9) };
  CHECK(wg::ChooseRelay(offers, "", Now) == 1U);
  offers[1].openHere = 2; // 11 of 40: more than a quarter above the far one
  CHECK(wg::ChooseRelay(offers, "", Now) == 0U);
}

TEST_CASE("Relays that are full, silent or have failed are left out")
{
  std::vector<wg::RelayOffer> offers = { MakeOffer("a", true, 40),
                                         MakeOffer("b", true, 0),
                                         MakeOffer("c", true, 0) };
  offers[1].told = Now - absl::Seconds(3);
  offers[2].avoidUntil = Now + absl::Milliseconds(1);
  CHECK_FALSE(wg::ChooseRelay(offers, "", Now).has_value());
  CHECK(wg::ChooseRelay(offers, "", Now + absl::Milliseconds(1)) == 2U);
  CHECK_FALSE(wg::ChooseRelay({}, "", Now).has_value());
}

TEST_CASE("A box relays as many calls as its share of a core allows")
{
  CHECK(wg::MostRelayedCalls(250) == 62);
  CHECK(wg::MostRelayedCalls(0) == 62);
  CHECK(wg::MostRelayedCalls(1) == 8);
  CHECK(wg::MostRelayedCalls(4000000000U) == 512);
}

TEST_CASE("A path is doubted once two endpoints fail and none connects")
{
  wg::HallReach reach;
  CHECK_FALSE(wg::NoteConnectFailed(reach, "a", Now));
  CHECK_FALSE(wg::NoteConnectFailed(reach, "a", Now));
  CHECK(wg::NoteConnectFailed(reach, "b", Now));
  wg::NoteConnected(reach);
  CHECK_FALSE(wg::NoteConnectFailed(reach, "a", Now));
  // What failed long before is no evidence.
  CHECK_FALSE(wg::NoteConnectFailed(reach, "b", Now + absl::Seconds(3)));
}

TEST_CASE("Only a trial of several endpoints that all fail shows no path")
{
  CHECK_FALSE(wg::ShowsNoPath({ 0, 0, 0 }));
  CHECK_FALSE(wg::ShowsNoPath({ 1, 1, 0 }));
  CHECK_FALSE(wg::ShowsNoPath({ 6, 3, 2 }));
  CHECK(wg::ShowsNoPath({ 2, 1, 1 }));
  CHECK(wg::ShowsNoPath({ 6, 0, 6 }));
}

TEST_CASE("A box without a path takes no hall alone to be cut off")
{
  wg::HallReach reach;
  reach.own = "h1";
  wg::NoteHall(reach, "h1");
  wg::NoteHall(reach, "h2");
  wg::NoteUnreached(reach, "h2", "a", Now);
  wg::NoteUnreached(reach, "h2", "b", Now);
  CHECK(wg::IsCutOff(reach, "h2"));
  CHECK(wg::Isolate(reach));
  CHECK_FALSE(wg::Isolate(reach));
  CHECK_FALSE(wg::IsCutOff(reach, "h2"));
  CHECK(wg::EndIsolation(reach));
  CHECK_FALSE(wg::EndIsolation(reach));
  CHECK_FALSE(wg::IsCutOff(reach, "h2"));
}

TEST_CASE("A relay that does not reach the endpoint is asked to call it")
{
  std::vector<wg::RelayOffer> offers = { MakeOffer("idle", true, 0),
                                         MakeOffer("busy", true, 30) };
  offers[1].reached["10.0.0.1:80"] = Now;
  CHECK(wg::ChooseRelay(offers, "10.0.0.1:80", Now) == 1U);
  CHECK_FALSE(wg::ChooseRelay(offers, "10.0.0.2:80", Now).has_value());
  CHECK(wg::IsReachedByAny(offers, "10.0.0.1:80", Now));
  CHECK_FALSE(wg::IsReachedByAny(offers, "10.0.0.2:80", Now));
  offers[1].open = offers[1].most; // full, and reaches it all the same
  CHECK_FALSE(wg::ChooseRelay(offers, "10.0.0.1:80", Now).has_value());
  CHECK(wg::IsReachedByAny(offers, "10.0.0.1:80", Now));
  CHECK_FALSE(
    wg::IsReachedByAny(offers, "10.0.0.1:80", Now + absl::Seconds(3)));
}

TEST_CASE("An endpoint that has ended is taken for one behind a lost path")
{
  wg::HallReach reach;
  CHECK(wg::NoteEndpointUnreached(reach, "e", true, Now));
  CHECK_FALSE(wg::IsPathLost(reach, "e"));
  CHECK(wg::ConnectionsHang(reach, "e"));
  CHECK_FALSE(wg::ConfirmHang(reach, "e")); // nobody reaches it
  // Asked once for a series of failures, and again later.
  CHECK_FALSE(wg::NoteEndpointUnreached(reach, "e", true, Now));
  CHECK(wg::NoteEndpointUnreached(reach, "e", false, Now + absl::Seconds(3)));
  CHECK_FALSE(wg::ConnectionsHang(reach, "e"));
}

TEST_CASE("A path that is back, or an endpoint that is gone, stays lost")
{
  wg::HallReach reach;
  CHECK_FALSE(wg::NoteReachedElsewhere(reach, "e")); // reached from here
  wg::NoteEndpointUnreached(reach, "e", true, Now);
  CHECK(wg::NoteReachedElsewhere(reach, "e"));
  CHECK_FALSE(wg::NoteReachedElsewhere(reach, "e"));
  CHECK(wg::LostEndpoints(reach) == std::vector<std::string>{ "e" });
  CHECK(wg::ConfirmHang(reach, "e"));
  CHECK_FALSE(wg::ConfirmHang(reach, "e"));
  wg::ForgetUnreached(reach, Now + absl::Seconds(60));
  CHECK(wg::IsPathLost(reach, "e"));
  SECTION("no other box reaches it any more")
  {
    wg::NoteReachedNowhere(reach, "e");
    CHECK_FALSE(wg::IsPathLost(reach, "e"));
  }
  SECTION("a connection is made")
  {
    CHECK(wg::NoteEndpointReached(reach, "e"));
    CHECK_FALSE(wg::IsPathLost(reach, "e"));
    CHECK_FALSE(wg::NoteEndpointReached(reach, "e"));
  }
  SECTION("this box reached none at all, and does again")
  {
    wg::Isolate(reach);
    wg::EndIsolation(reach);
    CHECK_FALSE(wg::IsPathLost(reach, "e"));
  }
}

TEST_CASE("An answer about one endpoint takes back what was told of another")
{
  wg::RelayOffer offer = MakeOffer("a", true, 0);
  const std::vector<std::string> first = { "10.0.0.1:80" };
  const std::vector<std::string> second = { "10.0.0.2:80" };
  wg::NoteReached(offer, first, first, Now);
  wg::NoteReached(offer, second, second, Now + absl::Seconds(1));
  const auto isReached = [&offer](const char* endpoint, wg::Elapsed now) {
    return wg::IsReachedByAny({ offer }, endpoint, now);
  };
  CHECK(isReached("10.0.0.1:80", Now + absl::Seconds(1)));
  CHECK(isReached("10.0.0.2:80", Now + absl::Seconds(1)));
  // What it said holds as long as an offer.
  CHECK_FALSE(isReached("10.0.0.1:80", Now + absl::Seconds(3)));
  CHECK(isReached("10.0.0.2:80", Now + absl::Seconds(3)));
  wg::NoteReached(offer, second, {}, Now + absl::Seconds(1));
  CHECK_FALSE(isReached("10.0.0.2:80", Now + absl::Seconds(1)));
  // What it was not asked about does not count.
  wg::NoteReached(offer, first, second, Now + absl::Seconds(1));
  CHECK(offer.reached.empty());
}
