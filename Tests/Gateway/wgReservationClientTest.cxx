// SPDX-License-Identifier: Apache-2.0
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgLoopThread.h"
#include "wgReservationClient.h"

namespace {

using Tcp = boost::asio::ip::tcp;
using Answers = std::vector<std::optional<wg::wire::StageReserveAnswer>>;

/** This box, and one other that is the coordinator of some pools. */
class Fixture
{
public:
  explicit Fixture(const std::string& otherAddress)
  {
    peers = std::make_unique<wg::PeerClient>("a key of the tests", "test");
    thread.Do([&] {
      client = std::make_unique<wg::HttpClient>(thread.Loop());
      releaser = std::make_unique<wg::ResultReleaser>(
        thread.Loop(), *client, directory, dialect, terms, metrics);
      crashes = std::make_unique<wg::CrashTracker>(thread.Loop(), directory,
                                                   log, metrics);
      halls = std::make_unique<wg::HallProber>(thread.Loop(), directory, log,
                                               [](const std::string&) {});
      permits = std::make_unique<wg::SendPermits>(thread.Loop(), directory,
                                                  terms, metrics, log);
      coordinator = std::make_unique<wg::StageCoordinator>(
        thread.Loop(), *client, directory, dialect, *releaser, *halls,
        *crashes, terms, *permits, metrics, log);
      stages = std::make_unique<wg::StageClient>(
        thread.Loop(), *peers, *coordinator, directory,
        wg::GatewayMember{ "box", "h", "127.0.0.1:1" }, metrics);
      stages->SetMembers({ wg::GatewayMember{ "other", "h", otherAddress } });
      reservations = std::make_unique<wg::ReservationClient>(
        thread.Loop(), *peers, *stages, *coordinator, "box", metrics);
      return true;
    });
  }
  ~Fixture()
  {
    thread.Join();
    peers.reset(); // its callbacks use what follows
    reservations.reset();
    stages.reset();
    coordinator.reset();
    releaser.reset();
    halls.reset();
    crashes.reset();
    client.reset();
  }

  /** A service whose pool the other box, or this one, is coordinator of. */
  std::string ServiceOf(bool other)
  {
    return thread.Do([this, other] {
      for (int i = 0;; ++i) {
        std::string name = absl::StrCat("svc", i);
        const bool isOther = stages->CoordinatorOf({ name, "h" }) != nullptr;
        if (isOther == other) {
          return name;
        }
      }
    });
  }

  /** Asks both and waits for the answers. */
  Answers Ask(absl::Span<const std::string> services)
  {
    std::vector<wg::wire::StageReserve> asks;
    for (const std::string& service : services) {
      wg::wire::StageReserve ask;
      ask.set_service(service);
      ask.set_pool_hall("h");
      ask.set_pieces(1);
      ask.set_start_by_ms(1000);
      ask.set_late_start_by_ms(-1);
      asks.push_back(ask);
    }
    auto promise = std::make_shared<std::promise<Answers>>();
    auto answers = promise->get_future();
    thread.Do([&] {
      reservations->Ask(
        asks, [promise](const Answers& given) { promise->set_value(given); });
      return true;
    });
    return answers.get();
  }

  wg::LoopThread thread;
  wg::Dialect dialect;
  wg::Directory directory;
  wg::GatewayMetrics metrics;
  wg::DecisionLog log{ "test", "test" };
  wg::TermsTracker terms{ directory, dialect, metrics, log };
  std::unique_ptr<wg::HttpClient> client;
  std::unique_ptr<wg::SendPermits> permits;
  std::unique_ptr<wg::ResultReleaser> releaser;
  std::unique_ptr<wg::HallProber> halls;
  std::unique_ptr<wg::CrashTracker> crashes;
  std::unique_ptr<wg::StageCoordinator> coordinator;
  std::unique_ptr<wg::PeerClient> peers;
  std::unique_ptr<wg::StageClient> stages;
  std::unique_ptr<wg::ReservationClient> reservations;
};

} // namespace

// Failure: a coordinator is suspended in a burst, and callers wait for it.
TEST_CASE("A coordinator that does not answer is not waited for")
{
  boost::asio::io_context context;
  Tcp::acceptor silent(
    context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Fixture fixture(absl::StrCat("127.0.0.1:", silent.local_endpoint().port()));
  const std::vector<std::string> services{ fixture.ServiceOf(true),
                                           fixture.ServiceOf(false) };
  const absl::Time began = absl::Now();
  const Answers answers = fixture.Ask(services);
  CHECK(absl::Now() - began < absl::Seconds(1));
  REQUIRE(answers.size() == 2);
  CHECK_FALSE(answers[0]);
  CHECK(answers[1]); // this box itself, in the order of what was asked
}

// Failure: a coordinator has been killed.
TEST_CASE("A coordinator that is gone is not waited for")
{
  boost::asio::io_context context;
  std::string address;
  {
    Tcp::acceptor closed(
      context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    address = absl::StrCat("127.0.0.1:", closed.local_endpoint().port());
  }
  Fixture fixture(address);
  const Answers answers = fixture.Ask({ fixture.ServiceOf(true) });
  REQUIRE(answers.size() == 1);
  CHECK_FALSE(answers[0]);
}
