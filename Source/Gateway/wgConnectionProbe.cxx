// SPDX-License-Identifier: Apache-2.0
#include "wgConnectionProbe.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "wgLoopTimer.h"
#include "wgSocketAddress.h"

namespace wg {
namespace {

using boost::asio::ip::tcp;

/** Forty times the longest way between halls that is known, 5 ms there and
 * back with a new connection.
 */
constexpr auto ProbeTimeout = std::chrono::milliseconds(200);

/** A connection that is tried, and the time that it may take. */
struct ProbeConnection
{
  explicit ProbeConnection(EventLoop& loop)
    : socket(loop)
    , timer(loop)
  {
  }
  tcp::socket socket;
  LoopTimer timer;
};

} // namespace

void ProbeAddress(EventLoop& loop, const std::string& address,
                  std::function<void(ConnectResult)> done)
{
  const Outcome<tcp::endpoint> parsed = ParseTcpEndpoint(address);
  if (!Succeeded(parsed)) {
    return;
  }
  auto probe = std::make_shared<ProbeConnection>(loop);
  probe->timer.expires_after(ProbeTimeout);
  probe->timer.async_wait([probe](boost::system::error_code error) {
    if (!error) {
      boost::system::error_code ignored;
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(
    Value(parsed),
    [probe, done = std::move(done)](boost::system::error_code error) {
      probe->timer.cancel();
      done(ConnectResultOf(error));
    });
}

} // namespace wg
