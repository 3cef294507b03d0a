// SPDX-License-Identifier: Apache-2.0
#include "wgForwarder.h"

#include <array>
#include <chrono>
#include <list>
#include <stdexcept>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

#include "wgSocket.h"

namespace wg::test {
namespace {

constexpr int PollMs = 10;
/** A limited link takes turns between connections in steps of some packets,
 * and holds no more than its socket's buffer.
 */
constexpr std::size_t LimitedStep = 4U << 10U;
constexpr int LimitedBuffer = 64 << 10;
constexpr std::chrono::milliseconds LimitedPause{ 1 };
constexpr double MostAllowed = 16U << 10U; // bytes at once, after a pause

/** A connection and the one that continues it. */
struct Wire
{
  FileDescriptor near;
  FileDescriptor far;
  bool broken = false;
  bool isLimited = false;
};

/** A link holds little of what it can't carry yet. */
void LimitBuffer(Wire& wire)
{
  if (std::exchange(wire.isLimited, true)) {
    return;
  }
  setsockopt(wire.far.Get(), SOL_SOCKET, SO_RCVBUF, &LimitedBuffer,
             sizeof LimitedBuffer);
}

void ResetOnClose(const FileDescriptor& socket)
{
  const linger atOnce{ 1, 0 };
  setsockopt(socket.Get(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
}

/** Passes on what has come; false when the connection is over. One that was
 * reset is reset on its other side too: there a close would be an end.
 * \param rate null: no limit
 */
bool Pass(const FileDescriptor& from, const FileDescriptor& to,
          std::atomic<std::uint64_t>& passed, LinkRate* rate)
{
  std::array<char, 65536> buffer;
  const std::size_t most =
    rate == nullptr ? buffer.size() : rate->Take(LimitedStep);
  if (most == 0) {
    return true;
  }
  const ssize_t got = recv(from.Get(), buffer.data(), most, MSG_DONTWAIT);
  if (rate != nullptr) {
    rate->GiveBack(most - static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  }
  if (got < 0) {
    const bool isOpen = errno == EAGAIN || errno == EINTR;
    if (!isOpen) {
      ResetOnClose(to);
    }
    return isOpen;
  }
  ssize_t sent = 0;
  while (sent < got) {
    const ssize_t now =
      send(to.Get(), buffer.data() + sent,
           static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
    if (now < 0 && errno != EAGAIN) {
      ResetOnClose(from);
      return false;
    }
    sent += std::max<ssize_t>(now, 0);
  }
  passed += static_cast<std::uint64_t>(got);
  return got > 0;
}

} // namespace

LinkRate::LinkRate(double bytesPerSecond)
  : bytesPerSecond_(bytesPerSecond)
{
}

std::size_t LinkRate::Take(std::size_t most)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  const Clock::time_point now = Clock::now();
  const std::chrono::duration<double> since = now - filled_;
  filled_ = now;
  allowed_ = std::min(MostAllowed, allowed_ + bytesPerSecond_ * since.count());
  const auto taken =
    std::min(most, static_cast<std::size_t>(std::max(allowed_, 0.0)));
  allowed_ -= static_cast<double>(taken);
  return taken;
}

void LinkRate::GiveBack(std::size_t bytes)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  allowed_ += static_cast<double>(bytes);
}

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

void Forwarder::LimitAnswers(std::shared_ptr<LinkRate> rate)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  answerRate_ = std::move(rate);
}

std::shared_ptr<LinkRate> Forwarder::AnswerRate()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return answerRate_;
}

/** A queue without room drops opening packets, as a cut link does. */
void Forwarder::TakePath(NoPath path)
{
  constexpr int fillers = 3;
  fillers_.clear();
  if (path == NoPath::Hang) {
    listen(listening_.Get(), 0);
    for (int i = 0; i < fillers; ++i) {
      auto filler = StartConnectTcp({ "127.0.0.1", listenPort_ });
      if (Succeeded(filler)) {
        fillers_.push_back(std::move(Value(filler)));
      }
    }
    return;
  }
  listening_.Close();
  if (path != NoPath::None) {
    return;
  }
  auto listening = ListenTcp({ "127.0.0.1", listenPort_ });
  if (Succeeded(listening)) {
    listening_ = std::move(Value(listening));
  }
}

void Forwarder::Run()
{
  std::list<Wire> wires;
  NoPath path = NoPath::None;
  while (!stopping_) {
    if (const NoPath wanted = path_; wanted != path) {
      path = wanted;
      TakePath(path);
      if (path == NoPath::Reset) {
        reset_ = true;
      }
    }
    const bool hangs = path == NoPath::Hang;
    const bool isClosed = path != NoPath::None;
    std::vector<pollfd> polled = { { isClosed ? -1 : listening_.Get(), POLLIN,
                                     0 } };
    if (!cut_ && !hangs) {
      for (const Wire& wire : wires) {
        polled.push_back({ wire.near.Get(), POLLIN, 0 });
        polled.push_back({ wire.far.Get(), POLLIN, 0 });
      }
    }
    poll(polled.data(), polled.size(), PollMs);
    FileDescriptor near(
      isClosed ? -1
               : accept4(listening_.Get(), nullptr, nullptr, SOCK_NONBLOCK));
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
    if (cut_ || hangs) {
      continue;
    }
    if (const int ms = delayMs_; ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
    const std::shared_ptr<LinkRate> rate = AnswerRate();
    if (rate != nullptr) {
      std::this_thread::sleep_for(LimitedPause);
    }
    for (Wire& wire : wires) {
      if (rate != nullptr) {
        LimitBuffer(wire);
      }
      wire.broken =
        !Pass(wire.near, wire.far, passed_, nullptr) ||
        (!answersCut_ && !Pass(wire.far, wire.near, passed_, rate.get()));
    }
    wires.remove_if([](const Wire& wire) { return wire.broken; });
  }
}

} // namespace wg::test
