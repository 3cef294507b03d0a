// SPDX-License-Identifier: Apache-2.0
// Callers that send bodies, or take answers, without coming to an end: the
// gateway keeps within the memory of the smallest boxes, and serves the
// others beside them.
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgRawCaller.h"
#include "wgScriptedEndpoint.h"

namespace {

using wg::test::Await;
using wg::test::PlatformCluster;
using wg::test::RawCaller;
using wg::test::ScriptedAnswer;
using wg::test::ScriptedEndpoint;

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";
/** The most by which the thread sanitizer multiplies the memory of a program,
 * by its documentation; the limit is that of the release.
 */
#ifdef __SANITIZE_THREAD__
constexpr int MemoryFactor = 10;
#else
constexpr int MemoryFactor = 1;
#endif
/** The smallest boxes have 160 MB; 40 MB of it are what a gateway holds of a
 * large site without a request.
 */
constexpr long MostKilobytes = MemoryFactor * (160L - 40L) * 1024L;
constexpr std::size_t MaxBody = 4U << 20U; // of the document's limits

struct Site
{
  Site()
    : plain("plain", [this](const auto& request) { return Run(request); })
  {
    nlohmann::json document =
      nlohmann::json::parse(PlatformCluster::Document(1));
    document.erase("tenants");
    document["limits"] = { { "maxHeaderBytes", 16384 },
                           { "maxBodyBytes", MaxBody },
                           { "headerTimeoutMs", 6000 },
                           { "idleTimeoutMs", 15000 } };
    Await("the document",
          [&] { return cluster.Publish(0, document.dump()) == 200; });
    Await("a ready gateway", [&] { return cluster.Ready(0) == 200; });
    Await("the endpoint",
          [&] { return plain.Register(cluster.Api(0), "plain"); });
    heartbeats = std::thread([this] {
      while (!stopping) {
        plain.Register(cluster.Api(0), "plain");
        absl::SleepFor(absl::Milliseconds(300));
      }
    });
    Await("a sound request", [&] { return IsServed(); });
  }
  ~Site()
  {
    stopping = true;
    heartbeats.join();
  }

  /** The path's last part is the length of the answer. */
  ScriptedAnswer Run(const wg::HttpRequest& request)
  {
    const std::string target(request.target());
    std::size_t bytes = 0;
    (void)absl::SimpleAtoi(target.substr(target.rfind('/') + 1), &bytes);
    return { absl::StrCat(
      "HTTP/1.1 200 OK\r\n", RequestField, ": ",
      std::string(wg::FieldOf(request, RequestField)),
      "\r\nX-Weirgate-Server-Seal: seal\r\nContent-Length: ", bytes,
      "\r\n\r\n", std::string(bytes, 'x')) };
  }

  std::string Head(const std::string& path, std::size_t bytes)
  {
    return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: one.example\r\n",
                        RequestField, ": crowd-", ++requests,
                        "\r\nX-Weirgate-Deadline-Ms: 14000\r\n"
                        "Content-Length: ",
                        bytes, "\r\n\r\n");
  }

  bool IsServed()
  {
    RawCaller caller(cluster.Listen(0));
    caller.Send(Head("/p/100", 2) + "ab");
    return absl::StrContains(caller.ReadAnswer(), "200 OK");
  }

  /** Sound requests one after the other, for some time. */
  int CountUnserved(absl::Duration time)
  {
    int unserved = 0;
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      unserved += IsServed() ? 0 : 1;
      absl::SleepFor(absl::Milliseconds(20));
    }
    return unserved;
  }

  std::atomic<int> requests{ 0 };
  PlatformCluster cluster{ 1 };
  ScriptedEndpoint plain;
  std::atomic<bool> stopping{ false };
  std::thread heartbeats;
};

} // namespace

// Bodies of callers had no bound for all of them together.
TEST_CASE("Bodies that callers do not end leave others undisturbed",
          "[slow-bodies]")
{
  Site site;
  const int count = GENERATE(1, 20, 200);
  CAPTURE(count);
  std::vector<std::unique_ptr<RawCaller>> callers;
  const std::string most(MaxBody - 10, 'b');
  std::vector<std::thread> senders;
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<RawCaller>(site.cluster.Listen(0)));
    senders.emplace_back([&site, &most, caller = callers.back().get()] {
      caller->Send(site.Head("/p/100", MaxBody));
      caller->Send(most);
    });
  }
  CHECK(site.CountUnserved(absl::Seconds(4)) == 0);
  for (const auto& caller : callers) {
    caller->Close();
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  REQUIRE(site.cluster.Gateway(0).IsRunning());
  CHECK(site.cluster.Gateway(0).PeakKilobytes() < MostKilobytes);
  // A long body is taken again once the others have gone.
  Await("a long body", [&site] {
    const std::string body(900000, 'b');
    RawCaller caller(site.cluster.Listen(0));
    caller.Send(site.Head("/p/100", body.size()) + body);
    return absl::StrContains(caller.ReadAnswer(), "200 OK");
  });
}

// Whole answers waited for their callers, however long and however many.
TEST_CASE("Answers that callers do not read leave others undisturbed",
          "[unread-answers]")
{
  Site site;
  const int count = GENERATE(1, 20, 200);
  CAPTURE(count);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<RawCaller>(site.cluster.Listen(0)));
    callers.back()->Send(site.Head("/p/12000000", 2) + "ab");
  }
  CHECK(site.CountUnserved(absl::Seconds(6)) == 0);
  REQUIRE(site.cluster.Gateway(0).IsRunning());
  CHECK(site.cluster.Gateway(0).PeakKilobytes() < MostKilobytes);
  // A long answer that is read comes whole, once the others are closed.
  Await("a long answer", [&site] {
    RawCaller caller(site.cluster.Listen(0));
    caller.Send(site.Head("/p/4000000", 2) + "ab");
    return caller.ReadAnswer().size() > 4000000;
  });
}
