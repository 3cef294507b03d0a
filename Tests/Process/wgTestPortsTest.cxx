// SPDX-License-Identifier: Apache-2.0
// The ports that tests give to their processes.
#include <fstream>
#include <set>

#include <catch2/catch.hpp>

#include "wgTestCluster.h"
#include "wgTestPorts.h"

namespace {

using wg::test::TestPorts;

constexpr int PortsOfACluster = 40;

int FirstOutgoingPort()
{
  std::ifstream file("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  file >> first;
  return first;
}

} // namespace

TEST_CASE("no outgoing connection can take a test's port")
{
  TestPorts ports;
  for (int i = 0; i < PortsOfACluster; ++i) {
    CHECK(ports.Take() < FirstOutgoingPort());
  }
}

TEST_CASE("tests that run at once share no port")
{
  TestPorts one;
  TestPorts other;
  std::set<int> all;
  for (int i = 0; i < PortsOfACluster; ++i) {
    all.insert(one.Take());
    all.insert(other.Take());
  }
  CHECK(all.size() == std::size_t{ 2 } * PortsOfACluster);
}

TEST_CASE("a test's port that another process holds is passed over")
{
  int first = 0;
  {
    TestPorts ports;
    first = ports.Take();
  }
  const auto address =
    wg::ParseSocketAddress("127.0.0.1:" + std::to_string(first));
  const auto held = wg::ListenTcp(wg::Value(address));
  REQUIRE(wg::Succeeded(held));
  TestPorts ports;
  for (int i = 0; i < PortsOfACluster; ++i) {
    CHECK(ports.Take() != first);
  }
}
