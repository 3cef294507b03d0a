// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "wgEngineCoordinator.h"
#include "wgGatewayMetrics.h"
#include "wgHttpMessage.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgStageClient.h"

namespace wg {

/** \brief A prompt that a coordinator has placed, until its read is over. */
struct PlacedRead
{
  StagePoolKey pool;
  std::uint64_t read = 0; // 0: none
};

/** \class EngineClient
 * \brief Asks the box that sees what all boxes have sent to a service's
 * engines which one to take.
 */
class EngineClient
{
public:
  /** Runs on the loop, exactly once; without endpoint when the box asked did
   * not answer in time or knows none.
   */
  using Chosen =
    std::function<void(const PlacedRead& read, const wire::EngineAnswer&)>;

  EngineClient(EventLoop& loop, PeerClient& peers, StageClient& members,
               EngineCoordinator& own, const Directory& directory,
               std::string box, GatewayMetrics& metrics);

  /** \param ask all but who asks, its number and the pool */
  void Ask(wire::EngineAsk ask, Chosen chosen);

  /** \brief A prompt has been sent to an engine. */
  void NoteSent(const std::string& endpoint, const PromptShape& prompt);

  /** \brief What this box knows of a pool: what it has sent to engines lately,
   * and what others had placed here.
   */
  wire::EnginePrompts Recent(const StagePoolKey& pool) const;

  /** \brief The engine has begun its answer, or never will. */
  void End(const PlacedRead& read, const EngineReadResult& result);

private:
  struct SentPrompt
  {
    std::string endpoint;
    std::vector<std::uint64_t> paths;
    Elapsed when;
  };

  void Gather(const StagePoolKey& pool);
  void AskCoordinator(const wire::EngineAsk& ask, const PlacedRead& read,
                      Chosen chosen);
  void AskPeer(const GatewayMember& member, const wire::EngineAsk& ask,
               const PlacedRead& read, Chosen chosen);

  EventLoop& loop_;
  PeerClient& peers_;
  StageClient& members_;
  EngineCoordinator& own_;
  const Directory& directory_;
  std::string box_;
  GatewayMetrics& metrics_;
  std::uint64_t nextRead_;
  std::deque<SentPrompt> sent_; // oldest first
};

} // namespace wg
