// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "wgElapsed.h"
#include "wgGatewayMetrics.h"
#include "wgHttpMessage.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgStageCoordinator.h"

namespace wg {

/** \brief Another box that takes requests, as control boxes tell of it. */
struct GatewayMember
{
  std::string box;
  std::string hall;
  std::string address;  // for weirgate's own processes
  Elapsed told;         // when a control box last told of it
  bool suspect = false; // until it answers again
  bool asked = false;   // whether it lives, and the answer is still to come
};

/** \brief What a box says when it is asked whether it takes work. */
constexpr absl::string_view AliveReply = "alive";

/** \class StageClient
 * \brief Hands stage work to the box that makes its service's calls: the
 * highest in rendezvous order of those that live. If that one fails, the next
 * is asked.
 */
class StageClient
{
public:
  using Done = std::function<void(const wire::StageReply&)>;

  StageClient(EventLoop& loop, PeerClient& peers, StageCoordinator& own,
              std::string ownBox, GatewayMetrics& metrics);

  /** \brief Takes in who lives as control boxes tell. A box that they no
   * longer tell of may only be cut off from them: it counts until it fails to
   * answer.
   */
  void SetMembers(std::vector<GatewayMember> members);
  std::size_t Members() const { return members_.size(); }

  /** \brief Has the work done; `done` runs once unless it is cancelled. */
  std::uint64_t Submit(wire::StageWork work, Done done);
  void Cancel(std::uint64_t work);

  /** \brief These results of a service are no longer needed; the box that
   * had them made is told, several at once. Their maker need not be known
   * here: another box may have learned of it first.
   */
  void Release(const std::string& service,
               absl::Span<const std::string> handles);

  /** \brief How long new work of a service waits, as last told. */
  absl::Duration Waiting(const std::string& service) const;

private:
  struct OpenWork
  {
    wire::StageWork work;
    Done done;
    std::string coordinator; // box
    std::string address;     // empty: this box
    Elapsed sent;
    Elapsed until;
    int tries = 0;
  };
  struct Backlog
  {
    absl::Duration waiting;
    Elapsed told;
  };

  const GatewayMember* Choose(const std::string& service) const;
  void Send(std::uint64_t number);
  void SendToPeer(std::uint64_t number, const OpenWork& open);
  void OnReply(std::uint64_t number, int tries, const std::string& service,
               const Outcome<std::string>& reply);
  void Finish(std::uint64_t number, const std::string& service,
              const wire::StageReply& reply);
  void GiveUp(const std::string& service, const wire::StageReply& reply);
  void Suspect(const std::string& box);
  void FlushReleases();
  void AskSuspects();
  void Ask(GatewayMember& member);
  void OnAlive(const std::string& box, bool alive);
  GatewayMember* Find(const std::string& box);
  void ArmWatch();
  void Watch();

  EventLoop& loop_;
  PeerClient& peers_;
  StageCoordinator& own_;
  std::string ownBox_;
  GatewayMetrics& metrics_;
  std::vector<GatewayMember> members_; // without this box
  std::map<std::uint64_t, OpenWork> works_;
  std::map<std::string, Backlog> backlogs_;
  std::uint64_t nextWork_;
  std::map<std::string, std::vector<std::string>> released_; // by service
  boost::asio::steady_timer releaseTimer_;
  bool releaseArmed_ = false;
  boost::asio::steady_timer watchTimer_;
  bool watchArmed_ = false;
};

} // namespace wg
