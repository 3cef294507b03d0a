// SPDX-License-Identifier: Apache-2.0
// Heartbeats of another writer come under the names of sound servers, with a
// service that no configuration names. Are the sound servers used?
#include <atomic>
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
constexpr long ForeignFromMs = 8000;
constexpr long StartMs = 10000;
constexpr long TrafficMs = 50000;
constexpr long BeatMs = 1200;
constexpr long CallMs = 1000;
constexpr long DeadlineMs = 3000;
constexpr long IdleMs = 30000;
constexpr long WorkMs = 60;
constexpr int Callers = 6;
constexpr int Servers = 3;
constexpr std::int64_t BornMs = 1796000000000;
/** The other writer's process has started a minute later. */
constexpr std::int64_t ForeignBornMs = BornMs + 60000;

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

struct Tally
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> beatsTaken{ 0 };
};

void SendRequests(const std::string& frontend, int caller, Tally& tally,
                  wgcase::Record& record)
{
  for (int i = 0; NowMs() < StartMs + TrafficMs; ++i) {
    const std::string id =
      "c" + std::to_string(caller) + "r" + std::to_string(i);
    ++tally.sent;
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
    SleepMs(300);
  }
}

bool StartSite(wgcase::Site& site)
{
  for (const char* hall : { "a", "b", "c" }) {
    site.Add(std::string("core-") + hall, std::string("zone-") + hall, true);
  }
  site.Add("edge-a", "zone-a", false);
  site.Add("edge-b", "zone-b", false);
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
  const std::string foreignAddress = site.FreeIp() + ":8080"; // of nobody
  Tally tally;
  std::atomic<bool> over{ false };
  const auto core = site.Core();
  std::thread beats([&] {
    for (std::int64_t sequence = 1; !over; ++sequence) {
      for (std::size_t i = 0; i < servers.size(); ++i) {
        const std::string at = site.ControlPlane(*core[i % core.size()]);
        tally.beatsTaken +=
          Put(at, servers[i]->Name(), Beat(*servers[i], sequence)) == 200;
        if (IsTroubled() && NowMs() >= ForeignFromMs) {
          Json foreign = Beat(*servers[i], sequence);
          foreign["service"] = "nobodys-service";
          foreign["address"] = foreignAddress;
          foreign["born"] = ForeignBornMs;
          const std::string to =
            site.ControlPlane(*core[(i + 1) % core.size()]);
          const int status = Put(to, servers[i]->Name(), foreign);
          record.Note("another writer's heartbeat as " + servers[i]->Name() +
                      ": " + std::to_string(status));
        }
      }
      SleepMs(BeatMs);
    }
  });
  SleepMs(StartMs - NowMs());
  std::vector<std::thread> callers;
  const auto edge = site.Edge();
  for (int i = 0; i < Callers; ++i) {
    const std::string frontend =
      site.Frontend(*edge[static_cast<std::size_t>(i) % edge.size()]);
    callers.emplace_back(
      [&, frontend, i] { SendRequests(frontend, i, tally, record); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  over = true;
  beats.join();
  int runs = 0;
  for (const auto& server : servers) {
    runs += server->Runs();
  }
  record.Note("sent " + std::to_string(tally.sent) + ", served " +
              std::to_string(tally.served) + ", run " + std::to_string(runs) +
              ", heartbeats of the sound servers acknowledged " +
              std::to_string(tally.beatsTaken));
  if (tally.beatsTaken == 0) {
    return CouldNotRun;
  }
  return tally.served == 0 ? Broken : Held;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: wgForeignWriterCase ROOT RECORD\n";
    return CouldNotRun;
  }
  wgcase::Record record(argv[2]);
  NowMs();
  return Run(argv[1], record);
}
