// SPDX-License-Identifier: Apache-2.0
// Bad input at every port: a clear refusal, and nothing else disturbed.
#include <catch2/catch.hpp>

#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgSocket.h"
#include "wgTestCluster.h"

namespace {

using wg::test::TestCluster;

struct Answer
{
  int status = 0;
  std::string reason;
  std::string run;
};

Answer Post(int port, const std::string& path, const httplib::Headers& headers,
            const std::string& body)
{
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(10, 0);
  const auto result = client.Post(path, headers, body, "application/json");
  Answer answer;
  if (result) {
    answer.status = result->status;
    const auto json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_object()) {
      answer.reason = json.value("reason", "");
      answer.run = json.value("run", "");
    }
  }
  return answer;
}

/** Sends bytes to a port and closes. */
void SendRaw(int port, const std::string& bytes)
{
  auto socket = wg::StartConnectTcp({ "127.0.0.1", port });
  REQUIRE(wg::Succeeded(socket));
  absl::SleepFor(absl::Milliseconds(20));
  send(wg::Value(socket).Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  absl::SleepFor(absl::Milliseconds(20));
}

} // namespace

TEST_CASE("callers' bad requests get their reason and run nothing",
          "[callers]")
{
  TestCluster cluster;
  const int port = cluster.EntryPort(0);
  const httplib::Headers account{ { "Weirgate-Account", "a" } };
  const std::string good = R"({"input": "x"})";
  const std::string path = "/v1/pipelines/answer";
  const auto with = [&account](const char* name, const std::string& value) {
    httplib::Headers headers = account;
    headers.emplace(name, value);
    return headers;
  };
  CHECK(Post(port, path, account, "{").reason == "bad_json");
  CHECK(Post(port, path, account, "[]").status == 400);
  CHECK(Post(port, path, account, R"({"input": 3})").reason == "bad_json");
  CHECK(Post(port, path, account, R"({"input":"x","max_tokens":-1})").reason ==
        "bad_json");
  CHECK(Post(port, "/v1/pipelines/none", account, good).reason ==
        "unknown_pipeline");
  CHECK(Post(port, path, {}, good).reason == "unknown_account");
  CHECK(Post(port, path, with("Weirgate-Deadline-Ms", "0"), good).reason ==
        "bad_deadline");
  CHECK(Post(port, path, with("Weirgate-Deadline-Ms", "soon"), good).status ==
        422);
  CHECK(Post(port, path, with("Weirgate-Priority", "high"), good).reason ==
        "bad_header");
  CHECK(Post(port, path, with("Weirgate-Repeatable", "maybe"), good).reason ==
        "bad_header");
  CHECK(Post(port, path, with("Idempotency-Key", std::string(300, 'k')), good)
          .reason == "bad_header");
  CHECK(Post(port, path, with("Idempotency-Key", "k\xff\xfe"), good).reason ==
        "bad_header");
  const Answer large = Post(
    port, path, account, "{\"input\": \"" + std::string(2 << 20, 'x') + "\"}");
  CHECK(large.status == 413);
  CHECK(large.reason == "body_too_large");
  const Answer refused = Post(port, path, account, "{");
  CHECK(refused.run == "not_run");
  CHECK(cluster.RunsOf(cluster.EndpointsOf("encode")).empty());
  CHECK(cluster.Call(0, "answer", "still fine").status == 200);
}

TEST_CASE("rubbish at the ports disturbs nobody", "[ports]")
{
  TestCluster cluster;
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  for (const int port : { cluster.EntryPort(0), cluster.EntryPeerPort(0),
                          cluster.ControlPort(0) }) {
    SendRaw(port, std::string(100000, '\xff'));
    SendRaw(port, preface + std::string(5000, '\x01'));
    SendRaw(port, "GET / HTTP/1.1\r\nX: " + std::string(100000, 'a'));
    SendRaw(port, std::string("\0\0\0\0", 4));
  }
  auto udp = wg::BindUdp({ "127.0.0.1", 0 });
  REQUIRE(wg::Succeeded(udp));
  for (const std::size_t size : { 0UL, 1UL, 64UL, 65UL, 5000UL }) {
    wg::SendUdp(wg::Value(udp), { "127.0.0.1", cluster.EntryPeerPort(0) },
                std::string(size, 'z'));
  }
  CHECK(cluster.Call(0, "remind", "still fine", "after-rubbish").status ==
        200);
  CHECK(cluster.Entry(0).IsRunning());
  CHECK(cluster.Control(0).IsRunning());
}

TEST_CASE("an endpoint that says nonsense of itself harms nobody",
          "[endpoints]")
{
  TestCluster cluster;
  httplib::Server liar;
  liar.Get(
    "/v1/load", [](const httplib::Request&, httplib::Response& response) {
      response.set_content(
        R"({"running": "many", "waiting": -1e99, "leaving": "perhaps"})",
        "application/json");
    });
  const int port = liar.bind_to_any_port("127.0.0.1");
  std::thread serving([&liar] { liar.listen_after_bind(); });
  cluster.AddEndpointAt("encode", port);
  CHECK(wg::test::WaitFor(
    [&] { return cluster.EntryHears("encode-" + std::to_string(port)); }));
  CHECK(cluster.Entry(0).IsRunning());
  CHECK(cluster.Call(0, "answer", "still fine").status == 200);
  liar.stop();
  serving.join();
}

TEST_CASE("peers and operators without the right key get nothing", "[keys]")
{
  TestCluster cluster;
  const std::string address =
    absl::StrCat("127.0.0.1:", cluster.ControlPort(0));
  wg::PeerClient wrong("not-the-key-at-all", "tester");
  CHECK_FALSE(wg::Succeeded(
    wrong.CallAndWait(address, "/status", "", absl::Seconds(2))));
  wg::PeerClient stranger("test-operator-key", "stranger");
  CHECK_FALSE(wg::Succeeded(
    stranger.CallAndWait(address, "/status", "", absl::Seconds(2))));
  // An operator may not speak as a peer does, nor take claims.
  wg::PeerClient tester("test-operator-key", "tester");
  wg::wire::Change claim;
  claim.mutable_take_claim()->set_account("a");
  claim.mutable_take_claim()->set_key("k");
  claim.mutable_take_claim()->set_request("r");
  const auto reply = tester.CallAndWait(
    address, "/change", claim.SerializeAsString(), absl::Seconds(2));
  REQUIRE(wg::Succeeded(reply));
  wg::wire::ChangeResult result;
  REQUIRE(result.ParseFromString(wg::Value(reply)));
  CHECK(result.verdict() == wg::wire::ChangeResult::REJECTED);
  CHECK(cluster.StatusOfControl(0).value("claims", 1) == 0);
}
