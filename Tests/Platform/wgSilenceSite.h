// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformStandin.h"

namespace wg::test {

using Names = std::vector<std::string>;

constexpr int Ok = 200;
inline const Names WholeStream{ "1", "2", "3", "4" };
/** Twice what a box waits for the next event of these routes. */
constexpr int PauseMs = 1000;
constexpr int EventMs = 150;

/** \brief One request and what its caller got. */
struct Stream
{
  std::string request;
  int status = 0; // 0: the answer was not whole
  Names ids;
  std::string body;
  absl::Time ended;
};

/** \class SilenceSite
 * \brief Engines that fetch the results of a stage, and callers of streams.
 */
struct SilenceSite
{
  explicit SilenceSite(int engineCount, int gateways = 1, int encoderCount = 1)
    : cluster(gateways)
  {
    Publish(1);
    for (int i = 0; i < gateways; ++i) {
      Await("a ready gateway", [&] { return cluster.Ready(i) == Ok; });
    }
    for (int i = 0; i < encoderCount; ++i) {
      encoders.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("enc-", i + 1)));
      REQUIRE(encoders.back()->Register(cluster.Api(0), "enc"));
    }
    for (int i = 0; i < engineCount; ++i) {
      engines.push_back(
        std::make_unique<PlatformStandin>(absl::StrCat("engine-", i)));
      for (const auto& encoder : encoders) {
        engines.back()->FetchesInputsFrom(*encoder);
      }
      engines.back()->SetEventMs(EventMs);
      REQUIRE(engines.back()->Register(cluster.Api(0), "llm"));
    }
    Await("all engines to serve", [this] {
      Send();
      return std::all_of(engines.begin(), engines.end(),
                         [](const auto& e) { return e->AllRuns() > 0; });
    });
  }

  /** Streams that may be resumed run a stage of their own; of the plain routes
   * one may be repeated.
   */
  static PlatformCluster::Json DocumentOf(int number)
  {
    auto document =
      PlatformCluster::Json::parse(PlatformCluster::Document(number));
    for (auto& route : document["routes"]) {
      if (route["name"] == "resumable") {
        route["phases"] = { { { "service", "enc" },
                              { "afterRevision",
                                PlatformCluster::Json::array() },
                              { "sizeBytes", 1000 } } };
      }
    }
    auto again = document["routes"][0];
    again["name"] = "again";
    again["pathPrefix"] = "/i/";
    again["type"] = "idempotent";
    again["maxAttempts"] = 2;
    document["routes"].push_back(again);
    document["limits"] = { { "idleTimeoutMs", 15000 + number } };
    return document;
  }

  void Publish(int number) { Publish(DocumentOf(number)); }

  void Publish(const PlatformCluster::Json& document)
  {
    Await("the document to be acknowledged",
          [&] { return cluster.Publish(0, document.dump()) == Ok; });
  }

  Stream Send(const std::string& path = "/r/x")
  {
    const int number = ++sent;
    Stream stream;
    stream.request = absl::StrCat("silence", number);
    httplib::Client client("127.0.0.1", cluster.Listen(0));
    client.set_read_timeout(20);
    httplib::Headers headers = { { "Host", "one.example" },
                                 { "X-Weirgate-Attempt-Id", stream.request },
                                 { "X-Weirgate-Deadline-Ms", "12000" },
                                 { "Authorization", "Token k1" } };
    if (absl::StartsWith(path, "/r/") || absl::StartsWith(path, "/s/")) {
      headers.emplace("X-Weirgate-Token-Usage", "100,20");
      headers.emplace("X-Weirgate-Prompt-Prefix",
                      absl::StrCat(absl::Hex(number), ":60,bb:40"));
      headers.emplace("X-Weirgate-Chunk-Count",
                      absl::StartsWith(path, "/r/") ? "2" : "2,3");
      headers.emplace("X-Weirgate-Chunk-Key", "file");
    }
    const auto reply = client.Post(path, headers, "body", "text/plain");
    stream.ended = absl::Now();
    if (!reply) {
      return stream;
    }
    stream.status = reply->status;
    stream.body = reply->body;
    for (absl::string_view line : absl::StrSplit(reply->body, '\n')) {
      if (absl::ConsumePrefix(&line, "id: ")) {
        stream.ids.emplace_back(line);
      }
    }
    return stream;
  }

  /** Sends one request for each path at once, and does something meanwhile. */
  template <class Meanwhile>
  std::vector<Stream> SendAll(const Names& paths, Meanwhile meanwhile)
  {
    std::vector<Stream> streams(paths.size());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < paths.size(); ++i) {
      callers.emplace_back([this, &stream = streams[i], &path = paths[i]] {
        stream = Send(path);
      });
    }
    try {
      meanwhile();
    } catch (const std::exception& error) {
      FAIL_CHECK(error.what());
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return streams;
  }

  /** Sends so many streams at once, and does something once all have begun. */
  template <class Meanwhile>
  std::vector<Stream> SendMany(int count, Meanwhile meanwhile)
  {
    const int before = Begun();
    return SendAll(Names(count, "/r/x"), [&] {
      Await("all streams to begin", [&] { return Begun() >= before + count; });
      meanwhile();
    });
  }

  int Begun() const
  {
    int begun = 0;
    for (const auto& engine : engines) {
      begun += engine->StreamsBegun();
    }
    return begun;
  }

  /** What the first gateway has logged that names this. */
  std::string LogOf(const std::string& name) const
  {
    std::ifstream log(cluster.FileAt("g0.log"));
    std::string lines;
    for (std::string line; std::getline(log, line);) {
      if (absl::StrContains(line, name)) {
        absl::StrAppend(&lines, line, "\n");
      }
    }
    return lines;
  }

  PlatformCluster cluster;
  std::vector<std::unique_ptr<PlatformStandin>> encoders;
  std::vector<std::unique_ptr<PlatformStandin>> engines;
  std::atomic<int> sent{ 0 };
};

} // namespace wg::test
