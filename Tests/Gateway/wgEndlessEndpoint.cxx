// SPDX-License-Identifier: Apache-2.0
#include "wgEndlessEndpoint.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

} // namespace

struct EndlessEndpoint::Connection
{
  Connection(asio::io_context& loop, std::atomic<int>& open)
    : socket(loop)
    , timer(loop)
    , count(open)
  {
  }
  ~Connection()
  {
    if (isAnswering) {
      --count;
    }
  }

  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer input;
  HttpRequest request;
  EndlessBytes answer;
  std::atomic<int>& count;
  bool isAnswering = false;
};

EndlessEndpoint::EndlessEndpoint(Script script)
  : script_(std::move(script))
  , acceptor_(loop_, { asio::ip::make_address("127.0.0.1"), 0 })
{
  Accept();
  thread_ = std::thread([this] { loop_.run(); });
}

EndlessEndpoint::~EndlessEndpoint()
{
  loop_.stop();
  thread_.join();
}

std::string EndlessEndpoint::Address() const
{
  return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
}

void EndlessEndpoint::Accept()
{
  auto connection = std::make_shared<Connection>(loop_, open_);
  acceptor_.async_accept(connection->socket,
                         [this, connection](error_code error) {
                           if (!error) {
                             ReadRequest(connection);
                             Accept();
                           }
                         });
}

void EndlessEndpoint::ReadRequest(
  const std::shared_ptr<Connection>& connection)
{
  connection->request = {};
  http::async_read(connection->socket, connection->input, connection->request,
                   [this, connection](error_code error, std::size_t) {
                     if (error) {
                       return;
                     }
                     ++asked_;
                     connection->answer = script_(connection->request);
                     if (!std::exchange(connection->isAnswering, true)) {
                       ++open_;
                     }
                     Write(connection, connection->answer.begin);
                   });
}

void EndlessEndpoint::Write(const std::shared_ptr<Connection>& connection,
                            const std::string& bytes)
{
  asio::async_write(connection->socket, asio::buffer(bytes),
                    [this, connection](error_code error, std::size_t) {
                      if (!error) {
                        WriteUnit(connection);
                      }
                    });
}

void EndlessEndpoint::WriteUnit(const std::shared_ptr<Connection>& connection)
{
  const EndlessBytes& answer = connection->answer;
  if (answer.unit.empty()) {
    ReadRequest(connection); // or the caller's close
    return;
  }
  if (answer.pause == absl::ZeroDuration()) {
    Write(connection, answer.unit);
    return;
  }
  connection->timer.expires_after(absl::ToChronoMilliseconds(answer.pause));
  connection->timer.async_wait([this, connection](error_code error) {
    if (!error) {
      Write(connection, connection->answer.unit);
    }
  });
}

} // namespace wg::test
