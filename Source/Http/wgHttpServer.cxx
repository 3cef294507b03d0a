// SPDX-License-Identifier: Apache-2.0
#include "wgHttpServer.h"

#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include "absl/strings/str_cat.h"

#include "wgHttpServerConnection.h"

namespace wg {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned HttpVersion = 11; // HTTP/1.1
constexpr int AcceptBacklog = 1024;
constexpr auto SweepPeriod = std::chrono::milliseconds(500);
/** Connections that are accepted in one turn of the loop. Those that wait for
 * the next one are neither served nor free to go elsewhere.
 */
constexpr int MostAccepts = 64;

} // namespace

HttpExchange::HttpExchange(std::weak_ptr<Connection> connection,
                           HttpRequest request)
  : connection_(std::move(connection))
  , request_(std::move(request))
  , arrived_(ElapsedNow())
{
}

void HttpExchange::OnCallerLeft(std::function<void()> handler)
{
  onCallerLeft_ = std::move(handler);
}

void HttpExchange::NoteCallerLeft()
{
  if (std::exchange(over_, true)) {
    return;
  }
  if (auto handler = std::exchange(onCallerLeft_, nullptr)) {
    handler();
  }
}

void HttpExchange::Write(std::string bytes)
{
  if (auto connection = connection_.lock()) {
    connection->Write(std::move(bytes));
  }
}

bool HttpExchange::KeepsConnection() const
{
  auto connection = connection_.lock();
  const bool drains = connection != nullptr && connection->IsDraining();
  return !drains && request_.keep_alive() && framing_ == BodyFraming::Explicit;
}

/** The version is this server's, whatever an endpoint's is (RFC 9110, 6.2). */
void HttpExchange::PrepareHead(HttpHead& head)
{
  head.version(HttpVersion);
  if (!KeepsConnection()) {
    head.set(http::field::connection, "close");
  }
  auto connection = connection_.lock();
  if (connection != nullptr && framing_ == BodyFraming::ByClose) {
    connection->ResetUnlessFinished();
  }
}

void HttpExchange::Respond(HttpResponse response, BodyFraming framing)
{
  if (over_ || started_) {
    return;
  }
  framing_ = framing;
  PrepareHead(response);
  const bool keep = response[http::field::connection] != "close";
  const bool bodiless = request_.method() == http::verb::head;
  if (framing == BodyFraming::ByClose) {
    response.erase(http::field::content_length);
  } else if (!bodiless) {
    response.content_length(response.body().size());
  }
  started_ = true;
  over_ = true;
  onCallerLeft_ = nullptr;
  std::string bytes = bodiless ? std::string() : std::move(response.body());
  bytes.insert(0, PrintHead(response));
  Write(std::move(bytes));
  if (auto connection = connection_.lock()) {
    connection->EndAnswer(keep);
  }
}

void HttpExchange::StartStream(HttpHead head, BodyFraming framing)
{
  if (over_ || started_) {
    return;
  }
  started_ = true;
  framing_ = framing;
  PrepareHead(head);
  head.erase(http::field::content_length);
  if (framing == BodyFraming::Explicit) {
    head.set(http::field::transfer_encoding, "chunked");
  }
  Write(PrintHead(head));
}

void HttpExchange::WriteStream(absl::string_view bytes)
{
  if (over_ || bytes.empty()) {
    return;
  }
  if (framing_ == BodyFraming::ByClose) {
    Write(std::string(bytes));
    return;
  }
  const auto chunk =
    http::make_chunk(asio::buffer(bytes.data(), bytes.size()));
  Write(boost::beast::buffers_to_string(chunk));
}

void HttpExchange::FinishStream()
{
  if (std::exchange(over_, true)) {
    return;
  }
  onCallerLeft_ = nullptr;
  if (framing_ == BodyFraming::Explicit) {
    Write(boost::beast::buffers_to_string(http::make_chunk_last()));
  }
  if (auto connection = connection_.lock()) {
    connection->EndAnswer(KeepsConnection());
  }
}

void HttpExchange::Abort()
{
  if (std::exchange(over_, true)) {
    return;
  }
  onCallerLeft_ = nullptr;
  if (auto connection = connection_.lock()) {
    connection->Close();
  }
}

HttpServer::HttpServer(EventLoop& loop, Handler handler)
  : loop_(loop)
  , handler_(std::move(handler))
  , acceptor_(loop)
  , sweepTimer_(loop)
{
}

HttpServer::~HttpServer()
{
  for (auto& [key, connection] : connections_) {
    connection->Detach();
    connection->Close(); // or its caller would wait for an answer
  }
}

Outcome<Done> HttpServer::Start(const std::string& host, int port)
{
  error_code error;
  const auto address = asio::ip::make_address(host, error);
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(port));
  if (!error) {
    acceptor_.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(AcceptBacklog, error);
  }
  if (!error) {
    acceptor_.non_blocking(true, error);
  }
  if (error) {
    return Error{ absl::StrCat("Can't listen on ", host, ":", port, ": ",
                               error.message(),
                               "; choose an address of this box that no "
                               "other process uses.") };
  }
  Accept();
  return Done{};
}

int HttpServer::Port() const
{
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void HttpServer::Accept()
{
  acceptor_.async_wait(
    tcp::acceptor::wait_read,
    [this, alive = std::weak_ptr<bool>(alive_)](error_code error) {
      if (alive.expired() || error == asio::error::operation_aborted) {
        return;
      }
      int accepted = 0;
      while (accepted < MostAccepts && AcceptNext()) {
        ++accepted;
      }
      Accept();
    });
}

/** \return whether there was a connection */
bool HttpServer::AcceptNext()
{
  error_code error;
  tcp::socket socket(loop_);
  acceptor_.accept(socket, error);
  if (error) {
    return false;
  }
  const bool hasRoom = connections_.size() < limits_.connections;
  if (hasRoom && (!takes_ || takes_())) {
    auto connection =
      std::make_shared<detail::HttpServerConnection>(*this, std::move(socket));
    connections_.emplace(connection.get(), connection);
    connection->Start();
    ArmSweep();
  }
  return true;
}

void HttpServer::ArmSweep()
{
  if (std::exchange(sweepArmed_, true)) {
    return;
  }
  sweepTimer_.expires_after(SweepPeriod);
  sweepTimer_.async_wait(
    [this, alive = std::weak_ptr<bool>(alive_)](error_code error) {
      if (!error && !alive.expired()) {
        sweepArmed_ = false;
        Sweep();
      }
    });
}

void HttpServer::Sweep()
{
  std::vector<std::shared_ptr<detail::HttpServerConnection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  const Elapsed now = ElapsedNow();
  for (const auto& connection : all) {
    connection->CheckTimeouts(now);
  }
  if (!connections_.empty()) {
    ArmSweep();
  }
}

void HttpServer::StartDraining(absl::Duration rest)
{
  draining_ = true;
  restUntil_ = ElapsedNow() + rest;
}

std::size_t HttpServer::ActiveRequests() const
{
  std::size_t active = 0;
  for (const auto& [key, connection] : connections_) {
    active += connection->IsBusy() ? 1 : 0;
  }
  return active;
}

} // namespace wg
