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
#include "wgVersionRollout.h"

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
  /** May be left empty, as the next one. */
  std::function<void(const VersionRollouts&)> onRollouts;
  /** Adds to a call what this box tells besides. */
  std::function<void(wire::FollowRequest&)> fill;
  /** A newer document; false when it can't be read. */
  std::function<bool(const ReceivedDocument& document)> onDocument;
  std::function<void(const wire::Registration&)> onRegistration;
  /** After all registrations of one reply. */
  std::function<void()> onRegistrationsEnd;
  std::function<void(std::vector<GatewayMember>)> onMembers;
  /** A control box hears none of the hall any more; may be left empty. */
  std::function<void(const std::string& hall)> onHallUnheard;
  /** A box was listed with an impossible share of a core; it is ignored. */
  std::function<void()> onUnsoundShare;
  /** Each reply, after the parts above. */
  std::function<void(const std::string& control, const wire::FollowReply&)>
    onReply;
};

/** \brief A control box that a gateway may ask. */
struct KnownControl
{
  std::string address;
  std::string hall;        // empty: not known
  bool isReached = true;   // as of its last call, or not tried yet
  bool isFollowed = false; // and reached lately
};

/** \class ControlFollower
 * \brief Follows control boxes with calls that are answered when there is
 * news: all of them where there are few, else those of ChooseControls.
 *
 * Where there are few, each control box knows only the endpoints that register
 * with it; where there are many they tell each other. Any of them may be cut
 * off, so that none stands for the others. Of documents these
 * calls only tell that there is one: a call with a large document would take
 * longer than a lost one may go unnoticed, and hold up the news of endpoints.
 */
class ControlFollower
{
public:
  ControlFollower(EventLoop& loop, PeerClient& peers, FollowerIdentity self,
                  DecisionLog& log, FollowHandler handler);

  /** \brief These may be followed as well.
   * \param halls in the order of the addresses; fewer, or empty ones, where
   * they are not known
   */
  void AddControls(const std::vector<std::string>& addresses,
                   const std::vector<std::string>& halls = {});
  /** \brief How many control boxes are followed now. */
  std::size_t Followed() const;
  /** \brief The newest document that a control box has told of. */
  std::uint64_t NewestDocument() const;
  bool HearsAny(Elapsed now) const;
  /** \brief The control boxes that this box knows.
   * \param memory after which one that is not reached is no longer followed
   */
  std::vector<KnownControl> Controls(Elapsed now, absl::Duration memory) const;

private:
  struct Link
  {
    std::string address;
    std::string hall;      // empty: not known
    bool isChosen = false; // see ChooseControls
    bool isActive = false; // a call or a pause before the next is under way
    std::uint64_t controls = 0; // digest of those that it has told
    std::uint64_t registry = 0;
    std::uint64_t registrations = 0;
    std::uint64_t followers = 0;
    std::uint64_t crashes = 0;                    // revision
    std::uint64_t unheardHalls = 0;               // revision
    std::map<std::string, GatewayMember> members; // by box
    Elapsed heard = -absl::InfiniteDuration();
    Elapsed known;    // since when this box knows of it
    Elapsed followed; // since when it was last chosen
    int failures = 0;
    bool reached = true;
    std::uint64_t document = 0; // the newest number that it has told
    std::unique_ptr<LoopTimer> pause;
  };

  void Choose();
  void CallAfter(Link& link, absl::Duration wait);
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
  void TellMembersSoon();

  EventLoop& loop_;
  PeerClient& peers_;
  FollowerIdentity self_;
  DecisionLog& log_;
  FollowHandler handler_;
  std::uint64_t held_ = 0;       // the newest document that was received
  std::uint64_t hallOrders_ = 0; // number of the newest that was heard
  std::uint64_t rollouts_ = 0;   // the newest word of them that was heard
  DocumentTransfer transfer_;
  LoopTimer chunkPause_;
  std::map<std::string, Link> links_;
  BoxShares shares_;
  Elapsed membersTold_;
  bool membersPending_ = false;
  LoopTimer membersTimer_;
};

} // namespace wg
