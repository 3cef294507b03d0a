// SPDX-License-Identifier: Apache-2.0
#include <future>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "wgEndlessEndpoint.h"
#include "wgLoopThread.h"
#include "wgStageCoordinator.h"
#include "wgStatusProber.h"

namespace {

using Result = wg::EndpointStatus::Result;
using wg::test::EndlessBytes;
using wg::test::EndlessEndpoint;

/** A prober that knows one endpoint. */
struct Fixture
{
  explicit Fixture(const std::string& address)
  {
    thread.Do([this, &address] {
      wg::wire::Registration told;
      told.set_endpoint("e");
      told.set_service("svc");
      told.set_address(address);
      told.set_hall("h");
      told.set_slots(1);
      told.set_sequence(1);
      told.set_state(wg::wire::Registration::READY);
      wg::MergeRegistration(directory, told, wg::ElapsedNow());
      return true;
    });
  }
  ~Fixture() { thread.Join(); }
  Result Ask()
  {
    std::promise<Result> done;
    thread.Do([&] {
      prober.Ask(*wg::FindEndpoint(directory, "e"), "/report",
                 [&done](const wg::EndpointStatus& status) {
                   done.set_value(status.result);
                 });
      return true;
    });
    return done.get_future().get();
  }
  bool IsInTrouble()
  {
    return thread.Do(
      [this] { return wg::FindEndpoint(directory, "e")->failuresInRow > 0; });
  }
  bool CountsUnsound()
  {
    return thread.Do([this] {
      return absl::StrContains(metrics.Print(),
                               "event=\"endpoint_status_unsound\"} 1\n");
    });
  }

  wg::LoopThread thread;
  wg::Dialect dialect;
  wg::Directory directory;
  wg::GatewayMetrics metrics;
  wg::DecisionLog log{ "test", "test" };
  wg::TermsTracker terms{ directory, dialect, metrics, log };
  wg::HttpClient client{ thread.Loop() };
  wg::ResultReleaser releaser{ thread.Loop(), client, directory,
                               dialect,       terms,  metrics };
  wg::CrashTracker crashes{ thread.Loop(), directory, log, metrics };
  wg::HallProber halls{ thread.Loop(), directory, log,
                        [](const std::string&) {} };
  wg::SendPermits permits{ thread.Loop(), directory, terms, metrics, log };
  wg::StageCoordinator coordinator{ thread.Loop(), client,  directory, dialect,
                                    releaser,      halls,   crashes,   terms,
                                    permits,       metrics, log };
  wg::PeerClient peers{ "a key of the tests", "test" };
  wg::StageClient members{ thread.Loop(),
                           peers,
                           coordinator,
                           directory,
                           wg::GatewayMember{ "box", "h", "" },
                           metrics };
  wg::RelayClient calls{ thread.Loop(), client, directory, peers,  members,
                         "box",         "h",    "key",     metrics };
  wg::StatusProber prober{ thread.Loop(), calls, directory, dialect, metrics };
};

const std::string Head =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// It was taken to stand still, or to be well, by the speed of its bytes.
TEST_CASE("An endpoint whose status has no end is in trouble")
{
  SECTION("as fast as the link bears")
  {
    const std::string chunk =
      absl::StrCat("1000\r\n", std::string(0x1000, '['), "\r\n");
    EndlessEndpoint endpoint([chunk](const wg::HttpRequest&) {
      return EndlessBytes{ Head, chunk, {} };
    });
    Fixture f(endpoint.Address());
    CHECK(f.Ask() == Result::Unsound);
    CHECK(f.IsInTrouble());
    CHECK(f.CountsUnsound());
  }
  SECTION("at some bytes a second")
  {
    EndlessEndpoint endpoint([](const wg::HttpRequest&) {
      return EndlessBytes{ Head, "1\r\n[\r\n", absl::Milliseconds(50) };
    });
    Fixture f(endpoint.Address());
    CHECK(f.Ask() == Result::Unsound);
    CHECK(f.IsInTrouble());
    CHECK(f.CountsUnsound());
  }
  SECTION("one that is silent is not")
  {
    EndlessEndpoint endpoint([](const wg::HttpRequest&) {
      return EndlessBytes{ "", "", {} };
    });
    Fixture f(endpoint.Address());
    CHECK(f.Ask() == Result::NoAnswer);
    CHECK_FALSE(f.IsInTrouble());
  }
}

// It has answered: it does not stand still, and is in trouble.
TEST_CASE("An endpoint whose status is no sound answer is in trouble")
{
  for (const std::string line :
       { "HTTP/1.1 000 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 200 OK\r\nX Y: 1",
         "hello there" }) {
    CAPTURE(line);
    EndlessEndpoint endpoint([line](const wg::HttpRequest&) {
      return EndlessBytes{ line + "\r\nContent-Length: 2\r\n\r\n{}", "", {} };
    });
    Fixture f(endpoint.Address());
    CHECK(f.Ask() == Result::Unsound);
    CHECK(f.IsInTrouble());
    CHECK(f.CountsUnsound());
  }
}
