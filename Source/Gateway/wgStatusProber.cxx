// SPDX-License-Identifier: Apache-2.0
#include "wgStatusProber.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace wg {
namespace {

namespace http = boost::beast::http;

/** Twice what a new connection may take. */
constexpr absl::Duration AnswerTimeout = absl::Milliseconds(400);
constexpr std::size_t MaxReportBytes = 256U << 10U;
constexpr unsigned MisdirectedRequest = 421; // another start answers there

} // namespace

StatusProber::StatusProber(EventLoop& loop, RelayClient& calls,
                           Directory& directory, const Dialect& dialect,
                           GatewayMetrics& metrics)
  : loop_(loop)
  , calls_(calls)
  , directory_(directory)
  , dialect_(dialect)
  , metrics_(metrics)
{
}

void StatusProber::Ask(const DirectoryEndpoint& endpoint,
                       const std::string& path, Done done)
{
  const std::string id = endpoint.id;
  auto [found, isNew] = questions_.try_emplace(id);
  Question& question = found->second;
  question.done.push_back(std::move(done));
  if (!isNew) {
    return;
  }
  if (!calls_.HasWay()) { // says nothing of the endpoint
    boost::asio::post(loop_, [this, id] { Finish(id, {}); });
    return;
  }
  metrics_.Count("endpoint_status_asked");
  question.timer = std::make_unique<LoopTimer>(
    loop_, absl::ToChronoMilliseconds(AnswerTimeout));
  question.timer->async_wait([this, id](boost::system::error_code error) {
    if (!error) {
      OnLate(id);
    }
  });
  HttpRequest request;
  constexpr int http11 = 11;
  request.method(http::verb::get);
  request.target(path);
  request.version(http11);
  request.set(http::field::host, endpoint.address);
  request.set(dialect_.fields.endpoint, endpoint.start.name);
  HttpCallOptions options;
  options.maxRest = absl::ZeroDuration(); // a connection that just came up
  HttpCallHandler handler;
  handler.onHead = [this, id](const HttpHead& head, BodyFraming) {
    auto open = questions_.find(id);
    if (open == questions_.end()) {
      return false;
    }
    open->second.status = head.result_int();
    return true;
  };
  handler.onBody = [this, id](absl::string_view bytes) { OnBody(id, bytes); };
  handler.onUnsound = [this, id](const UnsoundAnswer&) {
    const auto open = questions_.find(id);
    if (open != questions_.end()) {
      open->second.isUnsound = true;
    }
  };
  handler.onEnd = [this, id](HttpCallEnd end) {
    // Not from within Start.
    boost::asio::post(loop_, [this, id, end] { OnEnd(id, end); });
  };
  EndpointCallStarted started = calls_.Start(
    endpoint, PrintRequest(std::move(request)), options, std::move(handler));
  question.call = std::move(started.http);
  question.isRelayed = !started.relay.empty();
}

void StatusProber::OnBody(const std::string& endpoint, absl::string_view bytes)
{
  auto open = questions_.find(endpoint);
  if (open == questions_.end()) {
    return;
  }
  Question& question = open->second;
  if (question.isTooLong) {
    return;
  }
  if (question.body.size() + bytes.size() <= MaxReportBytes) {
    question.body.append(bytes.data(), bytes.size());
    return;
  }
  question.isTooLong = true;
  question.body.clear();
  boost::asio::post(loop_, [this, endpoint] {
    const auto asked = questions_.find(endpoint);
    if (asked != questions_.end() && asked->second.isTooLong) {
      FinishUnsound(endpoint);
    }
  });
}

/** One whose head came has answered, and does not bring it to an end. */
void StatusProber::OnLate(const std::string& endpoint)
{
  const auto open = questions_.find(endpoint);
  if (open != questions_.end() && open->second.status != 0) {
    FinishUnsound(endpoint);
  } else {
    Finish(endpoint, {});
  }
}

void StatusProber::FinishUnsound(const std::string& endpoint)
{
  metrics_.Count("endpoint_status_unsound");
  if (DirectoryEndpoint* known = FindEndpoint(directory_, endpoint)) {
    NoteAttempt(*known, true, ElapsedNow());
  }
  EndpointStatus status;
  status.result = EndpointStatus::Result::Unsound;
  Finish(endpoint, status);
}

void StatusProber::OnEnd(const std::string& endpoint, HttpCallEnd end)
{
  auto open = questions_.find(endpoint);
  if (open == questions_.end()) {
    return;
  }
  const Question& question = open->second;
  if (question.isUnsound) {
    FinishUnsound(endpoint);
    return;
  }
  EndpointStatus status;
  const bool isUnreached =
    end == HttpCallEnd::NotConnected || end == HttpCallEnd::Unreached;
  const bool isGone = (isUnreached && !question.isRelayed) ||
                      question.status == MisdirectedRequest;
  if (isGone) {
    status.result = EndpointStatus::Result::Gone;
  } else if (question.status != 0) {
    status.result = EndpointStatus::Result::Answered;
  }
  const bool isReport = IsAnswered(end) && dialect_.readRuns != nullptr;
  if (auto runs = isReport ? dialect_.readRuns(question.body) : std::nullopt) {
    status.hasRuns = true;
    status.runs = std::move(*runs);
  }
  Finish(endpoint, status);
}

void StatusProber::Finish(const std::string& endpoint,
                          const EndpointStatus& status)
{
  auto node = questions_.extract(endpoint);
  if (node.empty()) {
    return;
  }
  const Elapsed now = ElapsedNow();
  if (DirectoryEndpoint* known = FindEndpoint(directory_, endpoint)) {
    NoteLifeSign(*known, status.result != EndpointStatus::Result::NoAnswer,
                 now);
  }
  if (status.result == EndpointStatus::Result::NoAnswer) {
    metrics_.Count("endpoint_status_no_answer");
  }
  for (const Done& done : node.mapped().done) {
    done(status);
  }
}

} // namespace wg
