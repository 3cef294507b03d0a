// SPDX-License-Identifier: Apache-2.0
#include "wgRelayServer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "wgConnectionProbe.h"
#include "wgPeerAuth.h"
#include "wgRelayFields.h"
#include "wgSocket.h"
#include "wgSocketAddress.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

/** The other box closes connections at rest before. */
constexpr absl::Duration IdleTimeout = absl::Minutes(1);
constexpr std::size_t MaxHeaderBytes = 16U << 10U;
constexpr std::size_t MaxBodyBytes = 8U << 20U;
/** No request is held for longer; the other box closes before, if it lives. */
constexpr auto MaxCallTime = std::chrono::minutes(10);
constexpr std::size_t MostEndpointsTried = 16; // for one question
/** Several boxes ask about the same endpoints, twice a second each. */
constexpr absl::Duration ConnectedMemory = absl::Seconds(1);

std::string Text(absl::string_view text)
{
  return std::string(text);
}

} // namespace

RelayServer::RelayServer(EventLoop& loop, HttpClient& client,
                         Directory& directory, std::string key,
                         GatewayMetrics& metrics, DecisionLog& log)
  : loop_(loop)
  , client_(client)
  , directory_(directory)
  , key_(std::move(key))
  , metrics_(metrics)
  , log_(log)
{
}

Outcome<Done> RelayServer::Start(const std::string& address, int most)
{
  const Outcome<SocketAddress> parsed = ParseSocketAddress(address);
  if (!Succeeded(parsed)) {
    return Error{ Message(parsed) };
  }
  server_ = std::make_unique<HttpServer>(
    loop_, [this](const Exchange& exchange) { OnRequest(exchange); });
  HttpLimits limits;
  limits.headerBytes = MaxHeaderBytes;
  limits.bodyBytes = MaxBodyBytes;
  limits.idleTimeout = IdleTimeout;
  server_->SetLimits(limits);
  auto started = server_->Start(Value(parsed).host, Value(parsed).port);
  if (Succeeded(started)) {
    address_ = address;
    most_ = most;
  }
  return started;
}

wire::RelayOffer RelayServer::Offer() const
{
  wire::RelayOffer offer;
  offer.set_has_path(!directory_.reach.isIsolated && most_ > 0);
  offer.set_address(address_);
  offer.set_open(static_cast<std::uint32_t>(calls_.size()));
  offer.set_most(static_cast<std::uint32_t>(most_));
  return offer;
}

/** Connections to endpoints that another box has asked for. */
struct RelayServer::Trial
{
  wire::RelayOffer offer;
  OnOffer done;
  int open = 0;
};

/** Those known here, each once. */
std::vector<const DirectoryEndpoint*> RelayServer::EndpointsOf(
  const wire::RelayAsk& ask) const
{
  std::vector<const DirectoryEndpoint*> endpoints;
  for (const std::string& address : ask.endpoints()) {
    const DirectoryEndpoint* endpoint = FindByAddress(directory_, address);
    const bool isNew =
      endpoint != nullptr && std::find(endpoints.begin(), endpoints.end(),
                                       endpoint) == endpoints.end();
    if (isNew && endpoints.size() < MostEndpointsTried &&
        Succeeded(
          ParseTcpEndpoint(RouteTo(directory_.routes, endpoint->address)))) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

void RelayServer::Offer(const wire::RelayAsk& ask, const OnOffer& done)
{
  auto trial = std::make_shared<Trial>();
  trial->offer = Offer();
  trial->done = done;
  const Elapsed now = ElapsedNow();
  for (auto it = connected_.begin(); it != connected_.end();) {
    const auto current = it++;
    if (now - current->second > ConnectedMemory) {
      connected_.erase(current);
    }
  }
  std::vector<std::string> tried;
  if (trial->offer.has_path()) {
    for (const DirectoryEndpoint* endpoint : EndpointsOf(ask)) {
      if (connected_.count(endpoint->address) > 0) {
        trial->offer.add_reached(endpoint->address);
      } else {
        tried.push_back(endpoint->address);
      }
    }
  }
  trial->open = static_cast<int>(tried.size());
  if (tried.empty()) {
    done(trial->offer);
    return;
  }
  for (const std::string& address : tried) {
    Try(address, trial);
  }
}

void RelayServer::Try(const std::string& address,
                      const std::shared_ptr<Trial>& trial)
{
  ProbeAddress(loop_, RouteTo(directory_.routes, address),
               [this, address, trial](ConnectResult result) {
                 if (result == ConnectResult::Connected) {
                   connected_[address] = ElapsedNow();
                   trial->offer.add_reached(address);
                 }
                 if (--trial->open == 0) {
                   trial->done(trial->offer);
                 }
               });
}

bool RelayServer::IsGenuine(const HttpRequest& request) const
{
  const std::string expected =
    SignRequest(key_, PeerName, FieldOf(request, relay::To),
                FieldOf(request, relay::Nonce), request.body());
  return SameSignature(expected, FieldOf(request, relay::Signature));
}

void RelayServer::Refuse(const Exchange& exchange, absl::string_view result)
{
  metrics_.Count(absl::StrCat("relay_refused_", result));
  HttpResponse response = MakeResponse(
    static_cast<unsigned>(http::status::service_unavailable), "", "");
  response.set(Text(relay::Result), Text(result));
  exchange->Respond(std::move(response));
}

void RelayServer::OnRequest(const Exchange& exchange)
{
  const HttpRequest& request = exchange->Request();
  const auto target = request.target();
  if (absl::string_view(target.data(), target.size()) != relay::Target ||
      !IsGenuine(request)) {
    metrics_.Count("relay_rejected");
    exchange->Respond(
      MakeResponse(static_cast<unsigned>(http::status::forbidden), "", ""));
    return;
  }
  if (directory_.reach.isIsolated) {
    Refuse(exchange, relay::NoPath);
    return;
  }
  if (calls_.size() >= static_cast<std::size_t>(most_)) {
    Refuse(exchange, relay::Full);
    return;
  }
  const DirectoryEndpoint* endpoint =
    FindByAddress(directory_, FieldOf(request, relay::To));
  if (endpoint == nullptr) {
    Refuse(exchange, relay::Unknown);
    return;
  }
  MakeCall(exchange, *endpoint);
}

void RelayServer::MakeCall(const Exchange& exchange,
                           const DirectoryEndpoint& endpoint)
{
  const HttpRequest& request = exchange->Request();
  const std::uint64_t number = nextCall_++;
  Call& call = calls_[number];
  call.exchange = exchange;
  call.from = Text(FieldOf(request, relay::From));
  call.endpoint = endpoint.id;
  call.began = ElapsedNow();
  HttpCallOptions options;
  options.answerHasBody = FieldOf(request, relay::Bodiless).empty();
  options.maxRest = absl::Milliseconds(NumberOf(
    request, relay::MaxRestMs, absl::ToInt64Milliseconds(options.maxRest)));
  HttpCallHandler handler;
  handler.onHead = [this, number](const HttpHead& head, BodyFraming framing) {
    OnHead(number, head, framing);
    return true;
  };
  handler.onBody = [exchange](absl::string_view bytes) {
    exchange->WriteStream(bytes);
  };
  handler.onEnd = [this, number](HttpCallEnd end) { OnEnd(number, end); };
  exchange->OnCallerLeft([this, number] {
    auto node = calls_.extract(number);
    if (!node.empty() && node.mapped().http != nullptr) {
      node.mapped().http->Cancel();
    }
  });
  call.timer = std::make_unique<LoopTimer>(loop_, MaxCallTime);
  call.timer->async_wait([this, number](boost::system::error_code error) {
    if (!error) {
      OnLate(number);
    }
  });
  metrics_.Count("relay_carried");
  call.http = client_.Start(RouteTo(directory_.routes, endpoint.address),
                            request.body(), options, std::move(handler));
}

void RelayServer::OnHead(std::uint64_t number, HttpHead head,
                         BodyFraming framing)
{
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;
  }
  for (const http::field field :
       { http::field::connection, http::field::keep_alive,
         http::field::transfer_encoding, http::field::content_length }) {
    head.erase(field);
  }
  head.set(Text(relay::Result), Text(relay::Answered));
  head.set(Text(relay::Status), absl::StrCat(head.result_int()));
  if (framing == BodyFraming::ByClose) {
    head.set(Text(relay::Framing), Text(relay::ByClose));
  }
  head.result(http::status::ok);
  found->second.exchange->StartStream(std::move(head));
}

void RelayServer::OnLate(std::uint64_t number)
{
  const auto found = calls_.find(number);
  if (found != calls_.end()) {
    found->second.http->Cancel();
    OnEnd(number, HttpCallEnd::Cut);
  }
}

void RelayServer::OnEnd(std::uint64_t number, HttpCallEnd end)
{
  auto node = calls_.extract(number);
  if (node.empty()) {
    return;
  }
  const Call& call = node.mapped();
  absl::string_view result = relay::Answered;
  if (IsAnswered(end)) {
    call.exchange->FinishStream();
  } else {
    result = end == HttpCallEnd::NotConnected ? relay::NotConnected
             : end == HttpCallEnd::Unreached  ? relay::Unreached
                                              : relay::Cut;
    if (call.exchange->HasStarted()) {
      call.exchange->Abort();
    } else {
      Refuse(call.exchange, result);
    }
  }
  log_.Write(
    LogWeight::Routine, "relayed_call",
    { { "from", call.from },
      { "endpoint", call.endpoint },
      { "end", Text(result) },
      { "took_ms", absl::ToInt64Milliseconds(ElapsedNow() - call.began) } });
}

} // namespace wg
