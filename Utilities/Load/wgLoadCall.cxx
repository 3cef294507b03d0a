// SPDX-License-Identifier: Apache-2.0
#include "wgLoadCall.h"

#include <algorithm>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace wg {
namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int ConnectTries = 3;
constexpr time_t ReadTimeoutSeconds = 30;

/** The stand-in engine gives the prompt back, so that the answer to an input
 * starts with it, or is a start of it when tokens ran out.
 */
bool IsWholeAnswer(const LoadInput& input, const Json& answer)
{
  if (!answer.contains("text") || !answer["text"].is_string()) {
    return false;
  }
  const std::string text = answer["text"].get<std::string>();
  if (text.empty()) {
    return answer.contains("services") || answer.contains("sources");
  }
  const std::size_t common = std::min(text.size(), input.input.size());
  return text.compare(0, common, input.input, 0, common) == 0;
}

std::string MakeKey()
{
  thread_local absl::BitGen random;
  return absl::StrFormat("load-%016x", absl::Uniform<std::uint64_t>(random));
}

httplib::Headers MakeHeaders(const LoadInput& input,
                             const CallSettings& settings)
{
  httplib::Headers headers{ { "Weirgate-Account", input.account } };
  if (!input.key.empty()) {
    headers.emplace("Weirgate-Key", input.key);
  }
  if (input.once) {
    headers.emplace("Idempotency-Key", MakeKey());
  }
  if (settings.stream) {
    headers.emplace("Accept", "text/event-stream");
  }
  if (settings.deadlineMs > 0) {
    headers.emplace("Weirgate-Deadline-Ms", absl::StrCat(settings.deadlineMs));
  }
  return headers;
}

void TakeProblem(const Json& problem, LoadResult& result)
{
  result.reason = problem.value("reason", "unreadable");
  result.run = problem.value("run", "");
}

void TakeCosts(const Json& answer, LoadResult& result)
{
  for (const Json& row : answer.value("cost", Json::array())) {
    result.costs.push_back(
      { row.value("stage", ""), row.value("tries", std::uint64_t{ 0 }),
        row.value("tokens", std::uint64_t{ 0 }), row.value("useful_s", 0.0),
        row.value("wasted_s", 0.0) });
  }
}

/** Reads the events of a streamed answer as they come. */
class StreamReader
{
public:
  StreamReader(const LoadInput& input, LoadResult& result, absl::Time start)
    : input_(input)
    , result_(result)
    , start_(start)
  {
  }

  bool Take(const char* data, std::size_t length)
  {
    pending_.append(data, length);
    for (std::size_t end = pending_.find("\n\n"); end != std::string::npos;
         end = pending_.find("\n\n")) {
      TakeEvent(pending_.substr(0, end));
      pending_.erase(0, end + 2);
    }
    return true;
  }

private:
  void TakeEvent(const std::string& event)
  {
    const std::size_t at = event.find("data: ");
    const Json data = at == std::string::npos
                        ? Json()
                        : Json::parse(event.substr(at + 6), nullptr, false);
    if (!data.is_object()) {
      result_.wrong = true;
    } else if (event.rfind("event: problem", 0) == 0) {
      TakeProblem(data, result_);
    } else if (event.rfind("event: answer", 0) == 0) {
      result_.whole =
        IsWholeAnswer(input_, data) && data.value("text", "") == text_;
      result_.wrong = !result_.whole;
      TakeCosts(data, result_);
    } else {
      TakeToken(data);
    }
  }

  void TakeToken(const Json& data)
  {
    const absl::Time now = absl::Now();
    if (data.value("index", std::size_t{ 0 }) != tokens_) {
      result_.wrong = true;
    }
    if (tokens_ == 0) {
      result_.firstTokenSeconds = absl::ToDoubleSeconds(now - start_);
    } else {
      result_.longestGapSeconds = std::max(
        result_.longestGapSeconds, absl::ToDoubleSeconds(now - lastToken_));
    }
    lastToken_ = now;
    ++tokens_;
    text_ += data.value("token", "");
  }

  const LoadInput& input_;
  LoadResult& result_;
  absl::Time start_;
  absl::Time lastToken_;
  std::string pending_;
  std::string text_;
  std::size_t tokens_ = 0;
};

bool SplitAddress(const std::string& address, std::string& host, int& port)
{
  const std::vector<std::string> parts = absl::StrSplit(address, ':');
  host = parts.front();
  return parts.size() == 2 && absl::SimpleAtoi(parts[1], &port);
}

/** True unless no connection came to be, so that another entry may be tried.
 */
bool SendTo(const std::string& address, const LoadInput& input,
            const CallSettings& settings, LoadResult& result, absl::Time start)
{
  std::string host;
  int port = 0;
  if (!SplitAddress(address, host, port)) {
    return false;
  }
  httplib::Client client(host, port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(ReadTimeoutSeconds, 0);
  httplib::Request request;
  request.method = "POST";
  request.path = absl::StrCat("/v1/pipelines/", input.pipeline);
  request.headers = MakeHeaders(input, settings);
  request.set_header("Content-Type", "application/json");
  request.body =
    Json{ { "input", input.input }, { "max_tokens", input.maxTokens } }.dump(
      -1, ' ', false, Json::error_handler_t::replace);
  StreamReader reader(input, result, start);
  std::string body;
  int status = 0;
  request.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    result.request = response.get_header_value("Weirgate-Request");
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    if (settings.stream && status == StatusOk) {
      return reader.Take(data, length);
    }
    body.append(data, length);
    return true;
  };
  const httplib::Result sent = client.send(request);
  if (!sent) {
    return sent.error() != httplib::Error::Connection;
  }
  result.status = status;
  if (status != StatusOk) {
    const Json problem = Json::parse(body, nullptr, false);
    TakeProblem(problem.is_object() ? problem : Json::object(), result);
  } else if (!settings.stream) {
    const Json answer = Json::parse(body, nullptr, false);
    result.whole = answer.is_object() && IsWholeAnswer(input, answer);
    result.wrong = !result.whole;
    if (answer.is_object()) {
      TakeCosts(answer, result);
    }
  }
  return true;
}

} // namespace

Balancer::Balancer(std::vector<std::string> entries)
  : entries_(std::move(entries))
{
  Refresh();
}

void Balancer::Refresh()
{
  std::vector<std::string> ready;
  for (const std::string& entry : entries_) {
    std::string host;
    int port = 0;
    if (!SplitAddress(entry, host, port)) {
      continue;
    }
    httplib::Client client(host, port);
    client.set_connection_timeout(0, 200000);
    client.set_read_timeout(0, 200000);
    const httplib::Result result = client.Get("/readyz");
    if (result && result->status == StatusOk) {
      ready.push_back(entry);
    }
  }
  absl::MutexLock lock(&mutex_);
  ready_ = std::move(ready);
}

std::string Balancer::Next()
{
  absl::MutexLock lock(&mutex_);
  return ready_.empty() ? std::string() : ready_[turn_++ % ready_.size()];
}

LoadResult SendOne(Balancer& balancer, const LoadInput& input,
                   const CallSettings& settings)
{
  LoadResult result;
  result.account = input.account;
  result.pipeline = input.pipeline;
  const absl::Time start = absl::Now();
  for (int tries = 0; tries < ConnectTries; ++tries) {
    const std::string entry = balancer.Next();
    if (SendTo(entry, input, settings, result, start)) {
      break;
    }
  }
  result.seconds = absl::ToDoubleSeconds(absl::Now() - start);
  return result;
}

} // namespace wg
