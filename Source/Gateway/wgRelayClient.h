// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/random/random.h"

#include "wgDirectory.h"
#include "wgGatewayMetrics.h"
#include "wgHttpClient.h"
#include "wgLoopTimer.h"
#include "wgPeerClient.h"
#include "wgRelayChoice.h"
#include "wgStageClient.h"

namespace wg {

/** \brief A call of an endpoint, and the box that relays it; empty: none. */
struct EndpointCallStarted
{
  std::unique_ptr<HttpCall> http;
  std::string relay;
};

/** \class RelayClient
 * \brief Calls endpoints, directly or, while this box reaches none, by a box
 * that does. Who chooses, counts and retries is the caller of this.
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

  /** \brief Whether an endpoint could be called now, by whatever way. */
  bool HasWay() const;

  /** \brief Calls an endpoint. Without a way the call ends as NotConnected. */
  EndpointCallStarted Start(const DirectoryEndpoint& endpoint,
                            std::string request,
                            const HttpCallOptions& options,
                            HttpCallHandler handler);

private:
  struct Relayed;

  void AskForOffers();
  void TakeOffer(const std::string& box, bool isNear,
                 const Outcome<std::string>& reply);
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
  LoopTimer timer_;
};

} // namespace wg
