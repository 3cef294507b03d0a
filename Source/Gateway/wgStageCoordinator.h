// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "wgCrashTracker.h"
#include "wgDecisionLog.h"
#include "wgDialect.h"
#include "wgDirectory.h"
#include "wgEndpointCall.h"
#include "wgGatewayMetrics.h"
#include "wgHallProber.h"
#include "wgHttpClient.h"
#include "wgLoopTimer.h"
#include "wgPeer.pb.h"
#include "wgResultLedger.h"
#include "wgResultReleaser.h"
#include "wgResultRoom.h"
#include "wgRetryWindow.h"
#include "wgSendPermits.h"
#include "wgStagePool.h"
#include "wgStagePoolKey.h"
#include "wgStageReservations.h"
#include "wgTermsTracker.h"
#include "wgVersionTallies.h"

namespace wg {

/** \class StageCoordinator
 * \brief Makes the calls of services that run stages, for the requests of
 * all boxes that have chosen this one: pieces that wait at the same time go
 * in one call.
 */
class StageCoordinator
{
public:
  using Done = std::function<void(const wire::StageReply&)>;

  StageCoordinator(EventLoop& loop, HttpClient& client, Directory& directory,
                   const Dialect& dialect, ResultReleaser& releaser,
                   HallProber& halls, CrashTracker& crashes,
                   TermsTracker& terms, SendPermits& permits,
                   GatewayMetrics& metrics, DecisionLog& log);

  void SetTable(std::shared_ptr<const RouteTable> table);
  /** \brief How endpoints are called; directly, unless this is set. */
  void SetCalls(StartEndpointCall calls) { startCall_ = std::move(calls); }
  /** \brief Where calls count for roll-outs of versions. */
  void SetTallies(VersionTallies& tallies) { tallies_ = &tallies; }
  void SetRetryRules(const RetryRules& rules) { rules_ = rules; }

  /** \brief Has all pieces of the work made; `done` is called once, unless
   * the work is cancelled before.
   */
  void Submit(const wire::StageWork& work, Done done);

  /** \brief Grants capacity of a pool to work that a box will submit, or
   * refuses it.
   */
  wire::StageReserveAnswer Reserve(const wire::StageReserve& ask);
  void EndReservations(const wire::StageReserveEnd& end);

  /** \brief Pieces that wait are dropped; results of those at work are given
   * up as they come.
   */
  void Cancel(const std::string& box, std::uint64_t work);

  using InputsFetched = std::function<void(
    const StagePoolKey& pool, absl::Span<const std::string> handles)>;
  /** \brief Is told of inputs that calls have fetched, and of the pool that
   * made them: they can be released before their stage has ended.
   */
  void OnInputsFetched(InputsFetched fetched);

  /** \brief These results are no longer needed. */
  void Release(absl::Span<const std::string> handles);

  /** \brief Gives work back that this box was to have made, unless one of its
   * pieces is in a call.
   * \return whether it is no longer here
   */
  bool TakeBack(const std::string& box, std::uint64_t work);

  /** \brief Whether this box reaches any endpoint. Without a path, work of
   * others is sent back to them.
   * \param self this box
   * \param callsHang whether calls that are under way are lost too
   */
  void SetHasPath(bool hasPath, const std::string& self, bool callsHang);

  /** \brief There is another way to an endpoint than before.
   * \param callsHang whether calls that are under way there are lost
   */
  void NoteEndpointPath(const std::string& endpoint, bool callsHang);

  /** \brief A hall is cut off: what is at work there is made elsewhere. */
  void NoteHallCut(const std::string& hall);

  /** \brief Whether no work is under way. */
  bool IsIdle() const { return works_.empty(); }

  /** \brief Endpoints have come, gone or changed. */
  void NoteDirectory();

private:
  using WorkKey = std::pair<std::string, std::uint64_t>;
  struct Work
  {
    StagePoolKey pool;
    wire::StageReply reply;
    int missing = 0;
    std::vector<std::uint64_t> tickets;
    Done done;
    std::string request;
    StagePoolKey inputPool;          // that made the inputs
    std::vector<std::string> inputs; // that may be released early
    bool inputsReleased = false;
  };
  struct PieceOwner
  {
    WorkKey work;
    int index = 0;
    std::uint64_t call = 0; // that the piece is in; 0: none yet
  };
  struct OpenCall
  {
    StagePoolKey pool;
    StageCall call;
    Elapsed started;
    std::unique_ptr<HttpCall> http;
    std::string relay; // the box that relays it; empty: none
    std::unique_ptr<LoopTimer> timer;
    std::unique_ptr<LoopTimer> fetchedTimer; // until its inputs are fetched
    std::int64_t recordedAtSend = 0; // bytes at the endpoint, with its own
    unsigned status = 0;
    bool saidNotRun = false;
    std::string body;
  };

  bool RefuseIfFull(const wire::StageWork& work, const Done& done);
  bool RefuseIfEvacuated(const wire::StageWork& work, const Done& done);
  void RefuseWork(const wire::StageWork& work, absl::Duration wait,
                  const Done& done);
  void RefuseStranded(const StagePoolKey& key, StagePool& pool);
  void FreeRoom(const StagePoolKey& key, const std::string& server,
                std::int64_t bytes);
  void OnReleased(absl::Span<const std::string> handles);
  StagePool& PoolOf(const StagePoolKey& key);
  Elapsed ClosedUntil(const DirectoryEndpoint& endpoint,
                      const StagePoolKey& key);
  void SyncServers(const StagePoolKey& key, StagePool& pool);
  void Pump(const StagePoolKey& key);
  bool IsInCall(const Work& work) const;
  void SendBackWorks();
  void GiveUpHopeless(StagePool& pool, Elapsed now);
  void ArmPump();
  void MakeCall(const StagePoolKey& key, StageCall call);
  void StartTimer(std::uint64_t number);
  void OnCallEnd(std::uint64_t number, HttpCallEnd end);
  void OnCallLate(std::uint64_t number);
  void OnCallTooLong(std::uint64_t number);
  void ForgetResting(const OpenCall& open);
  void NoteTimeOf(const OpenCall& open, StageServer& server);
  void TakeAnswer(OpenCall& open, HttpCallEnd end);
  void TakeResultOf(OpenCall& open, StagePiece& piece,
                    wire::StageItemResult result);
  void NoteCutCall(const OpenCall& open);
  void SettleCall(const OpenCall& open, bool wasRun);
  void FailCall(OpenCall& open, bool sent);
  void Repeat(const StagePoolKey& key, StagePiece piece, bool sent);
  void Settle(std::uint64_t ticket, wire::StageItemResult result);
  void NoteMaker(std::uint64_t ticket, const std::string& endpoint);
  void DropRest(const Work& work);
  void EndWork(const WorkKey& key);
  void DropOldReservations(StageReservations& reservations, Elapsed now);
  void LogReservation(const wire::StageReserve& ask,
                      const wire::StageReserveAnswer& answer,
                      const StagePool& pool,
                      const StageReservations& reservations);
  void LogBacklog(const StagePoolKey& key, const StagePool& pool);
  void LogCall(const OpenCall& open, absl::string_view end);
  absl::Duration PauseAfterRefusal(const OpenCall& open) const;
  StageServer* ServerOf(const OpenCall& open);
  void KeepInputs(const wire::StageWork& work, Work& state);
  void NoteInCall(std::uint64_t number);
  std::vector<WorkKey> WorksOf(const OpenCall& open) const;
  void ReleaseInputsOf(absl::Span<const WorkKey> works);
  InputVerdict JudgeInputsOf(const Work& work);
  void TryReleaseInputs(Work& work);
  bool EndIfInputsReleased(const StagePiece& piece);
  void NoteInputGone(const StagePiece& piece);
  void NoteRoomAnswer(const OpenCall& open,
                      absl::Span<const wire::StageItemResult> results);
  static void BoundRoom(StagePool& pool, Elapsed now);

  EventLoop& loop_;
  HttpClient& client_;
  StartEndpointCall startCall_;
  Directory& directory_;
  const Dialect& dialect_;
  ResultReleaser& releaser_;
  HallProber& halls_;
  CrashTracker& crashes_;
  TermsTracker& terms_;
  SendPermits& permits_;
  GatewayMetrics& metrics_;
  DecisionLog& log_;
  RetryRules rules_;
  std::shared_ptr<const RouteTable> table_;
  std::map<StagePoolKey, StagePool> pools_;
  std::map<StagePoolKey, ResultLedger> results_;
  std::map<StagePoolKey, StageReservations> reservations_;
  std::map<std::string, RetryWindow> retries_; // by service
  /** Calls since a roll-out's order, for its share of them. */
  struct VersionCalls
  {
    std::uint64_t number = 0; // of the order
    std::uint64_t all = 0;
    std::uint64_t target = 0;
  };
  bool MayCallVersion(const StagePoolKey& key, const VersionRollout& rollout);
  void NoteVersionCall(const OpenCall& open, bool failed);
  void CloseByVersion(const StagePoolKey& key, StagePool& pool);
  void CountVersionCall(const StagePoolKey& key,
                        const DirectoryEndpoint& endpoint);
  std::map<StagePoolKey, VersionCalls> versionCalls_;
  VersionTallies* tallies_ = nullptr;
  std::map<StagePoolKey, Elapsed> backlogLogged_;
  std::map<WorkKey, Work> works_;
  std::map<std::uint64_t, PieceOwner> owners_; // by ticket
  std::map<std::uint64_t, OpenCall> calls_;
  std::size_t answerBytes_ = 0; // of all open calls
  InputsFetched inputsFetched_;
  std::map<StagePoolKey, Elapsed> inputLosses_; // the last of each pool
  GoneResults gone_;
  bool hasPath_ = true;
  std::string self_;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextTicket_ = 1;
  LoopTimer pumpTimer_;
  bool pumpArmed_ = false;
};

} // namespace wg
