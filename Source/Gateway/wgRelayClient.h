// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/random/random.h"

#include "wgDirectory.h"
#include "wgEndpointCall.h"
#include "wgGatewayMetrics.h"
#include "wgHttpClient.h"
#include "wgLoopTimer.h"
#include "wgPeerClient.h"
#include "wgRelayChoice.h"
#include "wgStageClient.h"

namespace wg {

/** \class RelayClient
 * \brief Calls endpoints, directly or, while this box does not reach them, by
 * a box that does. Who chooses, counts and retries is the caller of this.
 */
class RelayClient
{
public:
  RelayClient(EventLoop& loop, HttpClient& client, Directory& directory,
              PeerClient& peers, StageClient& members, std::string box,
              std::string hall, std::string key, GatewayMetrics& metrics);

  /** \brief This box reaches no endpoint, or does again.
   * \param connectionsHang whether those that are open carry nothing either
   */
  void SetHasPath(bool hasPath, bool connectionsHang);

  /** \brief Told of endpoints that other boxes reach and this one does not.
   */
  using OnPathLost = std::function<void(const std::string& endpoint)>;
  void SetOnPathLost(OnPathLost told) { onPathLost_ = std::move(told); }

  using OnAsked = std::function<void(bool isReachedElsewhere)>;
  /** \brief Asks other boxes whether they reach an endpoint that this one
   * could not connect to. `done` may be null.
   */
  void AskAbout(const std::string& endpoint, OnAsked done);

  /** \brief Whether an endpoint could be called now, by whatever way. */
  bool HasWay() const;

  /** \brief Calls an endpoint. Without a way the call ends as NotConnected. */
  EndpointCallStarted Start(const DirectoryEndpoint& endpoint,
                            std::string request,
                            const HttpCallOptions& options,
                            HttpCallHandler handler);

private:
  struct Relayed;

  void Arm();
  void AskForOffers();
  std::vector<const GatewayMember*> ChooseAsked();
  std::vector<std::string> AddressesOf(
    absl::Span<const std::string> endpoints) const;
  void Ask(absl::Span<const std::string> endpoints);
  void TakeOffer(const std::string& box, bool isNear,
                 absl::Span<const std::string> asked,
                 const Outcome<std::string>& reply);
  void TakeReached(const RelayOffer& offer);
  void SettleAsked(absl::Span<const std::string> endpoints);
  void NoteUnreached(const std::string& box, const std::string& endpoint);
  RelayOffer* Find(const std::string& box);
  std::string MakeCall(const DirectoryEndpoint& endpoint, std::string request,
                       const HttpCallOptions& options) const;
  EndpointCallStarted StartRelayed(RelayOffer& offer,
                                   const DirectoryEndpoint& endpoint,
                                   std::string request,
                                   const HttpCallOptions& options,
                                   HttpCallHandler handler);
  void NoteOver(const std::string& box);
  void NoteEnd(const std::string& box, absl::string_view result);

  EventLoop& loop_;
  HttpClient& client_;
  Directory& directory_;
  PeerClient& peers_;
  StageClient& members_;
  std::string box_;
  std::string hall_;
  std::string key_;
  GatewayMetrics& metrics_;
  absl::BitGen random_;
  std::vector<RelayOffer> offers_;
  bool hasPath_ = true;
  bool connectionsHang_ = false;
  OnPathLost onPathLost_;
  std::map<std::string, std::vector<OnAsked>> awaitAsked_; // by endpoint
  LoopTimer timer_;
  bool armed_ = false;
};

} // namespace wg
