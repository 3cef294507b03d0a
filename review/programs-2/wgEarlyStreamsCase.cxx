// SPDX-License-Identifier: Apache-2.0
// Servers of two software versions serve side by side. All processes of the
// system are killed while streams have just begun, and come back. Do the
// streams go on?
#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <climits>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

#include <nlohmann/json.hpp>

#include "wgCaseSite.h"

namespace {

using Json = nlohmann::json;
using wgcase::Connection;
using wgcase::Listener;
using wgcase::Message;
using wgcase::NowMs;
using wgcase::SleepMs;
using Headers = std::map<std::string, std::string>;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

constexpr long StartMs = 12000;
constexpr long BeatMs = 1200;
constexpr long CallMs = 1000;
constexpr long IdleMs = 60000;
constexpr long ContactMs = 3000;
constexpr long DeadlineMs = 12000;
constexpr int Tries = 4;
/** hinokuni-weir has 50 streams a second; its days play 1.8 times that. */
constexpr int Streams = 20;
constexpr long SpreadMs = 230;
constexpr long KilledAfterMs = 260; // of the first one's start
constexpr long DownMs = 650;
constexpr int ServersOfVersion = 3;
constexpr long FirstEventMs = 15;
constexpr long EventMs = 150;
constexpr int Events = 40;
constexpr int LeastForRule = 12;

const std::array<std::string, 3> Zones = { "zone-a", "zone-b", "zone-c" };

bool IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string Document()
{
  const Json route{ { "name", "r-chat" },        { "host", "one.example" },
                    { "pathPrefix", "/chat/" },  { "type", "streaming" },
                    { "timeoutMs", DeadlineMs }, { "latencyGoalMs", 1700 },
                    { "priority", 1 },           { "service", "llm" },
                    { "maxAttempts", 2 },        { "public", true },
                    { "sessionAffinity", true }, { "streamResume", true },
                    { "gapAimMs", 200 } };
  const Json engine{ { "capacity", 64 },
                     { "kvCapacityTokens", 654296 },
                     { "kvTokenBytes", 163840 },
                     { "bandwidthMbps", 1100000.0 },
                     { "models", { { { "name", "m" } } } } };
  const Json llm{ { "name", "llm" },         { "healthPath", "/healthz" },
                  { "maxConnections", 370 }, { "protocol", "h1" },
                  { "tls", false },          { "engine", engine } };
  return Json{
    { "version", 1 },
    { "routes", { route } },
    { "services", { llm } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } },
    { "tenants",
      { { { "name", "t-one" },
          { "apiKeys", { "9dnn2ctnfzs989anu6ws" } },
          { "priority", 1 } } } }
  }.dump();
}

/** \class Engine
 * \brief Streams events; goes on after Last-Event-Id; reports its runs.
 */
class Engine
{
public:
  Engine(const std::string& ip, std::string name, std::string version,
         std::string zone)
    : name_(std::move(name))
    , version_(std::move(version))
    , zone_(std::move(zone))
    , listener_(ip, [this](const auto& connection) { Serve(connection); })
  {
  }

  bool Beat(wgcase::Site& site)
  {
    const Json beat{
      { "service", "llm" },       { "address", listener_.Address() },
      { "zone", zone_ },          { "version", version_ },
      { "capacity", 64 },         { "state", "ready" },
      { "warmupLeftMs", 0 },      { "born", 1796000000000 },
      { "sequence", ++sequence_ }
    };
    for (const auto* machine : site.Core()) {
      const std::string at = site.ControlPlane(*machine);
      const auto answer = wgcase::Call(
        at,
        wgcase::PrintRequest("PUT", "/-/instances/" + name_,
                             { { "Host", at },
                               { "Content-Type", "application/json" },
                               { "Connection", "close" } },
                             beat.dump()),
        NowMs() + CallMs);
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    return false;
  }

private:
  void Serve(const std::shared_ptr<Connection>& connection)
  {
    for (;;) {
      const auto request = connection->ReadMessage(NowMs() + IdleMs);
      if (!request || !Answer(*connection, *request)) {
        connection->Shutdown();
        return;
      }
    }
  }

  bool Answer(Connection& connection, const Message& request)
  {
    const std::string id = request.Header("X-Weirgate-Attempt-Id");
    Headers headers;
    if (!id.empty()) {
      headers["X-Weirgate-Attempt-Id"] = id;
    }
    const std::string target = request.Header("X-Weirgate-Target-Instance");
    if (!target.empty() && target != name_) {
      return connection.Write(wgcase::PrintAnswer(421, headers, ""));
    }
    if (request.Path() == "/healthz") {
      headers["X-Weirgate-Instance-Id"] = name_;
      return connection.Write(wgcase::PrintAnswer(200, headers, ""));
    }
    if (request.Path() == "/-/report") {
      headers["Content-Type"] = "application/json";
      return connection.Write(wgcase::PrintAnswer(200, headers, Report()));
    }
    return Stream(connection, request, headers);
  }

  std::string Report()
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Json runs = Json::array();
    for (const auto& [id, events] : running_) {
      runs.push_back({ id, 1000, events, 5 });
    }
    return Json{
      { "phase", "combined" },   { "queued", 0 },
      { "active", runs.size() }, { "kvUsed", 0 },
      { "kvTotal", 654296 },     { "handles", 0 },
      { "runs", runs }
    }.dump();
  }

  bool Stream(Connection& connection, const Message& request, Headers headers)
  {
    const std::string id = request.Header("X-Weirgate-Attempt-Id");
    const std::string last = request.Header("Last-Event-Id");
    int next =
      last.empty()
        ? 0
        : static_cast<int>(std::strtol(last.c_str(), nullptr, 10)) + 1;
    headers["Content-Type"] = "text/event-stream";
    headers["X-Weirgate-Server-Seal"] = "3e1b.07.5a2.600.0.c9f2a4d1";
    headers["Transfer-Encoding"] = "chunked";
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : headers) {
      head.append(name).append(": ").append(value).append("\r\n");
    }
    SleepMs(FirstEventMs);
    bool isOpen = connection.Write(head + "\r\n");
    for (; next < Events && isOpen; ++next) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++running_[id];
      }
      const std::string event =
        "id: " + std::to_string(next) + "\ndata: " + version_ + "\n\n";
      std::array<char, 16> length{};
      std::snprintf(length.data(), length.size(), "%zx", event.size());
      isOpen =
        connection.Write(std::string(length.data()) + "\r\n" + event + "\r\n");
      SleepMs(EventMs);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    running_.erase(id);
    return isOpen && connection.Write("0\r\n\r\n");
  }

  std::string name_;
  std::string version_;
  std::string zone_;
  std::atomic<int> sequence_{ 0 };
  std::mutex mutex_;
  std::map<std::string, int> running_;
  Listener listener_; // last: its threads use the others
};

/** \brief What a caller has of a stream, over all of its tries. */
struct Received
{
  bool hasBegun = false;
  bool isWhole = false;
  bool triedInTouch = false;
  bool wentOn = false;
  int events = 0;
  std::string firstId;
  std::set<std::string> versions;
};

/** \brief One try: reads events until the answer ends. */
class Try
{
public:
  Try(wgcase::Record& record, Received& received)
    : record_(record)
    , received_(received)
  {
  }

  /** \return the status; 0: none */
  int Send(const std::string& frontend, const std::string& id, long untilMs)
  {
    Headers headers = {
      { "Host", "one.example" },
      { "X-Weirgate-Attempt-Id", id },
      { "X-Weirgate-Model", "m" },
      { "X-Weirgate-Token-Usage", "1460,300" },
      { "X-Weirgate-Prompt-Prefix", "5c1e07a2:800," + PartOf(id) + ":660" },
      { "X-Weirgate-Deadline-Ms", std::to_string(untilMs - NowMs()) },
      { "Connection", "close" }
    };
    if (received_.hasBegun) {
      headers["Last-Event-Id"] = std::to_string(received_.events - 1);
      headers["Resumes"] = received_.firstId;
    }
    const auto connection =
      wgcase::Connect(frontend, std::min(untilMs, NowMs() + CallMs));
    if (connection == nullptr || !connection->Write(wgcase::PrintRequest(
                                   "POST", "/chat/2f", headers, "body"))) {
      return 0;
    }
    const int status = connection->ReadStream(
      untilMs, [this, &id](const std::string& line) { Take(line, id); },
      received_.isWhole, retryAfter_);
    record_.Note("try " + id + ": " + std::to_string(status) + ", " +
                 std::to_string(received_.events) + " events" +
                 (received_.isWhole ? ", whole" : ""));
    return status;
  }

  double RetryAfter() const { return retryAfter_; }

private:
  static std::string PartOf(const std::string& id)
  {
    std::string part = "a";
    for (const char c : id) {
      part += std::isdigit(static_cast<unsigned char>(c)) != 0 ? c : 'b';
    }
    return part;
  }

  void Take(const std::string& line, const std::string& id)
  {
    if (line.compare(0, 3, "id:") == 0) {
      received_.wentOn |= received_.hasBegun && received_.firstId != id;
      if (!received_.hasBegun) {
        received_.hasBegun = true;
        received_.firstId = id;
      }
      ++received_.events;
    } else if (line.compare(0, 6, "data: ") == 0) {
      received_.versions.insert(line.substr(6));
    }
  }

  wgcase::Record& record_;
  Received& received_;
  double retryAfter_ = 0.0;
};

/** A caller: tries anew at other machines, and heeds Retry-After for a third
 * of the time it has left.
 */
Received Receive(wgcase::Site& site, int caller, const std::string& kind,
                 std::atomic<long>& inTouchFrom, wgcase::Record& record)
{
  Received received;
  const long until = NowMs() + DeadlineMs;
  const auto edge = site.Edge();
  for (int i = 0; i < Tries && !received.isWhole && NowMs() < until; ++i) {
    const auto at = static_cast<std::size_t>(caller + i) % edge.size();
    // A caller whose stream broke comes back once machines are in touch.
    while (i > 0 && NowMs() < inTouchFrom && NowMs() < until) {
      SleepMs(20);
    }
    received.triedInTouch |= i > 0 && received.hasBegun;
    Try next(record, received);
    next.Send(site.Frontend(*edge[at]),
              kind + std::to_string(caller) + "t" + std::to_string(i), until);
    const double wait =
      std::min(next.RetryAfter() * 1000.0,
               static_cast<double>(std::max(0L, until - NowMs())) / 3.0);
    SleepMs(std::max(100L, static_cast<long>(wait)));
  }
  return received;
}

int Run(const std::string& root, wgcase::Record& record)
{
  wgcase::Site site(root, record);
  for (std::size_t i = 0; i < Zones.size(); ++i) {
    site.Add("core-" + std::to_string(i), Zones[i], true);
  }
  for (std::size_t i = 0; i < Zones.size(); ++i) {
    site.Add("edge-" + std::to_string(i), Zones[i], false);
  }
  std::vector<wgcase::Machine*> all = site.Core();
  for (auto* machine : site.Edge()) {
    all.push_back(machine);
  }
  for (auto* machine : all) {
    site.Start(*machine, true);
  }
  bool isTaken = false;
  for (std::size_t i = 0; NowMs() < StartMs / 2 && !isTaken; ++i) {
    isTaken = wgcase::Publish(site.ControlPlane(*site.Core()[i % 3]),
                              Document(), NowMs() + CallMs) == 200;
    SleepMs(100);
  }
  if (!isTaken) {
    return CouldNotRun;
  }
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 2 * ServersOfVersion; ++i) {
    engines.push_back(std::make_unique<Engine>(
      site.FreeIp(), "i-llm-" + std::to_string(i), i % 2 == 0 ? "v1" : "v2",
      Zones[static_cast<std::size_t>(i) % Zones.size()]));
  }
  std::atomic<bool> over{ false };
  std::thread beats([&] {
    while (!over) {
      for (const auto& engine : engines) {
        engine->Beat(site);
      }
      SleepMs(BeatMs);
    }
  });
  SleepMs(StartMs - NowMs());
  std::atomic<long> inTouchFrom{ IsTroubled() ? LONG_MAX : 0 };
  std::vector<Received> taken(Streams);
  std::vector<Received> fresh(Streams);
  std::vector<std::thread> callers;
  const long began = NowMs();
  for (int i = 0; i < Streams; ++i) {
    callers.emplace_back([&, i] {
      SleepMs(SpreadMs * i / Streams);
      taken[static_cast<std::size_t>(i)] =
        Receive(site, i, "s", inTouchFrom, record);
    });
  }
  if (IsTroubled()) {
    SleepMs(began + KilledAfterMs - NowMs());
    for (auto* machine : all) {
      site.Signal(*machine, SIGKILL);
    }
    for (auto* machine : all) {
      site.Kill(*machine);
    }
    SleepMs(DownMs);
    for (auto* machine : all) {
      site.Start(*machine, false);
    }
    // Most of the core was taken: machines are in touch after twice the time.
    inTouchFrom = NowMs() + 2 * ContactMs;
  }
  SleepMs(DownMs + 2 * ContactMs + 500);
  for (int i = 0; i < Streams; ++i) {
    callers.emplace_back([&, i] {
      fresh[static_cast<std::size_t>(i)] =
        Receive(site, i, "n", inTouchFrom, record);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  over = true;
  beats.join();
  int takenUp = 0;
  int wentOn = 0;
  int joined = 0;
  int begun = 0;
  int whole = 0;
  for (const Received& stream : taken) {
    takenUp += stream.triedInTouch ? 1 : 0;
    wentOn += stream.triedInTouch && stream.wentOn ? 1 : 0;
    joined += stream.versions.size() > 1 ? 1 : 0;
    whole += stream.isWhole ? 1 : 0;
  }
  for (const Received& stream : fresh) {
    begun += stream.hasBegun ? 1 : 0;
  }
  record.Note("taken up at machines in touch " + std::to_string(takenUp) +
              ", went on " + std::to_string(wentOn) + ", joined " +
              std::to_string(joined) + ", whole " + std::to_string(whole) +
              "; new ones " + std::to_string(Streams) + ", began " +
              std::to_string(begun) + " (sent, served)");
  // Without the disruption no stream breaks: all have to come to their end.
  const bool isCounted =
    IsTroubled() ? takenUp >= LeastForRule : whole == Streams;
  if (begun * 2 < Streams || !isCounted) {
    return CouldNotRun;
  }
  const bool isBroken = takenUp > 0 && 2 * wentOn * Streams < begun * takenUp;
  return isBroken ? Broken : Held;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: wgEarlyStreamsCase ROOT RECORD\n";
    return CouldNotRun;
  }
  wgcase::Record record(argv[2]);
  NowMs();
  return Run(argv[1], record);
}
