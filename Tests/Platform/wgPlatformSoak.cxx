// SPDX-License-Identifier: Apache-2.0
// Real gateways and control boxes under random faults from outside: signals
// in series that overlap, wires that are cut, slow, reset or pass one way
// only, endpoints that refuse or hang up, documents that change and grow
// meanwhile, links to control boxes that are cut, reset, slow or poor.
// Callers go on with open connections; the checker judges what they, the
// endpoints and the operator saw. A seed gives the same faults again, not the
// same run: the processes are real.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <tclap/CmdLine.h>

#include "absl/time/clock.h"

#include "wgPlatformCluster.h"
#include "wgPlatformSoakCheck.h"
#include "wgPlatformStandin.h"
#include "wgTroubledEndpoint.h"

namespace {

using wg::test::Forwarder;
using wg::test::Local;
using wg::test::PlatformCluster;
using wg::test::PlatformStandin;
using wg::test::Process;
using wg::test::SoakAsk;
using wg::test::SoakBrittle;
using wg::test::SoakCut;
using wg::test::SoakRecord;
using wg::test::SoakRequest;
using wg::test::StandinConduct;
using wg::test::TroubledEndpoint;
using Random = std::mt19937_64;

constexpr int Gateways = 3;
constexpr int CallerThreads = 6;
constexpr std::size_t Services = 3; // with two endpoints each
constexpr int StatusOk = 200;
constexpr int MostRoutes = 3000;   // of a document, some 750 kB
constexpr double PoorLink = 100e3; // bytes a second
/** Documents without a clear answer may have numbers up to this far above. */
constexpr int LastStep = 100;
constexpr absl::Duration RecoveryLimit = absl::Seconds(15);
/** All boxes answer for so long after the faults; then they are asked. */
constexpr absl::Duration Settling = absl::Seconds(1);
/** With brittle endpoints; what waits there then fills their slots. */
constexpr int CrowdThreads = 36;
constexpr int WorkMs = 60;
constexpr int UsualQueue = 4;
constexpr int DownMs = 800;
constexpr std::uint64_t TroubledEndpoints = 2;
/** More than the buffers of a connection hold while its endpoint reads none.
 */
constexpr std::size_t LongBodyBytes = 3U << 20U;

int Draw(Random& random, int least, int most)
{
  return std::uniform_int_distribution<int>(least, most)(random);
}

/** An endpoint behind a wire that a fault can cut. */
struct Endpoint
{
  Endpoint(const std::string& id, std::string of, int port)
    : standin(id)
    , wire(port, standin.Port())
    , service(std::move(of))
  {
    standin.AppearAt(Local(port));
  }
  PlatformStandin standin;
  Forwarder wire;
  std::string service;
};

/** The wires over which a gateway alone reaches endpoints. */
using OwnWires = std::vector<std::unique_ptr<Forwarder>>;

/** What all threads of a run share. */
struct Run
{
  Run(std::uint64_t seedOfRun, const std::string& daemon)
    : seed(seedOfRun)
    , cluster(Gateways, true, {}, daemon)
  {
    for (const char* service : { "llm", "enc", "plain" }) {
      for (int i = 0; i < 2; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(
          absl::StrCat("i-", service, i), service, cluster.FreePort()));
      }
    }
  }

  /** Gives each gateway wires of its own, and starts it with these. */
  void AddOwnWires()
  {
    for (int i = 0; i < Gateways; ++i) {
      std::ofstream file(RoutesOf(i));
      for (const auto& endpoint : endpoints) {
        const int port = cluster.FreePort();
        ownWires[i].push_back(
          std::make_unique<Forwarder>(port, endpoint->wire.Port()));
        file << endpoint->standin.Address() << " " << Local(port) << "\n";
      }
    }
    cluster.SetGatewayFlags([this](int gateway) {
      return std::vector<std::string>{ "--endpoint-routes=" +
                                       RoutesOf(gateway) };
    });
    for (int i = 0; i < Gateways; ++i) {
      cluster.Gateway(i).Kill();
      cluster.StartGateway(i);
    }
  }
  std::string RoutesOf(int gateway)
  {
    return cluster.FileAt(absl::StrCat("routes", gateway));
  }

  std::uint64_t seed;
  PlatformCluster cluster;
  std::map<int, OwnWires> ownWires; // by gateway
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<TroubledEndpoint>> troubled; // of plain requests
  std::atomic<bool> stopping{ false };
  std::atomic<std::int64_t> acknowledged{ 1 };
  std::atomic<int> next{ 0 };
  std::atomic<int> gatewayStarts{ 0 };
  std::mutex mutex;
  SoakRecord record;
};

std::string BodyOf(const std::string& id, std::size_t padding)
{
  return absl::StrCat("body of ", id, std::string(padding, '.'));
}

std::string ExpectedBody(const std::string& id, bool streams,
                         std::size_t padding)
{
  if (!streams) {
    return absl::StrCat(id, "|", BodyOf(id, padding));
  }
  std::string events;
  for (int i = 1; i <= 4; ++i) {
    absl::StrAppend(&events, "id: ", i, "\ndata: ", id, "\n\n");
  }
  return events;
}

httplib::Headers FieldsOf(const std::string& id, bool streams)
{
  httplib::Headers fields = { { "Host", "one.example" },
                              { "X-Weirgate-Attempt-Id", id },
                              { "X-Weirgate-Deadline-Ms", "3000" },
                              { "Authorization", "Token k1" } };
  if (streams) {
    fields.emplace("X-Weirgate-Token-Usage", "100,20");
    fields.emplace("X-Weirgate-Prompt-Prefix", "aa:60,bb:40");
    fields.emplace("X-Weirgate-Chunk-Count", "2,3");
    fields.emplace("X-Weirgate-Chunk-Key", "file");
  }
  return fields;
}

/** \param padding bytes of its body beyond the usual ones */
SoakRequest SendOne(Run& run, int gateway, httplib::Client& client,
                    bool streams, const std::string& path,
                    std::size_t padding = 0)
{
  SoakRequest request;
  request.box = gateway;
  request.sent = absl::Now();
  request.id = absl::StrCat(run.seed, "-", ++run.next);
  request.isStream = streams;
  request.expected = ExpectedBody(request.id, streams, padding);
  const auto reply = client.Post(path, FieldsOf(request.id, streams),
                                 BodyOf(request.id, padding), "text/plain");
  if (reply) {
    request.hasAnswer = true;
    request.status = reply->status;
    request.body = reply->body;
    request.sealedBy = reply->get_header_value("X-Weirgate-Server-Seal");
  }
  const std::lock_guard<std::mutex> lock(run.mutex);
  run.record.requests.push_back(request);
  return request;
}

SoakRequest SendOne(Run& run, int gateway, httplib::Client& client,
                    bool streams)
{
  return SendOne(run, gateway, client, streams, streams ? "/s/x" : "/p/x");
}

/** Connections stay open until their gateway is gone. */
void SendRequests(Run& run, int thread)
{
  Random random(run.seed * 1000 + static_cast<std::uint64_t>(thread));
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < Gateways; ++i) {
    clients.push_back(
      std::make_unique<httplib::Client>("127.0.0.1", run.cluster.Listen(i)));
    clients.back()->set_keep_alive(true);
    clients.back()->set_connection_timeout(1);
    clients.back()->set_read_timeout(4);
  }
  while (!run.stopping) {
    const int gateway = Draw(random, 0, 2);
    const bool streams = Draw(random, 0, 1) == 0;
    const bool isLong =
      !streams && !run.troubled.empty() && Draw(random, 0, 2) == 0;
    const SoakRequest request =
      SendOne(run, gateway, *clients[static_cast<std::size_t>(gateway)],
              streams, streams ? "/s/x" : "/p/x", isLong ? LongBodyBytes : 0);
    if (request.status != StatusOk) {
      absl::SleepFor(absl::Milliseconds(Draw(random, 5, 60)));
    }
  }
}

void SendHeartbeats(Run& run)
{
  Random random(run.seed + 7);
  while (!run.stopping) {
    for (const auto& endpoint : run.endpoints) {
      for (int tries = 0;
           tries < 3 && !run.stopping && endpoint->standin.Beats(); ++tries) {
        const int api = run.cluster.Api(Draw(random, 0, 2));
        if (endpoint->standin.Register(api, endpoint->service)) {
          break;
        }
      }
    }
    for (const auto& endpoint : run.troubled) {
      endpoint->Register(run.cluster.Api(Draw(random, 0, 2)), "plain");
    }
    absl::SleepFor(absl::Milliseconds(200));
  }
}

/** What other writers send, to the names of endpoints too. */
void SendForeignHeartbeat(Run& run, Random& random)
{
  const std::string bodies[] = {
    R"({"service": "plain", "address": "127.0.0.1:1", "state": "warm"})",
    R"({"service": 7, "sequence": "many"})",
    R"({"service": "other", "address": "127.0.0.1:1", "zone": "h1",
        "version": "v1", "capacity": 4, "state": "ready", "warmupLeftMs": 0,
        "sequence": 1000000})",
    std::string(4096, '['),
    std::string("\xff\xfe", 2),
    ""
  };
  const std::string& body = bodies[Draw(random, 0, 5)];
  const std::string name = Draw(random, 0, 1) == 0 ? "i-foreign" : "i-plain0";
  httplib::Client client("127.0.0.1", run.cluster.Api(Draw(random, 0, 2)));
  client.set_read_timeout(1);
  client.Put("/-/instances/" + name, body, "application/json");
}

/** Endpoints start again under their names. Its draws are its own, so that
 * seeds without it give the faults that they always gave.
 */
void StartEndpointsAgain(Run& run)
{
  Random random(run.seed + 9);
  std::int64_t born = absl::ToUnixMillis(absl::Now());
  while (!run.stopping) {
    const int index =
      Draw(random, 0, static_cast<int>(run.endpoints.size()) - 1);
    run.endpoints[static_cast<std::size_t>(index)]->standin.BornAt(++born);
    SendForeignHeartbeat(run, random);
    absl::SleepFor(absl::Milliseconds(Draw(random, 100, 900)));
  }
}

/** Some endpoints answer without lengths and break answers off. Its draws are
 * its own, as above.
 */
void LeaveAnswersUnframed(Run& run)
{
  Random random(run.seed + 10);
  while (!run.stopping) {
    for (const auto& endpoint : run.endpoints) {
      endpoint->standin.SetUnframed(Draw(random, 0, 2) > 0);
    }
    absl::SleepFor(absl::Milliseconds(Draw(random, 200, 1500)));
  }
  for (const auto& endpoint : run.endpoints) {
    endpoint->standin.SetUnframed(false);
  }
}

/** Some endpoints of plain requests send broken answers at times. Its draws
 * are its own, as above.
 */
void BeInTrouble(Run& run)
{
  Random random(run.seed + 30);
  while (!run.stopping) {
    for (const auto& endpoint : run.troubled) {
      endpoint->SetInTrouble(Draw(random, 0, 2) > 0);
    }
    absl::SleepFor(absl::Milliseconds(Draw(random, 200, 1500)));
  }
  for (const auto& endpoint : run.troubled) {
    endpoint->SetInTrouble(false);
  }
}

/** The endpoints of a service are brittle at times, and then let fewer wait.
 * Its draws are its own, as above.
 */
void BeBrittle(Run& run, std::size_t service)
{
  Random random(run.seed + 15 + service);
  const std::vector<Endpoint*> endpoints{
    run.endpoints[2 * service].get(), run.endpoints[2 * service + 1].get()
  };
  const auto sleep = [&run](int ms) {
    const absl::Time until = absl::Now() + absl::Milliseconds(ms);
    while (!run.stopping && absl::Now() < until) {
      absl::SleepFor(absl::Milliseconds(20));
    }
  };
  while (!run.stopping) {
    sleep(Draw(random, 200, 1500));
    const int bearable = Draw(random, 1, 4);
    const int queue = Draw(random, 0, 2);
    SoakBrittle brittle{ endpoints.front()->service, 2, 0 };
    for (Endpoint* endpoint : endpoints) {
      brittle.falls -= endpoint->standin.Ends();
      endpoint->standin.SetBrittle(bearable);
    }
    sleep(3000);
    for (Endpoint* endpoint : endpoints) {
      endpoint->standin.SetWork(WorkMs, queue);
    }
    sleep(Draw(random, 2000, 5000));
    for (Endpoint* endpoint : endpoints) {
      endpoint->standin.SetBrittle(-1.0);
      endpoint->standin.SetWork(WorkMs, UsualQueue);
      brittle.falls += endpoint->standin.Ends();
    }
    const std::lock_guard<std::mutex> lock(run.mutex);
    run.record.brittle.push_back(brittle);
  }
}

/** Endpoints ask something of their senders, one at a time for each service.
 * Its draws are its own, as above.
 */
class Asks
{
public:
  Asks(Run& run, std::size_t service)
    : run_(run)
    , random_(run.seed + 11 + service)
    , first_(*run.endpoints[2 * service])
    , second_(*run.endpoints[2 * service + 1])
  {
  }

  void Go()
  {
    while (!run_.stopping) {
      Sleep(absl::Milliseconds(Draw(random_, 200, 1500)));
      switch (Draw(random_, 0, 2)) {
        case 0:
          Limit();
          break;
        case 1:
          Rest();
          break;
        default:
          Leave();
      }
    }
  }

private:
  void Sleep(absl::Duration time) const
  {
    const absl::Time until = absl::Now() + time;
    while (!run_.stopping && absl::Now() < until) {
      absl::SleepFor(absl::Milliseconds(20));
    }
  }

  SoakAsk Begin(SoakAsk::Kind kind, const Endpoint& endpoint) const
  {
    SoakAsk ask;
    ask.kind = kind;
    ask.endpoint = endpoint.standin.Id();
    ask.from = absl::Now();
    ask.boxes = Gateways - run_.gatewayStarts;
    ask.callers = CallerThreads;
    return ask;
  }

  void Finish(SoakAsk ask, const Endpoint& endpoint, absl::Time until)
  {
    ask.until = std::min(until, absl::Now());
    ask.boxes += run_.gatewayStarts;
    ask.arrivals = endpoint.standin.Arrivals();
    const std::lock_guard<std::mutex> lock(run_.mutex);
    run_.record.asks.push_back(std::move(ask));
  }

  void Limit()
  {
    SoakAsk ask = Begin(SoakAsk::Kind::Limit, first_);
    ask.perSecond = Draw(random_, 1, 12) / 2.0;
    first_.standin.SetLimit(ask.perSecond);
    Sleep(absl::Seconds(Draw(random_, 5, 9)));
    Finish(ask, first_, absl::Now());
    first_.standin.SetLimit(-1.0);
  }

  /** Both endpoints refuse for as long as they say. */
  void Rest()
  {
    const int seconds = Draw(random_, 1, 3);
    std::vector<std::pair<Endpoint*, SoakAsk>> asks;
    for (Endpoint* endpoint : { &first_, &second_ }) {
      endpoint->standin.SetRest(seconds);
      endpoint->standin.SetTired(true);
      asks.emplace_back(endpoint, Begin(SoakAsk::Kind::Rest, *endpoint));
    }
    Sleep(absl::Seconds(seconds));
    for (auto& [endpoint, ask] : asks) {
      Finish(ask, *endpoint, ask.from + absl::Seconds(seconds));
      endpoint->standin.SetTired(false);
    }
  }

  /** Until it starts again. */
  void Leave()
  {
    const SoakAsk ask = Begin(SoakAsk::Kind::Leaving, first_);
    first_.standin.SetLeaving(true);
    Sleep(absl::Seconds(Draw(random_, 4, 6)));
    Finish(ask, first_, absl::Now());
    first_.standin.SetLeaving(false);
    first_.standin.BornAt(absl::ToUnixMillis(absl::Now()));
  }

  Run& run_;
  Random random_;
  Endpoint& first_;
  Endpoint& second_;
};

/** An order without a clear answer is sent again, to any control box. */
void PublishDocuments(Run& run)
{
  Random random(run.seed + 8);
  int number = 1;
  while (!run.stopping) {
    absl::SleepFor(absl::Milliseconds(Draw(random, 100, 900)));
    ++number;
    const bool isLarge = Draw(random, 0, 3) == 0;
    const std::string document = PlatformCluster::Document(
      number, isLarge ? Draw(random, 100, MostRoutes) : 0);
    for (int tries = 0; tries < 8 && !run.stopping; ++tries) {
      const int control = Draw(random, 0, 2);
      if (run.cluster.Publish(control, document) == StatusOk) {
        run.acknowledged = std::max<std::int64_t>(run.acknowledged, number);
        break;
      }
    }
  }
}

void ReadDocuments(Run& run)
{
  Random random(run.seed + 9);
  while (!run.stopping) {
    const std::int64_t before = run.acknowledged;
    const std::string read = run.cluster.ReadBack(Draw(random, 0, 2));
    if (!read.empty()) {
      const auto document = nlohmann::json::parse(read);
      const std::lock_guard<std::mutex> lock(run.mutex);
      run.record.reads.push_back({ before, document["version"] });
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
}

/** Faults that overlap; each is undone at its own time. */
class Faults
{
public:
  explicit Faults(Run& run)
    : run_(run)
    , random_(run.seed)
  {
  }

  void Go(absl::Duration time)
  {
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      UndoDue(absl::Now());
      Begin();
      absl::SleepFor(absl::Milliseconds(Draw(random_, 100, 700)));
    }
    UndoDue(absl::InfiniteFuture());
  }

private:
  void Begin()
  {
    switch (Draw(random_, 0, 12)) {
      case 0:
      case 1:
      case 2:
        Disturb("gateway", Draw(random_, 0, Gateways - 1));
        return;
      case 3:
      case 4:
        Disturb("control", Draw(random_, 0, 2));
        return;
      case 5:
      case 6:
      case 7:
        DisturbWire();
        return;
      case 8:
      case 9:
        DisturbControlLink();
        return;
      case 10:
        ImpairLinks();
        return;
      default:
        DisturbEndpoint();
        return;
    }
  }

  bool Take(const std::string& what) { return taken_.insert(what).second; }
  void Later(const std::string& what, int ms, std::function<void()> undo)
  {
    undo_.emplace(absl::Now() + absl::Milliseconds(ms),
                  [this, what, undo = std::move(undo)] {
                    undo();
                    taken_.erase(what);
                  });
  }
  void UndoDue(absl::Time now)
  {
    while (!undo_.empty() && undo_.begin()->first <= now) {
      const auto undo = std::move(undo_.begin()->second);
      undo_.erase(undo_.begin());
      undo();
    }
  }

  /** A process is paused, killed, or stopped as planned. */
  void Disturb(const std::string& role, int index)
  {
    const std::string name = absl::StrCat(role, index);
    if (!Take(name)) {
      return;
    }
    const bool isGateway = role == "gateway";
    Process& process =
      isGateway ? run_.cluster.Gateway(index) : run_.cluster.Control(index);
    const int kind = Draw(random_, 0, 2);
    const int ms = Draw(random_, 100, 1800);
    if (kind == 0) {
      process.Signal(SIGSTOP);
      Later(name, ms, [&process] { process.Signal(SIGCONT); });
      return;
    }
    const bool planned = kind == 1;
    process.Signal(planned ? SIGTERM : SIGKILL);
    Later(name, ms, [this, isGateway, index, &process] {
      process.Kill(); // whatever of it is left
      if (isGateway) {
        ++run_.gatewayStarts;
        run_.cluster.StartGateway(index);
      } else {
        run_.cluster.StartControl(index, false);
      }
    });
  }

  void DisturbWire()
  {
    const int index =
      Draw(random_, 0, static_cast<int>(run_.endpoints.size()) - 1);
    const std::string name = absl::StrCat("wire", index);
    Forwarder& wire = run_.endpoints[static_cast<std::size_t>(index)]->wire;
    const int kind = Draw(random_, 0, 3);
    if (kind == 0) {
      wire.Reset();
      return;
    }
    if (!Take(name)) {
      return;
    }
    if (kind == 1) {
      wire.Cut();
    } else if (kind == 2) {
      wire.CutAnswers();
    } else {
      wire.Delay(Draw(random_, 5, 80));
    }
    Later(name, Draw(random_, 100, 2500), [&wire] { wire.Mend(); });
  }

  /** Cuts a control box off, or delays or resets what goes to it. */
  void DisturbControlLink()
  {
    const int index = Draw(random_, 0, PlatformCluster::Controls - 1);
    const std::string name = absl::StrCat("link", index);
    Forwarder& link = run_.cluster.ControlLink(index);
    const int kind = Draw(random_, 0, 3);
    if (kind == 0) {
      link.Reset();
      return;
    }
    if (!Take(name)) {
      return;
    }
    if (kind == 1) {
      link.Cut();
    } else if (kind == 2) {
      link.CutAnswers();
    } else {
      link.Delay(Draw(random_, 5, 40));
    }
    Later(name, Draw(random_, 100, 2500), [&link] { link.Mend(); });
  }

  /** All that control boxes answer shares a poor link. */
  void ImpairLinks()
  {
    if (!Take("links")) {
      return;
    }
    run_.cluster.LimitAnswers(1000.0 * Draw(random_, 30, 300));
    Later("links", Draw(random_, 500, 4000),
          [this] { run_.cluster.LiftLimit(); });
  }

  void DisturbEndpoint()
  {
    const int index =
      Draw(random_, 0, static_cast<int>(run_.endpoints.size()) - 1);
    const std::string name = absl::StrCat("conduct", index);
    if (!Take(name)) {
      return;
    }
    PlatformStandin& standin =
      run_.endpoints[static_cast<std::size_t>(index)]->standin;
    standin.SetConduct(Draw(random_, 0, 1) == 0 ? StandinConduct::Refuse
                                                : StandinConduct::HangUp);
    Later(name, Draw(random_, 100, 1500),
          [&standin] { standin.SetConduct(StandinConduct::Answer); });
  }

  Run& run_;
  Random random_;
  std::set<std::string> taken_;
  std::multimap<absl::Time, std::function<void()>> undo_;
};

/** One or two of the boxes reach no endpoint, or none of one service, for some
 * seconds, in each of the ways in which a path can be gone.
 */
void CutPaths(Run& run, absl::Duration time, bool ofServices)
{
  using NoPath = Forwarder::NoPath;
  Random random(run.seed + 20);
  const auto set = [&run](const SoakCut& cut, NoPath path) {
    for (const int box : cut.boxes) {
      for (std::size_t i = 0; i < run.endpoints.size(); ++i) {
        if (cut.service.empty() || cut.service == run.endpoints[i]->service) {
          run.ownWires[box][i]->SetPath(path);
        }
      }
    }
  };
  const absl::Time end = absl::Now() + time;
  while (absl::Now() < end) {
    absl::SleepFor(absl::Milliseconds(Draw(random, 200, 1500)));
    SoakCut cut;
    const int left = Draw(random, 0, Gateways - 1);
    const bool isMost = Draw(random, 0, 1) == 0;
    for (int box = 0; box < Gateways; ++box) {
      if (isMost == (box != left)) {
        cut.boxes.insert(box);
      }
    }
    const NoPath ways[] = { NoPath::Hang, NoPath::Reset, NoPath::LiveOn };
    if (ofServices) {
      const int service = Draw(random, 0, static_cast<int>(Services) - 1);
      cut.service =
        run.endpoints[2 * static_cast<std::size_t>(service)]->service;
    }
    cut.from = absl::Now();
    set(cut, ways[Draw(random, 0, 2)]);
    absl::SleepFor(absl::Milliseconds(Draw(random, 4500, 7000)));
    cut.until = absl::Now();
    set(cut, NoPath::None);
    const std::lock_guard<std::mutex> lock(run.mutex);
    run.record.cuts.push_back(cut);
  }
}

/** One more large document, over poor links that stay so. */
void PublishLast(Run& run)
{
  run.cluster.LimitAnswers(PoorLink);
  const auto number = static_cast<int>(run.acknowledged) + LastStep;
  const std::string document = PlatformCluster::Document(number, MostRoutes);
  const bool isTaken = wg::test::WaitFor(
    [&] { return run.cluster.Publish(number % 3, document) == StatusOk; },
    RecoveryLimit);
  run.record.unservedAtEnd += isTaken ? 0 : 1;
  run.acknowledged = isTaken ? number : run.acknowledged.load();
}

/** Each gateway must have the newest document in force. */
void AskForNewest(Run& run)
{
  const std::string added = absl::StrCat("/p", run.record.readAtEnd, "/x");
  for (int i = 0; i < Gateways && run.record.readAtEnd > 1; ++i) {
    httplib::Client client("127.0.0.1", run.cluster.Listen(i));
    client.set_read_timeout(4);
    const bool isInForce = wg::test::WaitFor(
      [&] { return SendOne(run, i, client, false, added).status == StatusOk; },
      RecoveryLimit);
    run.record.unservedAtEnd += isInForce ? 0 : 1;
  }
}

/** With everything whole again each gateway must serve both kinds. */
void AskAtEnd(Run& run)
{
  for (int i = 0; i < Gateways; ++i) {
    httplib::Client client("127.0.0.1", run.cluster.Listen(i));
    client.set_read_timeout(4);
    for (const bool streams : { false, true }) {
      const bool serves = wg::test::WaitFor(
        [&] { return SendOne(run, i, client, streams).status == StatusOk; },
        RecoveryLimit);
      run.record.unservedAtEnd += serves ? 0 : 1;
    }
  }
  PublishLast(run);
  std::string read;
  const bool isRead = wg::test::WaitFor(
    [&] {
      read = run.cluster.ReadBack(0);
      return !read.empty();
    },
    RecoveryLimit);
  run.record.readAtEnd =
    isRead ? nlohmann::json::parse(read)["version"].get<std::int64_t>() : 0;
  run.record.acknowledged = run.acknowledged;
  AskForNewest(run);
}

void GatherRuns(Run& run)
{
  for (const auto& endpoint : run.endpoints) {
    for (const auto& [id, runs] : endpoint->standin.RunsByRequest()) {
      run.record.runs[id] += runs;
    }
    run.record.unsoundPieces += endpoint->standin.UnsoundPieces();
  }
  for (const auto& endpoint : run.troubled) {
    for (const auto& [id, runs] : endpoint->RunsByRequest()) {
      run.record.runs[id] += runs;
    }
  }
}

/** \brief What a run does besides its faults. */
struct SoakOptions
{
  int seconds = 10;
  bool starts = false;   // endpoints start again, others send heartbeats too
  bool terms = false;    // endpoints ask something of their senders
  bool unframed = false; // endpoints answer without lengths, some not whole
  bool broken = false;   // endpoints of plain requests send broken answers
  bool brittle = false;  // endpoints are brittle at times
  bool paths = false;    // boxes lose all paths to endpoints; no other faults
  bool servicePaths = false; // the same of one service at a time
  std::string daemon; // another program; empty: the one built with the tests
};

std::vector<std::string> RunSeed(std::uint64_t seed,
                                 const SoakOptions& options)
{
  Run run(seed, options.daemon);
  for (const auto& endpoint : run.endpoints) {
    if (options.brittle) {
      endpoint->standin.FallsFor(DownMs);
      endpoint->standin.SetCallMs(WorkMs);
      endpoint->standin.SetWork(WorkMs, UsualQueue);
    }
  }
  for (std::uint64_t i = 0; i < TroubledEndpoints && options.broken; ++i) {
    run.troubled.push_back(std::make_unique<TroubledEndpoint>(
      absl::StrCat("i-troubled", i), seed + 31 + i));
  }
  if (options.paths || options.servicePaths) {
    run.AddOwnWires();
  }
  run.cluster.AwaitServing();
  std::thread heartbeats([&run] { SendHeartbeats(run); });
  std::vector<std::thread> threads;
  const int callers = options.brittle ? CrowdThreads : CallerThreads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&run, i] { SendRequests(run, i); });
  }
  threads.emplace_back([&run] { PublishDocuments(run); });
  threads.emplace_back([&run] { ReadDocuments(run); });
  if (options.starts) {
    threads.emplace_back([&run] { StartEndpointsAgain(run); });
  }
  if (options.unframed) {
    threads.emplace_back([&run] { LeaveAnswersUnframed(run); });
  }
  if (options.broken) {
    threads.emplace_back([&run] { BeInTrouble(run); });
  }
  for (std::size_t service = 0; service < Services && options.terms;
       ++service) {
    threads.emplace_back([&run, service] { Asks(run, service).Go(); });
  }
  for (std::size_t service = 0; service < Services && options.brittle;
       ++service) {
    threads.emplace_back([&run, service] { BeBrittle(run, service); });
  }
  if (options.paths || options.servicePaths) {
    CutPaths(run, absl::Seconds(options.seconds), options.servicePaths);
  } else {
    Faults(run).Go(absl::Seconds(options.seconds));
  }
  absl::SleepFor(Settling);
  run.stopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  heartbeats.join();
  run.stopping = false;
  std::thread again([&run] { SendHeartbeats(run); });
  AskAtEnd(run);
  run.stopping = true;
  again.join();
  GatherRuns(run);
  int served = 0;
  for (const SoakRequest& request : run.record.requests) {
    served += request.status == StatusOk ? 1 : 0;
  }
  int broken = 0;
  for (const auto& endpoint : run.troubled) {
    broken += endpoint->Broken();
  }
  std::printf(
    "seed %llu: %zu requests, %d served, %lld documents, %zu "
    "reads%s\n",
    static_cast<unsigned long long>(seed), run.record.requests.size(), served,
    static_cast<long long>(run.record.acknowledged), run.record.reads.size(),
    options.broken ? absl::StrCat(", ", broken, " broken answers").c_str()
                   : "");
  return CheckSoak(run.record);
}

} // namespace

int main(int argc, char** argv)
{
  try {
    TCLAP::CmdLine line("Soaks gateways and control boxes in faults.");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "The first seed.", false,
                                        1, "number", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "How many seeds.", false, 1,
                               "number", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "Seconds of faults a seed.",
                                 false, 10, "seconds", line);
    TCLAP::SwitchArg starts(
      "", "starts",
      "Endpoints start again under their names, and others "
      "send heartbeats too.",
      line);
    TCLAP::SwitchArg terms(
      "", "terms",
      "Endpoints name limits, ask for rest and say that they leave.", line);
    TCLAP::SwitchArg unframed(
      "", "unframed",
      "Endpoints answer without lengths, and break some answers off.", line);
    TCLAP::SwitchArg brokenAnswers(
      "", "broken",
      "Two more endpoints of plain requests send broken answers at times, and "
      "some requests are long.",
      line);
    TCLAP::SwitchArg brittle(
      "", "brittle",
      "Endpoints fall over at times when they refuse too much, and say so.",
      line);
    TCLAP::SwitchArg paths(
      "", "paths",
      "Boxes lose all paths to endpoints; no other faults of boxes and wires.",
      line);
    TCLAP::SwitchArg servicePaths(
      "", "service-paths",
      "Boxes lose the paths to one service's endpoints at a time; no other "
      "faults of boxes and wires.",
      line);
    TCLAP::ValueArg<std::string> daemon(
      "", "daemon", "Another program in place of the one built here.", false,
      "", "path", line);
    line.parse(argc, argv);
    SoakOptions options;
    options.seconds = seconds.getValue();
    options.starts = starts.getValue();
    options.terms = terms.getValue();
    options.unframed = unframed.getValue();
    options.broken = brokenAnswers.getValue();
    options.brittle = brittle.getValue();
    options.paths = paths.getValue();
    options.servicePaths = servicePaths.getValue();
    options.daemon = daemon.getValue();
    int broken = 0;
    for (int i = 0; i < seeds.getValue(); ++i) {
      const std::uint64_t now =
        seed.getValue() + static_cast<std::uint64_t>(i);
      const auto findings = RunSeed(now, options);
      for (const std::string& finding : findings) {
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(now),
                    finding.c_str());
      }
      broken += findings.empty() ? 0 : 1;
      std::fflush(stdout);
    }
    std::printf("%d of %d seeds broke a promise.\n", broken, seeds.getValue());
    return broken == 0 ? 0 : 1;
  } catch (const TCLAP::ArgException& error) {
    std::fprintf(stderr, "%s\n", error.error().c_str());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
