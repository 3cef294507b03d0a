// SPDX-License-Identifier: Apache-2.0
#include "wgPlatformStandin.h"

#include "wgLoopTimer.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace wg::test {
namespace {

using Json = nlohmann::json;

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";
constexpr int Events = 4;
constexpr int Slots = 4;
constexpr int UsualPace = 100; // percent
constexpr int ListenRetryMs = 50;
/** Long enough for what was written to have left. */
constexpr int PartMs = 20;

StandinMoment MomentBefore(int event)
{
  if (event == 1) {
    return StandinMoment::BeforeFirstEvent;
  }
  if (event == Events) {
    return StandinMoment::BeforeLastEvent;
  }
  return event > Events ? StandinMoment::BeforeEnd : StandinMoment::None;
}

std::string Field(const HttpRequest& request, const char* name)
{
  return std::string(FieldOf(request, name));
}

} // namespace

PlatformStandin::PlatformStandin(std::string id)
  : id_(std::move(id))
{
  thread_.Do([this] {
    server_ = std::make_unique<HttpServer>(
      thread_.Loop(), [this](const Exchange& e) { OnRequest(e); });
    const bool listens = Succeeded(server_->Start("127.0.0.1", 0));
    port_ = server_->Port();
    address_ = absl::StrCat("127.0.0.1:", port_);
    return listens;
  });
}

PlatformStandin::~PlatformStandin()
{
  thread_.Join();
  waiting_.clear();
  queued_.clear();
  open_.clear();
  server_.reset();
}

std::string PlatformStandin::Id() const
{
  absl::MutexLock lock(&mutex_);
  return id_;
}

std::string PlatformStandin::Version() const
{
  absl::MutexLock lock(&mutex_);
  return version_;
}

void PlatformStandin::SetVersion(std::string version)
{
  absl::MutexLock lock(&mutex_);
  version_ = std::move(version);
}

void PlatformStandin::StartAgainAs(const std::string& name,
                                   const std::string& version, int downMs)
{
  thread_.Do([this, &name, &version, downMs] {
    downMs_ = downMs;
    End();
    open_.clear(); // no event of the next version goes to a stream of this one
    absl::MutexLock lock(&mutex_);
    id_ = name;
    version_ = version;
    checksName_ = true;
    return true;
  });
}

bool PlatformStandin::IsForAnother(const HttpRequest& request) const
{
  absl::MutexLock lock(&mutex_);
  return checksName_ && Field(request, "X-Weirgate-Target-Instance") != id_;
}

void PlatformStandin::StartAgainIfTold()
{
  if (const std::int64_t born = nextBornMs_.exchange(0); born != 0) {
    bornMs_ = born;
    sequence_ = 0;
  }
}

void PlatformStandin::EndsUnder(std::string text, int downMs)
{
  endsUnder_ = std::move(text);
  downMs_ = downMs;
  BornAt(FirstBornMs);
}

bool PlatformStandin::IsEndedBy(const std::string& text) const
{
  return !endsUnder_.empty() && absl::StrContains(text, endsUnder_);
}

void PlatformStandin::End()
{
  if (!isUp_.exchange(false)) {
    return;
  }
  ++ends_;
  if (!onlyCutOff_) {
    BornAt(FirstBornMs + ends_);
  }
  // Not from within the server that is to go.
  boost::asio::post(thread_.Loop(), [this] {
    waiting_.clear();
    queued_.clear();
    open_.clear();
    atWork_ = 0;
    callsAtWork_ = 0;
    server_.reset();
    RunAfter(downMs_, [this] { Listen(); });
  });
}

void PlatformStandin::FallOver()
{
  boost::asio::post(thread_.Loop(), [this] { End(); });
}

void PlatformStandin::PauseFor(int ms)
{
  boost::asio::post(thread_.Loop(),
                    [ms] { absl::SleepFor(absl::Milliseconds(ms)); });
}

void PlatformStandin::PauseNextAt(StandinMoment moment, int ms)
{
  pauseMs_ = ms;
  pausesAt_ = moment;
}

void PlatformStandin::PauseIfAt(StandinMoment moment)
{
  if (moment != StandinMoment::None &&
      pausesAt_.compare_exchange_strong(moment, StandinMoment::None)) {
    ++pauses_;
    absl::SleepFor(absl::Milliseconds(pauseMs_.load()));
  }
}

void PlatformStandin::LoseStreams()
{
  boost::asio::post(thread_.Loop(), [this] {
    for (auto& [number, exchange] : std::exchange(open_, {})) {
      waiting_.push_back(exchange);
    }
  });
}

bool PlatformStandin::HasResult(const std::string& handle) const
{
  absl::MutexLock lock(&mutex_);
  return results_.count(handle) > 0;
}

/** \return whether the request was answered so */
bool PlatformStandin::RefuseWithoutInputs(const Exchange& exchange)
{
  constexpr unsigned badRequest = 400;
  constexpr unsigned conflict = 409;
  if (makers_.empty()) {
    return false;
  }
  const std::string inputs =
    Field(exchange->Request(), "X-Weirgate-Batch-Inputs");
  bool areThere = true;
  for (absl::string_view handle :
       absl::StrSplit(inputs, ',', absl::SkipEmpty())) {
    areThere &= std::any_of(makers_.begin(), makers_.end(),
                            [handle](const PlatformStandin* maker) {
                              return maker->HasResult(std::string(handle));
                            });
  }
  if (!inputs.empty() && areThere) {
    return false;
  }
  HttpResponse refusal =
    MakeResponse(inputs.empty() ? badRequest : conflict, "", "");
  refusal.set(RequestField, Field(exchange->Request(), RequestField));
  refusal.set("X-Weirgate-Not-Executed", "1");
  exchange->Respond(std::move(refusal));
  return true;
}

/** At the port that it had. */
void PlatformStandin::Listen()
{
  server_ = std::make_unique<HttpServer>(
    thread_.Loop(), [this](const Exchange& e) { OnRequest(e); });
  isUp_ = Succeeded(server_->Start("127.0.0.1", port_));
  if (!isUp_) { // a connection may hold the port for a moment
    RunAfter(ListenRetryMs, [this] { Listen(); });
  }
}

bool PlatformStandin::Register(int apiPort, const std::string& service,
                               const std::string& state)
{
  Json heartbeat{ { "service", service },
                  { "address", address_ },
                  { "zone", hall_ },
                  { "capacity", Slots },
                  { "state", state } };
  heartbeat["warmupLeftMs"] = warmupMs_.load();
  std::string id;
  {
    absl::MutexLock lock(&mutex_);
    StartAgainIfTold();
    id = id_;
    heartbeat["version"] = version_;
    heartbeat["sequence"] = ++sequence_;
    if (bornMs_ != 0) {
      heartbeat["born"] = bornMs_;
    }
  }
  httplib::Client client("127.0.0.1", apiPort);
  const auto reply =
    client.Put("/-/instances/" + id, heartbeat.dump(), "application/json");
  return reply && reply->status == 200;
}

std::vector<absl::Time> PlatformStandin::Arrivals() const
{
  absl::MutexLock lock(&mutex_);
  return arrivals_;
}

std::vector<absl::Time> PlatformStandin::AllArrivals() const
{
  absl::MutexLock lock(&mutex_);
  return allArrivals_;
}

bool PlatformStandin::Leave(int apiPort)
{
  std::string id;
  std::string body;
  {
    absl::MutexLock lock(&mutex_);
    StartAgainIfTold();
    id = id_;
    body = bornMs_ == 0 ? "" : Json{ { "born", bornMs_ } }.dump();
  }
  httplib::Client client("127.0.0.1", apiPort);
  const auto reply =
    client.Delete("/-/instances/" + id, body, "application/json");
  return reply && reply->status == 200;
}

void PlatformStandin::OnRequest(const Exchange& exchange)
{
  const HttpRequest& request = exchange->Request();
  if (request.target() == "/-/report") {
    ++reports_;
    exchange->Respond(MakeResponse(
      200, "application/json",
      Json{ { "phase", "combined" }, { "queued", queued_.size() } }.dump()));
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    allArrivals_.push_back(absl::Now());
    if (request.target() != "/-/stage-free") {
      arrivals_.push_back(allArrivals_.back());
    }
  }
  if (request.target() == "/-/stage-free") {
    const Json body = Json::parse(request.body());
    released_ += static_cast<int>(body["handles"].size());
    {
      absl::MutexLock lock(&mutex_);
      for (const Json& handle : body["handles"]) {
        results_.erase(handle.get<std::string>());
      }
    }
    exchange->Respond(MakeResponse(200, "", ""));
    return;
  }
  if (IsForAnother(request)) {
    HttpResponse refusal = MakeResponse(421, "", "");
    refusal.set(RequestField, Field(request, RequestField));
    exchange->Respond(std::move(refusal));
    return;
  }
  if (refusesNext_.exchange(false) || tired_) {
    Refuse(exchange);
    return;
  }
  if (request.target() == "/-/stage-run") {
    OnStage(exchange);
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    last_ = request;
  }
  if (RefuseWithoutInputs(exchange)) {
    return;
  }
  // Another thread may set it meanwhile.
  const StandinConduct conduct = conduct_;
  const bool mayRefuse = conduct == StandinConduct::Refuse ||
                         (conduct == StandinConduct::Answer && workMs_ > 0);
  if (!mayRefuse) {
    NoteRun(exchange);
  }
  const std::string prompt(request["X-Weirgate-Prompt-Prefix"]);
  if (IsEndedBy(request.body()) || IsEndedBy(prompt)) {
    End();
    return;
  }
  switch (conduct) {
    case StandinConduct::Answer:
      Work(exchange);
      return;
    case StandinConduct::Refuse:
      Refuse(exchange);
      return;
    case StandinConduct::HangUp:
      exchange->Abort();
      return;
    case StandinConduct::Wait:
      waiting_.push_back(exchange);
      return;
    case StandinConduct::Silent:
      Stream(exchange, 1, Events / 2);
      waiting_.push_back(exchange);
      return;
  }
}

std::vector<absl::Time> PlatformStandin::Refusals() const
{
  absl::MutexLock lock(&mutex_);
  return refusals_;
}

/** Whether a brittle one has refused more within a second than it bears. */
bool PlatformStandin::IsOverrun() const
{
  absl::MutexLock lock(&mutex_);
  const auto recent = std::upper_bound(refusals_.begin(), refusals_.end(),
                                       absl::Now() - absl::Seconds(1));
  return brittle_ >= 0.0 &&
         static_cast<double>(refusals_.end() - recent) > brittle_;
}

void PlatformStandin::NoteRun(const Exchange& exchange)
{
  absl::MutexLock lock(&mutex_);
  ++runs_[Field(exchange->Request(), RequestField)];
}

void PlatformStandin::Work(const Exchange& exchange)
{
  if (workMs_ == 0) {
    Answer(exchange);
  } else if (atWork_ < Slots) {
    StartWork(exchange);
  } else if (queued_.size() < static_cast<std::size_t>(queue_)) {
    queued_.push_back(exchange);
  } else {
    Refuse(exchange);
  }
}

void PlatformStandin::StartWork(const Exchange& exchange)
{
  const std::uint64_t number = Begin(exchange);
  ++atWork_;
  NoteRun(exchange);
  RunAfter(workMs_, [this, number] {
    const Exchange done = EndOf(number);
    if (done == nullptr) {
      return;
    }
    --atWork_;
    Answer(done);
    if (!queued_.empty()) {
      const Exchange next = queued_.front();
      queued_.pop_front();
      StartWork(next);
    }
  });
}

/** What is open is kept here alone, so that it goes when the endpoint ends. */
std::uint64_t PlatformStandin::Begin(const Exchange& exchange)
{
  open_[++lastOpen_] = exchange;
  return lastOpen_;
}

PlatformStandin::Exchange PlatformStandin::EndOf(std::uint64_t number)
{
  auto node = open_.extract(number);
  return node.empty() ? nullptr : node.mapped();
}

void PlatformStandin::RunAfter(int ms, std::function<void()> run)
{
  auto timer = std::make_shared<wg::LoopTimer>(thread_.Loop(),
                                               std::chrono::milliseconds(ms));
  timer->async_wait(
    [timer, run = std::move(run)](boost::system::error_code error) {
      if (!error) {
        run();
      }
    });
}

void PlatformStandin::Refuse(const Exchange& exchange)
{
  {
    absl::MutexLock lock(&mutex_);
    refusals_.push_back(absl::Now());
  }
  if (IsOverrun()) {
    End();
    return;
  }
  HttpResponse refusal = MakeResponse(503, "", "");
  refusal.set("X-Weirgate-Not-Executed", "1");
  if (rest_ > 0.0) {
    refusal.set("Retry-After", absl::StrCat(rest_.load()));
  }
  AddTerms(refusal);
  exchange->Respond(std::move(refusal));
}

void PlatformStandin::AddTerms(HttpHead& head) const
{
  if (limit_ >= 0.0) {
    head.set("Server-Limit", absl::StrCat(limit_.load()));
  }
  if (brittle_ >= 0.0) {
    head.set("Server-Brittle", absl::StrCat(brittle_.load()));
  }
  if (leaving_) {
    head.set("Server-Leaving", "1");
  }
  head.set("X-Weirgate-Server-Load", report_.empty() ? Load() : report_);
}

std::string PlatformStandin::Load() const
{
  const std::size_t running =
    static_cast<std::size_t>(callsAtWork_ + atWork_) + waiting_.size();
  const std::string counts =
    absl::StrCat(running, ",", queued_.size(), ",", Slots);
  return pace_ == 0 ? counts : absl::StrCat(counts, ",", pace_.load());
}

/** A result's name tells of what request and stage it is. One that is made
 * again has another name: releasing the first leaves it.
 */
void PlatformStandin::OnStage(const Exchange& exchange)
{
  const bool isFull = workMs_ > 0 && callsAtWork_ >= Slots + queue_;
  if (conduct_ == StandinConduct::Refuse || isFull) {
    Refuse(exchange);
    return;
  }
  PauseIfAt(StandinMoment::BeforeHead);
  const Json body = Json::parse(exchange->Request().body());
  Json items = Json::array();
  for (const Json& item : body["items"]) {
    const int made = ++pieces_;
    const std::string request = item["id"];
    if (IsEndedBy(request)) {
      End();
      return;
    }
    bool sound = item.contains("keyFile") || !item["inputs"].empty();
    for (const Json& input : item.value("inputs", Json::array())) {
      sound &= input.get<std::string>().find("/" + request + ".") !=
               std::string::npos;
    }
    unsoundPieces_ += sound ? 0 : 1;
    items.push_back(
      sound ? Json{ { "handle",
                      absl::StrCat(address_, "/", request, ".",
                                   item["phase"].get<int>(), ".",
                                   item["segment"].get<int>(), ".", made) } }
            : Json{ { "reason", "error" } });
  }
  const int pace = pace_ == 0 ? UsualPace : pace_.load();
  const std::uint64_t number = Begin(exchange);
  ++callsAtWork_;
  RunAfter(callMs_ * pace / UsualPace, [this, number, items] {
    const Exchange done = EndOf(number);
    if (done == nullptr) {
      return;
    }
    --callsAtWork_;
    {
      absl::MutexLock lock(&mutex_);
      for (const Json& item : items) {
        if (item.contains("handle")) {
          results_.insert(item["handle"].get<std::string>());
        }
      }
    }
    HttpResponse answer =
      MakeResponse(200, "application/json", Json{ { "items", items } }.dump());
    AddTerms(answer);
    Respond(done, std::move(answer), true);
  });
}

/** Ends one of three answers so; the other two are for the caller to end.
 * \param at a byte, taken modulo the body
 * \param mayFinish whether an orderly close is a sign that it is broken off
 */
bool PlatformStandin::BreaksOff(const Exchange& exchange, HttpHead head,
                                const std::string& body, std::size_t at,
                                bool mayFinish)
{
  constexpr std::size_t brokenOfThree = 3;
  if (!unframed_ || ++answers_ % brokenOfThree != 0) {
    return false;
  }
  ++brokenOff_;
  exchange->StartStream(std::move(head), BodyFraming::ByClose);
  exchange->WriteStream(absl::string_view(body).substr(0, at % body.size()));
  if (mayFinish && answers_ % 2 == 0) {
    exchange->FinishStream();
  } else {
    exchange->Abort();
  }
  return true;
}

void PlatformStandin::Respond(const Exchange& exchange, HttpResponse answer,
                              bool isJson)
{
  if (BreaksOff(exchange, answer.base(), answer.body(), answers_, isJson)) {
    return;
  }
  exchange->Respond(std::move(answer),
                    unframed_ ? BodyFraming::ByClose : BodyFraming::Explicit);
}

/** Stands still in the body, or before its end, as it was told. */
void PlatformStandin::RespondInParts(const Exchange& exchange,
                                     const HttpResponse& answer)
{
  const std::string& body = answer.body();
  const std::uint64_t number = Begin(exchange);
  exchange->StartStream(answer.base());
  exchange->WriteStream(body.substr(0, body.size() / 2));
  RunAfter(PartMs, [this, number, rest = body.substr(body.size() / 2)] {
    const auto open = open_.find(number);
    if (open == open_.end()) {
      return;
    }
    PauseIfAt(StandinMoment::InBody);
    open->second->WriteStream(rest);
    RunAfter(PartMs, [this, number] {
      if (const Exchange done = EndOf(number); done != nullptr) {
        PauseIfAt(StandinMoment::BeforeEnd);
        done->FinishStream();
      }
    });
  });
}

void PlatformStandin::Answer(const Exchange& exchange)
{
  const std::string request = Field(exchange->Request(), RequestField);
  const bool streams =
    !Field(exchange->Request(), "X-Weirgate-Prompt-Prefix").empty();
  PauseIfAt(StandinMoment::BeforeHead);
  if (!streams) {
    HttpResponse answer =
      MakeResponse(200, "text/plain",
                   absl::StrCat(request, "|", exchange->Request().body()));
    answer.set(RequestField, request);
    answer.set("X-Weirgate-Server-Seal", Id());
    AddTerms(answer);
    if (pausesAt_ != StandinMoment::None) {
      RespondInParts(exchange, answer);
    } else {
      Respond(exchange, std::move(answer), false);
    }
    return;
  }
  const int seen =
    static_cast<int>(NumberOf(exchange->Request(), "Last-Event-Id", 0));
  if (eventMs_ > 0) {
    exchange->StartStream(StreamHead(exchange));
    const std::uint64_t number = Begin(exchange);
    if (pausesAt_ == StandinMoment::BeforeFirstEvent) {
      RunAfter(PartMs, [this, number, seen] { StreamNext(number, seen + 1); });
    } else {
      StreamNext(number, seen + 1);
    }
    return;
  }
  Stream(exchange, seen + 1, Events);
  exchange->FinishStream();
}

/** Writes one event, and then the others one by one. */
void PlatformStandin::StreamNext(std::uint64_t number, int event)
{
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return;
  }
  const Exchange exchange = found->second;
  PauseIfAt(MomentBefore(event));
  if (event > Events) {
    open_.erase(number);
    exchange->FinishStream();
    return;
  }
  streamsBegun_ += event == 1 ? 1 : 0;
  exchange->WriteStream(EventsOf(exchange->Request(), event, event));
  RunAfter(eventMs_, [this, number, event] { StreamNext(number, event + 1); });
}

HttpHead PlatformStandin::StreamHead(const Exchange& exchange) const
{
  HttpHead head;
  head.result(200);
  head.set(RequestField, Field(exchange->Request(), RequestField));
  head.set("X-Weirgate-Server-Seal", Id());
  AddTerms(head);
  return head;
}

std::string PlatformStandin::EventsOf(const HttpRequest& request, int first,
                                      int last) const
{
  const std::string version =
    tellsVersion_ ? "event: " + Version() + "\n" : "";
  std::string events;
  for (int i = first; i <= last; ++i) {
    absl::StrAppend(&events, "id: ", i, "\n", version,
                    "data: ", Field(request, RequestField), "\n\n");
  }
  return events;
}

void PlatformStandin::Stream(const Exchange& exchange, int first, int last)
{
  const HttpHead head = StreamHead(exchange);
  const HttpRequest& asked = exchange->Request();
  const std::string events = EventsOf(asked, first, last);
  const std::size_t lastEvent =
    events.size() - EventsOf(asked, last, last).size();
  // Inside the last event: an end between two would be a sound one.
  const std::size_t inEvent =
    lastEvent + 1 + answers_ % (events.size() - lastEvent - 1);
  if (last == Events && BreaksOff(exchange, head, events, inEvent, true)) {
    return;
  }
  exchange->StartStream(head, unframed_ ? BodyFraming::ByClose
                                        : BodyFraming::Explicit);
  exchange->WriteStream(events);
}

void PlatformStandin::GoOn()
{
  thread_.Do([this] {
    for (const Exchange& exchange : std::exchange(waiting_, {})) {
      if (exchange->HasStarted()) { // see StandinConduct::Silent
        exchange->WriteStream(
          EventsOf(exchange->Request(), Events / 2 + 1, Events));
        exchange->FinishStream();
        continue;
      }
      Answer(exchange);
    }
    return true;
  });
}

int PlatformStandin::Runs(const std::string& request) const
{
  absl::MutexLock lock(&mutex_);
  auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

std::map<std::string, int> PlatformStandin::RunsByRequest() const
{
  absl::MutexLock lock(&mutex_);
  return runs_;
}

int PlatformStandin::AllRuns() const
{
  absl::MutexLock lock(&mutex_);
  int all = 0;
  for (const auto& [request, count] : runs_) {
    all += count;
  }
  return all;
}

std::string PlatformStandin::LastField(const std::string& name) const
{
  absl::MutexLock lock(&mutex_);
  return Field(last_, name.c_str());
}

} // namespace wg::test
