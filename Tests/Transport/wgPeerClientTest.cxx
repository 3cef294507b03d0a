// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include "wgCounters.h"
#include "wgPeerAuth.h"
#include "wgPeerClient.h"
#include "wgPeerServer.h"
#include "wgSocket.h"
#include "wgTestPorts.h"

namespace {

constexpr const char* Key = "a key of the tests";

/** A port whose queue of connections is full: opening packets are dropped,
 * as by a box that has no power.
 */
class FullPort
{
public:
  FullPort()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* any = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(listener_.Get(), any, sizeof(address)) == 0);
    socklen_t length = sizeof(address);
    REQUIRE(getsockname(listener_.Get(), any, &length) == 0);
    port_ = ntohs(address.sin_port);
    REQUIRE(listen(listener_.Get(), 0) == 0);
    for (int i = 0; i < 2; ++i) {
      auto filler = wg::StartConnectTcp({ "127.0.0.1", port_ });
      REQUIRE(wg::Succeeded(filler));
      fillers_.push_back(std::move(wg::Value(filler)));
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  int Port() const { return port_; }
  void Close()
  {
    fillers_.clear();
    listener_.Close();
  }

private:
  wg::FileDescriptor listener_;
  std::vector<wg::FileDescriptor> fillers_;
  int port_ = 0;
};

std::map<std::string, std::string> Keys()
{
  return { { std::string(wg::PeerName), Key } };
}

} // namespace

TEST_CASE("A box that starts is reached before a lost packet is sent again")
{
  FullPort port;
  const std::string address = absl::StrCat("127.0.0.1:", port.Port());
  wg::PeerClient client(Key, wg::PeerName);
  wg::Outcome<std::string> reply = wg::Error{};
  absl::Notification done;
  // The kernel sends a lost opening packet again after a second.
  client.Call(address, "/ask", "question", absl::Milliseconds(900),
              [&](wg::Outcome<std::string> outcome) {
                reply = std::move(outcome);
                done.Notify();
              });
  absl::SleepFor(absl::Milliseconds(100));
  port.Close();
  wg::Counters counters;
  wg::PeerServer server(
    Keys(),
    [](const wg::PeerRequest& request,
       const wg::PeerServer::Respond& respond) {
      respond("answer to " + request.body);
    },
    counters);
  REQUIRE(wg::Succeeded(server.Start({ "127.0.0.1", port.Port() })));
  done.WaitForNotification();
  REQUIRE(wg::Succeeded(reply));
  CHECK(wg::Value(reply) == "answer to question");
}

TEST_CASE("A box that never answers fails its calls at their deadlines")
{
  FullPort port;
  const std::string address = absl::StrCat("127.0.0.1:", port.Port());
  wg::PeerClient client(Key, wg::PeerName);
  const absl::Time began = absl::Now();
  const auto reply =
    client.CallAndWait(address, "/ask", "question", absl::Milliseconds(500));
  const absl::Duration took = absl::Now() - began;
  CHECK_FALSE(wg::Succeeded(reply));
  CHECK(took >= absl::Milliseconds(480));
  CHECK(took < absl::Seconds(3));
}

TEST_CASE("A server that many boxes hold connections to answers one more")
{
  // At a start all boxes call the few control boxes that they know.
  constexpr rlim_t wanted = 4096;
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  limit.rlim_cur = std::min(std::max(limit.rlim_cur, wanted), limit.rlim_max);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  REQUIRE(limit.rlim_cur >= wanted);
  wg::test::TestPorts ports;
  const int port = ports.Take();
  wg::Counters counters;
  wg::PeerServer server(
    { { std::string(wg::PeerName), Key } },
    [](const wg::PeerRequest& request,
       const wg::PeerServer::Respond& respond) { respond(request.body); },
    counters);
  REQUIRE(wg::Succeeded(server.Start({ "127.0.0.1", port })));
  std::vector<wg::FileDescriptor> others;
  for (int i = 0; i < 1200; ++i) {
    auto other = wg::StartConnectTcp({ "127.0.0.1", port });
    REQUIRE(wg::Succeeded(other));
    others.push_back(std::move(wg::Value(other)));
    pollfd polled{ others.back().Get(), POLLOUT, 0 };
    REQUIRE(poll(&polled, 1, 5000) == 1);
  }
  wg::PeerClient client(Key, wg::PeerName);
  const auto reply = client.CallAndWait(absl::StrCat("127.0.0.1:", port),
                                        "/path", "body", absl::Seconds(5));
  REQUIRE(wg::Succeeded(reply));
  CHECK(wg::Value(reply) == "body");
}

TEST_CASE("A connection that has had no call for a while is closed")
{
  wg::test::TestPorts ports;
  const int port = ports.Take();
  auto listener = wg::ListenTcp({ "127.0.0.1", port });
  REQUIRE(wg::Succeeded(listener));
  wg::PeerClient client(Key, wg::PeerName, absl::Milliseconds(300));
  // It gets no answer, which alone is no reason to close it so soon.
  client.CallAndWait(absl::StrCat("127.0.0.1:", port), "/path", "",
                     absl::Milliseconds(100));
  wg::FileDescriptor accepted(
    accept(wg::Value(listener).Get(), nullptr, nullptr));
  REQUIRE(accepted.IsOpen());
  bool isClosed = false;
  for (int i = 0; i < 100 && !isClosed; ++i) {
    pollfd polled{ accepted.Get(), POLLIN, 0 };
    poll(&polled, 1, 50);
    std::array<char, 4096> bytes{};
    isClosed =
      recv(accepted.Get(), bytes.data(), bytes.size(), MSG_DONTWAIT) == 0;
  }
  CHECK(isClosed);
}

namespace {

/** A peer that takes a connection and writes a sound session's beginning and
 * then frames without end, as fast as the link bears.
 */
class EndlessPeer
{
public:
  EndlessPeer()
    : port_(ports_.Take())
    , listener_(Listen(port_))
    , thread_([this] { Run(); })
  {
  }
  ~EndlessPeer()
  {
    ending_ = true;
    thread_.join();
  }
  std::string Address() const { return absl::StrCat("127.0.0.1:", port_); }

private:
  static wg::FileDescriptor Listen(int port)
  {
    auto listening = wg::ListenTcp({ "127.0.0.1", port });
    REQUIRE(wg::Succeeded(listening));
    return std::move(wg::Value(listening));
  }
  void Run()
  {
    // SETTINGS, and frames of a type that nobody knows.
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    // Short ones, which take longer to read than to write.
    std::string frames;
    for (int i = 0; i < 10000; ++i) {
      frames += std::string("\0\0\0\xee\0\0\0\0\0", 9);
    }
    wg::FileDescriptor socket;
    while (!ending_ && !socket.IsOpen()) {
      pollfd polled{ listener_.Get(), POLLIN, 0 };
      poll(&polled, 1, 20);
      socket = wg::FileDescriptor(accept(listener_.Get(), nullptr, nullptr));
    }
    bool isOpen =
      send(socket.Get(), settings.data(), settings.size(), MSG_NOSIGNAL) > 0;
    while (!ending_ && isOpen) {
      isOpen =
        send(socket.Get(), frames.data(), frames.size(), MSG_NOSIGNAL) > 0;
    }
  }

  wg::test::TestPorts ports_;
  int port_;
  wg::FileDescriptor listener_;
  std::atomic<bool> ending_{ false };
  std::thread thread_;
};

} // namespace

// Its bytes were read on and on, and no other call made progress or ended.
TEST_CASE("A peer that sends without end holds up no call of others")
{
  EndlessPeer endless;
  wg::test::TestPorts ports;
  const int port = ports.Take();
  wg::Counters counters;
  wg::PeerServer server(
    Keys(),
    [](const wg::PeerRequest& request,
       const wg::PeerServer::Respond& respond) {
      respond("answer to " + request.body);
    },
    counters);
  REQUIRE(wg::Succeeded(server.Start({ "127.0.0.1", port })));
  wg::PeerClient client(Key, wg::PeerName);
  absl::Notification ended;
  client.Call(endless.Address(), "/ask", "question", absl::Milliseconds(500),
              [&](const wg::Outcome<std::string>&) { ended.Notify(); });
  absl::SleepFor(absl::Milliseconds(100));
  for (int i = 0; i < 10; ++i) {
    const auto reply = client.CallAndWait(
      absl::StrCat("127.0.0.1:", port), "/ask", "question", absl::Seconds(1));
    CHECK(wg::Succeeded(reply));
  }
  CHECK(ended.WaitForNotificationWithTimeout(absl::Seconds(2)));
}

// Each answer could have 64 MB, however many came at once.
TEST_CASE("What is kept of answers is bounded for all of them together")
{
  constexpr std::size_t most = 4U << 20U;
  wg::test::TestPorts ports;
  const int port = ports.Take();
  const std::string address = absl::StrCat("127.0.0.1:", port);
  wg::Counters counters;
  wg::PeerServer server(
    Keys(),
    [](const wg::PeerRequest& request,
       const wg::PeerServer::Respond& respond) {
      respond(std::string(request.body == "long" ? most + 1 : most, 'x'));
    },
    counters);
  REQUIRE(wg::Succeeded(server.Start({ "127.0.0.1", port })));
  wg::PeerClient client(Key, wg::PeerName, wg::PeerClient::IdleTime, most);
  const auto ask = [&](const std::string& body) {
    return wg::Succeeded(
      client.CallAndWait(address, "/ask", body, absl::Seconds(5)));
  };
  CHECK_FALSE(ask("long"));
  CHECK(ask("whole"));
  CHECK(ask("whole")); // what was kept before counts no more
}

namespace {

/** A connection over which a request begins that gets on by a byte at a time.
 */
class SlowPeer
{
public:
  explicit SlowPeer(int port)
  {
    auto connected = wg::StartConnectTcp({ "127.0.0.1", port });
    REQUIRE(wg::Succeeded(connected));
    socket_ = std::move(wg::Value(connected));
    pollfd polled{ socket_.Get(), POLLOUT, 0 };
    REQUIRE(poll(&polled, 1, 5000) == 1);
    // SETTINGS, and the head of POST http://w/.
    Send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
         std::string("\0\0\0\4\0\0\0\0\0", 9) +
         std::string("\0\0\6\1\4\0\0\0\1", 9) +
         std::string("\x83\x86\x84\x01\x01w", 6));
  }

  /** Whether the request was reset before the time is over. */
  bool IsResetWithin(absl::Duration time)
  {
    const absl::Time end = absl::Now() + time;
    const std::string reset("\0\0\4\3\0\0\0\0\1", 9);
    while (absl::Now() < end) {
      Send(std::string("\0\0\1\0\0\0\0\0\1x", 10));
      pollfd polled{ socket_.Get(), POLLIN, 0 };
      poll(&polled, 1, 20);
      std::array<char, 4096> bytes{};
      const ssize_t got =
        recv(socket_.Get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (got > 0) {
        read_.append(bytes.data(), static_cast<std::size_t>(got));
      }
      if (read_.find(reset) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

private:
  void Send(const std::string& bytes)
  {
    (void)send(socket_.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  wg::FileDescriptor socket_;
  std::string read_;
};

} // namespace

// A request that came a byte at a time was kept for as long as it came.
TEST_CASE("A request that does not become whole is reset")
{
  wg::test::TestPorts ports;
  const int port = ports.Take();
  wg::Counters counters;
  wg::PeerServer server(
    Keys(),
    [](const wg::PeerRequest& request,
       const wg::PeerServer::Respond& respond) {
      if (request.body != "late") {
        respond(request.body);
        return;
      }
      std::thread([respond] {
        absl::SleepFor(absl::Milliseconds(1500));
        respond("late");
      }).detach();
    },
    counters, wg::detail::MaxPeerBody, absl::Milliseconds(400));
  REQUIRE(wg::Succeeded(server.Start({ "127.0.0.1", port })));
  wg::PeerClient client(Key, wg::PeerName);
  SlowPeer slow(port);
  CHECK(slow.IsResetWithin(absl::Seconds(5)));
  // A request that is whole may be answered as late as it is.
  const auto late = client.CallAndWait(absl::StrCat("127.0.0.1:", port),
                                       "/ask", "late", absl::Seconds(5));
  CHECK(wg::Succeeded(late));
}
