// SPDX-License-Identifier: Apache-2.0
#include "wgGatewayNode.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "wgResultHandles.h"
#include "wgRunLoop.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

/** What answers given up at a stop's end need to be written. */
constexpr absl::Duration LastAnswersTime = absl::Milliseconds(400);
constexpr auto StopPeriod = std::chrono::milliseconds(50);
/** A box that has just started serves after about this time, in seconds. */
constexpr absl::string_view RetryAfterStart = "1.20";
/** Of all that other processes send, in each direction: lists of a large site
 * have 1 MB, the smallest boxes 160 MB.
 */
constexpr std::size_t MaxPeerBytes = 16U << 20U;

/** Whoever asked this box as a coordinator asks the next one. */
template <class Answer>
void RespondNoPath(const PeerServer::Respond& respond)
{
  Answer answer;
  answer.set_no_path(true);
  respond(answer.SerializeAsString());
}

} // namespace

GatewayNode::GatewayNode(GatewaySettings settings, const Dialect& dialect)
  : settings_(std::move(settings))
  , cpuMilli_(ParseCpuShare(settings_.cpuShare))
  , dialect_(dialect)
  , log_(settings_.box, "gateway")
  , client_(loop_)
  , terms_(directory_, dialect_, metrics_, log_)
  , permits_(loop_, directory_, terms_, metrics_, log_)
  , releaser_(loop_, client_, directory_, dialect_, terms_, metrics_)
  , halls_(loop_, directory_, log_,
           [this](const std::string& hall) { OnHallCut(hall); })
  , crashes_(loop_, directory_, log_, metrics_)
  , coordinator_(loop_, client_, directory_, dialect_, releaser_, halls_,
                 crashes_, terms_, permits_, metrics_, log_)
  , engineCoordinator_(directory_, permits_, settings_.isRestarted, metrics_,
                       log_)
  , limiter_(loop_, metrics_, log_)
  , stopTimer_(loop_)
{
}

GatewayNode::~GatewayNode()
{
  // Their threads post to the loop.
  peerServer_.reset();
  peerClient_.reset();
}

Outcome<Done> GatewayNode::Start()
{
  const Outcome<SocketAddress> peer =
    ParseSocketAddress(settings_.peerAddress);
  if (!Succeeded(peer)) {
    return Error{ Message(peer) };
  }
  peerClient_ =
    std::make_unique<PeerClient>(settings_.keys[std::string(PeerName)],
                                 PeerName, PeerClient::IdleTime, MaxPeerBytes);
  crashes_.SetPeers(*peerClient_);
  GatewayMember self{ settings_.box, settings_.hall, settings_.peerAddress };
  self.cpuMilli = cpuMilli_;
  stages_ = std::make_unique<StageClient>(loop_, *peerClient_, coordinator_,
                                          directory_, self, metrics_);
  permits_.SetPeers(*peerClient_, *stages_, settings_.box);
  directory_.reach.own = settings_.hall;
  directory_.routes = settings_.routes;
  engines_ = std::make_unique<EngineClient>(loop_, *peerClient_, *stages_,
                                            engineCoordinator_, directory_,
                                            settings_.box, metrics_);
  reservations_ = std::make_unique<ReservationClient>(
    loop_, *peerClient_, *stages_, coordinator_, settings_.box, metrics_);
  origins_ = std::make_unique<StreamOrigins>(
    loop_, *peerClient_, *stages_, directory_, settings_.hall, metrics_);
  const std::string& key = settings_.keys[std::string(PeerName)];
  relayServer_ = std::make_unique<RelayServer>(loop_, client_, directory_, key,
                                               metrics_, log_);
  relays_ = std::make_unique<RelayClient>(
    loop_, client_, directory_, *peerClient_, *stages_, settings_.box,
    settings_.hall, key, metrics_);
  status_ = std::make_unique<StatusProber>(loop_, *relays_, directory_,
                                           dialect_, metrics_);
  shared_.reset(new GatewayShared{
    loop_, dialect_, directory_, *relays_, *stages_, *reservations_, *engines_,
    *origins_, halls_, crashes_, terms_, permits_, *status_, metrics_, log_,
    settings_.hall, settings_.retryRules, tallies_, settings_.admission });
  client_.OnConnect([this](const std::string& address, ConnectResult result) {
    const DirectoryEndpoint* endpoint =
      FindByAddress(directory_, RegisteredAt(directory_.routes, address));
    if (endpoint != nullptr) {
      halls_.Tried(*endpoint, result);
    }
  });
  client_.OnUnsound(
    [this](const std::string& address, const UnsoundAnswer& answer) {
      NoteUnsoundAnswer(address, answer);
    });
  halls_.SetOnPath([this](bool hasPath) { OnPath(hasPath); });
  halls_.SetOnUnreached([this](const std::string& endpoint) {
    relays_->AskAbout(endpoint, nullptr);
  });
  relays_->SetOnPathLost([this](const std::string& endpoint) {
    OnEndpointPath(endpoint, false);
    halls_.WatchLost(endpoint);
  });
  halls_.SetOnRegained(
    [this](const std::string& endpoint) { OnEndpointPath(endpoint, true); });
  halls_.SetOnHanging(
    [this](const std::string& endpoint) { OnEndpointHangs(endpoint); });
  const StartEndpointCall call = [this](const DirectoryEndpoint& endpoint,
                                        std::string request,
                                        HttpCallHandler handler) {
    return relays_->Start(endpoint, std::move(request), {},
                          std::move(handler));
  };
  coordinator_.SetCalls(call);
  releaser_.SetCalls(call);
  crashes_.SetConfirmPath(
    [this](const std::string& endpoint, const CrashWatch::OnConfirmed& done) {
      ConfirmPath(endpoint, done);
    });
  coordinator_.SetTallies(tallies_);
  coordinator_.SetRetryRules(settings_.retryRules);
  engineCoordinator_.SetColdBounds(settings_.coldBounds);
  peerServer_ = std::make_unique<PeerServer>(
    settings_.keys,
    [this](const PeerRequest& request, const PeerServer::Respond& respond) {
      OnPeer(request, respond);
    },
    counters_, MaxPeerBytes);
  if (auto started = peerServer_->Start(Value(peer)); !Succeeded(started)) {
    return started;
  }
  if (auto listening = Listen(); !Succeeded(listening)) {
    return listening;
  }
  if (!settings_.relay.empty()) {
    auto relaying =
      relayServer_->Start(settings_.relay, MostRelayedCalls(cpuMilli_));
    if (!Succeeded(relaying)) {
      return relaying;
    }
  }
  FollowHandler handler;
  handler.onDocument = [this](const ReceivedDocument& document) {
    return OnDocument(document);
  };
  handler.onHallOrders = [this](const HallOrders& orders) {
    OnHallOrders(orders);
  };
  handler.onRollouts = [this](const VersionRollouts& rollouts) {
    OnRollouts(rollouts);
  };
  handler.fill = [this](wire::FollowRequest& request) {
    request.set_no_path(directory_.reach.isIsolated);
    TellTallies(tallies_, settings_.box, request);
  };
  handler.onRegistration = [this](const wire::Registration& registration) {
    OnRegistration(registration);
  };
  handler.onRegistrationsEnd = [this] {
    coordinator_.NoteDirectory();
    crashes_.NoteDirectory();
  };
  handler.onReply = [this](const std::string& control,
                           const wire::FollowReply& reply) {
    crashes_.TakeReply(control, reply);
  };
  handler.onMembers = [this](std::vector<GatewayMember> members) {
    stages_->SetMembers(std::move(members));
    crashes_.SetBoxes(stages_->Members() + 1);
  };
  handler.onHallUnheard = [this](const std::string& hall) {
    halls_.Suspect(hall);
  };
  handler.onUnsoundShare = [this] { metrics_.Count("box_shares_unsound"); };
  follower_ = std::make_unique<ControlFollower>(
    loop_, *peerClient_,
    FollowerIdentity{ settings_.box, settings_.hall, settings_.peerAddress,
                      cpuMilli_ },
    log_, std::move(handler));
  follower_->AddControls(settings_.controls);
  origins_->SetControls(
    [this] { return follower_->Controls(ElapsedNow(), StreamMemory); });
  if (!settings_.cpuShare.empty() && cpuMilli_ == 0) {
    metrics_.Count("cpu_share_unsound");
  }
  log_.Write(LogWeight::Notable, "start",
             { { "hall", settings_.hall },
               { "listen", settings_.listen },
               { "cpu_share", settings_.cpuShare },
               { "cpu_milli", cpuMilli_ } });
  return Done{};
}

Outcome<Done> GatewayNode::Listen()
{
  const auto onReady = [this](const std::shared_ptr<HttpExchange>& exchange) {
    OnReadyRequest(exchange);
  };
  callers_ = std::make_unique<HttpServer>(
    loop_, [this](const auto& exchange) { OnRequest(exchange); });
  callers_->SetTakesConnection([this] { return limiter_.TryTake(); });
  shared_->callers = callers_.get();
  readiness_ = std::make_unique<HttpServer>(loop_, onReady);
  metricsServer_ = std::make_unique<HttpServer>(loop_, onReady);
  const std::pair<HttpServer*, std::string> servers[] = {
    { callers_.get(), settings_.listen },
    { readiness_.get(), settings_.ready },
    { metricsServer_.get(), settings_.metrics },
  };
  for (const auto& [server, text] : servers) {
    if (text.empty()) {
      continue;
    }
    const Outcome<SocketAddress> address = ParseSocketAddress(text);
    if (!Succeeded(address)) {
      return Error{ Message(address) };
    }
    auto started = server->Start(Value(address).host, Value(address).port);
    if (!Succeeded(started)) {
      return started;
    }
  }
  return Done{};
}

void GatewayNode::Run()
{
  RunLoop(loop_, [this](absl::string_view what) {
    metrics_.Count("handlers_threw");
    log_.Write(LogWeight::Notable, "handler_threw",
               { { "what", std::string(what) } });
  });
}

void GatewayNode::AddControls(const std::vector<std::string>& addresses)
{
  follower_->AddControls(addresses);
}

void GatewayNode::OnRequest(const std::shared_ptr<HttpExchange>& exchange)
{
  if (table_ == nullptr) {
    RefuseNew(exchange, "no_document", RetryAfterStart);
    return;
  }
  auto request = std::make_shared<GatewayRequest>(
    *shared_, exchange, table_,
    [this](const std::shared_ptr<GatewayRequest>& over) {
      boost::asio::post(loop_, [this, over] { requests_.erase(over); });
    });
  requests_.insert(request);
  request->Begin();
}

void GatewayNode::RefuseNew(const std::shared_ptr<HttpExchange>& exchange,
                            absl::string_view reason,
                            absl::string_view retryAfter)
{
  metrics_.Count(absl::StrCat("refused_", reason));
  HttpResponse response = MakeResponse(
    static_cast<unsigned>(http::status::service_unavailable), "", "");
  response.set(http::field::retry_after, std::string(retryAfter));
  exchange->Respond(std::move(response));
}

bool GatewayNode::IsReady() const
{
  return table_ != nullptr && !stopping_;
}

void GatewayNode::OnReadyRequest(const std::shared_ptr<HttpExchange>& exchange)
{
  const auto target = exchange->Request().target();
  if (target == dialect_.metricsPath) {
    exchange->Respond(MakeResponse(static_cast<unsigned>(http::status::ok),
                                   "text/plain", PrintMetrics()));
    return;
  }
  if (target != dialect_.readyPath) {
    exchange->Respond(
      MakeResponse(static_cast<unsigned>(http::status::not_found), "", ""));
    return;
  }
  const http::status status =
    IsReady() ? http::status::ok : http::status::service_unavailable;
  exchange->Respond(MakeResponse(static_cast<unsigned>(status), "", ""));
}

std::string GatewayNode::PrintMetrics() const
{
  return absl::StrCat(
    metrics_.Print(), "weirgate_document_number ",
    table_ == nullptr ? 0 : table_->number, "\nweirgate_document_newest ",
    follower_->NewestDocument(), "\nweirgate_endpoints_known ",
    directory_.endpoints.size(), "\nweirgate_controls_followed ",
    follower_->Followed(), "\nweirgate_hall_orders ", directory_.halls.newest,
    "\nweirgate_cpu_milli ", cpuMilli_, "\nweirgate_requests_open ",
    requests_.size(), "\nweirgate_requests_kept_away ",
    crashes_.KeptAway(wire::WHOLE_REQUEST), "\nweirgate_parts_kept_away ",
    crashes_.KeptAway(wire::PROMPT_PART), "\nweirgate_peer_bytes_read ",
    peerClient_->BytesRead(), "\nweirgate_bodies_refused ",
    callers_->RefusedBodies(), "\nweirgate_log_lines_left_out ",
    log_.LeftOut(), "\n");
}

bool GatewayNode::OnEnginePeer(const PeerRequest& request,
                               const PeerServer::Respond& respond)
{
  if (request.path == "/engine") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::EngineAsk ask;
      const bool taken = !stopping_ && ask.ParseFromString(body);
      if (taken && directory_.reach.isIsolated) {
        RespondNoPath<wire::EngineAnswer>(respond);
        return;
      }
      respond(taken ? engineCoordinator_.Place(ask).SerializeAsString() : "");
    });
    return true;
  }
  if (request.path == "/engine-recent") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::EnginePool pool;
      const bool sound = pool.ParseFromString(body);
      const StagePoolKey key{ pool.service(), pool.hall() };
      respond(sound ? engines_->Recent(key).SerializeAsString() : "");
    });
    return true;
  }
  if (request.path == "/engine-end") {
    boost::asio::post(loop_, [this, body = request.body] {
      wire::EngineReadEnd end;
      if (end.ParseFromString(body)) {
        engineCoordinator_.End(end);
      }
    });
    respond("");
    return true;
  }
  return false;
}

bool GatewayNode::OnLimitPeer(const PeerRequest& request,
                              const PeerServer::Respond& respond)
{
  if (request.path == "/send") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::SendAsk ask;
      const bool taken = !stopping_ && ask.ParseFromString(body);
      if (taken && directory_.reach.isIsolated) {
        RespondNoPath<wire::SendAnswer>(respond);
        return;
      }
      respond(taken ? permits_.Grant(ask).SerializeAsString() : "");
    });
    return true;
  }
  if (request.path == "/limit") {
    boost::asio::post(loop_, [this, body = request.body] {
      wire::EndpointLimit limit;
      if (limit.ParseFromString(body)) {
        permits_.TakeNews(limit);
      }
    });
    respond("");
    return true;
  }
  if (request.path == "/send-open") {
    boost::asio::post(loop_, [this, body = request.body] {
      wire::OpenReport report;
      if (report.ParseFromString(body)) {
        permits_.TakeReport(report);
      }
    });
    respond("");
    return true;
  }
  return false;
}

bool GatewayNode::OnReservationPeer(const PeerRequest& request,
                                    const PeerServer::Respond& respond)
{
  if (request.path == "/stage-reserve") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::StageReserve ask;
      const bool taken = !stopping_ && ask.ParseFromString(body);
      if (taken && directory_.reach.isIsolated) {
        RespondNoPath<wire::StageReserveAnswer>(respond);
        return;
      }
      respond(taken ? coordinator_.Reserve(ask).SerializeAsString() : "");
    });
    return true;
  }
  if (request.path == "/stage-reserve-end") {
    boost::asio::post(loop_, [this, body = request.body] {
      wire::StageReserveEnd end;
      if (end.ParseFromString(body)) {
        coordinator_.EndReservations(end);
      }
    });
    respond("");
    return true;
  }
  return false;
}

bool GatewayNode::OnOriginPeer(const PeerRequest& request,
                               const PeerServer::Respond& respond)
{
  if (request.path == "/stream-origins") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::StreamOrigins origins;
      const bool sound = origins.ParseFromString(body);
      respond(sound ? origins_->Take(origins) : "");
    });
    return true;
  }
  if (request.path == "/stream-origin") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::StreamOriginAsk ask;
      const bool sound = ask.ParseFromString(body);
      respond(sound ? origins_->Answer(ask).SerializeAsString() : "");
    });
    return true;
  }
  return false;
}

/** Runs on the peer server's thread. */
void GatewayNode::OnPeer(const PeerRequest& request,
                         const PeerServer::Respond& respond)
{
  if (OnEnginePeer(request, respond) || OnLimitPeer(request, respond) ||
      OnReservationPeer(request, respond) || OnOriginPeer(request, respond)) {
    return;
  }
  if (request.path == "/stage") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::StageWork work;
      if (stopping_ || !work.ParseFromString(body)) {
        respond("");
        return;
      }
      if (directory_.reach.isIsolated) {
        RespondNoPath<wire::StageReply>(respond);
        return;
      }
      coordinator_.Submit(work, [respond](const wire::StageReply& reply) {
        respond(reply.SerializeAsString());
      });
    });
    return;
  }
  if (request.path == "/cancel") {
    boost::asio::post(loop_, [this, body = request.body] {
      wire::CancelWork cancel;
      if (cancel.ParseFromString(body)) {
        coordinator_.Cancel(cancel.box(), cancel.work());
      }
    });
    respond("");
    return;
  }
  if (request.path == "/release") {
    boost::asio::post(loop_, [this, body = request.body] {
      wire::ReleaseResults release;
      if (release.ParseFromString(body)) {
        std::vector<std::string> handles;
        std::copy_if(release.handles().begin(), release.handles().end(),
                     std::back_inserter(handles), IsResultHandle);
        coordinator_.Release(handles);
      }
    });
    respond("");
    return;
  }
  if (request.path == "/relay-offer") {
    boost::asio::post(loop_, [this, body = request.body, respond] {
      wire::RelayAsk ask;
      if (!ask.ParseFromString(body)) {
        ask.Clear();
      }
      relayServer_->Offer(ask, [respond](const wire::RelayOffer& offer) {
        respond(offer.SerializeAsString());
      });
    });
    return;
  }
  if (request.path == "/alive") {
    boost::asio::post(loop_, [this, respond] {
      respond(stopping_ ? "" : std::string(AliveReply));
    });
    return;
  }
  counters_.Add(Event::PeerRejected);
  respond("");
}

bool GatewayNode::OnDocument(const ReceivedDocument& document)
{
  const std::uint64_t number = document.number;
  Outcome<RouteTable> read = dialect_.readDocument(document.content);
  if (!Succeeded(read)) {
    log_.Write(LogWeight::Notable, "document_unreadable",
               { { "number", number }, { "why", Message(read) } });
    return false;
  }
  auto table = std::make_shared<RouteTable>(std::move(Value(read)));
  table->number = number;
  IndexRoutes(*table);
  if (table_ != nullptr) {
    KeepFormerTargets(*table, *table_, ElapsedNow(), StreamMemory);
  }
  table_ = std::move(table);
  coordinator_.SetTable(table_);
  engineCoordinator_.SetTable(table_);
  ForgetRoutes(shared_->deadlines, *table_);
  ForgetRoutes(shared_->times, *table_);
  shared_->document = { number, ElapsedNow() };
  ApplyLimits();
  log_.Write(LogWeight::Notable, "document_in_force",
             { { "number", number }, { "routes", table_->routes.size() } });
  return true;
}

void GatewayNode::ApplyLimits()
{
  HttpLimits limits;
  limits.headerBytes = static_cast<std::size_t>(table_->limits.headerBytes);
  limits.bodyBytes = static_cast<std::size_t>(table_->limits.bodyBytes);
  limits.headerTimeout = table_->limits.headerTimeout;
  limits.idleTimeout = table_->limits.idleTimeout;
  callers_->SetLimits(limits);
}

/** Not at once: a request that is at work may have brought the news. */
void GatewayNode::OnHallCut(const std::string& hall)
{
  coordinator_.NoteHallCut(hall);
  boost::asio::post(loop_, [this, hall] { stages_->NoteHallCut(hall); });
}

/** What failed on the way says nothing of endpoints. */
void GatewayNode::OnPath(bool hasPath)
{
  metrics_.Count(hasPath ? "paths_regained" : "paths_lost");
  for (auto& [id, endpoint] : directory_.endpoints) {
    endpoint.avoidUntil = Elapsed();
    endpoint.failuresInRow = 0;
  }
  const bool hang = halls_.ConnectionsHang();
  relays_->SetHasPath(hasPath, hang);
  coordinator_.SetHasPath(hasPath, settings_.box, hang);
  // Not at once: a request that is at work may have brought the news.
  boost::asio::post(loop_, [this, hasPath, hang] {
    stages_->SetHasPath(hasPath);
    const auto open = requests_;
    for (const std::shared_ptr<GatewayRequest>& request : open) {
      if (!hasPath && hang) {
        request->NotePathLost();
      }
    }
  });
}

/** A refused connection tells of the endpoint only where no other box makes
 * one.
 */
void GatewayNode::ConfirmPath(const std::string& endpoint,
                              const CrashWatch::OnConfirmed& done)
{
  halls_.ConfirmPath([this, endpoint, done](bool hasPath) {
    if (!hasPath) {
      done(false);
      return;
    }
    relays_->AskAbout(endpoint, [done](bool isReachedElsewhere) {
      done(!isReachedElsewhere);
    });
  });
}

void GatewayNode::OnEndpointPath(const std::string& endpoint, bool hasPath)
{
  DirectoryEndpoint* known = FindEndpoint(directory_, endpoint);
  if (known == nullptr) {
    return;
  }
  metrics_.Count(hasPath ? "endpoint_paths_regained" : "endpoint_paths_lost");
  log_.Write(LogWeight::Notable,
             hasPath ? "endpoint_path_regained" : "endpoint_path_lost",
             { { "endpoint", endpoint }, { "service", known->service } });
  known->avoidUntil = Elapsed();
  known->failuresInRow = 0;
  // Not at once: a call that is under way may have brought the news.
  boost::asio::post(loop_, [this, endpoint] {
    coordinator_.NoteEndpointPath(endpoint, false);
  });
}

void GatewayNode::OnEndpointHangs(const std::string& endpoint)
{
  coordinator_.NoteEndpointPath(endpoint, true);
  const auto open = requests_;
  for (const std::shared_ptr<GatewayRequest>& request : open) {
    if (request->IsSentTo(endpoint)) {
      request->NotePathLost();
    }
  }
}

/** From now on nothing new is sent to endpoints of an evacuated hall. */
void GatewayNode::OnHallOrders(const HallOrders& orders)
{
  for (const std::string& hall :
       MergeHallOrders(directory_, orders, ElapsedNow())) {
    const HallOrder order = FindHallOrder(directory_.halls, hall);
    log_.Write(LogWeight::Notable,
               order.evacuated ? "hall_evacuated" : "hall_returned",
               { { "hall", hall }, { "order", order.number } });
    metrics_.Count(order.evacuated ? "halls_evacuated" : "halls_returned");
  }
  coordinator_.NoteDirectory();
}

void GatewayNode::OnRollouts(const VersionRollouts& rollouts)
{
  for (const std::string& service :
       MergeRollouts(directory_, rollouts, ElapsedNow())) {
    const VersionRollout& rollout =
      FindVersionRollout(directory_.rollouts, service);
    log_.Write(LogWeight::Notable, "rollout",
               { { "service", service },
                 { "version", rollout.version },
                 { "order", rollout.number },
                 { "state", std::string(NameOf(rollout.state)) },
                 { "permille", rollout.permille } });
    metrics_.Count(absl::StrCat("rollouts_", NameOf(rollout.state)));
  }
  ForgetTallies(tallies_, directory_.rollouts);
  coordinator_.NoteDirectory();
}

void GatewayNode::OnRegistration(const wire::Registration& registration)
{
  const Elapsed now = ElapsedNow();
  ForgetEndedIfDue(directory_, now);
  const std::string id = IdentityOf(StartOf(registration));
  const bool isNew = FindEndpoint(directory_, id) == nullptr;
  if (!MergeRegistration(directory_, registration, now)) {
    return;
  }
  const DirectoryEndpoint* endpoint = FindEndpoint(directory_, id);
  log_.Write(
    LogWeight::Routine, "endpoint",
    { { "endpoint", id },
      { "service", endpoint->service },
      { "version", endpoint->version },
      { "sequence", registration.sequence() },
      { "state", wire::Registration::State_Name(registration.state()) } });
  NoteUnknownService(*endpoint);
  origins_->NoteVersion(endpoint->service, endpoint->version);
  // What was at the address of a new start before it has closed its
  // connections, or will.
  if (isNew || registration.state() == wire::Registration::GONE) {
    client_.Forget(RouteTo(directory_.routes, endpoint->address));
  }
}

/** \param address where it came from: an endpoint, or another box */
void GatewayNode::NoteUnsoundAnswer(const std::string& address,
                                    const UnsoundAnswer& answer)
{
  const std::string fault(NameOf(answer.fault));
  metrics_.Count("unsound_answers");
  metrics_.Count("unsound_answer_" + fault);
  const DirectoryEndpoint* endpoint =
    FindByAddress(directory_, RegisteredAt(directory_.routes, address));
  log_.Write(LogWeight::Notable, "unsound_answer",
             { { "endpoint", endpoint != nullptr ? endpoint->id : "" },
               { "address", address },
               { "fault", fault },
               { "detail", answer.detail } });
}

/** No route leads to it until a document names its service. */
void GatewayNode::NoteUnknownService(const DirectoryEndpoint& endpoint)
{
  const bool isUnknown = table_ != nullptr && IsCurrent(endpoint) &&
                         table_->services.count(endpoint.service) == 0;
  if (isUnknown) {
    metrics_.Count("endpoints_of_unknown_service");
  }
}

void GatewayNode::BeginStop()
{
  if (std::exchange(stopping_, true)) {
    return;
  }
  stopBegan_ = ElapsedNow();
  shared_->stop = { stopBegan_ + settings_.settleTime,
                    stopBegan_ + settings_.stopLimit - LastAnswersTime };
  for (const std::shared_ptr<GatewayRequest>& request : requests_) {
    request->NoteTime();
  }
  log_.Write(LogWeight::Notable, "stop_begun",
             { { "requests_open", requests_.size() } });
  callers_->StartDraining(settings_.settleTime);
  relayServer_->Stop();
  origins_->HandOver();
  CheckStop();
}

/** No connection ends without an answer as far as there is one to give. */
void GatewayNode::GiveUpRequests()
{
  if (std::exchange(gaveUp_, true)) {
    return;
  }
  log_.Write(LogWeight::Notable, "stop_gives_up",
             { { "requests_open", requests_.size() } });
  const auto open = requests_;
  for (const std::shared_ptr<GatewayRequest>& request : open) {
    request->GiveUp();
  }
}

/** Callers are still sent here until the balancer has asked twice. */
void GatewayNode::CheckStop()
{
  const Elapsed now = ElapsedNow();
  const bool settled = now >= shared_->stop->settled;
  const bool idle = requests_.empty() && coordinator_.IsIdle() &&
                    relayServer_->IsIdle() && callers_->ActiveRequests() == 0;
  if (now >= shared_->stop->giveUp) {
    GiveUpRequests();
  }
  if ((settled && idle) || now >= stopBegan_ + settings_.stopLimit) {
    log_.Write(LogWeight::Notable, "stop",
               { { "requests_cut", requests_.size() } });
    loop_.stop();
    return;
  }
  stopTimer_.expires_after(StopPeriod);
  stopTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      CheckStop();
    }
  });
}

} // namespace wg
