// SPDX-License-Identifier: Apache-2.0
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include "wgHttpServer.h"
#include "wgLoopThread.h"
#include "wgLoopTimer.h"
#include "wgStageClient.h"
#include "wgStageCoordinator.h"

namespace {

using ItemResult = wg::wire::StageItemResult;
using Exchange = std::shared_ptr<wg::HttpExchange>;

// The form of stage calls in these tests: a line for each piece, and a line
// for each result, its handle.

wg::HttpRequest MakeCall(absl::Span<const wg::StagePiece> pieces, wg::Elapsed)
{
  wg::HttpRequest request;
  request.method(boost::beast::http::verb::post);
  request.target("/stage");
  request.version(11);
  for (const wg::StagePiece& piece : pieces) {
    request.body() += absl::StrCat(piece.request, ".", piece.piece, "\n");
  }
  return request;
}

wg::Outcome<std::vector<ItemResult>> ReadAnswer(absl::string_view body)
{
  std::vector<ItemResult> results;
  for (absl::string_view line :
       absl::StrSplit(body, '\n', absl::SkipEmpty())) {
    ItemResult result;
    result.set_state(line == "error"  ? ItemResult::FAILED
                     : line == "gone" ? ItemResult::INPUT_GONE
                     : line == "room" ? ItemResult::NO_ROOM
                                      : ItemResult::DONE);
    result.set_handle(std::string(line));
    results.push_back(result);
  }
  return results;
}

wg::HttpRequest MakeRelease(absl::Span<const std::string> handles)
{
  wg::HttpRequest request;
  request.method(boost::beast::http::verb::post);
  request.target("/release");
  request.version(11);
  request.body() = absl::StrJoin(handles, "\n");
  return request;
}

std::string AddressOf(absl::string_view handle)
{
  return std::string(handle.substr(0, handle.find('/')));
}

wg::Dialect TestDialect()
{
  wg::Dialect dialect;
  dialect.makeStageCall = &MakeCall;
  dialect.readStageAnswer = &ReadAnswer;
  dialect.makeRelease = &MakeRelease;
  dialect.addressOfResult = &AddressOf;
  return dialect;
}

/** A coordinator with one endpoint, whose calls are answered by hand. */
class Fixture
{
public:
  Fixture()
  {
    thread.Do([this] {
      server = std::make_unique<wg::HttpServer>(
        thread.Loop(), [this](const Exchange& e) { OnCall(e); });
      REQUIRE(wg::Succeeded(server->Start("127.0.0.1", 0)));
      address = absl::StrCat("127.0.0.1:", server->Port());
      client = std::make_unique<wg::HttpClient>(thread.Loop());
      releaser = std::make_unique<wg::ResultReleaser>(
        thread.Loop(), *client, directory, dialect, terms, metrics);
      crashes = std::make_unique<wg::CrashTracker>(thread.Loop(), directory,
                                                   log, metrics);
      halls = std::make_unique<wg::HallProber>(thread.Loop(), directory, log,
                                               [](const std::string&) {});
      permits = std::make_unique<wg::SendPermits>(thread.Loop(), directory,
                                                  terms, metrics, log);
      coordinator = std::make_unique<wg::StageCoordinator>(
        thread.Loop(), *client, directory, dialect, *releaser, *halls,
        *crashes, terms, *permits, metrics, log);
      wg::RetryRules rules;
      rules.slack = 1000;
      coordinator->SetRetryRules(rules);
      coordinator->SetTable(Table());
      stages = std::make_unique<wg::StageClient>(
        thread.Loop(), peers, *coordinator, directory,
        wg::GatewayMember{ "box", "h", address }, metrics);
      Register();
      return true;
    });
  }
  ~Fixture()
  {
    thread.Join();
    held.clear();
    stages.reset();
    coordinator.reset();
    releaser.reset();
    halls.reset();
    crashes.reset();
    client.reset();
    server.reset();
  }

  void Submit(std::uint64_t number, int pieces, int leftMs = 20000,
              int admitMs = 0)
  {
    thread.Do([this, number, pieces, leftMs, admitMs] {
      wg::wire::StageWork work;
      work.set_box("box");
      work.set_work(number);
      work.set_service("svc");
      work.set_request(absl::StrCat("r", number));
      work.set_left_ms(leftMs);
      work.set_due_ms(20000);
      work.set_result_bytes(100);
      work.set_admit_ms(admitMs);
      for (int i = 0; i < pieces; ++i) {
        work.add_items()->set_piece(static_cast<std::uint32_t>(i));
      }
      coordinator->Submit(work, [this, number](const auto& reply) {
        ++ended[number];
        replies[number] = reply;
      });
      return true;
    });
  }
  void Cancel(std::uint64_t number)
  {
    thread.Do([this, number] {
      coordinator->Cancel("box", number);
      return true;
    });
  }
  /** Waits for a call, and answers it line by line. */
  std::string AnswerNext(const std::string& override = "")
  {
    REQUIRE(Eventually([this] { return !held.empty(); }));
    return thread.Do([this, override] {
      Exchange exchange = held.front();
      held.erase(held.begin());
      std::string asked = exchange->Request().body();
      std::string answer;
      for (absl::string_view line :
           absl::StrSplit(asked, '\n', absl::SkipEmpty())) {
        absl::StrAppend(&answer,
                        override.empty()
                          ? absl::StrCat(address, "/", line, "#", ++made)
                          : override,
                        "\n");
      }
      exchange->Respond(wg::MakeResponse(200, "", answer));
      return asked;
    });
  }
  template <class Condition>
  bool Eventually(Condition condition)
  {
    for (int i = 0; i < 500; ++i) {
      if (thread.Do(condition)) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(10));
    }
    return false;
  }

  wg::LoopThread thread;
  wg::Dialect dialect = TestDialect();
  wg::Directory directory;
  wg::GatewayMetrics metrics;
  wg::DecisionLog log{ "test", "test" };
  wg::TermsTracker terms{ directory, dialect, metrics, log };
  std::unique_ptr<wg::HttpServer> server;
  std::unique_ptr<wg::HttpClient> client;
  std::unique_ptr<wg::SendPermits> permits;
  std::unique_ptr<wg::ResultReleaser> releaser;
  std::unique_ptr<wg::HallProber> halls;
  std::unique_ptr<wg::CrashTracker> crashes;
  std::unique_ptr<wg::StageCoordinator> coordinator;
  wg::PeerClient peers{ "a key of the tests", "test" };
  std::unique_ptr<wg::StageClient> stages;
  std::string address;
  std::vector<Exchange> held;
  std::vector<std::string> released;
  std::map<std::uint64_t, int> ended;
  std::map<std::uint64_t, wg::wire::StageReply> replies;
  int made = 0;
  bool confirms = true; // that results are gone

private:
  void OnCall(const Exchange& exchange)
  {
    if (exchange->Request().target() == "/release") {
      for (absl::string_view handle :
           absl::StrSplit(exchange->Request().body(), '\n')) {
        released.emplace_back(handle);
      }
      exchange->Respond(wg::MakeResponse(confirms ? 200 : 503, "", ""));
      return;
    }
    held.push_back(exchange);
  }
  void Register()
  {
    wg::wire::Registration told;
    told.set_endpoint("e");
    told.set_service("svc");
    told.set_address(address);
    told.set_hall("h");
    told.set_slots(1);
    told.set_sequence(1);
    told.set_state(wg::wire::Registration::READY);
    wg::MergeRegistration(directory, told, wg::ElapsedNow());
  }
  static std::shared_ptr<const wg::RouteTable> Table()
  {
    auto table = std::make_shared<wg::RouteTable>();
    wg::RoutedService& service = table->services["svc"];
    service.stage.emplace();
    service.stage->batch = 3;
    service.stage->callSeconds = 1.0;
    service.stage->roomBytes = 400;
    return table;
  }
};

bool AllDone(const wg::wire::StageReply& reply, int pieces)
{
  return reply.results_size() == pieces &&
         std::all_of(reply.results().begin(), reply.results().end(),
                     [](const ItemResult& result) {
                       return result.state() == ItemResult::DONE;
                     });
}

} // namespace

TEST_CASE("Pieces of several works go in one call")
{
  Fixture f;
  f.Submit(1, 1);
  CHECK(f.AnswerNext() == "r1.0\n");
  f.Submit(2, 1);
  f.Submit(3, 2);
  f.Submit(4, 1);
  CHECK(f.AnswerNext() == "r2.0\n");
  CHECK(f.AnswerNext() == "r3.0\nr3.1\n"); // room for four results in all
  CHECK(f.Eventually([&] { return f.ended[3] == 1; }));
  CHECK(AllDone(f.replies[3], 2));
  CHECK(f.ended[4] == 0);
  f.thread.Do([&] {
    f.coordinator->Release({ f.replies[3].results(0).handle() });
    return true;
  });
  CHECK(f.AnswerNext() == "r4.0\n");
  CHECK(f.Eventually([&] { return f.ended[4] == 1; }));
  CHECK(f.Eventually([&] { return f.released.size() == 1; }));
}

TEST_CASE("Pieces that could not be made are made again")
{
  Fixture f;
  f.Submit(1, 2);
  f.AnswerNext("error");
  CHECK(f.AnswerNext() == "r1.0\nr1.1\n");
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(AllDone(f.replies[1], 2));
}

TEST_CASE("A cancelled work gives up what was made, and the rest is not sent")
{
  Fixture f;
  f.Submit(1, 4);
  CHECK(f.AnswerNext() == "r1.0\nr1.1\nr1.2\n");
  // The fourth is at work, others wait: making room for them must not touch
  // what is being cancelled.
  REQUIRE(f.Eventually([&] { return f.held.size() == 1; }));
  f.Submit(2, 3);
  f.Submit(3, 4);
  f.Cancel(1);
  CHECK(f.AnswerNext() == "r1.3\n");
  CHECK(f.AnswerNext() == "r2.0\nr2.1\nr2.2\n");
  CHECK(f.Eventually([&] { return f.ended[2] == 1; }));
  f.Cancel(3);
  CHECK(f.ended[1] == 0);
  CHECK(f.Eventually([&] { return f.released.size() == 4; }));
}

TEST_CASE("Work that is sent again takes the place of what was sent before")
{
  // It ended the process: pieces were settled in a work that was over.
  Fixture f;
  f.Submit(1, 2);
  REQUIRE(f.Eventually([&] { return f.held.size() == 1; }));
  f.Submit(1, 2);
  f.AnswerNext();
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(AllDone(f.replies[1], 2));
  CHECK(f.Eventually([&] { return f.released.size() == 2; }));
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(f.ended[1] == 1);
  CHECK(f.coordinator->IsIdle());
}

TEST_CASE("Results are given up by a box that does not know their maker")
{
  Fixture f;
  f.thread.Do([&] {
    // Another box had them made: the maker has registered there only.
    f.directory = {};
    f.stages->Release({ "svc", "" },
                      { f.address + "/r1.0#1", f.address + "/r1.1#2" });
    return true;
  });
  CHECK(f.Eventually([&] { return f.released.size() == 2; }));
}

TEST_CASE("Room is free only once its maker has confirmed it")
{
  Fixture f;
  f.Submit(1, 3);
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  f.Submit(2, 3); // room for four results in all
  CHECK(f.AnswerNext() == "r2.0\n");
  f.thread.Do([&] {
    f.confirms = false;
    f.coordinator->Release({ f.replies[1].results(0).handle() });
    return true;
  });
  CHECK(f.Eventually([&] { return f.released.size() == 1; }));
  absl::SleepFor(absl::Milliseconds(100));
  CHECK(f.thread.Do([&] { return f.held.empty(); }));
  f.thread.Do([&] {
    f.confirms = true;
    f.coordinator->Release({ f.replies[1].results(1).handle() });
    return true;
  });
  CHECK(f.AnswerNext() == "r2.1\n");
}

TEST_CASE("An endpoint that lacked room still gets what fits")
{
  Fixture f;
  f.Submit(1, 2);
  // It holds more than is known here: two of four places.
  CHECK(f.AnswerNext("room") == "r1.0\nr1.1\n");
  // The others are used at once, not after a pause.
  CHECK(f.AnswerNext() == "r1.0\nr1.1\n");
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  f.Submit(2, 1);
  CHECK(f.thread.Do([&] { return f.held.empty(); }));
  // What is not known here is not taken to stay for ever.
  CHECK(f.AnswerNext() == "r2.0\n");
}

TEST_CASE("Work that is late at once ends, and others go on")
{
  Fixture f;
  f.Submit(1, 2, 0); // it ends while it is taken
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(f.replies[1].results(0).state() == ItemResult::LATE);
  f.Submit(2, 1);
  CHECK(f.AnswerNext() == "r2.0\n");
}

TEST_CASE("A work ends with its first piece that can't be made")
{
  Fixture fixture;
  // The endpoint takes three pieces a call: the fourth waits.
  fixture.Submit(1, 4);
  fixture.AnswerNext("gone");
  REQUIRE(fixture.Eventually([&] { return fixture.ended[1] == 1; }));
  CHECK(fixture.thread.Do([&] { return fixture.coordinator->IsIdle(); }));
  // Nothing more of it is asked for: the next call is another work's.
  fixture.Submit(2, 1);
  CHECK(absl::StartsWith(fixture.AnswerNext(), "r2"));
}

TEST_CASE("Work that would wait too long is refused at once")
{
  // In a burst at 295 boxes, each with 2 requests a second, 1,000 streams
  // were left unserved: none was refused on arrival, and half of them only
  // after more than a second ("stage_late"), as the boxes that admit heard of
  // a pool's backlog too rarely to know it.
  Fixture f;
  f.Submit(1, 3); // at work for a second
  REQUIRE(f.Eventually([&] { return f.held.size() == 1; }));
  f.Submit(2, 3); // the next call, a second from now
  f.Submit(3, 1, 20000, 1500);
  CHECK(f.Eventually([&] { return f.ended[3] == 1; }));
  CHECK(f.replies[3].results(0).state() == ItemResult::REFUSED);
  CHECK(f.replies[3].waiting_ms() > 1500);
  // One that may wait is taken, and so is one that asks for no admission.
  f.Submit(4, 1, 20000, 3000);
  f.Submit(5, 1);
  CHECK(f.ended[4] == 0);
  CHECK(f.ended[5] == 0);
  f.AnswerNext();
  f.AnswerNext();
  CHECK(f.ended[3] == 1);
}

namespace {

// Calls of these tests take a second: their inputs are fetched after half of
// it.
constexpr absl::Duration BeforeFetched = absl::Milliseconds(250);
constexpr absl::Duration AfterFetched = absl::Milliseconds(800);

struct InputWork
{
  std::uint64_t number = 0;
  int pieces = 1;
  std::string inputService = "svc";
};

std::vector<std::string> InputsOf(const Fixture& f, std::uint64_t number)
{
  return { absl::StrCat(f.address, "/in", number, "#0"),
           absl::StrCat(f.address, "/in", number, "#1") };
}

void SubmitWithInputs(Fixture& f, const InputWork& asked,
                      const std::vector<std::string>& inputs)
{
  f.thread.Do([&f, &asked, &inputs] {
    wg::wire::StageWork work;
    work.set_box("box");
    work.set_work(asked.number);
    work.set_service("svc");
    work.set_request(absl::StrCat("r", asked.number));
    work.set_left_ms(20000);
    work.set_due_ms(20000);
    work.set_result_bytes(100);
    work.set_input_service(asked.inputService);
    for (const std::string& input : inputs) {
      work.add_inputs(input);
    }
    for (int i = 0; i < asked.pieces; ++i) {
      work.add_items()->set_piece(static_cast<std::uint32_t>(i));
    }
    f.coordinator->Submit(work,
                          [&f, number = asked.number](const auto& reply) {
                            ++f.ended[number];
                            f.replies[number] = reply;
                          });
    return true;
  });
}

void SubmitWithInputs(Fixture& f, const InputWork& asked)
{
  SubmitWithInputs(f, asked, InputsOf(f, asked.number));
}

bool IsHeld(Fixture& f, std::size_t calls = 1)
{
  return f.Eventually([&f, calls] { return f.held.size() == calls; });
}

std::size_t CountReleased(Fixture& f)
{
  return f.thread.Do([&f] { return f.released.size(); });
}

/** Only on the loop. */
bool IsCountedHere(const Fixture& f, absl::string_view counter)
{
  return absl::StrContains(f.metrics.Print(),
                           absl::StrCat("\"", counter, "\""));
}

bool IsCounted(Fixture& f, absl::string_view counter)
{
  return f.thread.Do([&f, counter] { return IsCountedHere(f, counter); });
}

/** Answers the held call with these lines; "made" stands for a result. */
void AnswerWith(Fixture& f, std::size_t held,
                const std::vector<std::string>& lines)
{
  f.thread.Do([&f, held, &lines] {
    std::string answer;
    for (const std::string& line : lines) {
      absl::StrAppend(
        &answer,
        line == "made" ? absl::StrCat(f.address, "/#", ++f.made) : line, "\n");
    }
    const Exchange exchange = f.held[held];
    f.held.erase(f.held.begin() + static_cast<std::ptrdiff_t>(held));
    exchange->Respond(wg::MakeResponse(200, "", answer));
    return true;
  });
}

void SetLimits(Fixture& f, int slots, std::size_t batch,
               std::int64_t roomBytes, absl::Duration resultLifetime)
{
  f.thread.Do([=, &f] {
    auto table = std::make_shared<wg::RouteTable>();
    wg::RoutedService& service = table->services["svc"];
    service.stage.emplace();
    service.stage->slots = slots;
    service.stage->batch = batch;
    service.stage->callSeconds = 1.0;
    service.stage->roomBytes = roomBytes;
    service.stage->resultLifetime = resultLifetime;
    f.coordinator->SetTable(table);
    return true;
  });
}

} // namespace

TEST_CASE("Inputs are released once all calls of a work have fetched them")
{
  // They filled the endpoints of the stage before while this one ran.
  Fixture f;
  SubmitWithInputs(f, { 1, 4 }); // three pieces a call
  REQUIRE(IsHeld(f));
  absl::SleepFor(AfterFetched);
  CHECK(CountReleased(f) == 0); // a piece waits and needs them
  f.AnswerNext();
  REQUIRE(IsHeld(f));
  absl::SleepFor(BeforeFetched);
  CHECK(CountReleased(f) == 0);
  CHECK(f.Eventually([&] { return f.released == InputsOf(f, 1); }));
  CHECK(f.ended[1] == 0);
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(AllDone(f.replies[1], 4));
}

TEST_CASE("Inputs are not released early unless their pool is named")
{
  // Other stages may need them.
  Fixture f;
  SubmitWithInputs(f, { 1, 1, "" });
  REQUIRE(IsHeld(f));
  absl::SleepFor(AfterFetched);
  CHECK(CountReleased(f) == 0);
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
}

TEST_CASE("A call that fails after its inputs were released ends its work")
{
  // Its pieces would be sent again, wait, and find their inputs gone.
  Fixture f;
  SubmitWithInputs(f, { 1, 2 });
  CHECK(f.Eventually([&] { return f.released.size() == 2; }));
  REQUIRE(IsHeld(f));
  AnswerWith(f, 0, { "error", "error" });
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(f.replies[1].results(0).state() == ItemResult::INPUT_GONE);
  CHECK(f.thread.Do([&] { return f.coordinator->IsIdle(); }));
  f.Submit(2, 1);
  CHECK(f.AnswerNext() == "r2.0\n");
}

TEST_CASE("A call that fails before its inputs were released is made again")
{
  Fixture f;
  SubmitWithInputs(f, { 1, 2 });
  REQUIRE(IsHeld(f));
  AnswerWith(f, 0, { "error", "error" });
  CHECK(f.AnswerNext() == "r1.0\nr1.1\n");
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(AllDone(f.replies[1], 2));
}

TEST_CASE("Inputs of a call that takes longer than expected are kept")
{
  Fixture f;
  SetLimits(f, 2, 1, 1000, absl::Seconds(4));
  f.Submit(1, 1);
  REQUIRE(IsHeld(f));
  SubmitWithInputs(f, { 2, 2 });
  REQUIRE(IsHeld(f, 2)); // one piece waits
  absl::SleepFor(AfterFetched);
  AnswerWith(f, 0, { "made" });
  REQUIRE(IsHeld(f, 2));
  // The first call is late when the second one has fetched its inputs.
  CHECK(f.Eventually(
    [&] { return IsCountedHere(f, "stage_inputs_kept_call_overdue"); }));
  CHECK(CountReleased(f) == 0);
  AnswerWith(f, 0, { "made" });
  CHECK(f.Eventually([&] { return f.released == InputsOf(f, 2); }));
  CHECK(f.ended[2] == 0);
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[2] == 1; }));
}

TEST_CASE("Inputs are kept where results were refused for lack of room")
{
  // A piece that is refused again is made again, and needs them.
  Fixture f;
  f.Submit(1, 1);
  f.AnswerNext("room");
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  SubmitWithInputs(f, { 2, 1 });
  REQUIRE(IsHeld(f));
  absl::SleepFor(AfterFetched);
  CHECK(CountReleased(f) == 0);
  CHECK(IsCounted(f, "stage_inputs_kept_room_short"));
  AnswerWith(f, 0, { "room" });
  CHECK(f.AnswerNext() == "r2.0\n");
  CHECK(f.Eventually([&] { return f.ended[2] == 1; }));
  CHECK(AllDone(f.replies[2], 1));
}

TEST_CASE("Inputs that an endpoint missed are kept from then on")
{
  // Two coordinators of a pool queue calls behind each other: half of the
  // expected time is over before such a call has begun.
  Fixture f;
  SubmitWithInputs(f, { 1, 1 });
  CHECK(f.Eventually([&] { return f.released.size() == 2; }));
  f.AnswerNext("gone");
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(f.replies[1].results(0).state() == ItemResult::INPUT_GONE);
  CHECK(IsCounted(f, "stage_inputs_missed"));
  SubmitWithInputs(f, { 2, 1 });
  REQUIRE(IsHeld(f));
  absl::SleepFor(AfterFetched);
  CHECK(CountReleased(f) == 2);
  CHECK(IsCounted(f, "stage_inputs_kept_recent_loss"));
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[2] == 1; }));
}

TEST_CASE("Inputs that were released early are released again without harm")
{
  // Room that is freed twice would be filled beyond what the endpoint has.
  Fixture f;
  SetLimits(f, 1, 10, 400, absl::Seconds(4));
  f.Submit(1, 1);
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  const std::vector<std::string> made{ f.replies[1].results(0).handle() };
  SubmitWithInputs(f, { 2, 1 }, made);
  CHECK(f.Eventually([&] { return f.released == made; }));
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[2] == 1; }));
  f.thread.Do([&] {
    f.stages->Release({ "svc", "" }, made);
    return true;
  });
  absl::SleepFor(absl::Milliseconds(100));
  f.Submit(3, 4);
  CHECK(f.AnswerNext() == "r3.0\nr3.1\nr3.2\n"); // one result is kept
  CHECK(f.released == made); // its maker was not asked twice
}

TEST_CASE("Inputs whose release is lost lapse")
{
  Fixture f;
  SetLimits(f, 1, 10, 200, absl::Seconds(2));
  f.Submit(1, 1);
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  const absl::Time made = absl::Now();
  f.confirms = false;
  SubmitWithInputs(f, { 2, 1 }, { f.replies[1].results(0).handle() });
  CHECK(f.Eventually([&] { return f.released.size() == 1; }));
  f.Submit(3, 1);
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[2] == 1; }));
  CHECK(f.thread.Do([&] { return f.held.empty(); })); // room for two results
  CHECK(f.AnswerNext() == "r3.0\n");
  CHECK(absl::Now() - made > absl::Milliseconds(1500));
}

TEST_CASE("An endpoint is not filled beyond what its last answer proves")
{
  // Room is recorded for four results: the endpoint holds more than that.
  Fixture f;
  f.Submit(1, 3);
  REQUIRE(IsHeld(f));
  AnswerWith(f, 0, { "made", "room", "room" });
  absl::SleepFor(BeforeFetched);
  CHECK(f.thread.Do([&] { return f.held.empty(); }));
  CHECK(IsCounted(f, "stage_calls_short_of_room"));
  // It is tried again with as much as was refused, and not more.
  f.Submit(2, 2);
  CHECK(f.AnswerNext() == "r1.1\nr1.2\n");
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
  CHECK(AllDone(f.replies[1], 3));
}

TEST_CASE("Released results are room also where an endpoint was full")
{
  Fixture f;
  f.Submit(1, 1);
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  f.Submit(2, 1);
  f.AnswerNext("room"); // nothing fits beside the first result
  f.thread.Do([&] {
    f.coordinator->Release({ f.replies[1].results(0).handle() });
    return true;
  });
  const absl::Time released = absl::Now();
  CHECK(f.AnswerNext() == "r2.0\n");
  CHECK(absl::Now() - released < absl::Milliseconds(300)); // not a period
}

namespace {

/** Work of one account, due when all other work is. */
void SubmitFor(Fixture& f, const std::string& account, std::uint64_t number,
               int pieces)
{
  f.thread.Do([&f, account, number, pieces] {
    wg::wire::StageWork work;
    work.set_box("box");
    work.set_work(number);
    work.set_service("svc");
    work.set_request(absl::StrCat("r", number));
    work.set_account(account);
    work.set_left_ms(20000);
    work.set_due_ms(20000);
    work.set_result_bytes(100);
    for (int i = 0; i < pieces; ++i) {
      work.add_items()->set_piece(static_cast<std::uint32_t>(i));
    }
    f.coordinator->Submit(work, [](const auto&) {});
    return true;
  });
}

} // namespace

TEST_CASE("Work of an account above its share lets others go first")
{
  // Fails where the account is not taken from the work, or calls are not
  // charged.
  Fixture f;
  SubmitFor(f, "large", 1, 1);
  REQUIRE(f.Eventually([&] { return f.held.size() == 1; }));
  SubmitFor(f, "large", 2, 3);
  SubmitFor(f, "small", 3, 1);
  CHECK(f.AnswerNext() == "r1.0\n");
  CHECK(f.AnswerNext() == "r3.0\nr2.0\nr2.1\n");
  CHECK(f.thread.Do([&f] {
    return absl::StrContains(f.metrics.Print(),
                             "stage_pieces_sent_over_share");
  }));
}

TEST_CASE("A call that was not run is charged to nobody")
{
  Fixture f;
  SubmitFor(f, "large", 1, 1);
  REQUIRE(f.Eventually([&] { return f.held.size() == 1; }));
  SubmitFor(f, "large", 2, 2);
  SubmitFor(f, "small", 3, 1);
  f.thread.Do([&f] {
    wg::HttpResponse refusal = wg::MakeResponse(503, "", "");
    refusal.set(f.dialect.fields.notRun, "true");
    f.held.front()->Respond(std::move(refusal));
    f.held.clear();
    return true;
  });
  CHECK(f.AnswerNext() == "r1.0\nr2.0\nr2.1\n");
}

TEST_CASE("An account's name that is too long counts as none")
{
  Fixture f;
  SubmitFor(f, std::string(300, 'x'), 1, 1);
  REQUIRE(f.Eventually([&] { return f.held.size() == 1; }));
  SubmitFor(f, "", 2, 3);
  SubmitFor(f, "small", 3, 1);
  f.AnswerNext();
  CHECK(f.AnswerNext() == "r3.0\nr2.0\nr2.1\n");
}

// As many bytes as there were calls at once came together.
TEST_CASE("An answer that is longer than results are ends its call")
{
  constexpr std::size_t tooLong = 300000;
  Fixture f;
  f.Submit(1, 1);
  f.AnswerNext(std::string(tooLong, 'x'));
  CHECK(f.Eventually([&f] {
    return absl::StrContains(f.metrics.Print(),
                             "event=\"stage_answers_too_long\"} 1\n");
  }));
  const bool isInTrouble = f.thread.Do(
    [&f] { return wg::FindEndpoint(f.directory, "e")->failuresInRow > 0; });
  CHECK(isInTrouble);
}

// A path that carried nothing was tried again at each connection at rest.
TEST_CASE("A call after a late one goes over a new connection")
{
  Fixture f;
  SetLimits(f, 2, 1, 1000, absl::Seconds(4));
  int connects = 0;
  f.thread.Do([&] {
    f.client->OnConnect(
      [&connects](const std::string&, wg::ConnectResult) { ++connects; });
    return true;
  });
  f.Submit(1, 2);
  REQUIRE(IsHeld(f, 2));
  f.AnswerNext();
  f.AnswerNext();
  REQUIRE(f.Eventually([&] { return f.ended[1] == 1; }));
  REQUIRE(f.thread.Do([&] { return connects; }) == 2);
  f.Submit(2, 1);
  REQUIRE(IsHeld(f));
  CHECK(IsHeld(f, 2)); // again, after the first one was late
  CHECK(f.thread.Do([&] { return connects; }) == 3);
}

// Pieces waited until the hall was reached, though other boxes relay calls.
TEST_CASE("An endpoint of a hall that is cut off is called over a relay")
{
  Fixture f;
  f.thread.Do([&] {
    const wg::Elapsed now = wg::ElapsedNow();
    wg::NoteUnreached(f.directory.reach, "h", "e", now);
    wg::NoteUnreached(f.directory.reach, "h", "another", now);
    REQUIRE(wg::IsCutOff(f.directory.reach, "h"));
    wg::NoteEndpointUnreached(f.directory.reach, "e", true, now);
    REQUIRE(wg::NoteReachedElsewhere(f.directory.reach, "e"));
    return true;
  });
  f.Submit(1, 1);
  f.AnswerNext();
  CHECK(f.Eventually([&] { return f.ended[1] == 1; }));
}
