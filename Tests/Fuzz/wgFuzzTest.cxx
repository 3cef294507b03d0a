// SPDX-License-Identifier: Apache-2.0
// Every reader of bytes is given damaged ones; nothing may crash, and what is
// read must be sound. A seeded mutation loop over a committed corpus.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include "wgAnswerHead.h"
#include "wgConfigText.h"
#include "wgEndlessEndpoint.h"
#include "wgForwardedRequest.h"
#include "wgHttpClient.h"
#include "wgLanguage.h"
#include "wgLoopThread.h"
#include "wgMembership.h"
#include "wgOriginMessages.h"
#include "wgPlatformDialect.h"
#include "wgPlatformHeartbeat.h"
#include "wgRecord.h"
#include "wgReplicaStore.h"
#include "wgResultHandles.h"
#include "wgScriptedEndpoint.h"
#include "wgServiceState.h"
#include "wgSocket.h"
#include "wgStageProtocol.h"

namespace {

constexpr int Rounds = 4000;
constexpr std::uint64_t Seed = 20261202;

std::string ReadCorpus(const std::string& name)
{
  std::ifstream file(std::string(WG_CORPUS) + "/" + name, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), {});
  REQUIRE_FALSE(text.empty());
  return text;
}

/** Changes bytes, cuts, doubles and swaps parts. */
class Mutator
{
public:
  std::string operator()(std::string text)
  {
    const int changes = 1 + static_cast<int>(random_() % 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
      const std::size_t at = random_() % text.size();
      const std::size_t length = random_() % 16;
      switch (random_() % 5) {
        case 0:
          text[at] = static_cast<char>(random_());
          break;
        case 1:
          text.erase(at, length);
          break;
        case 2:
          text.insert(at, text.substr(random_() % text.size(), length));
          break;
        case 3:
          text.insert(at, 1, "\"[]{}=.-0\\\n\xff"[random_() % 12]);
          break;
        default:
          text.resize(at);
          break;
      }
    }
    return text;
  }
  std::uint64_t Next() { return random_(); }

private:
  std::mt19937_64 random_{ Seed };
};

} // namespace

TEST_CASE("damaged configurations are refused or sound")
{
  Mutator mutate;
  const std::string text = ReadCorpus("config-1.toml");
  int read = 0;
  for (int i = 0; i < Rounds; ++i) {
    const auto config = wg::ReadConfig(mutate(text));
    if (wg::Succeeded(config)) {
      ++read;
      REQUIRE(wg::Succeeded(wg::CheckConfig(wg::Value(config))));
      REQUIRE(
        wg::Succeeded(wg::ReadConfig(wg::PrintConfig(wg::Value(config)))));
    } else {
      REQUIRE_FALSE(wg::Message(config).empty());
    }
  }
  CHECK(read > 0);
}

TEST_CASE("damaged commands point inside their text")
{
  Mutator mutate;
  for (const char* name :
       { "command-1.txt", "command-2.txt", "command-3.txt" }) {
    const std::string text = ReadCorpus(name);
    for (int i = 0; i < Rounds; ++i) {
      const std::string damaged = mutate(text);
      const auto parsed = wg::ParseCommand(damaged);
      if (const auto* error = std::get_if<wg::LanguageError>(&parsed)) {
        REQUIRE(error->position <= damaged.size());
        REQUIRE_FALSE(error->message.empty());
      }
      wg::CompleteCommand(damaged);
    }
  }
}

TEST_CASE("damaged answers of endpoints are refused or taken whole")
{
  Mutator mutate;
  for (const char* name :
       { "answer-1.json", "answer-2.json", "answer-3.json" }) {
    const std::string text = ReadCorpus(name);
    for (int i = 0; i < Rounds; ++i) {
      for (int kind = 0; kind < 5; ++kind) {
        nlohmann::json document{ { "input", "x" },
                                 { "documents", { "a", "b" } } };
        wg::TakeStageAnswer(static_cast<wg::StageKind>(kind), "g",
                            mutate(text), document);
        wg::StageBody(static_cast<wg::StageKind>(kind), document, 5, 0);
      }
    }
  }
}

TEST_CASE("damaged answers to stage calls give handles that requests can name")
{
  Mutator mutate;
  const nlohmann::json item{ { "handle", "10.1.64.7:8080/91bd3f06e44" } };
  const nlohmann::json other{ { "reason", "late" } };
  const std::string text =
    nlohmann::json{ { "items", { item, other, item } } }.dump();
  int read = 0;
  for (int i = 0; i < Rounds; ++i) {
    const auto answer = wg::detail::ReadPlatformStageAnswer(mutate(text));
    if (!wg::Succeeded(answer)) {
      continue;
    }
    ++read;
    std::vector<std::string> handles;
    for (const wg::wire::StageItemResult& result : wg::Value(answer)) {
      if (result.state() == wg::wire::StageItemResult::DONE) {
        handles.push_back(result.handle());
      }
    }
    REQUIRE(wg::AreListable(handles));
    wg::ForwardFacts facts;
    facts.inputs = absl::StrJoin(handles, ",");
    REQUIRE(wg::Succeeded(wg::MakeForwardedRequest({}, {}, facts)));
    wg::detail::MakePlatformRelease(handles);
  }
  CHECK(read > 0);
}

TEST_CASE("damaged heartbeats are refused or sound")
{
  Mutator mutate;
  const std::string text = ReadCorpus("heartbeat-1.json");
  int read = 0;
  for (int i = 0; i < Rounds; ++i) {
    const auto heartbeat =
      wg::detail::ReadPlatformHeartbeat("i-1", mutate(text));
    if (!wg::Succeeded(heartbeat)) {
      REQUIRE_FALSE(wg::Message(heartbeat).empty());
      continue;
    }
    ++read;
    const wg::wire::Registration& registration = wg::Value(heartbeat);
    REQUIRE(wg::Succeeded(wg::ParseSocketAddress(registration.address())));
    REQUIRE_FALSE(registration.service().empty());
    REQUIRE(registration.slots() > 0);
    REQUIRE(registration.born_ms() >= 0);
    REQUIRE(registration.state() != wg::wire::Registration::UNSPECIFIED);
  }
  CHECK(read > 0);
}

namespace {

wg::wire::StreamOrigin MakeOrigin(const std::string& request)
{
  wg::wire::StreamOrigin origin;
  origin.set_request(request);
  origin.set_service("llm");
  origin.set_version("v1");
  origin.set_left_ms(20000);
  return origin;
}

} // namespace

TEST_CASE("damaged copies of origins are refused or kept within bounds")
{
  const google::protobuf::LogSilencer silencer;
  Mutator mutate;
  wg::wire::StreamOrigins copies;
  *copies.add_origins() = MakeOrigin("request-1");
  *copies.add_origins() = MakeOrigin("request-2");
  const std::string bytes = copies.SerializeAsString();
  const wg::Elapsed now = absl::Hours(1);
  wg::OriginRecords records;
  records.maxRecords = 100;
  for (int i = 0; i < Rounds; ++i) {
    wg::wire::StreamOrigins damaged;
    if (damaged.ParseFromString(mutate(bytes))) {
      wg::detail::KeepCopies(records, damaged, now);
    }
  }
  CHECK_FALSE(records.byRequest.empty());
  CHECK(records.byRequest.size() <= records.maxRecords);
  CHECK(records.byExpiry.size() == records.byRequest.size());
  for (const auto& [request, record] : records.byRequest) {
    CHECK(wg::IsOriginName(request));
    CHECK(record.origin.service.size() <= wg::MaxOriginNameBytes);
    CHECK(record.origin.version.size() <= wg::MaxOriginNameBytes);
    CHECK(record.until > now);
    CHECK(record.until <= now + wg::MaxStreamTime);
  }
  wg::ExpireOrigins(records, now + wg::MaxStreamTime);
  CHECK(records.byRequest.empty());
}

TEST_CASE("damaged answers on origins name no version that was not reported")
{
  const google::protobuf::LogSilencer silencer;
  Mutator mutate;
  wg::wire::StreamOriginAnswer answer;
  *answer.mutable_origin() = MakeOrigin("request-1");
  answer.set_is_whole(true);
  answer.add_members("c1");
  *answer.add_possible() = MakeOrigin("");
  const std::string bytes = answer.SerializeAsString();
  int known = 0;
  for (int i = 0; i < Rounds; ++i) {
    wg::OriginAnswer read = wg::detail::ReadOriginAnswer(mutate(bytes));
    REQUIRE((read.hasAnswered || (!read.origin && !read.isWhole)));
    read.control = "c1";
    const wg::OriginVerdict verdict = wg::EvaluateOrigin(true, {}, { read });
    if (verdict.evidence == wg::OriginEvidence::None) {
      REQUIRE(verdict.origin.version.empty());
      continue;
    }
    ++known;
    REQUIRE_FALSE(verdict.origin.version.empty());
    REQUIRE(read.hasAnswered);
  }
  CHECK(known > 0);
}

TEST_CASE("damaged streams end in order")
{
  Mutator mutate;
  const std::string text = ReadCorpus("stream-1.txt");
  for (int i = 0; i < Rounds; ++i) {
    wg::EventReader reader;
    const std::string damaged = mutate(text);
    std::size_t at = 0;
    while (at < damaged.size()) {
      const std::size_t length = 1 + mutate.Next() % 9;
      const bool more =
        reader.Take(absl::string_view(damaged).substr(at, length),
                    [](const std::string& data) {
                      wg::GenerationEvent event;
                      return wg::ParseGenerationEvent(data, event);
                    });
      if (!more) {
        break;
      }
      at += length;
    }
  }
}

namespace {

/** How an answer ends whose bytes are these and then an orderly close. */
wg::HttpCallEnd EndOfAnswer(const std::string& bytes)
{
  namespace http = boost::beast::http;
  std::string left = bytes;
  for (;;) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(std::uint64_t{ 1 } << 30U);
    boost::system::error_code error;
    std::size_t at = 0;
    while (!error && !parser.is_done() && at < left.size()) {
      at += parser.put(boost::asio::buffer(left.data() + at, left.size() - at),
                       error);
    }
    if (parser.is_header_done() &&
        wg::FindUnsound(parser.get().base(), true)) {
      return wg::HttpCallEnd::Cut;
    }
    const bool isInterim =
      !error && parser.is_done() && parser.get().result_int() / 100 == 1;
    if (isInterim) {
      left.erase(0, at);
      continue;
    }
    if (error && error != http::error::need_more) {
      return wg::HttpCallEnd::Cut;
    }
    if (parser.is_done()) {
      return wg::HttpCallEnd::Complete;
    }
    return parser.is_header_done() && parser.need_eof()
             ? wg::HttpCallEnd::EndedByClose
             : wg::HttpCallEnd::Cut;
  }
}

/** Reads answers as a call does, each over a new connection: one that is kept
 * may be closing already.
 */
class AnswerReader
{
public:
  struct Result
  {
    wg::HttpCallEnd end = wg::HttpCallEnd::Cut;
    unsigned status = 0; // of the head that was told; 0: none was
  };

  ~AnswerReader()
  {
    thread_.Join();
    client_.reset();
  }

  /** An orderly close follows the bytes. */
  Result Read(std::string bytes)
  {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      bytes_ = std::move(bytes);
    }
    Result result;
    std::promise<void> ended;
    std::unique_ptr<wg::HttpCall> call;
    wg::HttpCallHandler handler;
    handler.onHead = [&result](const wg::HttpHead& head, wg::BodyFraming) {
      result.status = head.result_int();
      return true;
    };
    handler.onBody = [](absl::string_view) {};
    handler.onEnd = [&result, &ended](wg::HttpCallEnd end) {
      result.end = end;
      ended.set_value();
    };
    thread_.Do([&] {
      client_ = std::make_unique<wg::HttpClient>(thread_.Loop());
      call = client_->Start(endpoint_.Address(),
                            "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {},
                            std::move(handler));
      return true;
    });
    REQUIRE(ended.get_future().wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
    thread_.Do([&call] {
      call.reset();
      return true;
    });
    return result;
  }

private:
  std::mutex mutex_;
  std::string bytes_;
  wg::test::ScriptedEndpoint endpoint_{
    "fuzz",
    [this](const auto&) {
      const std::lock_guard<std::mutex> lock(mutex_);
      return wg::test::ScriptedAnswer{ bytes_, wg::test::AnswerClose::Finish };
    }
  };
  wg::LoopThread thread_;
  std::unique_ptr<wg::HttpClient> client_;
};

} // namespace

TEST_CASE("damaged answers end each call as what they are")
{
  Mutator mutate;
  AnswerReader reader;
  std::map<wg::HttpCallEnd, int> ends;
  for (const char* name : { "http-length.txt", "http-chunks.txt",
                            "http-close.txt", "http-codings.txt" }) {
    const std::string text = ReadCorpus(name);
    for (int i = 0; i < Rounds / 4; ++i) {
      const std::string bytes = mutate(text);
      INFO("round " << i << " of " << name << ": " << bytes);
      const wg::HttpCallEnd end = reader.Read(bytes).end;
      REQUIRE(end == EndOfAnswer(bytes));
      ++ends[end];
    }
  }
  CHECK(ends[wg::HttpCallEnd::Complete] > 0);
  CHECK(ends[wg::HttpCallEnd::EndedByClose] > 0);
  CHECK(ends[wg::HttpCallEnd::Cut] > 0);
}

TEST_CASE("heads with damaged codings are sound only in chunks")
{
  namespace http = boost::beast::http;
  Mutator mutate;
  std::map<bool, int> found;
  for (int i = 0; i < Rounds; ++i) {
    const std::string value = mutate("gzip, chunked");
    wg::HttpHead head;
    head.result(http::status::ok);
    if (!wg::SetField(head, "Transfer-Encoding", value)) {
      continue;
    }
    CAPTURE(value);
    std::vector<std::string> names =
      absl::StrSplit(absl::AsciiStrToLower(value), ',', absl::SkipEmpty());
    for (std::string& name : names) {
      absl::StripAsciiWhitespace(&name);
    }
    names.erase(std::remove(names.begin(), names.end(), ""), names.end());
    const bool isSound = names == std::vector<std::string>{ "chunked" };
    REQUIRE(wg::FindUnsound(head, true).has_value() != isSound);
    REQUIRE_FALSE(wg::FindUnsound(head, false));
    ++found[isSound];
  }
  CHECK(found[true] > 0);
  CHECK(found[false] > 0);
}

TEST_CASE("heads with any status are told only if it is one of an answer")
{
  constexpr int statuses = 1000;
  constexpr int soundStatuses = 400;
  AnswerReader reader;
  int told = 0;
  for (int i = 0; i < statuses; ++i) {
    const std::string status = absl::StrFormat("%03d", i);
    CAPTURE(status);
    const std::string interim =
      i % 2 == 0 ? "" : "HTTP/1.1 100 Continue\r\n\r\n";
    const AnswerReader::Result result = reader.Read(absl::StrCat(
      interim, "HTTP/1.1 ", status, " Odd\r\nContent-Length: 2\r\n\r\nok"));
    const bool isSound = status[0] >= '2' && status[0] <= '5';
    REQUIRE((result.end == wg::HttpCallEnd::Complete) == isSound);
    REQUIRE((result.status != 0) == isSound);
    told += isSound ? 1 : 0;
  }
  CHECK(told == soundStatuses);
}

TEST_CASE("damaged answers without end end each call or are handed on")
{
  constexpr int rounds = 300;
  constexpr std::size_t handedOn = 1U << 20U;
  const std::string block(16U << 10U, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> kinds = {
    { "HTTP/1.1 200 ", block },
    { ok, "Field: x\r\n" },
    { "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { chunked + "2;name=", block },
    { chunked + "2\r\nok\r\n0\r\nTrailer: ", block },
    { chunked, "4\r\nabcd\r\n" },
    { ok + "Content-Length: 70368744177664\r\n\r\n", block },
    { ok + "\r\n", block },
    { "", block },
  };
  Mutator mutate;
  wg::test::EndlessBytes bytes;
  std::mutex mutex;
  wg::test::EndlessEndpoint endpoint([&](const wg::HttpRequest&) {
    const std::lock_guard<std::mutex> lock(mutex);
    return bytes;
  });
  wg::LoopThread thread;
  int ended = 0;
  int passed = 0;
  for (int i = 0; i < rounds; ++i) {
    const auto& [begin, unit] =
      kinds[static_cast<std::size_t>(i) % kinds.size()];
    {
      const std::lock_guard<std::mutex> lock(mutex);
      bytes = { mutate(begin), unit, {} };
    }
    CAPTURE(i, bytes.begin);
    std::promise<bool> outcome;
    std::size_t body = 0;
    bool isOver = false;
    const auto settle = [&](bool hasEnded) {
      if (!std::exchange(isOver, true)) {
        outcome.set_value(hasEnded);
      }
    };
    std::unique_ptr<wg::HttpClient> client;
    std::unique_ptr<wg::HttpCall> call;
    wg::HttpCallHandler handler;
    handler.onHead = [](const wg::HttpHead&, wg::BodyFraming) { return true; };
    handler.onBody = [&](absl::string_view part) {
      body += part.size();
      if (body > handedOn) {
        settle(false);
      }
    };
    handler.onEnd = [&](wg::HttpCallEnd) { settle(true); };
    thread.Do([&] {
      client = std::make_unique<wg::HttpClient>(thread.Loop());
      call =
        client->Start(endpoint.Address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                      {}, std::move(handler));
      return true;
    });
    auto future = outcome.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
    ++(future.get() ? ended : passed);
    thread.Do([&] {
      call.reset();
      client.reset();
      return true;
    });
  }
  CHECK(ended > 0);
  CHECK(passed > 0);
}

TEST_CASE("a damaged data folder is opened, set aside or refused")
{
  std::string pattern =
    std::filesystem::temp_directory_path() / "wg-fuzz-XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  Mutator mutate;
  for (int i = 0; i < 300; ++i) {
    std::filesystem::remove_all(folder);
    {
      wg::Replica replica;
      auto store =
        wg::ReplicaStore::Open(wg::SystemFileOperations(), folder, 7, replica);
      REQUIRE(wg::Succeeded(store));
      wg::ReplicaActions actions;
      actions.saveHardState = true;
      for (std::uint64_t n = 1; n <= 3; ++n) {
        wg::wire::LogEntry entry;
        entry.set_index(n);
        entry.set_term(1);
        actions.append.push_back(entry);
      }
      REQUIRE(wg::Succeeded(wg::Value(store)->Write(replica, actions)));
    }
    for (const char* name : { "log", "identity", "synced" }) {
      if (mutate.Next() % 2 == 0) {
        continue;
      }
      const std::string path = folder + "/" + name;
      std::ifstream in(path, std::ios::binary);
      const std::string bytes(std::istreambuf_iterator<char>(in), {});
      std::ofstream(path, std::ios::binary) << mutate(bytes);
    }
    wg::Replica replica;
    auto store =
      wg::ReplicaStore::Open(wg::SystemFileOperations(), folder, 8, replica);
    REQUIRE(wg::Succeeded(store));
    const bool sound = wg::Value(store)->State() == wg::FolderState::Valid;
    CHECK((replica.self.id() == 8) == !sound);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("damaged messages of peers do no harm")
{
  Mutator mutate;
  std::mt19937_64 random(Seed);
  wg::wire::AgreementMessage sound;
  sound.set_to(1);
  sound.set_from(2);
  sound.set_term(3);
  sound.set_cluster("c");
  sound.set_last_index(1);
  sound.set_last_term(1);
  wg::wire::LogEntry& entry = *sound.add_entries();
  entry.set_index(2);
  entry.set_term(3);
  entry.set_change("change");
  wg::Replica replica;
  replica.self.set_id(1);
  replica.cluster = "c";
  wg::StartReplica(replica, absl::ZeroDuration(), random);
  for (int i = 0; i < Rounds; ++i) {
    wg::wire::AgreementMessage message;
    sound.set_kind(
      static_cast<wg::wire::AgreementMessage::Kind>(mutate.Next() % 7));
    if (message.ParseFromString(mutate(sound.SerializeAsString()))) {
      wg::OnMessage(replica, message, absl::Seconds(i), random);
      wg::ExtractActions(replica);
    }
    wg::wire::Change change;
    wg::ServiceState state;
    change.ParseFromString(mutate(sound.SerializeAsString()));
    wg::ApplyChange(state, change);
    wg::LoadState(mutate(wg::SaveState(state)));
  }
  wg::Membership membership;
  wg::wire::Gossip gossip;
  gossip.add_members()->set_box("b");
  for (int i = 0; i < Rounds; ++i) {
    wg::wire::Gossip damaged;
    if (damaged.ParseFromString(mutate(gossip.SerializeAsString()))) {
      wg::MergeGossip(membership, damaged, absl::Seconds(1));
    }
  }
}
