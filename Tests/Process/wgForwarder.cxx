// SPDX-License-Identifier: Apache-2.0
#include "wgForwarder.h"

#include <array>
#include <chrono>
#include <list>
#include <stdexcept>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

#include "wgSocket.h"

namespace wg::test {
namespace {

constexpr int PollMs = 10;

/** A connection and the one that continues it. */
struct Wire
{
  FileDescriptor near;
  FileDescriptor far;
  bool broken = false;
};

/** Passes on what has come; false when the connection is over. */
bool Pass(const FileDescriptor& from, const FileDescriptor& to,
          std::atomic<std::uint64_t>& passed)
{
  std::array<char, 65536> buffer;
  const ssize_t got =
    recv(from.Get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (got < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  ssize_t sent = 0;
  while (sent < got) {
    const ssize_t now =
      send(to.Get(), buffer.data() + sent,
           static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
    if (now < 0 && errno != EAGAIN) {
      return false;
    }
    sent += std::max<ssize_t>(now, 0);
  }
  passed += static_cast<std::uint64_t>(got);
  return got > 0;
}

void ResetOnClose(const FileDescriptor& socket)
{
  const linger atOnce{ 1, 0 };
  setsockopt(socket.Get(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
}

} // namespace

Forwarder::Forwarder(int listenPort, int targetPort)
  : listenPort_(listenPort)
  , targetPort_(targetPort)
{
  auto listening = ListenTcp({ "127.0.0.1", listenPort_ });
  if (!Succeeded(listening)) {
    throw std::runtime_error(Message(listening));
  }
  listening_ = std::move(Value(listening));
  thread_ = std::thread([this] { Run(); });
}

Forwarder::~Forwarder()
{
  stopping_ = true;
  thread_.join();
}

void Forwarder::Run()
{
  std::list<Wire> wires;
  while (!stopping_) {
    std::vector<pollfd> polled = { { listening_.Get(), POLLIN, 0 } };
    if (!cut_) {
      for (const Wire& wire : wires) {
        polled.push_back({ wire.near.Get(), POLLIN, 0 });
        polled.push_back({ wire.far.Get(), POLLIN, 0 });
      }
    }
    poll(polled.data(), polled.size(), PollMs);
    FileDescriptor near(
      accept4(listening_.Get(), nullptr, nullptr, SOCK_NONBLOCK));
    if (near.IsOpen()) {
      auto far = StartConnectTcp({ "127.0.0.1", targetPort_ });
      if (Succeeded(far)) {
        wires.push_back({ std::move(near), std::move(Value(far)), false });
      }
    }
    if (reset_.exchange(false)) {
      for (const Wire& wire : wires) {
        ResetOnClose(wire.near);
        ResetOnClose(wire.far);
      }
      wires.clear();
    }
    if (cut_) {
      continue;
    }
    if (const int ms = delayMs_; ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
    for (Wire& wire : wires) {
      wire.broken = !Pass(wire.near, wire.far, passed_) ||
                    (!answersCut_ && !Pass(wire.far, wire.near, passed_));
    }
    wires.remove_if([](const Wire& wire) { return wire.broken; });
  }
}

} // namespace wg::test
