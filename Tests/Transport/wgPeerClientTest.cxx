// SPDX-License-Identifier: Apache-2.0
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include "wgCounters.h"
#include "wgPeerAuth.h"
#include "wgPeerClient.h"
#include "wgPeerServer.h"
#include "wgSocket.h"

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
