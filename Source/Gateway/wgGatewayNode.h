// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "wgConnectionLimiter.h"
#include "wgControlFollower.h"
#include "wgCounters.h"
#include "wgCrashTracker.h"
#include "wgDialect.h"
#include "wgEngineClient.h"
#include "wgGatewayRequest.h"
#include "wgHttpServer.h"
#include "wgLoopTimer.h"
#include "wgPeerServer.h"
#include "wgRelayServer.h"
#include "wgStreamOrigins.h"
#include "wgVersionTallies.h"

namespace wg {

/** \brief A gateway process's own settings. */
struct GatewaySettings
{
  std::string box;
  std::string hall;
  std::string listen;      // address for callers
  std::string ready;       // address for readiness and metrics
  std::string metrics;     // address for metrics alone; empty: none
  std::string peerAddress; // for weirgate's own processes
  std::string relay;       // address for calls of other boxes; empty: none
  KeyRing keys;
  std::vector<std::string> controls;
  RetryRules retryRules;
  StageAdmission admission = StageAdmission::ByBox;
  ColdBounds coldBounds;    // but for the rate, which each service has
  std::string cpuShare;     // of a core, as set; empty: not told
  bool isRestarted = false; // and took requests before
  EndpointRoutes routes;    // to endpoints, where they are not direct
  absl::Duration settleTime = absl::Seconds(3);
  absl::Duration stopLimit = absl::Seconds(7);
};

/** \class GatewayNode
 * \brief A process that takes requests to routes: it follows the control
 * boxes, chooses endpoints, and answers callers.
 */
class GatewayNode
{
public:
  GatewayNode(GatewaySettings settings, const Dialect& dialect);
  ~GatewayNode();

  Outcome<Done> Start();
  EventLoop& Loop() { return loop_; }

  /** \brief Runs the loop until the node has stopped. */
  void Run();

  /** \brief More addresses of control boxes. */
  void AddControls(const std::vector<std::string>& addresses);

  /** \brief Not ready from now on; ends the loop once what is taken is
   * answered, at the latest after the stop limit.
   */
  void BeginStop();

private:
  Outcome<Done> Listen();
  void OnRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnReadyRequest(const std::shared_ptr<HttpExchange>& exchange);
  bool OnEnginePeer(const PeerRequest& request,
                    const PeerServer::Respond& respond);
  bool OnLimitPeer(const PeerRequest& request,
                   const PeerServer::Respond& respond);
  bool OnReservationPeer(const PeerRequest& request,
                         const PeerServer::Respond& respond);
  bool OnOriginPeer(const PeerRequest& request,
                    const PeerServer::Respond& respond);
  void OnPeer(const PeerRequest& request, const PeerServer::Respond& respond);
  bool OnDocument(const ReceivedDocument& document);
  void OnHallCut(const std::string& hall);
  void OnPath(bool hasPath);
  void ConfirmPath(const std::string& endpoint,
                   const CrashWatch::OnConfirmed& done);
  void OnEndpointPath(const std::string& endpoint, bool hasPath);
  void OnEndpointHangs(const std::string& endpoint);
  void OnHallOrders(const HallOrders& orders);
  void OnRollouts(const VersionRollouts& rollouts);
  void OnRegistration(const wire::Registration& registration);
  void NoteUnsoundAnswer(const std::string& address,
                         const UnsoundAnswer& answer);
  void NoteUnknownService(const DirectoryEndpoint& endpoint);
  void ApplyLimits();
  void RefuseNew(const std::shared_ptr<HttpExchange>& exchange,
                 absl::string_view reason, absl::string_view retryAfter);
  void GiveUpRequests();
  void CheckStop();
  bool IsReady() const;
  std::string PrintMetrics() const;

  GatewaySettings settings_;
  std::uint32_t cpuMilli_; // 0: not told
  const Dialect& dialect_;
  EventLoop loop_{ 1 };
  Counters counters_;
  GatewayMetrics metrics_;
  DecisionLog log_;
  Directory directory_;
  VersionTallies tallies_;
  HttpClient client_;
  TermsTracker terms_;
  SendPermits permits_;
  ResultReleaser releaser_;
  HallProber halls_;
  CrashTracker crashes_;
  StageCoordinator coordinator_;
  EngineCoordinator engineCoordinator_;
  std::unique_ptr<PeerClient> peerClient_;
  std::unique_ptr<PeerServer> peerServer_;
  std::unique_ptr<StageClient> stages_;
  std::unique_ptr<EngineClient> engines_;
  std::unique_ptr<ReservationClient> reservations_;
  std::unique_ptr<StreamOrigins> origins_;
  std::unique_ptr<RelayServer> relayServer_;
  std::unique_ptr<RelayClient> relays_;
  std::unique_ptr<StatusProber> status_;
  std::unique_ptr<GatewayShared> shared_;
  std::unique_ptr<ControlFollower> follower_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> metricsServer_;
  std::shared_ptr<const RouteTable> table_;
  std::unordered_set<std::shared_ptr<GatewayRequest>> requests_;
  ConnectionLimiter limiter_;
  LoopTimer stopTimer_;
  Elapsed stopBegan_;
  bool stopping_ = false;
  bool gaveUp_ = false;
};

} // namespace wg
