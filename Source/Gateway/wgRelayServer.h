// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "wgDecisionLog.h"
#include "wgDirectory.h"
#include "wgGatewayMetrics.h"
#include "wgHttpClient.h"
#include "wgHttpServer.h"
#include "wgLoopTimer.h"
#include "wgPeer.pb.h"

namespace wg {

/** \class RelayServer
 * \brief Calls endpoints for boxes that reach none. It decides nothing: which
 * endpoint, how often and until when is the other box's to say. It calls
 * endpoints alone, so that no call is relayed twice.
 */
class RelayServer
{
public:
  RelayServer(EventLoop& loop, HttpClient& client, Directory& directory,
              std::string key, GatewayMetrics& metrics, DecisionLog& log);

  /** \param address IP:port for other boxes
   * \param most calls that are relayed at once
   */
  Outcome<Done> Start(const std::string& address, int most);

  /** \brief What this box offers now; without an address it relays nothing. */
  wire::RelayOffer Offer() const;

  using OnOffer = std::function<void(const wire::RelayOffer&)>;
  /** \brief The same, with those of some endpoints that it connects to. */
  void Offer(const wire::RelayAsk& ask, const OnOffer& done);

  /** \brief Nothing new is taken. */
  void Stop() { most_ = 0; }
  bool IsIdle() const { return calls_.empty(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Call
  {
    Exchange exchange;
    std::unique_ptr<HttpCall> http;
    std::unique_ptr<LoopTimer> timer;
    std::string from;
    std::string endpoint;
    Elapsed began;
  };

  struct Trial;

  std::vector<const DirectoryEndpoint*> EndpointsOf(
    const wire::RelayAsk& ask) const;
  void Try(const std::string& address, const std::shared_ptr<Trial>& trial);
  void OnRequest(const Exchange& exchange);
  bool IsGenuine(const HttpRequest& request) const;
  void Refuse(const Exchange& exchange, absl::string_view result);
  void MakeCall(const Exchange& exchange, const DirectoryEndpoint& endpoint);
  void OnHead(std::uint64_t number, HttpHead head, BodyFraming framing);
  void OnLate(std::uint64_t number);
  void OnEnd(std::uint64_t number, HttpCallEnd end);

  EventLoop& loop_;
  HttpClient& client_;
  Directory& directory_;
  std::string key_;
  GatewayMetrics& metrics_;
  DecisionLog& log_;
  std::string address_;
  int most_ = 0;
  std::uint64_t nextCall_ = 1;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::string, Elapsed> connected_; // when, by endpoint's address
  std::unique_ptr<HttpServer> server_;
};

} // namespace wg
