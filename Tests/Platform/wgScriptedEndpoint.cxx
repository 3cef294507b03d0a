// SPDX-License-Identifier: Apache-2.0
#include "wgScriptedEndpoint.h"

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace wg::test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int Slots = 4;
constexpr int Ok = 200;
constexpr absl::Duration UnreadLimit = absl::Seconds(5);
constexpr int EarlyBufferBytes = 64 << 10;
constexpr std::uint64_t MaxRequestBytes = 64U << 20U;

/** Reads and drops what comes until the peer closes. */
void ReadToEnd(tcp::socket& socket)
{
  char bytes[16384];
  error_code error;
  while (!error) {
    socket.read_some(asio::buffer(bytes), error);
  }
}

/** With nothing unread a close would be orderly. */
void AwaitUnread(const tcp::socket& socket)
{
  const absl::Time end = absl::Now() + UnreadLimit;
  error_code error;
  while (socket.available(error) == 0 && !error && absl::Now() < end) {
    absl::SleepFor(absl::Milliseconds(1));
  }
}

} // namespace

ScriptedEndpoint::ScriptedEndpoint(std::string id, Script script,
                                   EarlyScript early)
  : id_(std::move(id))
  , script_(std::move(script))
  , early_(std::move(early))
  , acceptor_(loop_, { asio::ip::make_address("127.0.0.1"), 0 })
  , acceptThread_([this] { Accept(); })
{
  if (early_) { // what it leaves unread waits at the sender
    acceptor_.set_option(
      asio::socket_base::receive_buffer_size(EarlyBufferBytes));
  }
}

ScriptedEndpoint::~ScriptedEndpoint()
{
  ending_ = true;
  error_code ignored;
  tcp::socket knock(loop_);
  knock.connect(acceptor_.local_endpoint(), ignored);
  acceptThread_.join();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (Connection& connection : connections_) {
      connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
  }
  for (Connection& connection : connections_) {
    connection.thread.join();
  }
}

std::string ScriptedEndpoint::Address() const
{
  return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
}

bool ScriptedEndpoint::Register(int apiPort, const std::string& service)
{
  const nlohmann::json heartbeat{
    { "service", service }, { "address", Address() },   { "zone", "h1" },
    { "version", "v1" },    { "capacity", Slots },      { "state", "ready" },
    { "warmupLeftMs", 0 },  { "sequence", ++sequence_ }
  };
  httplib::Client client("127.0.0.1", apiPort);
  const auto reply =
    client.Put("/-/instances/" + id_, heartbeat.dump(), "application/json");
  return reply && reply->status == Ok;
}

void ScriptedEndpoint::Accept()
{
  while (!ending_) {
    Socket socket(loop_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error || ending_) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    JoinEnded();
    connections_.push_back({ std::move(socket), {}, false });
    Connection& connection = connections_.back();
    connection.thread = std::thread([this, &connection] {
      Serve(connection.socket);
      const std::lock_guard<std::mutex> guard(mutex_);
      error_code ignored;
      connection.socket.close(ignored);
      connection.hasEnded = true;
    });
  }
}

/** On AArch64 the thread sanitizer ends a process of more than 512 threads,
 * and one that is not joined counts.
 */
void ScriptedEndpoint::JoinEnded()
{
  for (auto it = connections_.begin(); it != connections_.end();) {
    const auto current = it++;
    if (current->hasEnded) {
      current->thread.join();
      connections_.erase(current);
    }
  }
}

void ScriptedEndpoint::Serve(Socket& socket)
{
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  boost::beast::flat_buffer input;
  while (!ending_) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxRequestBytes);
    http::read_header(socket, input, parser, error);
    if (error) {
      return;
    }
    const auto early = early_ ? early_(parser.get()) : std::nullopt;
    if (early) {
      Send(socket, *early);
      return;
    }
    http::read(socket, input, parser, error);
    if (error || !Send(socket, script_(parser.get()))) {
      return;
    }
  }
}

bool ScriptedEndpoint::Send(Socket& socket, const ScriptedAnswer& answer)
{
  error_code error;
  asio::write(socket, asio::buffer(answer.bytes), error);
  if (error) {
    return false;
  }
  absl::SleepFor(answer.pause);
  if (answer.close == AnswerClose::Reset) {
    socket.set_option(asio::socket_base::linger(true, 0), error);
  }
  if (answer.close == AnswerClose::CloseUnread) {
    AwaitUnread(socket);
  }
  if (answer.close == AnswerClose::Drain) {
    socket.shutdown(tcp::socket::shutdown_send, error);
    ReadToEnd(socket);
  }
  return answer.close == AnswerClose::KeepOpen;
}

} // namespace wg::test
