// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "wgForwardedRequest.h"
#include "wgPlatformDialect.h"

namespace {

using Json = nlohmann::json;

Json Document()
{
  return Json::parse(R"({
    "version": 7,
    "routes": [
      { "name": "r1", "host": "one.example", "pathPrefix": "/a/",
        "type": "streaming", "timeoutMs": 8000, "latencyGoalMs": 1000,
        "gapAimMs": 200, "priority": 1, "maxAttempts": 2,
        "streamResume": true, "public": false,
        "backends": [ { "service": "llm", "weight": 90 },
                      { "service": "alt", "weight": 10 } ],
        "phases": [
          { "service": "enc", "afterRevision": [], "sizeBytes": 3000000 },
          { "service": "enc", "afterRevision": [0], "sizeBytes": 8000 } ] },
      { "name": "r2", "host": "two.example", "pathPrefix": "/b/",
        "type": "idempotent", "timeoutMs": 1500, "service": "alt",
        "maxAttempts": 2, "public": true } ],
    "services": [
      { "name": "llm", "maxConnections": 370,
        "engine": { "capacity": 64, "kvCapacityTokens": 614608 } },
      { "name": "alt", "maxConnections": 110 },
      { "name": "enc", "segments": { "capacity": 1, "queue": 2, "batch": 8,
        "callMs": 150.0, "itemMs": 16.0, "headroomMb": 39.0,
        "handleTtlS": 4.0 } } ],
    "limits": { "maxHeaderBytes": 1000, "maxBodyBytes": 2000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
    "tenants": [ { "name": "t1", "apiKeys": ["k1", "k2"], "priority": 1 },
                 { "name": "t2", "apiKeys": ["k3"] } ]
  })");
}

wg::Outcome<wg::RouteTable> Read(const Json& document)
{
  return wg::detail::ReadPlatformDocument(document.dump());
}

bool IsRefused(const Json& document, const std::string& because)
{
  const auto read = Read(document);
  const bool refused = !wg::Succeeded(read);
  if (refused) {
    INFO(wg::Message(read));
    CHECK(wg::Message(read).find(because) != std::string::npos);
  }
  return refused;
}

wg::StagePiece Piece(const std::string& request, std::uint32_t stage)
{
  wg::StagePiece piece;
  piece.request = request;
  piece.stage = stage;
  piece.piece = 2;
  piece.deadline = absl::Seconds(11);
  return piece;
}

} // namespace

TEST_CASE("A document becomes routes, services and keys")
{
  const auto read = Read(Document());
  REQUIRE(wg::Succeeded(read));
  const wg::RouteTable& table = wg::Value(read);
  CHECK(table.number == 7);
  const wg::Route& stream = table.routes.at(0);
  CHECK(stream.repetition == wg::Repetition::Resumable);
  CHECK(stream.isStream);
  CHECK(stream.timeout == absl::Seconds(8));
  CHECK(stream.gapAim == absl::Milliseconds(200));
  CHECK(stream.targets.size() == 2);
  CHECK(stream.stages.at(1).after == std::vector<std::size_t>{ 0 });
  CHECK(stream.stages.at(0).resultBytes == 3000000);
  const wg::Route& plain = table.routes.at(1);
  CHECK(plain.repetition == wg::Repetition::Repeatable);
  CHECK(plain.isPublic);
  CHECK(table.services.at("llm").engine->slots == 64);
  CHECK(table.services.at("enc").stage->batch == 8);
  CHECK(table.services.at("enc").stage->callSeconds == Approx(0.15));
  CHECK(table.services.at("enc").stage->roomBytes == 39000000);
  CHECK(table.keys.at("k2").account == "t1");
  CHECK(table.limits.bodyBytes == 2000);
}

TEST_CASE("What callers may not say for weirgate is reserved")
{
  const wg::FieldNames names = wg::MakePlatformDialect().fields;
  const std::string reserved[] = { "X-Weirgate-Expected-Version",
                                   "X-Weirgate-Kv-Retention",
                                   "X-Weirgate-Pin-Ms",
                                   "X-Weirgate-Kv-Backup",
                                   "Kv-From",
                                   "Kv-Fetch",
                                   "X-Weirgate-Tenant",
                                   "X-Weirgate-Target-Instance",
                                   "X-Weirgate-Request-Priority",
                                   "X-Weirgate-Batch-Inputs" };
  wg::HttpRequest asked;
  for (const std::string& name : reserved) {
    asked.insert(name, "forged");
  }
  asked.insert("X-Weirgate-Length-Hint", "80");
  asked.insert("X-Weirgate-Model", "m");
  asked.insert("Connection", "x-weirgate-model, Kv-From");
  wg::ForwardFacts facts;
  facts.left = absl::Seconds(1);
  const auto sent = wg::Value(wg::MakeForwardedRequest(asked, names, facts));
  for (const std::string& name : reserved) {
    CAPTURE(name);
    CHECK(sent.count(name) == 0);
  }
  CHECK(sent["X-Weirgate-Length-Hint"] == "80");
  CHECK(sent["X-Weirgate-Model"] == "m");
}

TEST_CASE("A caller's patience with a stream is the longest of three")
{
  Json document = Document(); // aim 1 s, pauses 200 ms
  CHECK(wg::Value(Read(document)).routes[0].patience == absl::Seconds(4));
  document["routes"][0]["latencyGoalMs"] = 300;
  CHECK(wg::Value(Read(document)).routes[0].patience == absl::Seconds(2));
  document["routes"][0]["gapAimMs"] = 600;
  CHECK(wg::Value(Read(document)).routes[0].patience ==
        absl::Milliseconds(4800));
  CHECK(wg::Value(Read(document)).routes[1].patience ==
        absl::InfiniteDuration());
}

TEST_CASE("Streams and sends run once unless their route says otherwise")
{
  Json document = Document();
  document["routes"][0]["streamResume"] = false;
  document["routes"][1]["type"] = "non_idempotent";
  const auto read = Read(document);
  REQUIRE(wg::Succeeded(read));
  for (const wg::Route& route : wg::Value(read).routes) {
    CHECK(route.repetition == wg::Repetition::RunOnce);
  }
}

TEST_CASE("Every invalid kind of document is refused with its reason")
{
  Json document = Document();
  SECTION("cut short")
  {
    const std::string text = document.dump();
    CHECK_FALSE(wg::Succeeded(
      wg::detail::ReadPlatformDocument(text.substr(0, text.size() / 2))));
    CHECK_FALSE(wg::Succeeded(wg::detail::ReadPlatformDocument("")));
  }
  SECTION("an unknown service of a target")
  {
    document["routes"][1]["service"] = "none";
    CHECK(IsRefused(document, "unknown service none"));
  }
  SECTION("an unknown service of a stage")
  {
    document["routes"][0]["phases"][1]["service"] = "none";
    CHECK(IsRefused(document, "unknown service none"));
  }
  SECTION("two routes at one place")
  {
    document["routes"][1]["host"] = "one.example";
    document["routes"][1]["pathPrefix"] = "/a/";
    CHECK(IsRefused(document, "share host"));
  }
  SECTION("no weight")
  {
    document["routes"][0]["backends"][0]["weight"] = 0;
    document["routes"][0]["backends"][1]["weight"] = 0;
    CHECK(IsRefused(document, "sum to 0"));
  }
  SECTION("no time")
  {
    document["routes"][1]["timeoutMs"] = 0;
    CHECK(IsRefused(document, "time-out of 0"));
  }
  SECTION("a key of two accounts")
  {
    document["tenants"][1]["apiKeys"].push_back("k1");
    CHECK(IsRefused(document, "share a key"));
  }
  SECTION("a stage that comes after a later one")
  {
    document["routes"][0]["phases"][0]["afterRevision"] = { 1 };
    CHECK(IsRefused(document, "comes after"));
  }
  SECTION("no number")
  {
    document.erase("version");
    CHECK(IsRefused(document, "version"));
  }
}

TEST_CASE("A stage call names pieces with keys or inputs, and the time left")
{
  std::vector<wg::StagePiece> pieces = { Piece("aa", 0), Piece("bb", 1) };
  pieces[0].key = "file";
  pieces[1].inputs = std::make_shared<const std::vector<std::string>>(
    std::vector<std::string>{ "10.1.64.9:8080/5c1e" });
  const wg::HttpRequest request =
    wg::detail::MakePlatformStageCall(pieces, absl::Seconds(10));
  CHECK(request.target() == "/-/stage-run");
  const Json body = Json::parse(request.body());
  CHECK(body["items"][0] == Json::parse(R"({"id": "aa", "phase": 0,
    "segment": 2, "remainingMs": 1000, "keyFile": "file"})"));
  CHECK(body["items"][1] == Json::parse(R"({"id": "bb", "phase": 1,
    "segment": 2, "remainingMs": 1000, "inputs": ["10.1.64.9:8080/5c1e"]})"));
}

TEST_CASE("Answers to stage calls are read item by item")
{
  using State = wg::wire::StageItemResult;
  const auto read = wg::detail::ReadPlatformStageAnswer(
    R"({"items": [{"handle": "10.1.64.7:8080/91bd"}, {"reason": "gone"},
        {"reason": "late"}, {"reason": "room"}, {"reason": "error"}, {}]})");
  REQUIRE(wg::Succeeded(read));
  const auto& results = wg::Value(read);
  REQUIRE(results.size() == 6);
  CHECK(results[0].handle() == "10.1.64.7:8080/91bd");
  CHECK(results[1].state() == State::INPUT_GONE);
  CHECK(results[2].state() == State::LATE);
  CHECK(results[3].state() == State::NO_ROOM);
  CHECK(results[4].state() == State::FAILED);
  CHECK(results[5].state() == State::FAILED);
  for (const char* text :
       { "", "{}", "[]", R"({"items": 3})", R"({"items": ["x"]})" }) {
    CHECK_FALSE(wg::Succeeded(wg::detail::ReadPlatformStageAnswer(text)));
  }
}

// A reason that is no text threw; handles of any length and kind were taken.
TEST_CASE("Items of a stage's answer that are unsound have failed")
{
  const std::string longest = "10.1.64.7:8080/" + std::string(1009, 'h');
  const Json items[] = { { { "reason", nullptr } },
                         { { "reason", 7 } },
                         { { "reason", Json::array({ "late" }) } },
                         { { "handle", nullptr } },
                         { { "handle", "" } },
                         { { "handle", longest + "h" } },
                         { { "handle", "10.1.64.7:8080/1\r\nX-Other: 1" } },
                         { { "handle", "10.1.64.7:8080/1,other" } },
                         { { "handle", "10.1.64.7:8080/\u00e9" } } };
  for (const Json& item : items) {
    CAPTURE(item.dump());
    const Json answer{ { "items", { item, { { "handle", longest } } } } };
    const auto read = wg::detail::ReadPlatformStageAnswer(answer.dump());
    REQUIRE(wg::Succeeded(read));
    CHECK(wg::Value(read)[0].state() == wg::wire::StageItemResult::FAILED);
    CHECK(wg::Value(read)[0].handle().empty());
    CHECK(wg::Value(read)[1].handle() == longest);
  }
}

TEST_CASE("Results are given up at their maker")
{
  CHECK(wg::detail::AddressOfPlatformResult("10.1.64.7:8080/91bd") ==
        "10.1.64.7:8080");
  const wg::HttpRequest request =
    wg::detail::MakePlatformRelease({ "10.1.64.7:8080/91bd" });
  CHECK(request.target() == "/-/stage-free");
  CHECK(Json::parse(request.body())["handles"].size() == 1);
}

TEST_CASE("What endpoints ask of senders is read strictly")
{
  using Lines = std::vector<std::pair<std::string, std::string>>;
  const auto read = [](unsigned status, const Lines& lines) {
    wg::HttpHead head;
    head.result(status);
    for (const auto& [name, value] : lines) {
      head.insert(name, value);
    }
    return wg::detail::ReadPlatformTerms(head);
  };
  CHECK_FALSE(read(200, {}).limits.perSecond);
  CHECK(read(200, {}).unreadable == 0);
  CHECK(read(200, { { "Server-Limit", " 2.5" } }).limits.perSecond == 2.5);
  CHECK(read(500, { { "server-limit", "0" } }).limits.perSecond == 0.0);
  CHECK(read(503, { { "Server-Limit", ".5" } }).limits.perSecond == 0.5);
  for (const char* bad : { "", "-1", "1e3", "inf", "nan", "0x10", "1,5", "1 2",
                           "1.2.3", ".", "+1", "99999999999999999999" }) {
    CAPTURE(bad);
    const wg::SenderTerms terms = read(200, { { "Server-Limit", bad } });
    CHECK_FALSE(terms.limits.perSecond);
    CHECK(terms.unreadable == 1);
  }
  CHECK(read(200, { { "Server-Limit", "7" }, { "Server-Limit", "3" } })
          .limits.perSecond == 3.0);
  CHECK(read(200, { { "Server-Limit", "x" }, { "Server-Limit", "3" } })
          .limits.perSecond == 3.0);

  const wg::SendLimits both =
    read(200, { { "Server-Limit", "7" }, { "Server-Brittle", "2" } }).limits;
  CHECK(both.perSecond == 7.0);
  CHECK(both.refusalsPerSecond == 2.0);
  CHECK(read(503, { { "server-brittle", "0" } }).limits.refusalsPerSecond ==
        0.0);
  CHECK_FALSE(
    read(200, { { "Server-Brittle", "-1" } }).limits.refusalsPerSecond);
  CHECK(read(200, { { "Server-Brittle", "few" } }).unreadable == 1);
  CHECK_FALSE(read(200, { { "Server-Brittle", "few" } }).clearsLimit);

  CHECK(read(200, {}).clearsLimit);
  CHECK_FALSE(read(503, {}).clearsLimit);
  CHECK_FALSE(read(500, {}).clearsLimit);
  CHECK_FALSE(read(200, { { "Server-Limit", "x" } }).clearsLimit);

  CHECK(read(200, { { "Server-Leaving", "1" } }).isLeaving);
  CHECK_FALSE(read(200, { { "Server-Leaving", "0" } }).isLeaving);
  CHECK(read(200, { { "Server-Leaving", "yes" } }).unreadable == 1);

  using Rest = absl::Duration;
  CHECK(read(503, { { "Retry-After", "2.5" } }).backoff == absl::Seconds(2.5));
  CHECK(
    read(503, { { "Retry-After", "1" }, { "Retry-After", "4" } }).backoff ==
    absl::Seconds(4));
  CHECK(read(200, { { "Retry-After", "2" } }).backoff == Rest());
  CHECK(read(429, { { "Retry-After", "2" } }).backoff == Rest());
  CHECK(read(503, { { "Retry-After", "-2" } }).backoff == Rest());
  CHECK(read(503, { { "Retry-After", "-2" } }).unreadable == 1);
  CHECK(read(503, { { "Retry-After", "9999999999" } }).backoff ==
        absl::Hours(1));
}

// Guards against numbers that a reader of less strictness accepts, and that
// would then steer the choice of endpoints.
TEST_CASE("The load that endpoints report is read strictly")
{
  const auto read = [](const std::vector<std::string>& values,
                       unsigned status = 200) {
    wg::HttpHead head;
    head.result(status);
    for (const std::string& value : values) {
      head.insert("x-weirgate-server-load", value);
    }
    const auto readLoad = wg::MakePlatformDialect().readLoad;
    REQUIRE(readLoad != nullptr);
    return readLoad(head);
  };
  SECTION("three numbers, or four")
  {
    const wg::EndpointLoadReport three = read({ "2,5,64" });
    REQUIRE(three.load);
    CHECK(three.load->running == 2.0);
    CHECK(three.load->waiting == 5.0);
    CHECK(three.load->slots == 64.0);
    CHECK_FALSE(three.load->pace);
    CHECK(read({ " 1, 0, 1, 250 " }).load->pace == 2.5);
    CHECK(read({ "0,0,1000000,.5" }).load->pace == 0.005);
    CHECK_FALSE(read({ "0,0,1,100" }).isUnreadable);
  }
  SECTION("an answer of any status")
  {
    CHECK(read({ "1,2,3" }, 503).load->waiting == 2.0);
  }
  SECTION("none is no fault")
  {
    CHECK_FALSE(read({}).load);
    CHECK_FALSE(read({}).isUnreadable);
  }
  SECTION("anything else is unreadable")
  {
    for (const char* bad :
         { "",          "1",           "1,2",
           "1,2,",      ",1,2",        "1,,2",
           "1,2,3,",    "1,2,3,4,5",   "1,2,3,-4",
           "+1,2,3",    "1e1,2,3",     "1,2,inf",
           "nan,2,3",   "1,2,3,nan",   "1;2;3",
           "1 2 3",     "1,2,1000001", "1,2,3,1000000.5",
           "1.2.3,4,5", "1,2,.",       "0x1,2,3",
           "1,2,3,0",   "1,2,3,0.0",   "1,2,99999999999999999999999999",
           "1,2,3%" }) {
      CAPTURE(bad);
      CHECK_FALSE(read({ bad }).load);
      CHECK(read({ bad }).isUnreadable);
    }
  }
  SECTION("two of which one must be false")
  {
    CHECK_FALSE(read({ "0,0,1,100", "1,4,1,500" }).load);
    CHECK(read({ "0,0,1,100", "1,4,1,500" }).isUnreadable);
  }
}

// Guards against a dialect without such a field being read.
TEST_CASE("The product's own dialect reads no load")
{
  CHECK(wg::Dialect().readLoad == nullptr);
}
