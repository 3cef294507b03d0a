// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "wgBrittleRoom.h"
#include "wgDecisionLog.h"
#include "wgDirectory.h"
#include "wgGatewayMetrics.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgSendRate.h"
#include "wgStagePoolKey.h"
#include "wgTermsTracker.h"

namespace wg {

class StageClient;

/** \class SendPermits
 * \brief Hands out the requests that endpoints with limits may be sent, from
 * all boxes together; on the loop.
 *
 * One box hands them out for all, the coordinator of the endpoint's pool. A
 * box without a permit sends nothing there. Which endpoints have limits
 * travels from the box that was told to the coordinator, and from there to all
 * boxes. What a box has open at a brittle endpoint it reports with each
 * request for a permit and whenever one of its requests there ends.
 */
class SendPermits
{
public:
  /** Runs on the loop, exactly once. */
  using Answered = std::function<void(bool granted)>;

  SendPermits(EventLoop& loop, Directory& directory, TermsTracker& terms,
              GatewayMetrics& metrics, DecisionLog& log);

  /** \brief Without peers this box hands out all. They outlive this. */
  void SetPeers(PeerClient& peers, StageClient& members, std::string self);

  /** \brief Whether this box, as coordinator of the pool, may have one more
   * request sent there now; always where the endpoint has no limit.
   */
  bool IsFree(const DirectoryEndpoint& endpoint, const StagePoolKey& pool);
  absl::Duration TimeUntilFree(const DirectoryEndpoint& endpoint,
                               const StagePoolKey& pool);
  /** \brief One is sent; only after IsFree. */
  void Take(const DirectoryEndpoint& endpoint, const StagePoolKey& pool);

  /** \brief The same for requests that boxes make themselves, which a brittle
   * endpoint must have room for. Calls of stages are counted by their pool.
   */
  absl::Duration TimeUntilRoom(const DirectoryEndpoint& endpoint,
                               const StagePoolKey& pool);
  /** \return the number of the grant; 0 where none is needed */
  std::uint64_t TakeFor(const DirectoryEndpoint& endpoint,
                        const StagePoolKey& pool, const std::string& box);
  /** \brief The coordinator has granted a request of this box. */
  void NoteGrant(const DirectoryEndpoint& endpoint, std::uint64_t number);

  /** \brief Asks the coordinator for one request to an endpoint that needs a
   * permit. If it is not granted, the endpoint's `deniedUntil` is set.
   */
  void Ask(DirectoryEndpoint& endpoint, Answered answered);
  /** \brief A request of this box has ended. */
  void NoteEnd(const DirectoryEndpoint& endpoint, bool wasRefused);

  /** \brief Answers another box that asks. */
  wire::SendAnswer Grant(const wire::SendAsk& ask);
  /** \brief Takes in what another box tells. */
  void TakeNews(const wire::EndpointLimit& news);
  void TakeReport(const wire::OpenReport& report);

private:
  /** Whose requests this box hands out. */
  struct Coordination
  {
    bool isOwn = false;
    Elapsed since;
  };
  /** What other boxes were last told of an endpoint's limit. */
  struct ToldLimit
  {
    SendLimits limits;
    Elapsed when;
  };

  SendRate RateOf(const DirectoryEndpoint& endpoint, const StagePoolKey& pool);
  absl::Duration UntilSettled(const StagePoolKey& pool);
  bool IsSettled(const StagePoolKey& pool);
  bool IsCoordinator(const StagePoolKey& pool) const;
  std::string CoordinatorBoxOf(const StagePoolKey& pool) const;
  void NoteMembers();
  void ForgetDenials();
  void NoteAnswer(const DirectoryEndpoint& endpoint);
  void ForgetEnded();
  void TellLimit(const DirectoryEndpoint& endpoint);
  void CountGranted(const DirectoryEndpoint& endpoint,
                    const StagePoolKey& pool, const std::string& box,
                    std::uint64_t number);
  void TakeAnswer(const std::string& endpoint, const std::string& box,
                  const wire::SendAnswer& answer, const Answered& answered);
  void LogDenial(const DirectoryEndpoint& endpoint, absl::Duration wait);
  BrittleBounds BoundsOf(const DirectoryEndpoint& endpoint,
                         const StagePoolKey& pool);
  wire::OpenRequests DescribeOpen(const DirectoryEndpoint& endpoint,
                                  int refused);
  void NoteRequests(const DirectoryEndpoint& endpoint,
                    const StagePoolKey& pool,
                    const wire::OpenRequests& requests);
  void Report(const DirectoryEndpoint& endpoint, int refused);
  void RepeatReports();
  void ArmReports();

  EventLoop& loop_;
  Directory& directory_;
  TermsTracker& terms_;
  GatewayMetrics& metrics_;
  DecisionLog& log_;
  PeerClient* peers_ = nullptr;
  StageClient* members_ = nullptr;
  std::string self_;
  std::map<std::string, SendBucket> buckets_; // by endpoint
  /** By address: an endpoint that fell over has the same room again. */
  std::map<std::string, BrittleRoom> rooms_;
  /** Where this box was last known to have requests open, by endpoint. */
  std::set<std::string> reported_;
  /** By address: the last grant that this box has received. */
  std::map<std::string, std::uint64_t> grants_;
  std::uint64_t lastReport_; // counts on from those before a restart
  std::uint64_t lastGrant_;  // likewise
  LoopTimer reportTimer_;
  bool isReportArmed_ = false;
  std::map<StagePoolKey, Coordination> coordinations_;
  std::map<std::string, ToldLimit> told_;       // by endpoint
  std::map<std::string, std::string> deniedBy_; // box, by endpoint
};

/** \brief The pool whose coordinator hands out what is sent to an engine or
 * plain endpoint.
 */
StagePoolKey PermitPoolOf(const Directory& directory,
                          const DirectoryEndpoint& endpoint);

} // namespace wg
