// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "wgDecisionLog.h"
#include "wgElapsed.h"
#include "wgHttpMessage.h"
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
};

/** \brief What is told of the control boxes' news. */
struct FollowHandler
{
  std::function<void(std::uint64_t number, const std::string& content)>
    onDocument;
  std::function<void(const wire::Registration&)> onRegistration;
  /** After all registrations of one reply. */
  std::function<void()> onRegistrationsEnd;
  std::function<void(std::vector<GatewayMember>)> onMembers;
};

/** \class ControlFollower
 * \brief Follows every known control box at the same time with calls that
 * are answered when there is news.
 *
 * Each control box knows only the endpoints that register with it, and any of
 * them may be cut off, so that none stands for the others.
 */
class ControlFollower
{
public:
  ControlFollower(EventLoop& loop, PeerClient& peers, FollowerIdentity self,
                  DecisionLog& log, FollowHandler handler);

  /** \brief Follows these as well. */
  void AddControls(const std::vector<std::string>& addresses);
  /** \brief The document in force; it need not be sent any more. */
  void SetHeld(std::uint64_t number) { held_ = number; }
  bool HearsAny(Elapsed now) const;

private:
  struct Link
  {
    std::string address;
    std::uint64_t registry = 0;
    std::uint64_t registrations = 0;
    std::uint64_t followers = 0;
    std::vector<GatewayMember> members;
    Elapsed heard = -absl::InfiniteDuration();
    Elapsed known; // since when it is followed
    int failures = 0;
    bool reached = true;
    bool wantsDocument = false;
    std::uint64_t document = 0; // the newest number that it has told
    std::unique_ptr<boost::asio::steady_timer> pause;
  };

  void Call(const std::string& address);
  void OnReply(const std::string& address, const Outcome<std::string>& reply);
  void TakeReply(Link& link, const wire::FollowReply& reply);
  void TakeDocument(Link& link, const wire::FollowReply& reply);
  void OnFailure(Link& link, const std::string& why);
  void TellMembers();
  bool IsPrimary(const Link& link) const;

  EventLoop& loop_;
  PeerClient& peers_;
  FollowerIdentity self_;
  DecisionLog& log_;
  FollowHandler handler_;
  std::uint64_t held_ = 0;
  std::map<std::string, Link> links_;
};

} // namespace wg
