// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointClient.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "wgHttpClient.h"
#include "wgHttpFetch.h"
#include "wgRunLoop.h"

namespace wg {

/** A loop runs only while its thread waits for an answer. */
struct EndpointClient::Link
{
  EventLoop loop;
  HttpClient client{ loop };
};

namespace {

constexpr std::size_t MaxIdlePerEndpoint = 64;
constexpr std::size_t MaxAnswerBytes = 16U << 20U;
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration ReadGrace = absl::Seconds(1);
constexpr unsigned StatusOk = 200;

std::string PrintAddress(const EndpointAddress& address)
{
  return absl::StrCat(address.host, ":", address.port);
}

int IntField(const HttpFields& fields, absl::string_view name)
{
  int value = -1;
  return absl::SimpleAtoi(FieldOf(fields, name), &value) ? value : -1;
}

/** "running,waiting" */
bool ParseLoad(absl::string_view text, LoadReport& load)
{
  const std::vector<absl::string_view> words = absl::StrSplit(text, ',');
  return words.size() == 2 && absl::SimpleAtoi(words[0], &load.running) &&
         absl::SimpleAtoi(words[1], &load.waiting);
}

void TakeHead(const HttpHead& head, EndpointReply& reply)
{
  reply.status = static_cast<int>(head.result_int());
  reply.echoed = { std::string(FieldOf(head, "Weirgate-Request")),
                   IntField(head, "Weirgate-Stage"),
                   IntField(head, "Weirgate-Attempt") };
  reply.hasLoad = ParseLoad(FieldOf(head, "Weirgate-Load"), reply.load);
  reply.version = std::string(FieldOf(head, "Weirgate-Version"));
}

bool IsSame(const AttemptId& a, const AttemptId& b)
{
  return a.request == b.request && a.stage == b.stage &&
         a.attempt == b.attempt;
}

/** Nothing if a field can't have its value. */
std::optional<std::string> PrintCall(const EndpointCall& call)
{
  constexpr int http11 = 11;
  HttpRequest request(boost::beast::http::verb::post, call.path, http11);
  const std::pair<absl::string_view, std::string> fields[] = {
    { "Host", PrintAddress(call.address) },
    { "Content-Type", "application/json" },
    { "Weirgate-Request", call.attempt.request },
    { "Weirgate-Stage", absl::StrCat(call.attempt.stage) },
    { "Weirgate-Attempt", absl::StrCat(call.attempt.attempt) },
    { "Weirgate-Priority", absl::StrCat(call.priority) },
  };
  for (const auto& [name, value] : fields) {
    if (!SetField(request, name, value)) {
      return std::nullopt;
    }
  }
  request.body() = call.body;
  return PrintRequest(std::move(request));
}

/** Only a connection that never came to be is proof that nothing ran; an
 * endpoint that says it refused is not believed.
 */
AttemptEnd EndOf(std::optional<HttpCallEnd> ended, const EndpointReply& reply)
{
  if (reply.isOtherVersion) {
    return AttemptEnd::Cancelled;
  }
  if (ended == HttpCallEnd::NotConnected || ended == HttpCallEnd::Unreached) {
    return AttemptEnd::Unreached;
  }
  const bool isAnswered =
    ended && IsAnswered(*ended) && reply.status == static_cast<int>(StatusOk);
  return isAnswered ? AttemptEnd::Answered : AttemptEnd::Failed;
}

} // namespace

EndpointClient::EndpointClient() = default;
EndpointClient::~EndpointClient() = default;

EndpointReply EndpointClient::Call(const EndpointCall& call)
{
  const Elapsed start = ElapsedNow();
  EndpointReply reply;
  std::optional<std::string> request = PrintCall(call);
  if (!request) {
    return reply;
  }
  std::shared_ptr<Link> link = TakeLink(call);
  std::uint64_t id = 0;
  {
    absl::MutexLock lock(&mutex_);
    id = nextId_++;
    open_[id] = { link, call.deadline, false };
  }
  reply.end = EndOf(Exchange(call, std::move(*request), *link, reply), reply);
  reply.deadlinePassed = CloseCall(id);
  reply.seconds = absl::ToDoubleSeconds(ElapsedNow() - start);
  if (reply.end == AttemptEnd::Answered) {
    ReturnLink(call, std::move(link));
  }
  return reply;
}

/** Nothing if the call was broken off here. */
std::optional<HttpCallEnd> EndpointClient::Exchange(const EndpointCall& call,
                                                    std::string request,
                                                    Link& link,
                                                    EndpointReply& reply)
{
  std::optional<HttpCallEnd> ended;
  bool isBroken = false;
  HttpCallHandler handler;
  handler.onHead = [&](const HttpHead& head, BodyFraming /*framing*/) {
    TakeHead(head, reply);
    const bool isOk = head.result_int() == StatusOk;
    reply.isForeign = isOk && !IsSame(reply.echoed, call.attempt);
    reply.isOtherVersion = isOk && !reply.isForeign && call.version &&
                           *call.version != reply.version;
    return !reply.isForeign && !reply.isOtherVersion;
  };
  handler.onBody = [&](absl::string_view bytes) {
    if (isBroken) {
      return;
    }
    if (call.onBytes && reply.status == static_cast<int>(StatusOk)) {
      isBroken = !call.onBytes(bytes);
    } else {
      reply.body.append(bytes.data(), bytes.size());
      isBroken = reply.body.size() > MaxAnswerBytes;
    }
    if (isBroken) {
      link.loop.stop();
    }
  };
  handler.onEnd = [&](HttpCallEnd end) {
    ended = end;
    link.loop.stop();
  };
  const absl::Duration left =
    std::max(call.deadline - ElapsedNow(), absl::ZeroDuration());
  HttpCallOptions options;
  options.connectTimeout = std::min(left, ConnectTimeout);
  const auto open =
    link.client.Start(PrintAddress(call.address), std::move(request), options,
                      std::move(handler));
  // The deadline itself is kept by BreakOffLateCalls.
  RunCallLoop(link.loop, left + ReadGrace);
  return isBroken ? std::nullopt : ended;
}

std::shared_ptr<EndpointClient::Link> EndpointClient::TakeLink(
  const EndpointCall& call)
{
  std::shared_ptr<Link> link;
  if (call.mayReuseConnection) {
    absl::MutexLock lock(&mutex_);
    auto& idle = idle_[call.address];
    if (!idle.empty()) {
      link = std::move(idle.back());
      idle.pop_back();
    }
  }
  if (link == nullptr) {
    return std::make_shared<Link>();
  }
  link->loop.restart();
  link->loop.poll(); // a connection that has ended at rest is let go of
  return link;
}

void EndpointClient::ReturnLink(const EndpointCall& call,
                                std::shared_ptr<Link> link)
{
  absl::MutexLock lock(&mutex_);
  auto& idle = idle_[call.address];
  if (idle.size() < MaxIdlePerEndpoint) {
    idle.push_back(std::move(link));
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
  absl::MutexLock lock(&mutex_);
  for (auto& [id, call] : open_) {
    if (!call.broken && call.deadline <= now) {
      call.broken = true;
      call.link->loop.stop();
    }
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
    Fetch(PrintAddress(address), std::move(request), { timeout });
  const bool isText = Succeeded(answer) &&
                      Value(answer).result() == boost::beast::http::status::ok;
  return isText ? std::move(Value(answer).body()) : std::string();
}

} // namespace wg
