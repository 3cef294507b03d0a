// SPDX-License-Identifier: Apache-2.0
#include "wgReviewStreams.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <random>

#include <nlohmann/json.hpp>

namespace wg::review {
namespace {

using Json = nlohmann::json;

constexpr int MostJoined = 2; // by the rule
constexpr int Events = 40;
constexpr int EventMs = 250;
constexpr long DeadlineMs = 15000;
constexpr int MostTries = 4;
constexpr long DownMs = 700;
constexpr long LongestPauseMs = 1500;
const char* const Key = "9dnn2ctnfzs989anu6ws";
const char* const Zones[] = { "hall-a", "hall-b", "hall-c" };

void Pause(long ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Streams events that name its version, after the last one that the caller
 * has.
 */
class VersionedEngine : public Server
{
public:
  using Server::Server;
  ~VersionedEngine() override { Stop(); }

private:
  bool Serve(const Message& request, ServedConnection& from) override
  {
    const std::string id = request.Field("X-Weirgate-Attempt-Id");
    if (request.Target().second == "/-/report") {
      return SendAll(from.socket, AnswerTo(request, 200, "", Report()));
    }
    const std::string last = request.Field("Last-Event-Id");
    const std::string resumes = request.Field("Resumes");
    record_.Write(
      "server " + Id() + " of " + Plan().version + " runs request " + id +
      (last.empty()
         ? ""
         : ", which goes on after event " + last + " of " + resumes));
    SetEvents(id, 0);
    const bool isSent = Stream(id, last, from);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.erase(id);
    }
    return isSent;
  }

  std::string Report()
  {
    constexpr int tokens = 400;
    constexpr int priority = 5;
    const std::lock_guard<std::mutex> lock(mutex_);
    Json runs = Json::array();
    for (const auto& [id, events] : runs_) {
      runs.push_back({ id, tokens, events, priority });
    }
    const auto used = static_cast<long>(runs_.size()) * tokens;
    record_.Write("server " + Id() + " is asked for its report");
    return Json{
      { "phase", "combined" },
      { "models",
        { { { "name", "m" },
            { "version", 1 },
            { "adapters", Json::array() } } } },
      { "utilization", false },
      { "sequence", 1 },
      { "queued", 0 },
      { "active", runs_.size() },
      { "kvUsed", used },
      { "kvTotal", 600000 },
      { "handles", 0 },
      { "runs", runs }
    }.dump();
  }

  void SetEvents(const std::string& id, int events)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[id] = events;
  }

  bool Stream(const std::string& id, const std::string& last,
              const ServedConnection& from)
  {
    if (!SendAll(from.socket, "HTTP/1.1 200 OK\r\nX-Weirgate-Attempt-Id: " +
                                id + "\r\nX-Weirgate-Server-Seal: seal." + id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    for (int event = first; event <= Events; ++event) {
      const std::string text =
        "id: " + std::to_string(event) + "\ndata: " + Plan().version + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!SendAll(from.socket, size + text + "\r\n")) {
        return false;
      }
      SetEvents(id, event);
      Pause(EventMs);
    }
    return SendAll(from.socket, "0\r\n\r\n");
  }

  std::mutex mutex_;
  std::map<std::string, int> runs_; // events made, by request
};

/** A caller's own, before it tries again. */
long OwnPause()
{
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  return std::uniform_int_distribution<long>(0, LongestPauseMs)(random);
}

/** Takes whole events only. */
void TakeEvents(const std::string& body, Stream& stream)
{
  std::size_t from = 0;
  for (std::size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", from)) {
    const std::string event = body.substr(from, end - from);
    const std::size_t data = event.find("data: ");
    stream.last = std::atoi(event.c_str() + std::string("id: ").size());
    stream.versions.insert(event.substr(data + std::string("data: ").size()));
    from = end + 2;
  }
}

std::string MakeRequest(const std::string& id, const std::string& origin,
                        int last, long leftMs)
{
  std::string more;
  if (last > 0) {
    more = "Last-Event-Id: " + std::to_string(last) +
           "\r\nResumes: " + origin + "\r\n";
  }
  return "POST /brief/x HTTP/1.1\r\nHost: brief.example\r\n"
         "X-Weirgate-Attempt-Id: " +
         id + "\r\nX-Weirgate-Deadline-Ms: " + std::to_string(leftMs) +
         "\r\nAuthorization: Token " + Key +
         "\r\nX-Weirgate-Model: m\r\nX-Weirgate-Token-Usage: 400,200\r\n"
         "X-Weirgate-Prompt-Prefix: " +
         id.substr(8) + ":200," + id.substr(0, 8) + ":200\r\n" + more +
         "Content-Length: 2\r\n\r\nab";
}

/** A caller of one stream, which takes it up where it was cut. */
void Call(Site& site, int number, Stream& stream, Record& record)
{
  const long until = NowMs() + DeadlineMs;
  std::string origin;
  int tries = 0;
  while (tries < MostTries && NowMs() < until && !stream.isWhole) {
    const auto& gateways = site.Gateways();
    const Machine& gateway =
      gateways[static_cast<std::size_t>(number + tries) % gateways.size()];
    constexpr int connectMs = 1000;
    const Socket socket = Connect(gateway.ip, site.FrontPort(), connectMs);
    if (!socket.IsOpen()) {
      Pause(connectMs / 10); // its process is down
      continue;
    }
    ++tries;
    const std::string id = MakeId();
    const int before = stream.last;
    const long left = until - NowMs();
    Message answer;
    MessageReader reader;
    stream.tries.push_back({ NowMs(), before > 0, false });
    SendAll(socket, MakeRequest(id, origin, before, left));
    const ReadEnd end = reader.Read(socket, answer, until);
    if (answer.Status() == 200) {
      TakeEvents(answer.body, stream);
      origin = origin.empty() && stream.last > 0 ? id : origin;
      stream.isWhole = end == ReadEnd::Whole;
      stream.tries.back().hasEvents = stream.last > before;
    }
    std::string line = "stream " + std::to_string(number) + ", try " +
                       std::to_string(tries) + " as " + id + " at " +
                       gateway.name + " after event " + std::to_string(before);
    line += ": status " + std::to_string(answer.Status());
    line += end == ReadEnd::Whole ? ", whole" : ", cut";
    line += ", has events to " + std::to_string(stream.last) + " of";
    for (const std::string& version : stream.versions) {
      line += " " + version;
    }
    record.Write(line + (stream.versions.size() > 1 ? " ORDER" : ""));
    constexpr double msInSecond = 1000.0;
    const double told = std::atof(answer.Field("Retry-After").c_str());
    const long most = (until - NowMs()) / 3;
    const long asked = std::min(most, static_cast<long>(told * msInSecond));
    Pause(asked > 0 ? asked : OwnPause());
  }
}

} // namespace

Engines MakeEngines(Site& site, const std::string& version, int count,
                    int place, Ledger& ledger, Record& record)
{
  Engines engines;
  for (int number = 0; number < count; ++number) {
    ServerPlan plan;
    plan.service = "llm";
    plan.zone = Zones[number % 3];
    plan.ip = site.AddressOf(place + number);
    plan.port = site.ServerPort();
    plan.slots = 64;
    plan.queue = 134;
    plan.number = number;
    plan.version = version;
    engines.push_back(
      std::make_unique<VersionedEngine>(site, plan, ledger, record));
  }
  return engines;
}

std::string StreamDocument()
{
  const Json route{ { "name", "brief" },         { "host", "brief.example" },
                    { "pathPrefix", "/brief/" }, { "type", "streaming" },
                    { "timeoutMs", 15000 },      { "latencyGoalMs", 1600 },
                    { "priority", 0 },           { "service", "llm" },
                    { "maxAttempts", 2 },        { "public", false },
                    { "sessionAffinity", true }, { "streamResume", true },
                    { "gapAimMs", 500 } };
  const Json engine{ { "capacity", 64 },
                     { "kvCapacityTokens", 600000 },
                     { "kvTokenBytes", 163840 },
                     { "stride", 5 },
                     { "most", 12 },
                     { "handleTtlS", 5.0 },
                     { "models", { { { "name", "m" } } } } };
  return Json{
    { "version", 7 },
    { "routes", { route } },
    { "services",
      { { { "name", "llm" },
          { "healthPath", "/healthz" },
          { "maxConnections", 370 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine", engine } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } },
    { "tenants",
      { { { "name", "bozi300" },
          { "apiKeys", { Key } },
          { "priority", 1 } } } }
  }.dump();
}

StreamCallers::StreamCallers(Site& site, std::size_t count, Record& record)
  : site_(site)
  , record_(record)
  , streams_(count)
{
}

StreamCallers::~StreamCallers()
{
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void StreamCallers::Begin()
{
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    threads_.emplace_back(
      [this, i] { Call(site_, static_cast<int>(i), streams_[i], record_); });
  }
}

void StreamCallers::Await()
{
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

int StreamCallers::End()
{
  Await();
  int joined = 0;
  int whole = 0;
  for (const Stream& stream : streams_) {
    joined += stream.versions.size() > 1 ? 1 : 0;
    whole += stream.isWhole ? 1 : 0;
  }
  const std::string summary =
    "streams " + std::to_string(streams_.size()) + ", whole " +
    std::to_string(whole) + "; ORDER: with events of two versions " +
    std::to_string(joined) + " (bound " + std::to_string(MostJoined) + ")";
  record_.Write(summary);
  std::cout << summary << "\n";
  return joined > MostJoined ? 1 : 0;
}

void KillGateways(Site& site, Record& record)
{
  record.Write("all gateways are killed");
  for (Machine& machine : site.Gateways()) {
    site.Kill(machine);
  }
  Pause(DownMs);
  for (Machine& machine : site.Gateways()) {
    site.Start(machine, false);
  }
}

void KillAll(Site& site, Record& record)
{
  record.Write("all processes are killed");
  for (auto* machines : { &site.Gateways(), &site.Controls() }) {
    for (Machine& machine : *machines) {
      site.Kill(machine);
    }
  }
  Pause(DownMs);
  for (auto* machines : { &site.Controls(), &site.Gateways() }) {
    for (Machine& machine : *machines) {
      site.Start(machine, false);
    }
  }
}

} // namespace wg::review
