// SPDX-License-Identifier: Apache-2.0
#include <memory>
#include <string>

#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgEndlessEndpoint.h"
#include "wgLoopThread.h"
#include "wgResultReleaser.h"

namespace {

using wg::test::EndlessBytes;
using wg::test::EndlessEndpoint;

wg::HttpRequest MakeRelease(absl::Span<const std::string> /*handles*/)
{
  wg::HttpRequest request;
  request.method(boost::beast::http::verb::post);
  request.target("/release");
  request.version(11);
  return request;
}

std::string AddressOf(absl::string_view handle)
{
  return std::string(handle.substr(0, handle.find('/')));
}

/** A releaser that knows one endpoint. */
struct Fixture
{
  explicit Fixture(const std::string& at)
    : address(at)
  {
    dialect.makeRelease = &MakeRelease;
    dialect.addressOfResult = &AddressOf;
    thread.Do([this] {
      client = std::make_unique<wg::HttpClient>(thread.Loop());
      releaser = std::make_unique<wg::ResultReleaser>(
        thread.Loop(), *client, directory, dialect, terms, metrics);
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
  ~Fixture()
  {
    thread.Join();
    releaser.reset();
    client.reset();
  }
  void Release()
  {
    thread.Do([this] {
      const std::string handle = address + "/1";
      releaser->Release({ &handle, 1 });
      return true;
    });
  }
  bool IsInTrouble()
  {
    return thread.Do(
      [this] { return wg::FindEndpoint(directory, "e")->failuresInRow > 0; });
  }
  bool Counts(const std::string& event)
  {
    const std::string line =
      absl::StrCat("weirgate_gateway_total{event=\"", event, "\"} 1\n");
    return thread.Do(
      [this, &line] { return absl::StrContains(metrics.Print(), line); });
  }
  template <class Condition>
  static bool Eventually(Condition condition)
  {
    for (int i = 0; i < 800 && !condition(); ++i) {
      absl::SleepFor(absl::Milliseconds(10));
    }
    return condition();
  }

  std::string address;
  wg::LoopThread thread;
  wg::Dialect dialect;
  wg::Directory directory;
  wg::GatewayMetrics metrics;
  wg::DecisionLog log{ "test", "test" };
  wg::TermsTracker terms{ directory, dialect, metrics, log };
  std::unique_ptr<wg::HttpClient> client;
  std::unique_ptr<wg::ResultReleaser> releaser;
};

const std::string Head =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Each such call was kept with its connection until the endpoint closed it.
TEST_CASE("A release whose answer does not end is given up")
{
  SECTION("as fast as the link bears")
  {
    const std::string chunk =
      absl::StrCat("1000\r\n", std::string(0x1000, 'x'), "\r\n");
    EndlessEndpoint endpoint([chunk](const wg::HttpRequest&) {
      return EndlessBytes{ Head, chunk, {} };
    });
    Fixture f(endpoint.Address());
    f.Release();
    CHECK(Fixture::Eventually([&] { return endpoint.Asked() == 1; }));
    CHECK(Fixture::Eventually([&] { return endpoint.Open() == 0; }));
    CHECK(f.IsInTrouble());
    CHECK(f.Counts("release_answers_too_long"));
  }
  SECTION("at some bytes a second")
  {
    EndlessEndpoint endpoint([](const wg::HttpRequest&) {
      return EndlessBytes{ Head, "1\r\nx\r\n", absl::Milliseconds(100) };
    });
    Fixture f(endpoint.Address());
    f.Release();
    CHECK(Fixture::Eventually([&] { return endpoint.Asked() == 1; }));
    CHECK(Fixture::Eventually([&] { return endpoint.Open() == 0; }));
    CHECK(f.IsInTrouble());
    CHECK(f.Counts("releases_late"));
  }
  SECTION("before a byte of it")
  {
    EndlessEndpoint endpoint([](const wg::HttpRequest&) {
      return EndlessBytes{ "", "", {} };
    });
    Fixture f(endpoint.Address());
    f.Release();
    CHECK(Fixture::Eventually([&] { return f.Counts("releases_late"); }));
    CHECK_FALSE(f.IsInTrouble());
    const std::size_t open =
      f.thread.Do([&f] { return f.client->OpenConnections(f.address); });
    CHECK(open == 0);
  }
}
