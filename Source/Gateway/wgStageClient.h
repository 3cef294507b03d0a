// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wgElapsed.h"
#include "wgGatewayMember.h"
#include "wgGatewayMetrics.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgStageCoordinator.h"

namespace wg {

/** \brief What a box says when it is asked whether it takes work. */
constexpr absl::string_view AliveReply = "alive";

/** \class StageClient
 * \brief Hands stage work to the box that makes the calls of its pool: the
 * highest in rendezvous order of those that live, in the pool's hall where
 * there are any. If that one fails, the next is asked.
 */
class StageClient
{
public:
  using Done = std::function<void(const wire::StageReply&)>;

  StageClient(EventLoop& loop, PeerClient& peers, StageCoordinator& own,
              const Directory& directory, GatewayMember self,
              GatewayMetrics& metrics);

  /** \brief Takes in who lives as control boxes tell. A box that they no
   * longer tell of may only be cut off from them: it counts until it fails to
   * answer.
   */
  void SetMembers(std::vector<GatewayMember> members);
  std::size_t Members() const { return members_.size(); }

  /** \brief The other boxes that are known, also those that are suspected. */
  absl::Span<const GatewayMember> Others() const { return members_; }

  /** \brief The box that works for a pool; null when it is this one. */
  const GatewayMember* CoordinatorOf(const StagePoolKey& pool) const;

  /** \brief When it last changed which boxes are taken to live. */
  Elapsed MembersChanged() const { return membersChanged_; }
  /** \brief Is called at each such change. */
  void OnMembersChanged(std::function<void()> changed)
  {
    onMembersChanged_ = std::move(changed);
  }

  /** \brief A box did not answer in time: it is asked whether it lives. */
  void Doubt(const std::string& box);

  /** \brief A box that was asked as coordinator reaches no endpoint. */
  void NoteNoPath(const std::string& box);

  /** \brief Whether this box reaches any endpoint. Without a path it makes no
   * calls: work whose pieces are in none is handed to the next in order.
   */
  void SetHasPath(bool hasPath);

  /** \brief A hall is cut off: work that was handed to its boxes goes
   * elsewhere at once. What was to be made there must be begun anew.
   */
  void NoteHallCut(const std::string& hall);

  /** \brief The pool that work is best handed to: its hall's, or another one
   * where it would wait much less.
   */
  StagePoolKey PlaceWork(const std::string& service,
                         const std::string& hall) const;

  /** \brief Has the work done by its pool; `done` runs once unless it is
   * cancelled.
   */
  std::uint64_t Submit(wire::StageWork work, Done done);
  void Cancel(std::uint64_t work);

  /** \brief These results of a pool are no longer needed; the box that
   * had them made is told, several at once. Their maker need not be known
   * here: another box may have learned of it first.
   */
  void Release(const StagePoolKey& pool,
               absl::Span<const std::string> handles);

  /** \brief A coordinator has told how long new work of its pool waits. */
  void NoteWaiting(const StagePoolKey& pool, absl::Duration waiting);

  /** \brief How long new work of a pool waits, as last told. */
  absl::Duration Waiting(const StagePoolKey& pool) const;

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
    int sentBack = 0; // of these, by boxes that reach no endpoint
  };
  struct Backlog
  {
    absl::Duration waiting;
    Elapsed told;
  };

  void Send(std::uint64_t number);
  void SendToPeer(std::uint64_t number, const OpenWork& open);
  void OnReply(std::uint64_t number, int tries, const StagePoolKey& pool,
               const Outcome<std::string>& reply);
  void Finish(std::uint64_t number, const StagePoolKey& pool,
              const wire::StageReply& reply);
  void GiveUp(const StagePoolKey& pool, const wire::StageReply& reply);
  void Suspect(const std::string& box);
  void NoteSilent(const GatewayMember& member);
  void NoteMembersChanged();
  void NoteHeard(const std::string& box);
  std::set<std::string> SilentHalls() const;
  void Move(absl::Span<const std::uint64_t> works);
  void EndAsGone(std::uint64_t number);
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
  const Directory& directory_;
  GatewayMember self_;
  GatewayMetrics& metrics_;
  std::vector<GatewayMember> members_; // without this box
  Elapsed membersChanged_;
  std::function<void()> onMembersChanged_;
  std::map<std::uint64_t, OpenWork> works_;
  std::map<StagePoolKey, Backlog> backlogs_;
  std::map<std::string, Elapsed> silentUntil_; // by hall
  std::uint64_t nextWork_;
  std::map<StagePoolKey, std::vector<std::string>> released_;
  LoopTimer releaseTimer_;
  bool releaseArmed_ = false;
  LoopTimer watchTimer_;
  bool watchArmed_ = false;
};

} // namespace wg
