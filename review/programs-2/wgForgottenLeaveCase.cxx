// SPDX-License-Identifier: Apache-2.0
// Two servers say that they end, and are acknowledged. Then the processes of
// one zone are killed and come back. Do requests still go to these servers?
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <nlohmann/json.hpp>

#include "wgCaseSite.h"

namespace {

using Json = nlohmann::json;
using wgcase::Connection;
using wgcase::Listener;
using wgcase::NowMs;
using wgcase::SleepMs;
using Headers = std::map<std::string, std::string>;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

constexpr long PublishMs = 5000;
constexpr long StartMs = 10000;
constexpr long BeatMs = 1200;
constexpr long CallMs = 1000;
constexpr long DeadlineMs = 3000;
constexpr long IdleMs = 30000;
constexpr long WorkMs = 60;
constexpr int Callers = 16;
/** The site's scale_in has share = 0.16, its node_kill as well. */
constexpr int Servers = 13;
constexpr int LeavingServers = 2;
constexpr int Gateways = 7;
/** Requests in the time that counts; with fewer a pass would say nothing. */
constexpr int LeastCounted = 50;
constexpr std::int64_t BornMs = 1796000000000;
/** Traffic before the servers leave; a calm time. */
constexpr long CalmMs = 5000;
constexpr long BetweenLeavesMs = 120;
constexpr long KilledAfterMs = 450;
constexpr long DownMs = 700;
constexpr long ContactMs = 3000;
constexpr long DrainMs = 2000;
/** For so long a server that has left serves on: "at times many seconds". */
constexpr long ServesOnMs = 8000;

bool IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string Document()
{
  return R"({"version":1,"routes":[{"name":"r-one","host":"one.example",)"
         R"("pathPrefix":"/one/","type":"idempotent","timeoutMs":3000,)"
         R"("latencyGoalMs":300,"priority":1,"service":"plain",)"
         R"("maxAttempts":2,"public":true}],"services":[{"name":"plain",)"
         R"("healthPath":"/healthz","maxConnections":110,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"tenants":[{"name":"t-one",)"
         R"("apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]})";
}

/** \class PlainServer
 * \brief Answers each request after a while, and the health path.
 */
class PlainServer
{
public:
  PlainServer(const std::string& ip, std::string name)
    : name_(std::move(name))
    , listener_(ip, [this](const auto& connection) { Serve(connection); })
  {
  }

  const std::string& Name() const { return name_; }
  const std::string& Address() const { return listener_.Address(); }
  int Runs() const { return runs_; }
  /** \brief Ids of requests that it has run from then on. */
  std::vector<std::string> RunSince(long ms)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [at, id] : run_) {
      if (at >= ms) {
        ids.push_back(id);
      }
    }
    return ids;
  }

private:
  void Serve(const std::shared_ptr<Connection>& connection)
  {
    for (;;) {
      const auto request = connection->ReadMessage(NowMs() + IdleMs);
      if (!request) {
        connection->Shutdown();
        return;
      }
      Headers headers{
        { "X-Weirgate-Instance-Id", name_ },
        { "X-Weirgate-Attempt-Id", request->Header("X-Weirgate-Attempt-Id") },
        { "X-Weirgate-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1" }
      };
      const bool isWork = request->Path() != "/healthz";
      const std::string target = request->Header("X-Weirgate-Target-Instance");
      const bool isOther = !target.empty() && target != name_;
      if (isWork && !isOther) {
        ++runs_;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          run_.emplace_back(NowMs(), request->Header("X-Weirgate-Attempt-Id"));
        }
        SleepMs(WorkMs);
      }
      const int status = isOther ? 421 : 200;
      if (!connection->Write(wgcase::PrintAnswer(status, headers, "done"))) {
        return;
      }
    }
  }

  std::string name_;
  std::atomic<int> runs_{ 0 };
  std::mutex mutex_;
  std::vector<std::pair<long, std::string>> run_;
  Listener listener_; // last: its threads use the others
};

Json Beat(const PlainServer& server, std::int64_t sequence)
{
  return { { "service", "plain" },  { "address", server.Address() },
           { "zone", "zone-a" },    { "version", "v1" },
           { "capacity", 6 },       { "state", "ready" },
           { "warmupLeftMs", 0 },   { "born", BornMs },
           { "sequence", sequence } };
}

/** \return the status; 0: no answer */
int Put(const std::string& at, const std::string& name, const Json& beat)
{
  const auto answer =
    wgcase::Call(at,
                 wgcase::PrintRequest("PUT", "/-/instances/" + name,
                                      { { "Host", at },
                                        { "Content-Type", "application/json" },
                                        { "Connection", "close" } },
                                      beat.dump()),
                 NowMs() + CallMs);
  return answer ? answer->Status() : 0;
}

/** \return when it was acknowledged; -1: it was not */
long Leave(const std::string& at, const PlainServer& server)
{
  const auto answer = wgcase::Call(
    at,
    wgcase::PrintRequest("DELETE", "/-/instances/" + server.Name(),
                         { { "Host", at },
                           { "Content-Type", "application/json" },
                           { "Connection", "close" } },
                         Json{ { "born", BornMs } }.dump()),
    NowMs() + CallMs);
  return answer && answer->Status() == 200 ? NowMs() : -1;
}

struct Tally
{
  std::atomic<bool> over{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::mutex mutex;
  std::map<std::string, long> sentAt;
};

void SendRequests(const std::string& frontend, int caller, Tally& tally,
                  wgcase::Record& record)
{
  for (int i = 0; !tally.over; ++i) {
    const std::string id =
      "c" + std::to_string(caller) + "r" + std::to_string(i);
    ++tally.sent;
    {
      const std::lock_guard<std::mutex> lock(tally.mutex);
      tally.sentAt[id] = NowMs();
    }
    const auto answer =
      wgcase::Call(frontend,
                   wgcase::PrintRequest("GET", "/one/" + id,
                                        { { "Host", "one.example" },
                                          { "X-Weirgate-Attempt-Id", id },
                                          { "X-Weirgate-Deadline-Ms",
                                            std::to_string(DeadlineMs) },
                                          { "Connection", "close" } },
                                        ""),
                   NowMs() + DeadlineMs);
    const int status = answer ? answer->Status() : 0;
    tally.served += status == 200 ? 1 : 0;
    record.Note("request " + id + ": " + std::to_string(status));
    SleepMs(status == 200 ? 100 : 300);
  }
}

bool StartSite(wgcase::Site& site)
{
  for (const char* hall : { "a", "b", "c" }) {
    site.Add(std::string("core-") + hall, std::string("zone-") + hall, true);
  }
  for (int i = 0; i < Gateways; ++i) {
    const std::string zone = "zone-" + std::string(1, "abc"[i % 3]);
    site.Add("edge-" + std::to_string(i), zone, false);
  }
  for (auto* machine : site.Core()) {
    site.Start(*machine, true);
  }
  for (auto* machine : site.Edge()) {
    site.Start(*machine, true);
  }
  const auto core = site.Core();
  for (std::size_t i = 0; NowMs() < PublishMs; ++i) {
    if (wgcase::Publish(site.ControlPlane(*core[i % core.size()]), Document(),
                        NowMs() + CallMs) == 200) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

int Run(const std::string& root, wgcase::Record& record)
{
  wgcase::Site site(root, record);
  if (!StartSite(site)) {
    return CouldNotRun;
  }
  std::vector<std::unique_ptr<PlainServer>> servers;
  for (int i = 0; i < Servers; ++i) {
    servers.push_back(std::make_unique<PlainServer>(
      site.FreeIp(), "i-plain-" + std::to_string(i)));
  }
  // Those that will leave tell one node, the others another one.
  const auto core = site.Core();
  const auto nodeOf = [&](int server) {
    return site.ControlPlane(*core[server < LeavingServers ? 0 : 1]);
  };
  Tally tally;
  std::atomic<int> beating{ 0 }; // from this one on
  std::thread beats([&] {
    for (std::int64_t sequence = 1; !tally.over; ++sequence) {
      for (int i = beating; i < Servers; ++i) {
        const auto& server = *servers[static_cast<std::size_t>(i)];
        Put(nodeOf(i), server.Name(), Beat(server, sequence));
      }
      SleepMs(BeatMs);
    }
  });
  SleepMs(StartMs - NowMs());
  wgcase::Machine& killedCore = *core[0];
  wgcase::Machine& killedEdge = *site.Edge()[0];
  std::vector<std::thread> callers;
  for (int i = 0; i < Callers; ++i) {
    callers.emplace_back(
      [&, i] { SendRequests(site.Frontend(killedEdge), i, tally, record); });
  }
  SleepMs(CalmMs);
  beating = LeavingServers;
  SleepMs(BeatMs); // what they had on its way has come
  std::vector<long> acknowledged;
  for (int i = 0; i < LeavingServers; ++i) {
    const auto& server = *servers[static_cast<std::size_t>(i)];
    acknowledged.push_back(Leave(nodeOf(i), server));
    record.Note("DELETE of " + server.Name() +
                " acknowledged: " + std::to_string(acknowledged.back()));
    SleepMs(i + 1 < LeavingServers ? BetweenLeavesMs : 0);
  }
  SleepMs(KilledAfterMs);
  long inTouch = NowMs();
  if (IsTroubled()) {
    site.Signal(killedCore, SIGKILL);
    site.Signal(killedEdge, SIGKILL);
    site.Kill(killedCore);
    site.Kill(killedEdge);
    SleepMs(DownMs);
    site.Start(killedCore, false);
    site.Start(killedEdge, false);
    inTouch = NowMs() + ContactMs;
  }
  SleepMs(acknowledged.back() + ServesOnMs - NowMs());
  tally.over = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  beats.join();
  int late = 0;
  for (int i = 0; i < LeavingServers; ++i) {
    auto& server = *servers[static_cast<std::size_t>(i)];
    const long from = acknowledged[static_cast<std::size_t>(i)] + DrainMs;
    for (const std::string& id : server.RunSince(from)) {
      if (tally.sentAt[id] >= inTouch) {
        ++late;
        record.Note("DRAIN: " + id + ", sent at " +
                    std::to_string(tally.sentAt[id]) + ", reached " +
                    server.Name() + ", gone since " +
                    std::to_string(from - DrainMs));
      }
    }
  }
  int counted = 0;
  for (const auto& [id, at] : tally.sentAt) {
    const bool counts = at >= std::max(inTouch, acknowledged.back() + DrainMs);
    counted += counts ? 1 : 0;
  }
  record.Note("sent " + std::to_string(tally.sent) + ", served " +
              std::to_string(tally.served) +
              ", sent in the time that counts " + std::to_string(counted) +
              ", at servers that were gone " + std::to_string(late));
  const bool isSound =
    *std::min_element(acknowledged.begin(), acknowledged.end()) >= 0 &&
    2 * tally.served > tally.sent && counted >= LeastCounted;
  if (!isSound) {
    return CouldNotRun;
  }
  return late > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: wgForgottenLeaveCase ROOT RECORD\n";
    return CouldNotRun;
  }
  wgcase::Record record(argv[2]);
  NowMs();
  return Run(argv[1], record);
}
