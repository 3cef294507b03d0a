// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgControlFollower.h"
#include "wgEndpointChoice.h"
#include "wgFollowers.h"
#include "wgGatewayMember.h"
#include "wgLoopThread.h"
#include "wgPeerServer.h"
#include "wgStageClient.h"
#include "wgTestPorts.h"

namespace {

const std::string Key = "key-of-the-test";

wg::GatewayMember Member(int number, std::uint32_t cpuMilli)
{
  wg::GatewayMember member;
  member.box = absl::StrCat("edge-", number);
  member.hall = absl::StrCat("h", number % 3);
  member.cpuMilli = cpuMilli;
  return member;
}

/** The choice before boxes reported shares. */
const wg::GatewayMember& ChooseByHash(
  const wg::GatewayMember& self, const std::vector<wg::GatewayMember>& others,
  const wg::StagePoolKey& pool)
{
  const auto order = [&pool](const wg::GatewayMember& member) {
    const bool isNear = pool.hall.empty() || member.hall == pool.hall;
    return std::make_pair(isNear,
                          wg::RendezvousWeight(NameOf(pool), member.box));
  };
  const wg::GatewayMember* best = &self;
  for (const wg::GatewayMember& member : others) {
    if (!member.suspect && order(member) > order(*best)) {
      best = &member;
    }
  }
  return *best;
}

/** A control box's part that concerns followers. */
class Control
{
public:
  explicit Control(int port, bool isOlder = false)
    : address(absl::StrCat("127.0.0.1:", port))
    , isOlder_(isOlder)
  {
    registry_.incarnation = static_cast<std::uint64_t>(port);
    REQUIRE(
      wg::Succeeded(server_.Start(Value(wg::ParseSocketAddress(address)))));
  }

  const std::string address;

private:
  /** Runs on the server's thread only. */
  void OnFollow(const wg::PeerRequest& request,
                const wg::PeerServer::Respond& respond)
  {
    wg::FollowWaiter waiter;
    if (request.path != "/follow" ||
        !waiter.request.ParseFromString(request.body)) {
      respond("");
      return;
    }
    if (isOlder_) {
      waiter.request.clear_cpu_milli();
    }
    // Answers at once where a real one waits for its timer.
    waiter.request.set_wait_ms(0);
    waiter.respond = respond;
    wg::TakeFollow(followers_, std::move(waiter),
                   { &service_, &registry_, &crashes_, {}, {} },
                   wg::ElapsedNow());
  }

  const bool isOlder_;
  wg::ServiceState service_;
  wg::EndpointRegistry registry_;
  wg::CrashEvidence crashes_;
  wg::Followers followers_;
  wg::Counters counters_;
  wg::PeerServer server_{ { { "gateway", Key } },
                          [this](const wg::PeerRequest& request,
                                 const wg::PeerServer::Respond& respond) {
                            OnFollow(request, respond);
                          },
                          counters_ };
};

/** A gateway's part that follows control boxes. */
class Gateway
{
public:
  Gateway(const std::string& box, std::uint32_t cpuMilli)
    : log_(box, "gateway")
  {
    thread_.Do([&] {
      wg::FollowHandler handler;
      handler.onHallOrders = [](const wg::HallOrders&) {};
      handler.onDocument = [](const wg::ReceivedDocument&) { return true; };
      handler.onRegistration = [](const wg::wire::Registration&) {};
      handler.onRegistrationsEnd = [] {};
      handler.onReply = [](const std::string&, const wg::wire::FollowReply&) {
      };
      handler.onMembers =
        [this](const std::vector<wg::GatewayMember>& members) {
          for (const wg::GatewayMember& member : members) {
            shares_.push_back(member.cpuMilli);
          }
        };
      follower_ = std::make_unique<wg::ControlFollower>(
        thread_.Loop(), *peers_,
        wg::FollowerIdentity{ box, "h", "127.0.0.1:1", cpuMilli }, log_,
        std::move(handler));
      return true;
    });
  }
  ~Gateway()
  {
    thread_.Join();
    peers_.reset(); // its thread posts for the follower
    follower_.reset();
  }
  void Follow(const Control& control)
  {
    thread_.Do([&] {
      follower_->AddControls({ control.address });
      return true;
    });
  }
  /** Each share that the other box was listed with, in turn. */
  std::vector<std::uint32_t> Shares()
  {
    return thread_.Do([this] { return shares_; });
  }
  bool WaitForShare(std::uint32_t cpuMilli)
  {
    const wg::Elapsed until = wg::ElapsedNow() + absl::Seconds(20);
    while (wg::ElapsedNow() < until) {
      const auto shares = Shares();
      if (!shares.empty() && shares.back() == cpuMilli) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(10));
    }
    return false;
  }

private:
  std::vector<std::uint32_t> shares_;
  wg::DecisionLog log_;
  wg::LoopThread thread_;
  std::unique_ptr<wg::PeerClient> peers_ =
    std::make_unique<wg::PeerClient>(Key, "gateway");
  std::unique_ptr<wg::ControlFollower> follower_;
};

} // namespace

TEST_CASE("All boxes choose the same large box, others once it is suspected")
{
  std::vector<wg::GatewayMember> boxes;
  for (int i = 0; i < 66; ++i) {
    boxes.push_back(Member(i, i < 50 ? 90 : 300));
  }
  std::set<std::string> coordinators;
  for (const char* service : { "enc", "fuse", "rank", "sum" }) {
    for (const char* hall : { "h0", "h1", "h2" }) {
      const wg::StagePoolKey pool{ service, hall };
      std::set<std::string> chosen;
      for (std::size_t asking = 0; asking < boxes.size(); ++asking) {
        std::vector<wg::GatewayMember> others = boxes;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(asking));
        const wg::GatewayMember& first =
          wg::ChooseCoordinator(boxes[asking], others, pool, {});
        CHECK(first.cpuMilli == 300);
        CHECK(first.hall == hall);
        chosen.insert(first.box);
        // A silent hall is passed over as before.
        CHECK(
          (wg::ChooseCoordinator(boxes[asking], others, pool, { hall }).hall !=
             hall ||
           boxes[asking].hall == hall));
      }
      REQUIRE(chosen.size() == 1);
      coordinators.insert(*chosen.begin());
      std::vector<wg::GatewayMember> others(boxes.begin() + 1, boxes.end());
      for (wg::GatewayMember& member : others) {
        member.suspect = member.box == *chosen.begin();
      }
      const wg::GatewayMember& next =
        wg::ChooseCoordinator(boxes[0], others, pool, {});
      CHECK(next.box != *chosen.begin());
      CHECK(next.cpuMilli == 300);
    }
  }
  CHECK(coordinators.size() >= 7);
}

TEST_CASE("Boxes with equal shares, or none, are chosen as before")
{
  for (const std::uint32_t share : { 0U, 120U }) {
    const wg::GatewayMember self = Member(0, share);
    std::vector<wg::GatewayMember> others;
    for (int i = 1; i < 59; ++i) {
      others.push_back(Member(i, share));
    }
    others[9].suspect = true;
    for (int i = 0; i < 1000; ++i) {
      const wg::StagePoolKey pool{ absl::StrCat("svc", i),
                                   i % 4 == 3 ? ""
                                              : absl::StrCat("h", i % 4) };
      CHECK(wg::ChooseCoordinator(self, others, pool, {}).box ==
            ChooseByHash(self, others, pool).box);
    }
  }
}

TEST_CASE("A box's share reaches another box through a control box")
{
  wg::test::TestPorts ports;
  const Control control(ports.Take());
  Gateway small("small", 90);
  Gateway large("large", 300);
  small.Follow(control);
  large.Follow(control);
  CHECK(small.WaitForShare(300));
  CHECK(large.WaitForShare(90));
  // With the first list that has the box: there is nothing to change later.
  CHECK(small.Shares().front() == 300);
}

TEST_CASE("Beside a control box of an older version the share is kept")
{
  wg::test::TestPorts ports;
  const int first = ports.Take();
  const int second = ports.Take();
  // Lists are merged by address: the older one's comes first and last.
  for (const bool isOlderFirst : { true, false }) {
    auto older =
      std::make_unique<Control>(isOlderFirst ? first : second, true);
    auto newer =
      std::make_unique<Control>(isOlderFirst ? second : first, false);
    Gateway small("small", 90);
    Gateway large("large", 300);
    small.Follow(*older);
    large.Follow(*older);
    REQUIRE(small.WaitForShare(0));
    small.Follow(*newer);
    large.Follow(*newer);
    REQUIRE(small.WaitForShare(300));
    // The newer one is lost: the older one's list tells no share.
    newer.reset();
    absl::SleepFor(wg::ShareSettleTime + absl::Milliseconds(700));
    const auto shares = small.Shares();
    CHECK(shares.back() == 300);
    int changes = 0;
    for (std::size_t i = 1; i < shares.size(); ++i) {
      changes += shares[i] == shares[i - 1] ? 0 : 1;
    }
    CHECK(changes == 1);
  }
}

TEST_CASE("A change of shares counts as a change of members")
{
  // A box that coordinates limits hands out less after it; unnoticed, two
  // coordinators would hand out the same limit.
  wg::EventLoop loop;
  wg::Directory directory;
  wg::Dialect dialect;
  wg::GatewayMetrics metrics;
  wg::DecisionLog log{ "edge-0", "gateway" };
  wg::TermsTracker terms{ directory, dialect, metrics, log };
  wg::SendPermits permits{ loop, directory, terms, metrics, log };
  wg::HttpClient http{ loop };
  wg::ResultReleaser releaser{
    loop, http, directory, dialect, terms, metrics
  };
  wg::HallProber halls{ loop, directory, log, [](const std::string&) {} };
  wg::CrashTracker crashes{ loop, directory, log, metrics };
  wg::StageCoordinator coordinator{ loop,     http,    directory, dialect,
                                    releaser, halls,   crashes,   terms,
                                    permits,  metrics, log };
  wg::PeerClient peers{ Key, "gateway" };
  wg::StageClient client{ loop,      peers,         coordinator,
                          directory, Member(0, 90), metrics };
  int changes = 0;
  client.OnMembersChanged([&changes] { ++changes; });
  client.SetMembers({ Member(3, 0) });
  CHECK(changes == 1);
  client.SetMembers({ Member(3, 300) });
  CHECK(changes == 2);
  client.SetMembers({ Member(3, 300) });
  CHECK(changes == 2);
}
