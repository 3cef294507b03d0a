// SPDX-License-Identifier: Apache-2.0
#include "wgScriptedEndpoint.h"

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int Slots = 4;
constexpr int Ok = 200;

} // namespace

ScriptedEndpoint::ScriptedEndpoint(std::string id, Script script)
  : id_(std::move(id))
  , script_(std::move(script))
  , acceptor_(loop_, { asio::ip::make_address("127.0.0.1"), 0 })
  , acceptThread_([this] { Accept(); })
{
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
    HttpRequest request;
    http::read(socket, input, request, error);
    if (error) {
      return;
    }
    const ScriptedAnswer answer = script_(request);
    asio::write(socket, asio::buffer(answer.bytes), error);
    if (error) {
      return;
    }
    if (answer.close == AnswerClose::Reset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    if (answer.close != AnswerClose::KeepOpen) {
      return;
    }
  }
}

} // namespace wg::test
