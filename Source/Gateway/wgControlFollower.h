// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wgCoordinatorChoice.h"
#include "wgDecisionLog.h"
#include "wgDocumentTransfer.h"
#include "wgElapsed.h"
#include "wgHallOrders.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgStageClient.h"

namespace wg {

/** \brief Who follows, as it tells the control boxes. */
struct FollowerIdentity
{
  std::string box;
  std::string hall;
  std::string address;
  std::uint32_t cpuMilli = 0; // share of a core, in thousandths; 0: not told
};

/** \brief What is told of the control boxes' news. */
struct FollowHandler
{
  /** Orders on halls, before the endpoints of the same reply. */
  std::function<void(const HallOrders&)> onHallOrders;
  /** A newer document; false when it can't be read. */
  std::function<bool(const ReceivedDocument& document)> onDocument;
  std::function<void(const wire::Registration&)> onRegistration;
  /** After all registrations of one reply. */
  std::function<void()> onRegistrationsEnd;
  std::function<void(std::vector<GatewayMember>)> onMembers;
  /** A box was listed with an impossible share of a core; it is ignored. */
  std::function<void()> onUnsoundShare;
  /** Each reply, after the parts above. */
  std::function<void(const std::string& control, const wire::FollowReply&)>
    onReply;
};

/** \class ControlFollower
 * \brief Follows every known control box at the same time with calls that
 * are answered when there is news.
 *
 * Each control box knows only the endpoints that register with it, and any of
 * them may be cut off, so that none stands for the others. Of documents these
 * calls only tell that there is one: a call with a large document would take
 * longer than a lost one may go unnoticed, and hold up the news of endpoints.
 */
class ControlFollower
{
public:
  ControlFollower(EventLoop& loop, PeerClient& peers, FollowerIdentity self,
                  DecisionLog& log, FollowHandler handler);

  /** \brief Follows these as well. */
  void AddControls(const std::vector<std::string>& addresses);
  /** \brief The newest document that a control box has told of. */
  std::uint64_t NewestDocument() const;
  bool HearsAny(Elapsed now) const;

private:
  struct Link
  {
    std::string address;
    std::uint64_t registry = 0;
    std::uint64_t registrations = 0;
    std::uint64_t followers = 0;
    std::uint64_t crashes = 0; // revision
    std::vector<GatewayMember> members;
    Elapsed heard = -absl::InfiniteDuration();
    Elapsed known; // since when it is followed
    int failures = 0;
    bool reached = true;
    std::uint64_t document = 0; // the newest number that it has told
    std::unique_ptr<LoopTimer> pause;
  };

  void Call(const std::string& address);
  void OnReply(const std::string& address, const Outcome<std::string>& reply);
  void TakeReply(Link& link, const wire::FollowReply& reply);
  void AskChunk();
  void OnChunk(const std::string& source, const Outcome<std::string>& reply);
  void OnChunkFailure(const std::string& source, const std::string& why);
  void OnWhole(const ReceivedDocument& document);
  absl::Duration PauseAfter(int failures) const;
  void OnFailure(Link& link, const std::string& why);
  void TakeFollowers(Link& link, const wire::FollowReply& reply);
  void TellMembers();

  EventLoop& loop_;
  PeerClient& peers_;
  FollowerIdentity self_;
  DecisionLog& log_;
  FollowHandler handler_;
  std::uint64_t held_ = 0;       // the newest document that was received
  std::uint64_t hallOrders_ = 0; // number of the newest that was heard
  DocumentTransfer transfer_;
  LoopTimer chunkPause_;
  std::map<std::string, Link> links_;
  BoxShares shares_;
};

} // namespace wg
