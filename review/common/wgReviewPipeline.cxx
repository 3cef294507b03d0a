// SPDX-License-Identifier: Apache-2.0
#include "wgReviewPipeline.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <sstream>

namespace wg::review {
namespace {

using Json = nlohmann::json;

constexpr long HeartbeatMs = 1200;
constexpr long DeadlineMs = 8000;
constexpr int Pieces = 2; // of each stage of most requests
constexpr int FirstStage = 0;
constexpr int LastStage = 1;
constexpr int Events = 6;
constexpr int EventMs = 20;
constexpr int CapacityOfModel = 64;
constexpr std::size_t LongBytes = 70000;
const char* const Key = "9dnn2ctnfzs989anu6ws";
const char* const Zones[] = { "hall-a", "hall-b", "hall-c" };

void Pause(long ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Half of it to one and a half times as much. */
long Spread(long ms)
{
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  return std::uniform_int_distribution<long>(ms / 2, ms + ms / 2)(random);
}

std::vector<std::string> Split(const std::string& text, char at)
{
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, at);) {
    parts.push_back(part);
  }
  return parts;
}

long UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

std::string MakeId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

void Ledger::NoteKey(const std::string& request, const std::string& key)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  keys_[request] = key;
}

bool Ledger::IsKeyOf(const std::string& request, const std::string& key)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  auto found = keys_.find(request);
  return found != keys_.end() && found->second == key;
}

void Ledger::NoteResult(const std::string& handle, const Result& result)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  results_[handle] = result;
}

void Ledger::Free(const std::string& handle)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  freed_.insert(handle);
}

std::string Ledger::Judge(const std::string& request, int stage, int count,
                          const std::vector<std::string>& handles)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<int> segments;
  for (const std::string& handle : handles) {
    auto found = results_.find(handle);
    if (found == results_.end()) {
      return "unknown handle " + handle;
    }
    const Result& result = found->second;
    if (result.request != request) {
      return handle + " was made for request " + result.request;
    }
    if (result.stage != stage || !segments.insert(result.segment).second) {
      return handle + " is of another stage, or comes twice";
    }
  }
  if (static_cast<int>(handles.size()) != count) {
    return "only some inputs";
  }
  const bool isGone = std::any_of(
    handles.begin(), handles.end(),
    [this](const std::string& handle) { return freed_.count(handle) > 0; });
  return isGone ? "gone" : "";
}

void Ledger::NoteForeign(const std::string& what)
{
  ++foreign_;
  record_.Write("MIXED " + what);
}

void Ledger::NoteArrival(const std::string& request)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  arrived_.insert(request);
}

bool Ledger::HasArrived(const std::string& request)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return arrived_.count(request) > 0;
}

Server::Server(Site& site, ServerPlan plan, Ledger& ledger, Record& record)
  : ledger_(ledger)
  , record_(record)
  , site_(site)
  , plan_(std::move(plan))
  , id_("i-" + MakeId().substr(0, 10))
  , bornMs_(UnixMs())
{
}

Server::~Server() = default;

void Server::Begin()
{
  listener_ = Listen(plan_.ip, plan_.port);
  if (!listener_.IsOpen()) {
    CannotRun("no address for a server");
  }
  acceptor_ = std::thread([this] { Accept(); });
  beats_ = std::thread([this] { Beat(); });
}

void Server::Stop()
{
  if (ending_.exchange(true)) {
    return;
  }
  listener_.Shutdown();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    changed_.notify_all();
    for (const ServedConnection& connection : connections_) {
      connection.socket.Shutdown();
    }
  }
  if (acceptor_.joinable()) {
    acceptor_.join();
    beats_.join();
  }
  for (ServedConnection& connection : connections_) {
    connection.thread.join();
  }
}

std::string Server::Address() const
{
  return plan_.ip + ":" + std::to_string(plan_.port);
}

void Server::Accept()
{
  while (!ending_) {
    Socket socket(AcceptFrom(listener_));
    if (!socket.IsOpen()) {
      continue;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ServedConnection& connection = connections_.emplace_back();
    connection.socket = std::move(socket);
    connection.thread =
      std::thread([this, &connection] { ServeAll(connection); });
  }
}

void Server::ServeAll(ServedConnection& connection)
{
  constexpr long idleMs = 60000;
  MessageReader reader;
  Message request;
  while (!ending_ && reader.Read(connection.socket, request,
                                 NowMs() + idleMs) == ReadEnd::Whole) {
    const std::string target = request.Field("X-Weirgate-Target-Instance");
    if (!target.empty() && target != id_) {
      const std::string notRun = "X-Weirgate-Not-Executed: 1\r\n";
      if (!SendAll(connection.socket, AnswerTo(request, 421, notRun, ""))) {
        break;
      }
      continue;
    }
    if (!Serve(request, connection)) {
      break;
    }
  }
  connection.socket.Shutdown();
}

void Server::Beat()
{
  int sequence = 0;
  long next = 0;
  while (!ending_ && !hasLeft_) {
    if (NowMs() < next) {
      Pause(20);
      continue;
    }
    next = NowMs() + HeartbeatMs;
    const std::lock_guard<std::mutex> lock(beatMutex_);
    if (hasLeft_) {
      return;
    }
    Json beat{ { "service", plan_.service }, { "address", Address() },
               { "zone", plan_.zone },       { "version", plan_.version },
               { "capacity", plan_.slots },  { "state", "ready" },
               { "warmupLeftMs", 0 },        { "born", bornMs_ },
               { "sequence", ++sequence } };
    if (plan_.service == "llm") {
      beat["phase"] = "combined";
      beat["models"] = {
        { { "name", "m" }, { "version", 1 }, { "adapters", Json::array() } }
      };
    }
    const std::string body = beat.dump();
    for (const Machine& control : site_.Controls()) {
      const std::string call =
        "PUT /-/instances/" + id_ + " HTTP/1.1\r\nHost: " + control.ip +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
      constexpr int limitMs = 1000;
      const int status =
        CallOnce(control.ip, site_.ControlPort(), call, limitMs).Status();
      if (ending_ || status == 200) {
        break;
      }
    }
  }
}

bool Server::Leave()
{
  hasLeft_ = true;
  const std::lock_guard<std::mutex> lock(beatMutex_);
  const std::string body = Json{ { "born", bornMs_ } }.dump();
  for (const Machine& control : site_.Controls()) {
    const std::string call =
      "DELETE /-/instances/" + id_ + " HTTP/1.1\r\nHost: " + control.ip +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
    constexpr int limitMs = 1000;
    if (CallOnce(control.ip, site_.ControlPort(), call, limitMs).Status() ==
        200) {
      return true;
    }
  }
  return false;
}

std::string Server::AnswerTo(const Message& request, int status,
                             const std::string& fields,
                             const std::string& body) const
{
  const std::string id = request.Field("X-Weirgate-Attempt-Id");
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" +
         (id.empty() ? "" : "X-Weirgate-Attempt-Id: " + id + "\r\n") + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Server::TakeSlot()
{
  std::unique_lock<std::mutex> lock(mutex_);
  if (running_ >= plan_.slots && waiting_ >= plan_.queue) {
    return false;
  }
  ++waiting_;
  changed_.wait(lock, [this] { return running_ < plan_.slots || ending_; });
  --waiting_;
  ++running_;
  return true;
}

void Server::GiveSlot()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  changed_.notify_one();
}

std::string Server::Load()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return "X-Weirgate-Server-Load: " + std::to_string(running_) + "," +
         std::to_string(waiting_) + "," + std::to_string(plan_.slots) + "\r\n";
}

bool StageServer::Serve(const Message& request, ServedConnection& from)
{
  const auto [method, target] = request.Target();
  if (target == "/-/stage-run") {
    return Run(request, from);
  }
  if (target == "/-/stage-free") {
    const Json call = Json::parse(request.body, nullptr, false);
    for (const Json& handle : call["handles"]) {
      ledger_.Free(handle.get<std::string>());
    }
  }
  return SendAll(from.socket, AnswerTo(request, 200, Load(), ""));
}

Json StageServer::MakeItem(const Json& item)
{
  const auto id = item.at("id").get<std::string>();
  const int stage = item.at("phase").get<int>();
  const int segment = item.at("segment").get<int>();
  const std::string piece = "piece " + std::to_string(segment) + " of stage " +
                            std::to_string(stage) + " of request " + id;
  if (stage == FirstStage) {
    const std::string key = item.value("keyFile", std::string());
    if (!ledger_.IsKeyOf(id, key)) {
      ledger_.NoteForeign(piece + " has the key " + key);
    }
  } else {
    const auto inputs = item.value("inputs", std::vector<std::string>());
    const std::string why = ledger_.Judge(id, stage - 1, Pieces, inputs);
    if (why == "gone") {
      return Json{ { "reason", "gone" } };
    }
    if (!why.empty()) {
      ledger_.NoteForeign(piece + " at " + Id() + ": " + why);
    }
  }
  const std::string handle =
    Address() + "/" + MakeId().substr(0, 8) + std::to_string(++made_);
  ledger_.NoteResult(handle, { id, stage, segment });
  return Json{ { "handle", handle } };
}

bool StageServer::Run(const Message& request, ServedConnection& from)
{
  const Json call = Json::parse(request.body, nullptr, false);
  // It comes at the place where the next answer should come.
  if (!from.extra.empty()) {
    record_.Write("server " + Id() + " sends its last answer once more");
    if (!SendAll(from.socket, std::exchange(from.extra, {}))) {
      return false;
    }
  }
  if (!TakeSlot()) {
    return SendAll(
      from.socket,
      AnswerTo(request, 503, "X-Weirgate-Not-Executed: 1\r\n" + Load(), ""));
  }
  Json items = Json::array();
  std::string first;
  for (const Json& item : call.at("items")) {
    items.push_back(MakeItem(item));
    first += (first.empty() ? "" : " ") + item.at("id").get<std::string>();
  }
  Pause(std::lround(callMs + itemMs * static_cast<double>(items.size())));
  GiveSlot();
  const Fault fault = choose_(*this);
  std::string body = Json{ { "items", items } }.dump();
  if (fault == Fault::Spoiled) {
    for (Json& item : items) {
      item = Json{ { "reason", nullptr } };
    }
    body = Json{ { "items", items } }.dump();
  }
  if (fault == Fault::Long) {
    for (Json& item : items) {
      item =
        Json{ { "handle", Address() + "/" + std::string(LongBytes, 'a') } };
    }
    body = Json{ { "items", items } }.dump();
  }
  const std::string answer = AnswerTo(
    request, 200, "Content-Type: application/json\r\n" + Load(), body);
  if (fault == Fault::Twice) {
    from.extra = answer;
  }
  record_.Write("stage call at " + Id() + " (" + Plan().service +
                ") for requests " + first +
                (fault == Fault::Long ? ", answer with handles of " +
                                          std::to_string(LongBytes) + " bytes"
                 : fault == Fault::Spoiled ? ", answer spoiled: " + body
                 : fault == Fault::Twice   ? ", answer will come twice"
                                           : ""));
  return SendAll(from.socket, answer);
}

bool ModelServer::Serve(const Message& request, ServedConnection& from)
{
  const auto [method, target] = request.Target();
  if (target == "/-/report") {
    const Json report{ { "phase", "combined" },
                       { "models",
                         { { { "name", "m" },
                             { "version", 1 },
                             { "adapters", Json::array() } } } },
                       { "utilization", false },
                       { "sequence", 1 },
                       { "queued", 0 },
                       { "active", 0 },
                       { "kvUsed", 0 },
                       { "kvTotal", 600000 },
                       { "handles", 0 },
                       { "runs", Json::array() } };
    return SendAll(from.socket, AnswerTo(request, 200, "", report.dump()));
  }
  const std::string id = request.Field("X-Weirgate-Attempt-Id");
  const std::string notRun = "X-Weirgate-Not-Executed: 1\r\n";
  const auto handles = Split(request.Field("X-Weirgate-Batch-Inputs"), ',');
  if (handles.empty()) {
    return SendAll(from.socket, AnswerTo(request, 400, notRun, ""));
  }
  const std::string why = ledger_.Judge(id, LastStage, Pieces, handles);
  if (why == "gone") {
    return SendAll(from.socket, AnswerTo(request, 409, notRun, ""));
  }
  if (!why.empty()) {
    ledger_.NoteForeign("model server " + Id() + " runs request " + id + ": " +
                        why);
  }
  ledger_.NoteArrival(id);
  if (!SendAll(from.socket, "HTTP/1.1 200 OK\r\nX-Weirgate-Attempt-Id: " + id +
                              "\r\nX-Weirgate-Server-Seal: seal." + id +
                              "\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int event = 1; event <= Events; ++event) {
    Pause(EventMs);
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + id +
                             "." + std::to_string(event) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    if (!SendAll(from.socket, size + text + "\r\n")) {
      return false;
    }
  }
  return SendAll(from.socket, "0\r\n\r\n");
}

bool PlainServer::Serve(const Message& request, ServedConnection& from)
{
  const std::string id = request.Field("X-Weirgate-Attempt-Id");
  if (id.empty()) {
    return SendAll(from.socket, AnswerTo(request, 200, "", ""));
  }
  ledger_.NoteArrival(id);
  if (!TakeSlot()) {
    return SendAll(
      from.socket,
      AnswerTo(request, 503, "X-Weirgate-Not-Executed: 1\r\n", ""));
  }
  Pause(Spread(workMs));
  GiveSlot();
  return SendAll(from.socket,
                 AnswerTo(request, 200,
                          "X-Weirgate-Server-Seal: seal." + id + "\r\n",
                          "done " + id));
}

Caller::Caller(Site& site, std::size_t gateway, std::string kind, int pauseMs,
               Ledger& ledger, Outcomes& outcomes, Record& record)
  : site_(site)
  , ip_(site.Gateways()[gateway].ip)
  , name_(site.Gateways()[gateway].name)
  , kind_(std::move(kind))
  , pauseMs_(pauseMs)
  , ledger_(ledger)
  , outcomes_(outcomes)
  , record_(record)
{
}

Caller::~Caller()
{
  ending_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void Caller::Begin()
{
  inTouchFrom_ = NowMs() + ContactMs;
  thread_ = std::thread([this] { Run(); });
}

void Caller::Run()
{
  while (!ending_) {
    Ask();
    Pause(Spread(pauseMs_));
  }
}

std::string Caller::MakeRequest(const std::string& id,
                                const std::string& key) const
{
  const std::string body = "body of " + id;
  std::string more;
  if (kind_ == "sum") {
    more = "X-Weirgate-Model: m\r\nX-Weirgate-Token-Usage: 400,30\r\n"
           "X-Weirgate-Prompt-Prefix: aa01:200," +
           id.substr(0, 8) +
           ":200\r\nX-Weirgate-Chunk-Count: " + std::to_string(Pieces) + "," +
           std::to_string(Pieces) + "\r\nX-Weirgate-Chunk-Key: " + key +
           "\r\n";
  }
  return "POST /" + kind_ + "/x HTTP/1.1\r\nHost: " + kind_ +
         ".example\r\nX-Weirgate-Attempt-Id: " + id +
         "\r\nX-Weirgate-Deadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nAuthorization: Token " + Key + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Caller::Ask()
{
  constexpr int connectMs = 1000;
  if (!socket_.IsOpen()) {
    socket_ = Connect(ip_, site_.FrontPort(), connectMs);
    reader_ = {};
    answered_ = 0;
  }
  if (!socket_.IsOpen()) {
    return;
  }
  const std::string id = MakeId();
  const std::string key = MakeId().substr(0, 12);
  ledger_.NoteKey(id, key);
  const long sent = NowMs();
  if (!SendAll(socket_, MakeRequest(id, key))) {
    socket_.Close();
    return;
  }
  ++outcomes_.sent;
  Message answer;
  const ReadEnd end = reader_.Read(socket_, answer, sent + DeadlineMs);
  const std::string what = kind_ + " request " + id + " at " + name_;
  if (end == ReadEnd::Whole) {
    ++answered_;
    const int status = answer.Status();
    const bool isServed = status == 200;
    ++(isServed        ? outcomes_.served
       : status == 503 ? outcomes_.refused
                       : outcomes_.failed);
    record_.Write(what + ": answer " + std::to_string(status) + " after " +
                  std::to_string(NowMs() - sent) + " ms");
    const bool isForeign =
      isServed && answer.body.find(id) == std::string::npos;
    if (isForeign) {
      ledger_.NoteForeign(what + " got the answer of another request");
    }
    if (answer.Field("Connection") == "close") {
      socket_.Close();
    }
    return;
  }
  const bool isLost = end == ReadEnd::Closed && answered_ > 0 &&
                      ledger_.HasArrived(id) && sent > inTouchFrom_;
  ++outcomes_.failed;
  outcomes_.lost += isLost ? 1 : 0;
  record_.Write((isLost ? "LOST " : "") + what + ": " +
                (end == ReadEnd::Closed ? "closed with no answer"
                 : end == ReadEnd::Cut  ? "cut within the answer"
                                        : "no answer in time") +
                (ledger_.HasArrived(id) ? ", a server had it" : ""));
  socket_.Close();
}

Pipeline::Pipeline(Site& site, Record& record,
                   const StageServer::ChooseFault& choose)
  : site_(site)
  , record_(record)
  , ledger_(record)
{
  int place = 101;
  const auto plan = [&](const std::string& service, int number, int slots,
                        int queue) {
    return ServerPlan{ service,
                       Zones[number % 3],
                       site.AddressOf(place++),
                       site.ServerPort(),
                       slots,
                       queue,
                       number,
                       "v1" };
  };
  constexpr int stageServers = 5;
  constexpr int models = 6;
  constexpr int plains = 3;
  for (const char* service : { "enc", "emb" }) {
    for (int i = 0; i < stageServers; ++i) {
      auto server = std::make_unique<StageServer>(site, plan(service, i, 1, 2),
                                                  ledger_, record, choose);
      server->itemMs = std::string(service) == "enc" ? 16.0 : 1.7;
      servers_.push_back(std::move(server));
    }
  }
  for (int i = 0; i < models; ++i) {
    servers_.push_back(std::make_unique<ModelServer>(
      site, plan("llm", i, CapacityOfModel, 134), ledger_, record));
  }
  for (int i = 0; i < plains; ++i) {
    servers_.push_back(std::make_unique<PlainServer>(
      site, plan("plain", i, 6, 24), ledger_, record));
  }
}

std::string Pipeline::Document()
{
  const auto stage = [](double itemMs, int batch) {
    return Json{ { "capacity", 1 },     { "queue", 2 },
                 { "batch", batch },    { "callMs", 150.0 },
                 { "itemMs", itemMs },  { "headroomMb", 56.0 },
                 { "handleTtlS", 4.0 }, { "bandwidthMbps", 10000 } };
  };
  const auto service = [](const char* name, const char* kind, Json about) {
    Json json{ { "name", name },
               { "healthPath", "/healthz" },
               { "maxConnections", 370 },
               { "protocol", "h1" },
               { "tls", false } };
    if (kind != nullptr) {
      json[kind] = std::move(about);
    }
    return json;
  };
  const Json engine{ { "capacity", CapacityOfModel },
                     { "kvCapacityTokens", 600000 },
                     { "kvTokenBytes", 163840 },
                     { "bandwidthMbps", 1100000.0 },
                     { "moves", true },
                     { "backups", true },
                     { "stride", 5 },
                     { "most", 12 },
                     { "pinMs", 4000.0 },
                     { "holdMs", 2000.0 },
                     { "handleTtlS", 5.0 },
                     { "models", { { { "name", "m" } } } } };
  const auto route = [](const char* name, const char* type,
                        const char* target) {
    return Json{ { "name", name },
                 { "host", std::string(name) + ".example" },
                 { "pathPrefix", "/" + std::string(name) + "/" },
                 { "type", type },
                 { "timeoutMs", 8000 },
                 { "latencyGoalMs", 1700 },
                 { "priority", 1 },
                 { "service", target },
                 { "maxAttempts", 1 },
                 { "public", false } };
  };
  Json sum = route("sum", "streaming", "llm");
  sum["sessionAffinity"] = true;
  sum["streamResume"] = false;
  sum["gapAimMs"] = 200;
  sum["phases"] = {
    { { "service", "enc" },
      { "afterRevision", Json::array() },
      { "sizeBytes", 8000 } },
    { { "service", "emb" }, { "afterRevision", { 0 } }, { "sizeBytes", 500 } }
  };
  const Json document{ { "version", 7 },
                       { "routes",
                         { sum, route("order", "non_idempotent", "plain") } },
                       { "services",
                         { service("llm", "engine", engine),
                           service("enc", "segments", stage(16.0, 8)),
                           service("emb", "segments", stage(1.7, 74)),
                           service("plain", nullptr, nullptr) } },
                       { "limits",
                         { { "maxHeaderBytes", 16384 },
                           { "maxBodyBytes", 4194304 },
                           { "headerTimeoutMs", 3000 },
                           { "idleTimeoutMs", 15000 } } },
                       { "tenants",
                         { { { "name", "bozi300" },
                             { "apiKeys", { Key } },
                             { "priority", 1 } } } } };
  return document.dump();
}

void Pipeline::Begin()
{
  constexpr int limitMs = 20000;
  site_.StartAll();
  for (const auto& server : servers_) {
    server->Begin();
  }
  if (!site_.Publish(Document(), limitMs) || !site_.AwaitReady(limitMs)) {
    CannotRun("the site does not come up");
  }
  Pause(ContactMs);
}

void Pipeline::AddCallers(const std::string& kind, int perGateway, int pauseMs)
{
  for (std::size_t gateway = 0; gateway < site_.Gateways().size(); ++gateway) {
    for (int i = 0; i < perGateway; ++i) {
      callers_.push_back(std::make_unique<Caller>(
        site_, gateway, kind, pauseMs, ledger_, outcomes_, record_));
      callers_.back()->Begin();
    }
  }
}

void Pipeline::End()
{
  callers_.clear();
  for (const auto& server : servers_) {
    server->Stop();
  }
}

} // namespace wg::review
