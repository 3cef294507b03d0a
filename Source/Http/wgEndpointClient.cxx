// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointClient.h"

#include <algorithm>

#include <httplib.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "wgHttpFetch.h"

namespace wg {
namespace {

constexpr std::size_t MaxIdlePerEndpoint = 64;
constexpr std::size_t MaxAnswerBytes = 16U << 20U;
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration ReadGrace = absl::Seconds(1);
constexpr int StatusOk = 200;

template <class SetTimeout>
void ApplyTimeout(absl::Duration timeout, SetTimeout setTimeout)
{
  const auto us =
    std::max<std::int64_t>(absl::ToInt64Microseconds(timeout), 1000);
  setTimeout(static_cast<time_t>(us / 1000000),
             static_cast<time_t>(us % 1000000));
}

int IntHeader(const httplib::Response& response, const char* name)
{
  int value = -1;
  return absl::SimpleAtoi(response.get_header_value(name), &value) ? value
                                                                   : -1;
}

/** "running,waiting" */
bool ParseLoad(const std::string& text, LoadReport& load)
{
  const std::vector<std::string> words = absl::StrSplit(text, ',');
  return words.size() == 2 && absl::SimpleAtoi(words[0], &load.running) &&
         absl::SimpleAtoi(words[1], &load.waiting);
}

void TakeHeaders(const httplib::Response& response, EndpointReply& reply)
{
  reply.status = response.status;
  reply.echoed = { response.get_header_value("Weirgate-Request"),
                   IntHeader(response, "Weirgate-Stage"),
                   IntHeader(response, "Weirgate-Attempt") };
  reply.hasLoad =
    ParseLoad(response.get_header_value("Weirgate-Load"), reply.load);
  reply.version = response.get_header_value("Weirgate-Version");
}

bool IsSame(const AttemptId& a, const AttemptId& b)
{
  return a.request == b.request && a.stage == b.stage &&
         a.attempt == b.attempt;
}

httplib::Request MakeRequest(const EndpointCall& call)
{
  httplib::Request request;
  request.method = "POST";
  request.path = call.path;
  request.body = call.body;
  request.headers = { { "Content-Type", "application/json" },
                      { "Weirgate-Request", call.attempt.request },
                      { "Weirgate-Stage", absl::StrCat(call.attempt.stage) },
                      { "Weirgate-Attempt",
                        absl::StrCat(call.attempt.attempt) },
                      { "Weirgate-Priority", absl::StrCat(call.priority) } };
  return request;
}

/** Only a connection that never came to be is proof that nothing ran; an
 * endpoint that says it refused is not believed.
 */
AttemptEnd EndOf(const httplib::Result& result)
{
  if (!result) {
    const bool neverConnected =
      result.error() == httplib::Error::Connection ||
      result.error() == httplib::Error::ConnectionTimeout;
    return neverConnected ? AttemptEnd::Unreached : AttemptEnd::Failed;
  }
  return result->status == StatusOk ? AttemptEnd::Answered
                                    : AttemptEnd::Failed;
}

} // namespace

EndpointClient::EndpointClient() = default;
EndpointClient::~EndpointClient() = default;

EndpointReply EndpointClient::Call(const EndpointCall& call)
{
  const Elapsed start = ElapsedNow();
  EndpointReply reply;
  std::shared_ptr<httplib::Client> client = TakeClient(call);
  std::uint64_t id = 0;
  {
    absl::MutexLock lock(&mutex_);
    id = nextId_++;
    open_[id] = { client, call.deadline, false };
  }
  httplib::Request request = MakeRequest(call);
  bool headersOk = false;
  request.response_handler = [&](const httplib::Response& response) {
    TakeHeaders(response, reply);
    headersOk = response.status == StatusOk;
    reply.isForeign = headersOk && !IsSame(reply.echoed, call.attempt);
    reply.isOtherVersion = headersOk && !reply.isForeign && call.version &&
                           *call.version != reply.version;
    return !reply.isForeign && !reply.isOtherVersion;
  };
  request.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    const absl::string_view bytes(data, length);
    if (call.onBytes && headersOk) {
      return call.onBytes(bytes);
    }
    reply.body.append(data, length);
    return reply.body.size() <= MaxAnswerBytes;
  };
  const httplib::Result result = client->send(request);
  reply.end = reply.isForeign        ? AttemptEnd::Failed
              : reply.isOtherVersion ? AttemptEnd::Cancelled
                                     : EndOf(result);
  reply.deadlinePassed = CloseCall(id);
  reply.seconds = absl::ToDoubleSeconds(ElapsedNow() - start);
  if (reply.end == AttemptEnd::Answered) {
    ReturnClient(call, std::move(client));
  }
  return reply;
}

std::shared_ptr<httplib::Client> EndpointClient::TakeClient(
  const EndpointCall& call)
{
  std::shared_ptr<httplib::Client> client;
  if (call.mayReuseConnection) {
    absl::MutexLock lock(&mutex_);
    auto& idle = idle_[call.address];
    if (!idle.empty()) {
      client = std::move(idle.back());
      idle.pop_back();
    }
  }
  if (client == nullptr) {
    client =
      std::make_shared<httplib::Client>(call.address.host, call.address.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
  }
  const absl::Duration left = call.deadline - ElapsedNow();
  ApplyTimeout(std::min(left, ConnectTimeout), [&client](time_t s, time_t us) {
    client->set_connection_timeout(s, us);
  });
  // The deadline itself is kept by BreakOffLateCalls.
  ApplyTimeout(left + ReadGrace, [&client](time_t s, time_t us) {
    client->set_read_timeout(s, us);
    client->set_write_timeout(s, us);
  });
  return client;
}

void EndpointClient::ReturnClient(const EndpointCall& call,
                                  std::shared_ptr<httplib::Client> client)
{
  absl::MutexLock lock(&mutex_);
  auto& idle = idle_[call.address];
  if (idle.size() < MaxIdlePerEndpoint) {
    idle.push_back(std::move(client));
  }
}

/** True when the call was broken off. */
bool EndpointClient::CloseCall(std::uint64_t id)
{
  absl::MutexLock lock(&mutex_);
  auto node = open_.extract(id);
  return !node.empty() && node.mapped().broken;
}

void EndpointClient::BreakOffLateCalls(Elapsed now)
{
  std::vector<std::shared_ptr<httplib::Client>> late;
  {
    absl::MutexLock lock(&mutex_);
    for (auto& [id, call] : open_) {
      if (!call.broken && call.deadline <= now) {
        call.broken = true;
        late.push_back(call.client);
      }
    }
  }
  for (const auto& client : late) {
    client->stop();
  }
}

std::size_t EndpointClient::CountOpenCalls()
{
  absl::MutexLock lock(&mutex_);
  return open_.size();
}

std::string FetchText(const EndpointAddress& address, const std::string& path,
                      absl::Duration timeout)
{
  constexpr int http11 = 11;
  HttpRequest request(boost::beast::http::verb::get, path, http11);
  Outcome<HttpResponse> answer =
    Fetch(absl::StrCat(address.host, ":", address.port), std::move(request),
          { timeout });
  const bool isText = Succeeded(answer) &&
                      Value(answer).result() == boost::beast::http::status::ok;
  return isText ? std::move(Value(answer).body()) : std::string();
}

} // namespace wg
