// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace wg::test {

inline constexpr int Ok = 200;
inline constexpr int Unavailable = 503;

/** Endpoints of these tests tell of themselves once. */
inline const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

using Names = std::vector<std::string>;

/** \brief What a caller has of a stream. */
struct Stream
{
  int status = 0; // 0: none
  std::string request;
  Names ids;
  std::set<std::string> versions; // that its events come from
  double retryAfter = 0.0;
  absl::Duration took;
};

/** \brief Engines of some versions that serve side by side, and callers. */
struct Versions
{
  Versions(const std::vector<std::string>& halls,
           const std::vector<std::string>& versions, int ofEach = 2,
           bool links = false)
    : cluster(static_cast<int>(halls.size()), links, halls)
  {
    cluster.AwaitServing();
    for (const std::string& version : versions) {
      for (int i = 0; i < ofEach; ++i) {
        engines.push_back(
          MakeEngine(absl::StrCat("engine-", version, "-", i), version));
        REQUIRE(engines.back()->Register(cluster.Api(0), "llm"));
      }
    }
    for (int gateway = 0; gateway < cluster.Gateways(); ++gateway) {
      AwaitVersions(gateway, versions);
    }
  }

  static std::unique_ptr<PlatformStandin> MakeEngine(
    const std::string& id, const std::string& version)
  {
    auto engine = std::make_unique<PlatformStandin>(id);
    engine->SetVersion(version);
    engine->TellVersionInEvents();
    engine->BornAt(FirstBornMs);
    return engine;
  }

  void AwaitVersions(int gateway, const std::vector<std::string>& versions)
  {
    std::set<std::string> seen;
    Await("streams of all versions", [&] {
      const Stream stream = Begin(gateway);
      seen.insert(stream.versions.begin(), stream.versions.end());
      return seen.size() == versions.size();
    });
  }

  Stream Send(int gateway, httplib::Headers headers)
  {
    Stream stream;
    stream.request = absl::StrCat("attempt", ++attempts);
    headers.emplace("X-Weirgate-Attempt-Id", stream.request);
    headers.emplace("Host", "one.example");
    headers.emplace("X-Weirgate-Deadline-Ms", "20000");
    headers.emplace("Authorization", "Token k1");
    headers.emplace("X-Weirgate-Token-Usage", "100,20");
    headers.emplace("X-Weirgate-Prompt-Prefix",
                    absl::StrCat(absl::Hex(attempts), ":60,bb:40"));
    httplib::Client client("127.0.0.1", cluster.Listen(gateway));
    client.set_read_timeout(25);
    const absl::Time begun = absl::Now();
    const auto reply = client.Post("/r/x", headers, "body", "text/plain");
    stream.took = absl::Now() - begun;
    if (!reply) {
      return stream;
    }
    stream.status = reply->status;
    if (reply->has_header("Retry-After")) {
      stream.retryAfter = std::stod(reply->get_header_value("Retry-After"));
    }
    for (absl::string_view line : absl::StrSplit(reply->body, '\n')) {
      if (absl::ConsumePrefix(&line, "id: ")) {
        stream.ids.emplace_back(line);
      } else if (absl::ConsumePrefix(&line, "event: ")) {
        stream.versions.emplace(line);
      }
    }
    return stream;
  }
  Stream Begin(int gateway) { return Send(gateway, {}); }
  /** Streams of each version in turn. */
  std::vector<Stream> BeginMany(int gateway, const Names& versions, int count)
  {
    std::vector<Stream> begun;
    while (static_cast<int>(begun.size()) < count) {
      const std::string& wanted = versions[begun.size() % versions.size()];
      Await("a stream of " + wanted, [&] {
        const Stream stream = Begin(gateway);
        const bool isWanted =
          stream.versions == std::set<std::string>{ wanted };
        if (isWanted) {
          begun.push_back(stream);
        }
        return isWanted;
      });
    }
    return begun;
  }
  /** As if the caller had lost the stream after its second event. */
  Stream TakeUp(int gateway, const std::string& first)
  {
    return Send(gateway, { { "Last-Event-Id", "2" }, { "Resumes", first } });
  }
  /** A counter of a gateway; 0: none. */
  int Count(int gateway, const std::string& event)
  {
    const std::string prefix =
      absl::StrCat("weirgate_gateway_total{event=\"", event, "\"} ");
    const std::string text = cluster.Metrics(gateway);
    for (absl::string_view line : absl::StrSplit(text, '\n')) {
      int value = 0;
      if (absl::ConsumePrefix(&line, prefix) &&
          absl::SimpleAtoi(line, &value)) {
        return value;
      }
    }
    return 0;
  }
  /** Copies of origins leave a box beside its answers: one that is killed
   * before has no record elsewhere.
   */
  void AwaitCopies(int gateway)
  {
    Await("the copies of origins to be kept", [&] {
      const int sent = Count(gateway, "stream_origin_copies_sent");
      return sent > 0 &&
             sent == Count(gateway, "stream_origin_copies_kept") +
                       Count(gateway, "stream_origin_copies_failed");
    });
  }
  void CheckGoesOn(const Stream& first, int gateway)
  {
    const Stream second = TakeUp(gateway, first.request);
    CHECK(second.status == Ok);
    CHECK(second.ids == Names{ "3", "4" });
    CHECK(second.versions == first.versions);
  }
  /** Refused at once, and no endpoint has seen it. */
  double CheckRefused(const Stream& stream)
  {
    CHECK(stream.status == Unavailable);
    CHECK(stream.took < absl::Seconds(1));
    for (const auto& engine : engines) {
      CHECK(engine->Runs(stream.request) == 0);
    }
    return stream.retryAfter;
  }
  /** At each box. */
  void CheckAllRefused(const std::vector<Stream>& begun)
  {
    for (const Stream& first : begun) {
      for (int gateway = 0; gateway < cluster.Gateways(); ++gateway) {
        CheckRefused(TakeUp(gateway, first.request));
      }
    }
  }
  /** Its events are of one version. */
  void CheckNotJoined(const Stream& first, int gateway)
  {
    const Stream second = TakeUp(gateway, first.request);
    CHECK((second.status != Ok || second.versions == first.versions));
  }
  void CheckNoneJoined(const std::vector<Stream>& begun, int gateway)
  {
    for (const Stream& first : begun) {
      CheckNotJoined(first, gateway);
    }
  }
  /** Those that go on; no stream may be joined. */
  int CountGoingOn(const std::vector<Stream>& begun, int gateway)
  {
    int goOn = 0;
    for (const Stream& first : begun) {
      const Stream second = TakeUp(gateway, first.request);
      CHECK((second.status != Ok || second.versions == first.versions));
      goOn += second.status == Ok ? 1 : 0;
    }
    return goOn;
  }
  /** All processes are killed and start again; their disks are kept. */
  void RestartAll()
  {
    KillControls();
    KillGateways();
    for (int i = 0; i < PlatformCluster::Controls; ++i) {
      cluster.StartControl(i, false);
    }
    StartGateways();
  }
  void RestartGateways()
  {
    KillGateways();
    StartGateways();
  }
  void KillControls()
  {
    for (int i = 0; i < PlatformCluster::Controls; ++i) {
      cluster.Control(i).Kill();
    }
  }
  void KillGateways()
  {
    for (int i = 0; i < cluster.Gateways(); ++i) {
      cluster.Gateway(i).Kill();
    }
  }
  void StartGateways()
  {
    for (int i = 0; i < cluster.Gateways(); ++i) {
      cluster.StartGateway(i);
    }
    for (int i = 0; i < cluster.Gateways(); ++i) {
      Await("a ready gateway", [&] { return cluster.Ready(i) == Ok; });
    }
  }

  /** The route of the streams leads to the service. */
  void PublishTarget(int number, const std::string& service)
  {
    auto document =
      PlatformCluster::Json::parse(PlatformCluster::Document(number));
    auto added = document["services"][1];
    added["name"] = "other";
    document["services"].push_back(added);
    for (auto& route : document["routes"]) {
      if (route["name"] == "resumable") {
        route["service"] = service;
      }
    }
    Await("the document to be acknowledged",
          [&] { return cluster.Publish(0, document.dump()) == Ok; });
  }
  void AwaitBeginsAt(const PlatformStandin& endpoint, int gateway)
  {
    Await("streams to begin at the endpoint", [&] {
      const int before = endpoint.AllRuns();
      Begin(gateway);
      return endpoint.AllRuns() > before;
    });
  }

  static constexpr std::int64_t FirstBornMs = 1700000000000;
  PlatformCluster cluster;
  std::vector<std::unique_ptr<PlatformStandin>> engines;
  int attempts = 0;
};

inline const Names TwoVersions{ "v1", "v2" };
/** Halls of the gateways. */
inline const Names OneHall{ "h1", "h1" };
inline const Names TwoHalls{ "h1", "h1", "h1", "h2", "h2" };

} // namespace wg::test
