// SPDX-License-Identifier: Apache-2.0
#include "wgTestPorts.h"

#include <stdexcept>

#include <netinet/in.h>
#include <sys/socket.h>

namespace wg::test {
namespace {

// Above the demo's ports, below those of outgoing connections (32768).
constexpr int FirstPort = 24000;
constexpr int EndPort = 32000;
constexpr int BlockPorts = 100;

/** A socket that listens on the port, or none when it is in use; ports whose
 * connections ended lately can be listened on again.
 */
FileDescriptor Listen(int port)
{
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool listens =
    bind(socket.Get(), reinterpret_cast<const sockaddr*>(&address),
         sizeof address) == 0 &&
    listen(socket.Get(), 1) == 0;
  return listens ? std::move(socket) : FileDescriptor();
}

} // namespace

TestPorts::TestPorts()
{
  for (int first = FirstPort; first < EndPort; first += BlockPorts) {
    guard_ = Listen(first);
    if (guard_.IsOpen()) {
      next_ = first + 1;
      end_ = first + BlockPorts;
      return;
    }
  }
  throw std::runtime_error("Every block of test ports is held.");
}

int TestPorts::Take()
{
  while (next_ < end_) {
    const int port = next_++;
    if (Listen(port).IsOpen()) {
      return port;
    }
  }
  throw std::runtime_error("The block of test ports is used up.");
}

} // namespace wg::test
