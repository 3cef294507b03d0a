// SPDX-License-Identifier: Apache-2.0
#include "wgCallerServer.h"

#include <algorithm>
#include <utility>

#include <httplib.h>

#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "wgHttpListen.h"
#include "wgJson.h"

namespace wg {
namespace {

constexpr const char* ProblemType = "application/problem+json";
constexpr const char* EventStreamType = "text/event-stream";
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
constexpr int MaxTokensAllowed = 100000;
constexpr std::size_t MaxKeyBytes = 256;
constexpr int StatusTooLarge = 413;
constexpr int StatusNotReady = 503;

using Json = nlohmann::json;

std::string MakeRequestId()
{
  thread_local absl::BitGen random;
  return absl::StrFormat("%016x%016x", absl::Uniform<std::uint64_t>(random),
                         absl::Uniform<std::uint64_t>(random));
}

/** Counts a request as in flight until its whole answer is on its way. */
class InFlight
{
public:
  explicit InFlight(std::atomic<int>& count)
    : count_(count)
  {
    ++count_;
  }
  ~InFlight() { --count_; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

private:
  std::atomic<int>& count_;
};

Reason ReadHeaders(const httplib::Request& http, CallerRequest& request)
{
  request.account = http.get_header_value("Weirgate-Account");
  request.accountKey = http.get_header_value("Weirgate-Key");
  request.idempotencyKey = http.get_header_value("Idempotency-Key");
  request.pipeline = http.matches[1];
  const std::string& key = request.idempotencyKey;
  const bool plain = std::all_of(key.begin(), key.end(), absl::ascii_isgraph);
  if (key.size() > MaxKeyBytes || !plain) {
    return Reason::BadHeader;
  }
  if (http.has_header("Weirgate-Priority") &&
      !absl::SimpleAtoi(http.get_header_value("Weirgate-Priority"),
                        &request.priority)) {
    return Reason::BadHeader;
  }
  const std::string repeatable = http.get_header_value("Weirgate-Repeatable");
  if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
    return Reason::BadHeader;
  }
  request.repeatable = repeatable != "no";
  if (http.has_header("Weirgate-Deadline-Ms")) {
    std::int64_t ms = 0;
    const bool sound =
      absl::SimpleAtoi(http.get_header_value("Weirgate-Deadline-Ms"), &ms) &&
      ms > 0 && ms <= MaxDeadlineMs;
    if (!sound) {
      return Reason::BadDeadline;
    }
    request.timeLeft = absl::Milliseconds(ms);
  }
  return Reason::None;
}

Reason ReadBody(const httplib::Request& http, CallerRequest& request)
{
  const Json body = Json::parse(http.body, nullptr, false);
  const bool sound =
    body.is_object() && body.contains("input") && body["input"].is_string();
  if (!sound) {
    return Reason::BadJson;
  }
  request.input = body["input"].get<std::string>();
  request.bytes = http.body.size();
  if (body.contains("max_tokens")) {
    const Json& tokens = body["max_tokens"];
    const bool inRange = tokens.is_number_integer() &&
                         tokens.get<std::int64_t>() >= 1 &&
                         tokens.get<std::int64_t>() <= MaxTokensAllowed;
    if (!inRange) {
      return Reason::BadJson;
    }
    request.maxTokens = tokens.get<int>();
  }
  return Reason::None;
}

void SetRetryAfter(const RequestFailure& failure, httplib::Response& response)
{
  const auto seconds = std::max<std::int64_t>(
    1, absl::ToInt64Seconds(failure.retryAfter + absl::Milliseconds(999)));
  response.set_header("Retry-After", absl::StrCat(seconds));
}

std::string EventText(const Json& data)
{
  return absl::StrCat("data: ", PrintJson(data), "\n\n");
}

} // namespace

Json ProblemOf(const RequestFailure& failure)
{
  return { { "type", "about:blank" },
           { "title", std::string(Name(failure.reason)) },
           { "status", HttpStatus(failure.reason) },
           { "reason", std::string(Name(failure.reason)) },
           { "run", std::string(Name(failure.run)) },
           { "retry_after_ms",
             absl::ToInt64Milliseconds(failure.retryAfter) } };
}

CallerServer::CallerServer(RunnerContext context, CallerLimits limits)
  : context_(context)
  , limits_(limits)
  , server_(std::make_unique<httplib::Server>())
{
}

CallerServer::~CallerServer()
{
  Stop();
}

Outcome<Done> CallerServer::Start(const SocketAddress& address)
{
  const std::size_t threads = limits_.maxConnections;
  server_->new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server_->set_payload_max_length(limits_.maxBodyBytes);
  server_->set_read_timeout(absl::ToInt64Seconds(limits_.readTimeout), 0);
  server_->set_tcp_nodelay(true);
  server_->set_keep_alive_max_count(100000);
  AddRoutes();
  if (!BindForBursts(*server_, address.host, address.port)) {
    return Error{ absl::StrCat("Cannot listen for callers on ", address.host,
                               ":", address.port,
                               "; check that nothing else uses it.") };
  }
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  return Done{};
}

void CallerServer::Stop()
{
  server_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CallerServer::AddRoutes()
{
  Blackboard& board = context_.blackboard;
  server_->Get("/healthz",
               [](const httplib::Request&, httplib::Response& response) {
                 response.set_content("alive\n", "text/plain");
               });
  server_->Get(
    "/readyz", [&board](const httplib::Request&, httplib::Response& response) {
      const bool ready = !board.stopping && CurrentConfig(board) != nullptr;
      response.status = ready ? 200 : StatusNotReady;
      response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
  server_->Get("/metrics",
               [&board](const httplib::Request&, httplib::Response& response) {
                 response.set_content(board.counters.Print(), "text/plain");
               });
  server_->Post(
    R"(/v1/pipelines/([A-Za-z0-9._-]+))",
    [this](const httplib::Request& request, httplib::Response& response) {
      OnPipeline(request, response);
    });
  server_->set_error_handler(
    [&board](const httplib::Request&, httplib::Response& response) {
      if (!response.body.empty()) {
        return;
      }
      RequestFailure failure;
      failure.reason = response.status == StatusTooLarge ? Reason::BodyTooLarge
                                                         : Reason::BadHeader;
      board.counters.Add(failure.reason);
      Json problem = ProblemOf(failure);
      problem["status"] = response.status;
      response.set_content(PrintJson(problem), ProblemType);
    });
}

void CallerServer::Refuse(const RequestFailure& failure,
                          httplib::Response& response)
{
  context_.blackboard.counters.Add(failure.reason);
  response.status = HttpStatus(failure.reason);
  SetRetryAfter(failure, response);
  response.set_content(PrintJson(ProblemOf(failure)), ProblemType);
}

void CallerServer::NoteEnd(const std::string& id, Reason reason)
{
  Blackboard& board = context_.blackboard;
  if (reason == Reason::None) {
    board.counters.Add(Event::RequestAnswered);
  } else {
    board.counters.Add(reason);
  }
  const Elapsed now = ElapsedNow();
  absl::MutexLock lock(&board.requests.mutex);
  auto found = board.requests.records.running.find(id);
  if (found != board.requests.records.running.end()) {
    board.counters.RequestTime().Record(now - found->second.arrived);
  }
  EndRecord(board.requests.records, id, reason, now);
}

void CallerServer::OnPipeline(const httplib::Request& http,
                              httplib::Response& response)
{
  Blackboard& board = context_.blackboard;
  auto inFlight = std::make_shared<InFlight>(board.inFlight);
  CallerRequest request;
  request.id = MakeRequestId();
  response.set_header("Weirgate-Request", request.id);
  RequestFailure failure;
  failure.reason = ReadHeaders(http, request);
  if (failure.reason == Reason::None) {
    failure.reason = ReadBody(http, request);
  }
  if (failure.reason == Reason::None && board.draining) {
    failure.reason = Reason::Stopping;
  }
  if (failure.reason != Reason::None) {
    Refuse(failure, response);
    return;
  }
  const std::string id = request.id;
  const bool streams =
    http.get_header_value("Accept").find(EventStreamType) != std::string::npos;
  auto runner = std::make_shared<RequestRunner>(context_, std::move(request));
  if (runner->Admit(failure) != Reason::None) {
    Refuse(failure, response);
    return;
  }
  board.counters.Add(Event::RequestAccepted);
  if (!streams) {
    AnswerWhole(runner, id, response);
    return;
  }
  AnswerStream(runner, id, response);
  response.content_provider_resource_releaser_ = [inFlight](bool) {};
}

void CallerServer::AnswerWhole(const std::shared_ptr<RequestRunner>& runner,
                               const std::string& id,
                               httplib::Response& response)
{
  const RequestOutcome outcome = runner->Run({});
  if (const auto* failure = std::get_if<RequestFailure>(&outcome)) {
    response.status = HttpStatus(failure->reason);
    SetRetryAfter(*failure, response);
    response.set_content(PrintJson(ProblemOf(*failure)), ProblemType);
    NoteEnd(id, failure->reason);
    return;
  }
  const Json& output = std::get<RequestAnswer>(outcome).output;
  response.set_content(PrintJson(output), "application/json");
  NoteEnd(id, Reason::None);
}

void CallerServer::AnswerStream(const std::shared_ptr<RequestRunner>& runner,
                                const std::string& id,
                                httplib::Response& response)
{
  const Elapsed start = ElapsedNow();
  response.set_chunked_content_provider(
    EventStreamType,
    [this, runner, id, start](std::size_t, httplib::DataSink& out) {
      CallerLink caller;
      caller.isThere = [&out] { return out.is_writable(); };
      caller.takeToken = [this, &out, start](std::size_t index,
                                             const std::string& token) {
        if (index == 0) {
          context_.blackboard.counters.FirstTokenTime().Record(ElapsedNow() -
                                                               start);
        }
        const std::string event =
          EventText(Json{ { "index", index }, { "token", token } });
        return out.write(event.data(), event.size());
      };
      const RequestOutcome outcome = runner->Run(caller);
      const auto* failure = std::get_if<RequestFailure>(&outcome);
      const std::string last =
        failure != nullptr
          ? absl::StrCat("event: problem\n", EventText(ProblemOf(*failure)))
          : absl::StrCat("event: answer\n",
                         EventText(std::get<RequestAnswer>(outcome).output));
      NoteEnd(id, failure != nullptr ? failure->reason : Reason::None);
      const bool written = out.write(last.data(), last.size());
      out.done();
      return written;
    });
}

} // namespace wg
