// SPDX-License-Identifier: Apache-2.0
#include "wgHttpClient.h"

#include <algorithm>
#include <utility>

#include "wgHttpClientConnection.h"

namespace wg {

ConnectResult ConnectResultOf(boost::system::error_code error)
{
  if (!error) {
    return ConnectResult::Connected;
  }
  const bool isRefused = error == boost::asio::error::connection_refused ||
                         error == boost::asio::error::connection_reset;
  return isRefused ? ConnectResult::Refused : ConnectResult::NoAnswer;
}

HttpCall::~HttpCall()
{
  Cancel();
}

void HttpCall::Cancel()
{
  if (auto connection = std::exchange(connection_, nullptr)) {
    connection->Cancel();
  }
}

HttpClient::HttpClient(EventLoop& loop)
  : loop_(loop)
{
}

HttpClient::~HttpClient()
{
  for (auto& [address, connections] : resting_) {
    for (const auto& connection : connections) {
      connection->Detach();
      connection->Close();
    }
  }
}

std::unique_ptr<HttpCall> HttpClient::Start(const std::string& address,
                                            std::string request,
                                            const HttpCallOptions& options,
                                            HttpCallHandler handler)
{
  std::shared_ptr<Connection> connection =
    TakeResting(address, options.maxRest);
  if (connection == nullptr) {
    connection = std::make_shared<Connection>(*this, loop_, address);
  }
  auto call = std::make_unique<HttpCall>();
  call->connection_ = connection;
  // The call is let go of when it ends, whoever holds it: a connection that
  // was put to rest may serve another call by then.
  HttpCall* raw = call.get();
  auto ended = std::move(handler.onEnd);
  handler.onEnd = [raw, ended = std::move(ended)](HttpCallEnd end) {
    raw->connection_.reset();
    ended(end);
  };
  connection->Begin(std::move(request), options, std::move(handler));
  return call;
}

std::shared_ptr<detail::HttpClientConnection> HttpClient::TakeResting(
  const std::string& address, absl::Duration maxRest)
{
  auto found = resting_.find(address);
  if (found == resting_.end()) {
    return nullptr;
  }
  const Elapsed now = ElapsedNow();
  while (!found->second.empty()) {
    std::shared_ptr<Connection> connection = found->second.back();
    const bool fresh = now - connection->RestingSince() <= maxRest &&
                       now < connection->RestsUntil();
    found->second.pop_back();
    if (fresh) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

bool HttpClient::HasResting(const std::string& address,
                            absl::Duration maxRest) const
{
  const auto found = resting_.find(address);
  const Elapsed now = ElapsedNow();
  return found != resting_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [now, maxRest](const auto& connection) {
                       return now - connection->RestingSince() <= maxRest &&
                              now < connection->RestsUntil();
                     });
}

void HttpClient::PutResting(const std::shared_ptr<Connection>& connection)
{
  resting_[connection->Address()].push_back(connection);
}

void HttpClient::RemoveResting(const Connection& connection)
{
  auto found = resting_.find(connection.Address());
  if (found == resting_.end()) {
    return;
  }
  auto& list = found->second;
  list.erase(std::remove_if(list.begin(), list.end(),
                            [&connection](const auto& other) {
                              return other.get() == &connection;
                            }),
             list.end());
}

void HttpClient::Forget(const std::string& address)
{
  auto node = resting_.extract(address);
  if (node.empty()) {
    return;
  }
  for (const auto& connection : node.mapped()) {
    connection->Close();
  }
}

std::size_t HttpClient::OpenConnections(const std::string& address) const
{
  auto found = open_.find(address);
  return found == open_.end() ? 0 : found->second;
}

void HttpClient::NoteConnect(const std::string& address, ConnectResult result)
{
  if (connectObserver_) {
    connectObserver_(address, result);
  }
}

void HttpClient::NoteUnsound(const std::string& address,
                             const UnsoundAnswer& answer)
{
  if (unsoundObserver_) {
    unsoundObserver_(address, answer);
  }
}

void HttpClient::NoteOpened(const std::string& address)
{
  ++open_[address];
}

void HttpClient::NoteClosed(const std::string& address)
{
  auto found = open_.find(address);
  if (found != open_.end() && --found->second == 0) {
    open_.erase(found);
  }
}

} // namespace wg
