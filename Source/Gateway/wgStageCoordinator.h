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
#include "wgGatewayMetrics.h"
#include "wgHallProber.h"
#include "wgHttpClient.h"
#include "wgLoopTimer.h"
#include "wgPeer.pb.h"
#include "wgResultLedger.h"
#include "wgResultReleaser.h"
#include "wgRetryWindow.h"
#include "wgSendPermits.h"
#include "wgStagePool.h"
#include "wgStagePoolKey.h"
#include "wgTermsTracker.h"

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
  void SetRetryRules(const RetryRules& rules) { rules_ = rules; }

  /** \brief Has all pieces of the work made; `done` is called once, unless
   * the work is cancelled before.
   */
  void Submit(const wire::StageWork& work, Done done);

  /** \brief Pieces that wait are dropped; results of those at work are given
   * up as they come.
   */
  void Cancel(const std::string& box, std::uint64_t work);

  /** \brief These results are no longer needed. */
  void Release(absl::Span<const std::string> handles);

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
  };
  struct PieceOwner
  {
    WorkKey work;
    int index = 0;
  };
  struct OpenCall
  {
    StagePoolKey pool;
    StageCall call;
    Elapsed started;
    std::unique_ptr<HttpCall> http;
    std::unique_ptr<LoopTimer> timer;
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
  void GiveUpHopeless(StagePool& pool, Elapsed now);
  void ArmPump();
  void MakeCall(const StagePoolKey& key, StageCall call);
  void StartTimer(std::uint64_t number);
  void OnCallEnd(std::uint64_t number, HttpCallEnd end);
  void OnCallLate(std::uint64_t number);
  void NoteTimeOf(const OpenCall& open, StageServer& server);
  void TakeAnswer(OpenCall& open);
  void TakeResultOf(OpenCall& open, StagePiece& piece,
                    wire::StageItemResult result);
  void NoteCutCall(const OpenCall& open);
  void FailCall(OpenCall& open, bool sent);
  void Repeat(const StagePoolKey& key, StagePiece piece, bool sent);
  void Settle(std::uint64_t ticket, wire::StageItemResult result);
  void NoteMaker(std::uint64_t ticket, const std::string& endpoint);
  void DropRest(const Work& work);
  void EndWork(const WorkKey& key);
  void LogBacklog(const StagePoolKey& key, const StagePool& pool);
  void LogCall(const OpenCall& open, absl::string_view end);
  StageServer* ServerOf(const OpenCall& open);

  EventLoop& loop_;
  HttpClient& client_;
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
  std::map<std::string, RetryWindow> retries_; // by service
  std::map<StagePoolKey, Elapsed> backlogLogged_;
  std::map<WorkKey, Work> works_;
  std::map<std::uint64_t, PieceOwner> owners_; // by ticket
  std::map<std::uint64_t, OpenCall> calls_;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextTicket_ = 1;
  LoopTimer pumpTimer_;
  bool pumpArmed_ = false;
};

} // namespace wg
