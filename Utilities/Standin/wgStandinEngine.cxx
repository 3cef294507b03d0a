// SPDX-License-Identifier: Apache-2.0
#include "wgStandinEngine.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgHttpListen.h"
#include "wgRequestThreads.h"

namespace wg {
namespace {

using Json = nlohmann::json;

constexpr std::size_t PieceCharacters = 4;
constexpr std::size_t BrokenStreamTokens = 3;
constexpr double PrefillTokens = 4.0; // prefill costs as much as so many
constexpr double CachedPrefillShare = 0.3;
constexpr std::size_t MostThreads = 600;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusBadRequest = 400;
constexpr int StatusFailed = 500;
constexpr int StatusUnavailable = 503;

/** Cuts UTF-8 text into pieces of a few characters each. */
std::vector<std::string> CutInPieces(const std::string& text)
{
  std::vector<std::string> pieces;
  std::string piece;
  std::size_t characters = 0;
  for (const char c : text) {
    const bool startsCharacter =
      (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
    if (startsCharacter && characters++ == PieceCharacters) {
      pieces.push_back(std::move(piece));
      piece.clear();
      characters = 1;
    }
    piece.push_back(c);
  }
  if (!piece.empty()) {
    pieces.push_back(std::move(piece));
  }
  return pieces;
}

std::string EventText(const Json& data)
{
  return absl::StrCat("data: ", data.dump(), "\n\n");
}

void Pause(double ms)
{
  if (ms > 0) {
    absl::SleepFor(absl::Microseconds(ms * 1000.0));
  }
}

int ReadPriority(const httplib::Request& request)
{
  int priority = 0;
  return absl::SimpleAtoi(request.get_header_value("Weirgate-Priority"),
                          &priority)
           ? priority
           : 0;
}

} // namespace

class StandinEngine::Place
{
public:
  Place(StandinEngine& engine, int priority)
    : engine_(engine)
  {
    absl::MutexLock lock(&engine_.mutex_);
    auto self = engine_.waiting_.insert(priority);
    const auto mayRun =
      [this, priority]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(engine_.mutex_) {
        return engine_.running_ < engine_.settings_.slots &&
               *engine_.waiting_.rbegin() <= priority;
      };
    engine_.mutex_.Await(absl::Condition(&mayRun));
    engine_.waiting_.erase(self);
    ++engine_.running_;
  }
  ~Place()
  {
    absl::MutexLock lock(&engine_.mutex_);
    --engine_.running_;
  }
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;

private:
  StandinEngine& engine_;
};

StandinEngine::StandinEngine(StandinSettings settings)
  : settings_(std::move(settings))
{
}

StandinEngine::~StandinEngine()
{
  Stop();
}

bool StandinEngine::Start()
{
  server_.new_task_queue = [] { return new RequestThreads(MostThreads); };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(1000000);
  AddRoutes();
  AddCacheRoutes();
  AddAdminRoutes();
  // In answers of every status, as the platform's endpoints send it.
  server_.set_post_routing_handler([this](const Request&, Response& response) {
    response.set_header("Weirgate-Load", LoadField());
  });
  if (!BindForBursts(server_, "127.0.0.1", settings_.port)) {
    return false;
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return true;
}

void StandinEngine::Stop()
{
  stopping_ = true;
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void StandinEngine::AddRoutes()
{
  const auto stage = [this](const Request& request, Response& response) {
    OnStage(request, response);
  };
  server_.Post("/v1/embeddings", stage);
  server_.Post("/v1/retrieve", stage);
  server_.Post("/v1/rerank", stage);
  server_.Post("/v1/call", stage);
  server_.Post("/v1/completions",
               [this](const Request& request, Response& response) {
                 OnGenerate(request, response);
               });
  server_.Post("/v1/orders",
               [this](const Request& request, Response& response) {
                 OnOrder(request, response);
               });
  server_.Get("/v1/load", [this](const Request&, Response& response) {
    response.set_content(Load().dump(), "application/json");
  });
}

void StandinEngine::AddCacheRoutes()
{
  server_.Post("/v1/kv/export",
               [this](const Request& request, Response& response) {
                 OnExport(request, response);
               });
  server_.Post("/v1/kv/import",
               [this](const Request& request, Response& response) {
                 OnImport(request, response);
               });
  server_.Get(R"(/v1/kv/([0-9a-f]+))",
              [this](const Request& request, Response& response) {
                absl::MutexLock lock(&mutex_);
                const bool held = cache_.Holds(request.matches[1]);
                response.status = held ? StatusOk : StatusNotFound;
              });
  server_.Get("/v1/cache-events", [this](const Request& request,
                                         Response& response) {
    std::uint64_t after = 0;
    const bool given = request.has_param("after");
    if (given && !absl::SimpleAtoi(request.get_param_value("after"), &after)) {
      response.status = StatusBadRequest;
      return;
    }
    absl::MutexLock lock(&mutex_);
    response.set_content(cache_.EventsAfter(after, absl::Now()).dump(),
                         "application/json");
  });
}

void StandinEngine::AddAdminRoutes()
{
  server_.Post("/v1/fault",
               [this](const Request& request, Response& response) {
                 OnFault(request, response);
               });
  server_.Get("/v1/runs", [this](const Request&, Response& response) {
    absl::MutexLock lock(&mutex_);
    const Json answer{ { "runs", runs_ },
                       { "cancelled", cancelled_ },
                       { "while_loading", whileLoading_ },
                       { "while_busy", whileBusy_ } };
    response.set_content(answer.dump(), "application/json");
  });
  server_.Post("/v1/leave",
               [this](const Request& request, Response& response) {
                 absl::MutexLock lock(&mutex_);
                 leaving_ = request.body != "false";
                 response.set_content("{}", "application/json");
               });
}

std::string StandinEngine::LoadField()
{
  constexpr double percent = 100.0;
  absl::MutexLock lock(&mutex_);
  return absl::StrCat(running_, ",", waiting_.size(), ",", settings_.slots,
                      ",", std::llround(faults_.slowness * percent));
}

Json StandinEngine::Load()
{
  absl::MutexLock lock(&mutex_);
  const bool ready = IsReady();
  const absl::Time now = absl::Now();
  if (now - toldAt_ >= absl::Microseconds(settings_.loadLagMs * 1000.0)) {
    toldRunning_ = running_;
    toldWaiting_ = waiting_.size();
    toldAt_ = now;
  }
  Json load{ { "running", toldRunning_ },  { "waiting", toldWaiting_ },
             { "slots", settings_.slots }, { "leaving", leaving_ },
             { "fence", fence_ },          { "ready", ready } };
  for (const auto& [what, name] : loaded_) {
    load[what] = name;
  }
  return load;
}

bool StandinEngine::IsReady()
{
  const auto version = ordered_.find("version");
  const bool hangs =
    version != ordered_.end() && version->second == faults_.badVersion;
  if (!hangs && absl::Now() >= loadedAt_) {
    for (const auto& [what, name] : ordered_) {
      loaded_[what] = name;
    }
    ordered_.clear();
  }
  return ordered_.empty();
}

bool StandinEngine::RefuseWhileLoading(Response& response)
{
  absl::MutexLock lock(&mutex_);
  if (IsReady()) {
    return false;
  }
  ++whileLoading_;
  response.status = StatusUnavailable;
  return true;
}

std::string StandinEngine::TellVersion(std::vector<std::string>& pieces)
{
  absl::MutexLock lock(&mutex_);
  std::string version = loaded_["version"];
  if (faults_.tellsVersion) {
    for (std::string& piece : pieces) {
      absl::StrAppend(&piece, "@", version, ";");
    }
  }
  return version;
}

bool StandinEngine::TakeFault(int StandinFaults::*fault)
{
  absl::MutexLock lock(&mutex_);
  if (faults_.*fault <= 0) {
    return false;
  }
  --(faults_.*fault);
  return true;
}

/** A step takes longer the fuller the batch is. */
double StandinEngine::StepMs()
{
  absl::MutexLock lock(&mutex_);
  const double fill = static_cast<double>(running_) / settings_.slots;
  return settings_.stageMs * faults_.slowness * (0.5 + 0.5 * fill);
}

bool StandinEngine::IsCached(const std::string& prompt)
{
  absl::MutexLock lock(&mutex_);
  return cache_.Use(prompt, absl::Now());
}

/** The handle of a prompt's prefix, if it is held. */
void StandinEngine::OnExport(const Request& request, Response& response)
{
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string handle =
    StandinCache::HandleOf(body.is_object() ? body.value("prompt", "") : "");
  absl::MutexLock lock(&mutex_);
  if (!cache_.Holds(handle)) {
    response.status = StatusNotFound;
    return;
  }
  response.set_content(Json{ { "handle", handle } }.dump(),
                       "application/json");
}

/** Takes a prefix from another engine, which must still hold it. */
void StandinEngine::OnImport(const Request& request, Response& response)
{
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = StatusBadRequest;
    return;
  }
  const std::string handle = body.value("handle", "");
  httplib::Client other("127.0.0.1", body.value("from_port", 0));
  const httplib::Result found = other.Get("/v1/kv/" + handle);
  if (!found || found->status != StatusOk) {
    response.status = StatusConflict;
    return;
  }
  absl::MutexLock lock(&mutex_);
  cache_.Insert(handle, absl::Now());
  response.set_content("{}", "application/json");
}

void StandinEngine::CountRun(const Request& request)
{
  absl::MutexLock lock(&mutex_);
  ++runs_[request.get_header_value("Weirgate-Request")];
}

bool StandinEngine::Echo(const Request& request, Response& response)
{
  const bool wrong = TakeFault(&StandinFaults::wrongEchoNext);
  response.set_header("Weirgate-Request",
                      wrong ? "another-request"
                            : request.get_header_value("Weirgate-Request"));
  response.set_header("Weirgate-Stage",
                      request.get_header_value("Weirgate-Stage"));
  response.set_header("Weirgate-Attempt",
                      request.get_header_value("Weirgate-Attempt"));
  absl::MutexLock lock(&mutex_);
  response.set_header("Weirgate-Load",
                      absl::StrCat(running_, ",", waiting_.size()));
  return wrong;
}

Json StandinEngine::MakeAnswer(const Json& body)
{
  if (settings_.kind == "encode") {
    const std::size_t hash = std::hash<std::string>()(body.value("input", ""));
    const double value = static_cast<double>(hash % 1000) / 1000.0;
    return { { "data", { { { "embedding", { value, 1.0 - value } } } } } };
  }
  if (settings_.kind == "retrieve") {
    const std::string query = body.value("query", "");
    return { { "documents",
               { absl::StrCat("First note on: ", query),
                 absl::StrCat("Second note on: ", query),
                 absl::StrCat("Third note on: ", query) } } };
  }
  if (settings_.kind == "rerank") {
    Json results = Json::array();
    const std::size_t count = body.value("documents", Json::array()).size();
    for (std::size_t i = count; i > 0; --i) {
      results.push_back(
        { { "index", i - 1 }, { "relevance_score", 1.0 / (1.0 + i) } });
    }
    return { { "results", results } };
  }
  return { { "done", true }, { "for", body.value("input", "") } };
}

void StandinEngine::OnStage(const Request& request, Response& response)
{
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = StatusBadRequest;
    return;
  }
  if (RefuseWhileLoading(response)) {
    return;
  }
  Place place(*this, ReadPriority(request));
  CountRun(request);
  Pause(StepMs());
  if (TakeFault(&StandinFaults::hangNext)) {
    while (!stopping_) {
      Pause(20);
    }
  }
  if (TakeFault(&StandinFaults::failNext)) {
    response.status = StatusFailed;
    return;
  }
  Echo(request, response);
  std::string answer = MakeAnswer(body).dump();
  if (TakeFault(&StandinFaults::cutAnswerNext)) {
    answer.resize(answer.size() / 2);
  }
  response.set_content(answer, "application/json");
}

void StandinEngine::OnGenerate(const Request& request, Response& response)
{
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = StatusBadRequest;
    return;
  }
  if (RefuseWhileLoading(response)) {
    return;
  }
  if (TakeFault(&StandinFaults::failNext)) {
    CountRun(request);
    response.status = StatusFailed;
    return;
  }
  const std::string prompt = body.value("prompt", "");
  const auto tokens = body.value("max_tokens", std::size_t{ 64 });
  const auto from = body.value("resume_from", std::size_t{ 0 });
  std::vector<std::string> pieces = CutInPieces(prompt);
  pieces.resize(std::min(pieces.size(), tokens));
  response.set_header("Weirgate-Version", TellVersion(pieces));
  const bool breaks = TakeFault(&StandinFaults::breakStreamNext);
  const bool hangs = TakeFault(&StandinFaults::hangNext);
  const bool endsEarly = TakeFault(&StandinFaults::endEarlyNext);
  if (Echo(request, response)) {
    pieces.assign(pieces.size(), "another's answer ");
  }
  CountRun(request);
  const int priority = ReadPriority(request);
  response.set_chunked_content_provider(
    "text/event-stream", [this, pieces, from, breaks, hangs, endsEarly, prompt,
                          priority](std::size_t, httplib::DataSink& sink) {
      Place place(*this, priority);
      Pause(StepMs() * PrefillTokens *
            (IsCached(prompt) ? CachedPrefillShare : 1.0));
      for (std::size_t i = from; i < pieces.size(); ++i) {
        Pause(StepMs());
        while (hangs && i >= from + BrokenStreamTokens && !stopping_ &&
               sink.is_writable()) {
          Pause(20);
        }
        if (endsEarly && i >= from + BrokenStreamTokens) {
          sink.done();
          return true;
        }
        const std::string event =
          EventText({ { "index", i }, { "token", pieces[i] } });
        const bool gone = (breaks && i >= from + BrokenStreamTokens) ||
                          !sink.is_writable() ||
                          !sink.write(event.data(), event.size());
        if (gone) {
          absl::MutexLock lock(&mutex_);
          ++cancelled_;
          return false;
        }
      }
      const std::string end =
        EventText({ { "index", pieces.size() }, { "finish_reason", "stop" } });
      sink.write(end.data(), end.size());
      sink.done();
      return true;
    });
}

/** Takes an order only under a fence above all that came before. */
void StandinEngine::OnOrder(const Request& request, Response& response)
{
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("fence")) {
    response.status = StatusBadRequest;
    return;
  }
  absl::MutexLock lock(&mutex_);
  const auto fence = body.value("fence", std::uint64_t{ 0 });
  if (fence <= fence_) {
    response.status = StatusConflict;
    response.set_content(Json{ { "fence", fence_ } }.dump(),
                         "application/json");
    return;
  }
  fence_ = fence;
  whileBusy_ += running_ > 0 || !waiting_.empty() ? 1 : 0;
  for (const auto& [what, name] : loaded_) {
    if (body.contains(what) && body[what].is_string()) {
      ordered_[what] = body[what].get<std::string>();
    }
  }
  loadedAt_ = absl::Now() + absl::Microseconds(faults_.loadMs * 1000.0);
  response.set_content(Json{ { "fence", fence_ } }.dump(), "application/json");
}

void StandinEngine::OnFault(const Request& request, Response& response)
{
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = StatusBadRequest;
    return;
  }
  absl::MutexLock lock(&mutex_);
  faults_.failNext = body.value("fail_next", faults_.failNext);
  faults_.hangNext = body.value("hang_next", faults_.hangNext);
  faults_.wrongEchoNext = body.value("wrong_echo_next", faults_.wrongEchoNext);
  faults_.breakStreamNext =
    body.value("break_stream_next", faults_.breakStreamNext);
  faults_.endEarlyNext = body.value("end_early_next", faults_.endEarlyNext);
  faults_.cutAnswerNext = body.value("cut_answer_next", faults_.cutAnswerNext);
  faults_.slowness = body.value("slowness", faults_.slowness);
  faults_.loadMs = body.value("load_ms", faults_.loadMs);
  faults_.badVersion = body.value("bad_version", faults_.badVersion);
  faults_.tellsVersion = body.value("tell_version", faults_.tellsVersion);
  response.set_content("{}", "application/json");
}

} // namespace wg
