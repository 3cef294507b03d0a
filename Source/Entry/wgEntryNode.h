// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wgBlackboard.h"
#include "wgCallerServer.h"
#include "wgChangeClient.h"
#include "wgEndpointClient.h"
#include "wgPeer.pb.h"
#include "wgPeerServer.h"

namespace wg {

/** \brief An entry process's own settings. */
struct EntrySettings
{
  std::string box;
  std::string hall;
  std::string listen;      // address for callers
  std::string peerAddress; // address for peers, TCP and UDP
  KeyRing keys;
  std::vector<std::string> controls;
  std::vector<std::string> seeds; // peer addresses of other entries
  std::string platform;           // address of the platform's list, or empty
  CallerLimits limits;
  absl::Duration settleTime = absl::Seconds(3);
  absl::Duration stopLimit = absl::Seconds(60);
};

/** \class EntryNode
 * \brief One entry: the blackboard and the controllers that work on it.
 */
class EntryNode
{
public:
  explicit EntryNode(EntrySettings settings);
  ~EntryNode();
  Outcome<Done> Start();
  /** \brief Stops in order: not ready, settle, finish all, end.
   * \param hurry becomes true when the stop is to end at once
   * \return how many requests were cut
   */
  int Stop(const std::atomic<bool>& hurry);
  Counters& GetCounters() { return board_.counters; }

private:
  void FollowConfig();
  /** \brief True when the address is up to date itself. */
  bool FollowFrom(const std::string& address, absl::Duration wait);
  std::optional<wire::FollowReply> AskFollowed(
    const std::string& address, const wire::FollowRequest& request,
    absl::Duration timeout);
  bool FetchConfig(const std::string& address, wire::FollowRequest request,
                   const std::shared_ptr<const Config>& present);
  std::vector<std::string> NewerNeighbours();
  void Gossip();
  void SendGossip(const FileDescriptor& socket);
  void ReceiveGossip(const FileDescriptor& socket);
  void WatchEndpoints();
  void WatchPlatform();
  void Tick();
  void HandlePeer(const PeerRequest& request,
                  const PeerServer::Respond& respond);
  std::string AnswerFollow(const std::string& body);
  void StartThread(void (EntryNode::*loop)());

  EntrySettings settings_;
  Blackboard board_;
  FileDescriptor gossipSocket_;
  std::unique_ptr<PeerClient> client_;
  absl::Duration fetchTime_ =
    absl::Seconds(1); // that a configuration may take
  std::unique_ptr<ChangeClient> changes_;
  std::unique_ptr<ClaimEnder> claimEnder_;
  EndpointClient endpoints_;
  std::unique_ptr<PeerServer> peers_;
  std::unique_ptr<CallerServer> callers_;
  std::atomic<bool> ending_{ false };
  std::vector<std::thread> threads_;
};

} // namespace wg
