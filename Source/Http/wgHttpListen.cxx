// SPDX-License-Identifier: Apache-2.0
#include "wgHttpListen.h"

#include <httplib.h>
#include <sys/socket.h>

namespace wg {
namespace {

constexpr int ListenBacklog = 1024;

} // namespace

bool BindForBursts(httplib::Server& server, const std::string& host, int port)
{
  int socket = -1;
  server.set_socket_options([&socket](socket_t bound) {
    const int on = 1;
    setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socket = bound;
  });
  return server.bind_to_port(host, port) &&
         ::listen(socket, ListenBacklog) == 0;
}

} // namespace wg
