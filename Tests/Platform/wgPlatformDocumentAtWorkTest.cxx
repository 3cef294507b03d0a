// SPDX-License-Identifier: Apache-2.0
// A document, or SIGHUP, takes away what a request that is at work came with:
// the request is answered as it began.
#include <csignal>
#include <cstdlib>
#include <functional>

#include "wgSilenceSite.h"

namespace {

using wg::test::Await;
using wg::test::Names;
using wg::test::Ok;
using wg::test::PauseMs;
using wg::test::Stream;
using wg::test::WholeStream;
using Json = wg::test::PlatformCluster::Json;
using Site = wg::test::SilenceSite;

/** Endpoints of these tests tell of themselves once. */
const int LongSilence = setenv("WEIRGATE_HEARTBEAT_MS", "60000", 1);

/** A stream takes four of these. */
constexpr int SlowEventMs = 400;
constexpr int SlowCallMs = 300;
/** Shorter than a stream has run as the document comes. */
constexpr int ShortMs = 100;
const Names Paths{ "/r/x", "/s/x", "/r/x", "/s/x" };

using Edit = std::function<void(Json&)>;

Json& RouteOf(Json& document, const std::string& name)
{
  for (Json& route : document["routes"]) {
    if (route["name"] == name) {
      return route;
    }
  }
  throw std::runtime_error("no route " + name);
}

void EraseIf(Json& list, const std::function<bool(const Json&)>& condition)
{
  Json kept = Json::array();
  for (const Json& entry : list) {
    if (!condition(entry)) {
      kept.push_back(entry);
    }
  }
  list = kept;
}

bool IsStream(const Json& route)
{
  return route["name"] == "resumable" || route["name"] == "stream";
}

void DropRoutes(Json& document)
{
  EraseIf(document["routes"], IsStream);
}

void MoveRoutes(Json& document)
{
  for (Json& route : document["routes"]) {
    if (IsStream(route)) {
      route["service"] = "plain";
      route["type"] = "idempotent";
      for (const char* field :
           { "phases", "streamResume", "gapAimMs", "latencyGoalMs" }) {
        route.erase(field);
      }
    }
  }
}

void DropServices(Json& document)
{
  DropRoutes(document);
  EraseIf(document["services"],
          [](const Json& service) { return service["name"] != "plain"; });
}

void ShortenTimeouts(Json& document)
{
  for (Json& route : document["routes"]) {
    route["timeoutMs"] = ShortMs;
  }
}

void AllowOneAttempt(Json& document)
{
  RouteOf(document, "resumable")["maxAttempts"] = 1;
}

void ChangeKeys(Json& document)
{
  document["tenants"] = { { { "name", "t2" }, { "apiKeys", { "k2" } } } };
}

void ShortenIdleTime(Json& document)
{
  document["limits"] = { { "idleTimeoutMs", ShortMs } };
}

/** Sends a document and waits until the gateway has it in force. */
void PutInForce(Site& site, int number, const Edit& edit)
{
  Json document = Site::DocumentOf(number);
  edit(document);
  site.Publish(document);
  Await("the document to be in force", [&] {
    return !site
              .LogOf(
                absl::StrCat("\"document_in_force\",\"number\":", number, ","))
              .empty();
  });
}

/** Checks that all are whole, and that none had ended before that. */
void CheckWhole(const Site& site, const std::vector<Stream>& streams,
                absl::Time changed)
{
  for (const Stream& stream : streams) {
    INFO(site.LogOf(stream.request));
    CHECK(stream.status == Ok);
    CHECK(stream.ids == WholeStream);
    CHECK(stream.ended > changed);
  }
}

/** Changes something once all streams have begun. */
void ChangeWhileStreaming(Site& site, const std::function<void()>& change)
{
  for (const auto& engine : site.engines) {
    engine->SetEventMs(SlowEventMs);
  }
  const int before = site.Begun();
  absl::Time changed;
  const auto streams = site.SendAll(Paths, [&] {
    Await("all streams to begin", [&] {
      return site.Begun() == before + static_cast<int>(Paths.size());
    });
    absl::SleepFor(absl::Milliseconds(SlowEventMs / 2));
    change();
    changed = absl::Now();
  });
  CheckWhole(site, streams, changed);
}

/** Changes something while the stages of all streams run. */
void ChangeWhileStagesRun(Site& site, const std::function<void()>& change)
{
  site.encoders[0]->SetCallMs(SlowCallMs);
  const int before = site.encoders[0]->Pieces();
  absl::Time changed;
  const auto streams = site.SendAll(Names(2, "/r/x"), [&] {
    Await("stages to run",
          [&] { return site.encoders[0]->Pieces() > before; });
    change();
    changed = absl::Now();
  });
  CheckWhole(site, streams, changed);
}

/** A document that comes while streams run, and one while stages do. */
void PlayDocument(const Edit& edit)
{
  Site site(2);
  ChangeWhileStreaming(site, [&] { PutInForce(site, 2, edit); });
  PutInForce(site, 3, [](Json&) {});
  ChangeWhileStagesRun(site, [&] { PutInForce(site, 4, edit); });
}

} // namespace

TEST_CASE("A request at work is cut as its route goes", "[document-route]")
{
  PlayDocument(DropRoutes);
}

TEST_CASE("A request at work is cut as its route moves", "[document-route]")
{
  PlayDocument(MoveRoutes);
}

TEST_CASE("A request at work is cut as its service goes", "[document-service]")
{
  PlayDocument(DropServices);
}

TEST_CASE("A request at work is cut as its route's timeout is shortened",
          "[document-times]")
{
  PlayDocument(ShortenTimeouts);
}

TEST_CASE("A request at work is cut as the idle time is shortened",
          "[document-times]")
{
  PlayDocument(ShortenIdleTime);
}

TEST_CASE("A request at work is cut as its account's key goes",
          "[document-key]")
{
  PlayDocument(ChangeKeys);
}

TEST_CASE("A request at work is cut as only one attempt is allowed",
          "[document-attempts]")
{
  PlayDocument(AllowOneAttempt);
}

// The engine of some ends once the document is in force: they go on elsewhere,
// as they began.
TEST_CASE("A stream isn't resumed as a document allows one attempt",
          "[document-attempts]")
{
  Site site(2);
  site.engines[0]->FallsFor(PauseMs);
  for (const auto& engine : site.engines) {
    engine->SetEventMs(SlowEventMs);
  }
  const int before = site.Begun();
  absl::Time changed;
  const auto streams = site.SendAll(Names(4, "/r/x"), [&] {
    Await("all streams to begin", [&] { return site.Begun() == before + 4; });
    PutInForce(site, 2, AllowOneAttempt);
    changed = absl::Now();
    site.engines[0]->FallOver();
  });
  CheckWhole(site, streams, changed);
}

TEST_CASE("A request at work is cut as three documents come",
          "[document-series]")
{
  Site site(2);
  int number = 1;
  const auto series = [&] {
    PutInForce(site, ++number, ShortenIdleTime);
    PutInForce(site, ++number, ChangeKeys);
    PutInForce(site, ++number, DropServices);
  };
  ChangeWhileStreaming(site, series);
  PutInForce(site, ++number, [](Json&) {});
  ChangeWhileStagesRun(site, series);
}

// A file that names other control boxes, none of which answers.
TEST_CASE("A request at work is cut by SIGHUP", "[document-signal]")
{
  const std::string path = (std::filesystem::temp_directory_path() /
                            absl::StrCat("wg-document-at-work-", getpid()))
                             .string();
  std::ofstream(path) << "log=text\n";
  setenv("WEIRGATE_SETTINGS", path.c_str(), 1);
  Site site(2);
  const auto signal = [&] {
    for (int i = 0; i < 3; ++i) {
      site.cluster.Gateway(0).Signal(SIGHUP);
      absl::SleepFor(absl::Milliseconds(ShortMs));
    }
  };
  ChangeWhileStreaming(site, signal);
  ChangeWhileStagesRun(site, signal);
  std::ofstream(path) << "log=text\ncontrols=127.0.0.1:1\n";
  ChangeWhileStreaming(site, signal);
  CHECK(site.cluster.Gateway(0).IsRunning());
  unsetenv("WEIRGATE_SETTINGS");
  std::filesystem::remove(path);
}
