// SPDX-License-Identifier: Apache-2.0
// What the stand-in engine must do for other tests to mean something.
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "absl/strings/str_cat.h"

#include "wgStandinEngine.h"
#include "wgTestCluster.h"

namespace {

using Json = nlohmann::json;
using wg::StandinCache;
using wg::test::Await;
using wg::test::TestPorts;

/** An engine on a port of its own, and its client. */
class Engine
{
public:
  explicit Engine(TestPorts& ports, double loadLagMs = 0.0)
    : port_(ports.Take())
    , engine_({ "generate", port_, 2, 0.0, loadLagMs })
  {
    REQUIRE(engine_.Start());
  }
  int Port() const { return port_; }
  void Stop() { engine_.Stop(); }
  int Post(const std::string& path, const Json& body, Json* answer = nullptr)
  {
    httplib::Client client("127.0.0.1", port_);
    const auto result = client.Post(path, body.dump(), "application/json");
    if (result && answer != nullptr) {
      *answer = Json::parse(result->body, nullptr, false);
    }
    return result ? result->status : 0;
  }
  Json Get(const std::string& path)
  {
    httplib::Client client("127.0.0.1", port_);
    const auto result = client.Get(path);
    return result ? Json::parse(result->body, nullptr, false) : Json();
  }
  int Generate(const std::string& prompt)
  {
    return Post("/v1/completions",
                { { "prompt", prompt }, { "max_tokens", 4 } });
  }

private:
  int port_;
  wg::StandinEngine engine_;
};

} // namespace

TEST_CASE("a prefix can be taken to another engine while it is held")
{
  TestPorts ports;
  Engine one(ports);
  Engine other(ports);
  const Json prompt{ { "prompt", "a prompt" } };
  CHECK(one.Post("/v1/kv/export", prompt) == 404);
  CHECK(one.Generate("a prompt") == 200);
  Json exported;
  REQUIRE(one.Post("/v1/kv/export", prompt, &exported) == 200);
  const Json import{ { "handle", exported["handle"] },
                     { "from_port", one.Port() } };
  CHECK(other.Post("/v1/kv/export", prompt) == 404);
  CHECK(other.Post("/v1/kv/import", import) == 200);
  CHECK(other.Post("/v1/kv/export", prompt) == 200);
  const Json unknown{ { "handle", "0123456789abcdef" },
                      { "from_port", one.Port() } };
  CHECK(other.Post("/v1/kv/import", unknown) == 409);
}

TEST_CASE("cache events come late and with gaps, and memory is limited")
{
  StandinCache cache;
  cache.SetEventLag(absl::Seconds(10));
  const absl::Time start = absl::UnixEpoch();
  for (int i = 0; i < 300; ++i) {
    CHECK_FALSE(cache.Use(absl::StrCat("prompt ", i), start));
  }
  CHECK(cache.Use("prompt 299", start));
  CHECK_FALSE(cache.Holds(StandinCache::HandleOf("prompt 0")));
  CHECK(cache.EventsAfter(0, start + absl::Seconds(9)).empty());
  const Json told = cache.EventsAfter(0, start + absl::Seconds(10));
  const int events = 300 + 300 - 256; // stored, and dropped
  CHECK(told.size() == events - events / 5);
  CHECK(told[3]["number"] == 4);
  CHECK(told[4]["number"] == 6);
  CHECK(cache.EventsAfter(events, start + absl::Seconds(10)).empty());
}

TEST_CASE("orders load models, adapters and versions and change the role")
{
  TestPorts ports;
  Engine engine(ports);
  CHECK(engine.Post("/v1/orders", { { "fence", 1 }, { "model", "m2" } }) ==
        200);
  CHECK(engine.Post("/v1/orders", { { "fence", 2 }, { "adapter", "a" } }) ==
        200);
  CHECK(engine.Post("/v1/orders", { { "fence", 3 }, { "version", "v2" } }) ==
        200);
  CHECK(engine.Post("/v1/orders", { { "fence", 4 }, { "role", "decode" } }) ==
        200);
  CHECK(engine.Post("/v1/orders", { { "fence", 4 }, { "role", "both" } }) ==
        409);
  const Json load = engine.Get("/v1/load");
  CHECK(load["model"] == "m2");
  CHECK(load["adapter"] == "a");
  CHECK(load["version"] == "v2");
  CHECK(load["role"] == "decode");
  CHECK(load["ready"] == true);
  // Until an order is carried out it is not ready and serves nothing.
  engine.Post("/v1/fault", { { "load_ms", 1e9 } });
  CHECK(engine.Post("/v1/orders", { { "fence", 5 }, { "version", "v3" } }) ==
        200);
  CHECK(engine.Get("/v1/load")["ready"] == false);
  CHECK(engine.Get("/v1/load")["version"] == "v2");
  CHECK(engine.Generate("x") == 503);
}

TEST_CASE("a report of the load may be old")
{
  TestPorts ports;
  Engine prompt(ports);
  Engine late(ports, 1e9);
  CHECK(late.Get("/v1/load")["running"] == 0);
  std::vector<std::thread> calls;
  for (Engine* engine : { &prompt, &late }) {
    engine->Post("/v1/fault", { { "hang_next", 1 } });
    calls.emplace_back([engine] { engine->Generate("a long enough prompt"); });
  }
  Await("a call that runs",
        [&] { return prompt.Get("/v1/load")["running"] == 1; });
  Await("a call that runs at the other",
        [&] { return late.Get("/v1/runs")["runs"].size() == 1; });
  CHECK(late.Get("/v1/load")["running"] == 0);
  prompt.Stop();
  late.Stop();
  for (std::thread& call : calls) {
    call.join();
  }
}

// Guards against tests in which endpoints are slow and do not report it.
TEST_CASE("answers of every status report the load and the pace")
{
  TestPorts ports;
  Engine engine(ports);
  engine.Post("/v1/fault", { { "slowness", 2.5 }, { "fail_next", 1 } });
  httplib::Client client("127.0.0.1", engine.Port());
  const std::string field = "Weirgate-Load";
  const auto failed =
    client.Post("/v1/completions", R"({"prompt":"x"})", "application/json");
  REQUIRE(failed);
  CHECK(failed->status == 500);
  CHECK(failed->get_header_value(field) == "0,0,2,250");
  const auto health = client.Get("/v1/load");
  REQUIRE(health);
  CHECK(health->get_header_value(field) == "0,0,2,250");
}
