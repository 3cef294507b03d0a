// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include <boost/asio/io_context.hpp>

#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"

#include "wgBeatsAfterEnd.h"
#include "wgControlStatus.h"
#include "wgCounters.h"
#include "wgCrashEvidence.h"
#include "wgElapsed.h"
#include "wgEndpointEnds.h"
#include "wgEndpointFile.h"
#include "wgEndpointRegistry.h"
#include "wgFollowers.h"
#include "wgJournalFile.h"
#include "wgLoopTimer.h"
#include "wgOutcome.h"
#include "wgPackedDocuments.h"
#include "wgPeerClient.h"
#include "wgPeerServer.h"
#include "wgRegistryExchange.h"
#include "wgRepair.h"
#include "wgReplica.h"
#include "wgReplicaStore.h"
#include "wgRolloutRunner.h"
#include "wgServiceState.h"
#include "wgVersionConductor.h"
#include "wgVersionHistory.h"

namespace wg {

/** \brief A control process's own settings. */
struct ControlSettings
{
  std::string box;
  std::string hall;
  std::string listen;    // address for peers
  std::string advertise; // address told to others
  std::string dataFolder;
  KeyRing keys;                      // PeerName's must be there
  std::vector<std::string> controls; // addresses of all control boxes
  std::size_t wantedVoters = 3;
  absl::Duration standbyAfter = absl::Seconds(60); // infinite: never
  /** A box that stops waits so long at the most to hand its vote over. */
  absl::Duration handOverLimit = absl::Seconds(4);
  std::uint64_t compactAfter = 2000; // applied entries between snapshots
  /** The first of `controls` founds the cluster if its folder is fresh. */
  bool foundAtStart = false;
  /** What this box tells others that it applies; less than it does holds
   * newer kinds of changes back while boxes are updated one after the other.
   */
  ChangeLevel changeLevel = OwnChangeLevel;
  RegistryTiming registry;
};

/** \brief What a control box holds and does now. */
struct ControlGauges
{
  std::size_t endpoints = 0; // starts, also those that ended lately
  std::size_t followers = 0;
  std::uint64_t documentNumber = 0; // that this box has applied
  bool leads = false;
  std::uint64_t hallOrders = 0; // number of the newest that it has applied
  std::size_t hallsEvacuated = 0;
  std::uint64_t unsoundShares = 0;
  std::size_t controlsExchanged = 0; // other control boxes that are heard
  std::size_t endsWaiting = 0;       // that are not acknowledged yet
};

/** \brief For so long an end may wait to be kept; its endpoint calls another
 * control box after a second.
 */
constexpr absl::Duration KeepEndTimeout = absl::Milliseconds(800);

/** \class ControlNode
 * \brief One replica of the durable state, as a process runs it.
 *
 * One thread owns the replica, its files and the state; it takes events from
 * a mailbox in batches, so that one sync covers all that came together.
 */
class ControlNode
{
public:
  ControlNode(ControlSettings settings, Counters& counters);
  ~ControlNode();
  Outcome<Done> Start();
  /** \brief Hands this box's vote to a standby, if there is one; the box goes
   * on with its work meanwhile. From any thread, once.
   * \param done called on the loop once Stop may be
   */
  void BeginStop(std::function<void()> done);
  void Stop();

  /** \brief The loop that the replica runs on; others may use it as well. */
  boost::asio::io_context& Loop() { return loop_; }

  using PublishAnswer = std::function<void(const wire::ChangeResult&)>;
  using ReadAnswer = std::function<void(const wire::DocumentReply&)>;

  /** \brief Publishes a document, by way of the leader if that is another.
   * Called on the loop, as are all below.
   */
  void Publish(wire::PublishDocument document, const PublishAnswer& answer);
  /** \brief Has a hall's endpoints get no new work, or get it again; the
   * answer is as for Publish. An order that holds already is acknowledged
   * again.
   */
  void OrderHall(const std::string& hall, bool evacuate,
                 const PublishAnswer& answer);
  /** \brief Has a service's requests move to endpoints of a version; the
   * answer is as for Publish, and says whether an order is in progress.
   */
  void OrderVersion(const std::string& service, const std::string& version,
                    absl::Duration duration, const PublishAnswer& answer);
  using RolloutAnswer = std::function<void(bool sure, const VersionRollout&)>;
  /** \brief Reads the newest order on a service, if it is sure to be that. */
  void ReadRollout(const std::string& service, const RolloutAnswer& answer);
  /** \brief The document that this box has applied; empty: none yet. */
  const std::string& HeldDocument() const { return state_.document.content(); }
  /** \brief Reads the newest document, if it is sure to be the newest. */
  void ReadDocument(const ReadAnswer& answer);
  HeartbeatTaken Register(const wire::Registration& heartbeat);
  /** \brief Whether enough control boxes have an end on their disks; told
   * within KeepEndTimeout.
   */
  using KeptAnswer = std::function<void(bool isKept)>;
  /** \brief An endpoint that has registered drains. Boxes are told at once.
   */
  void KeepDraining(const wire::Registration& heartbeat, KeptAnswer answer);
  /** \brief An endpoint ends. Boxes are told at once. */
  void Unregister(const EndpointStart& start, KeptAnswer answer);
  ControlGauges Gauges() const;
  /** \brief More addresses of control boxes. From any thread. */
  void AddControls(std::vector<std::string> addresses);

private:
  using Respond = PeerServer::Respond;

  struct FoundRequest
  {
    Respond respond;
  };
  struct ChangeRequest
  {
    wire::Change change;
    Respond respond;
  };
  struct ReadCall
  {
    Respond respond;
  };
  struct JoinCall
  {
    wire::JoinRequest request;
    Respond respond;
  };
  /** \brief A control box says that it is about to end. */
  struct StoppingCall
  {
    wire::StoppingRequest request;
    Respond respond;
  };
  /** \brief The leader's answer to our own word that we end. */
  struct StoppingAnswer
  {
    std::optional<wire::StoppingReply> reply; // empty: none came
  };
  struct ChunkCall
  {
    wire::DocumentChunkRequest request;
    Respond respond;
  };
  struct CrashesCall
  {
    wire::Crashes news;
    Respond respond;
  };
  struct StatusCall
  {
    Respond respond;
  };
  /** \brief A box asks what began a stream. */
  struct OriginCall
  {
    wire::StreamOriginAsk ask;
    Respond respond;
  };
  /** \brief A box tells what began streams. */
  struct OriginCopies
  {
    wire::StreamOrigins copies;
    Respond respond;
    std::uint64_t revision = 0; // that has to be written
    Elapsed since;
  };
  /** \brief A control box tells of endpoints that drain or have ended. */
  struct EndsCall
  {
    wire::EndpointEnds ends;
    Respond respond;
    std::uint64_t revision = 0; // that has to be synced
    Elapsed since;
  };
  /** \brief A control box has answered what it was told of ends. */
  struct EndsAnswer
  {
    std::string address;
    std::uint64_t upTo = 0;
    std::optional<std::string> reply; // empty: none came
  };
  /** \brief An endpoint waits for its end to be kept. */
  struct EndWaiter
  {
    std::uint64_t revision = 0;
    Elapsed until;
    KeptAnswer answer;
  };
  /** \brief Calls to one other control box, one at a time. */
  struct EndLink
  {
    bool isCalling = false;
    Elapsed next;
  };
  /** \brief The newest heartbeat of an endpoint whose version is not written
   * yet.
   */
  struct HeldHeartbeat
  {
    wire::Registration heartbeat;
    Elapsed since;
  };
  /** \brief A peer's answer to our own wish to join. */
  struct JoinAnswer
  {
    wire::JoinReply reply;
  };
  /** \brief Entries or a snapshot that did not reach a replica. */
  struct NotDeliveredMail
  {
    std::uint64_t to = 0;
    std::int64_t sentUs = 0;
  };
  using Mail =
    std::variant<wire::AgreementBatch, FoundRequest, ChangeRequest,
                 FollowWaiter, JoinCall, StatusCall, JoinAnswer, ReadCall,
                 ChunkCall, CrashesCall, OriginCall, OriginCopies, EndsCall,
                 EndsAnswer, StoppingCall, StoppingAnswer, NotDeliveredMail>;

  /** \brief A proposed change whose author waits for the outcome. */
  struct Waiter
  {
    std::uint64_t term = 0;
    Respond respond;
  };

  void HandlePeer(const PeerRequest& request, Respond respond);
  void HandleChange(const PeerRequest& request, Respond respond);
  void ProposeOwn(wire::Change change, RolloutRunner::Answer answer);
  void Post(Mail mail);
  void Wake();
  void Step();
  void ArmTick();
  std::vector<Mail> TakeMail();
  void Handle(Mail mail);
  void OnFound(FoundRequest& request);
  void OnChange(ChangeRequest& request);
  void OnFollow(FollowWaiter waiter);
  void OnJoin(JoinCall& call);
  void OnJoinAnswer(const JoinAnswer& answer);
  void OnCrashes(CrashesCall& call);
  void OnStatus(StatusCall& call);
  void OnOrigin(OriginCall& call) const;
  void OnOriginCopies(OriginCopies call);
  void RecallOrigins();
  void KeepOrigins();
  void AnswerOrigins();
  void OnEnds(EndsCall call);
  void OnEndsAnswer(const EndsAnswer& answer);
  void RecallEnds();
  std::uint64_t KeepEnd(const wire::Registration& end, bool isOwn);
  void KeepEnds();
  void TakeSyncedEnds();
  void SendEnds();
  void AnswerEnds();
  std::size_t EndCopiesNeeded() const;
  std::vector<std::string> EndHolders() const;
  void AskToJoin();
  void OnStopping(StoppingCall& call);
  void OnStoppingAnswer(const StoppingAnswer& answer);
  void HandOverVote();
  void TellStopping();
  void FinishHandOver(absl::string_view why);
  RepairRules MakeRepairRules();
  void TickReplica();
  void CarryOutActions();
  bool WritePending();
  void SendMessages(bool afterSync);
  void ApplyCommitted();
  void InstallState();
  void FailWaiters();
  FollowedState Followed() const;
  std::vector<std::string> KnownControls() const;
  void NoteControls();
  void NoteUnheardHalls();
  void MoveRollouts();
  void StartExchange();
  void OnExchanged(const std::string& control, const wire::FollowReply& news);
  void AnswerIfDue();
  void SendToLeader(const wire::Change& change, absl::Duration timeout,
                    const PublishAnswer& answer);
  void ReadAtLeader(const ReadAnswer& answer);
  bool IsAppliedByAll(ChangeLevel level) const;
  void NoteHallOrders();
  wire::DocumentReply ReadOwn() const;
  wire::DocumentReply ReadConfirmed(const wire::DocumentReply& newest) const;
  bool IsWholeAtFirst() const;
  void FoundIfAsked();
  void RecallKnownEndpoints();
  void KeepKnownEndpoints();
  HeartbeatTaken TakeSound(const wire::Registration& heartbeat);
  void NoteVersions();
  void ReleaseHeartbeats();
  void StartRepairStep();
  void CompactIfDue();
  std::string LeaderAddress() const;
  std::string AddressOf(std::uint64_t id) const;
  void NoteRole();
  void NoteResends();
  void TellRolloutDuty();

  ControlSettings settings_;
  Counters& counters_;
  std::unique_ptr<PeerClient> client_;
  std::unique_ptr<PeerServer> server_;
  std::unique_ptr<ReplicaStore> store_;
  Replica replica_;
  ServiceState state_;
  absl::BitGen random_;
  ReplicaActions pending_;
  bool writeFailed_ = false;
  ReplicaRole loggedRole_ = ReplicaRole::Follower;
  std::uint64_t loggedSentAgain_ = 0; // bytes
  Elapsed nextResendLine_;
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t bytesSinceSnapshot_ = 0;
  Followers followers_;
  Elapsed nextAnswers_;
  /** Of control boxes, as gateways are told. */
  std::vector<std::string> toldControls_;
  std::vector<std::string> toldHalls_; // in the order of toldControls_
  std::uint64_t controlsDigest_ = 0;
  Elapsed nextControls_;
  std::map<std::string, std::string> controlHalls_; // by address
  std::unique_ptr<RegistryExchange> exchange_;
  VersionConductor conductor_;
  PackedDocuments packed_;
  EndpointRegistry registry_;
  VersionHistory versions_;
  Elapsed nextVersions_;
  std::map<std::string, HeldHeartbeat> held_; // by identity
  CrashEvidence crashes_;
  BeatsAfterEnd beatsAfterEnd_;
  std::unique_ptr<EndpointFile> endpointFile_;
  OriginRecords origins_;
  std::unique_ptr<JournalFile> originFile_;
  std::uint64_t originsTaken_ = 0;   // messages
  std::size_t originsFileBytes_ = 0; // when it was last rewritten
  Elapsed nextOriginRewrite_;
  std::vector<OriginCopies> unwrittenOrigins_;
  EndpointEnds ends_;
  std::unique_ptr<JournalFile> endFile_;
  Elapsed nextEndRewrite_;
  std::vector<EndsCall> unsyncedEnds_;
  std::vector<EndWaiter> endWaiters_;
  std::map<std::string, EndLink> endLinks_; // by address
  KeepTurns keepTurns_;
  Elapsed nextCrashExpiry_;
  std::map<std::uint64_t, JoiningReplica> joining_;
  std::map<std::uint64_t, Elapsed> stoppingReplicas_; // by id, when they said
  std::function<void()> stopDone_; // empty: this box does not stop
  Elapsed stopUntil_;
  Elapsed nextStoppingCall_;
  bool isStoppingCalled_ = false;                  // and has no answer yet
  std::map<std::uint64_t, std::string> addresses_; // of replicas, by id
  std::map<std::uint64_t, std::uint32_t> levels_;  // of those heard, by id
  HallOrders notedHalls_; // as endpoints' followers were told
  Elapsed nextJoinAsk_;
  Elapsed leaderHeard_;
  std::int64_t clockAtLead_ = 0;
  Elapsed leadSince_;
  std::unique_ptr<RolloutRunner> rollouts_;
  std::shared_ptr<const Config> rolloutConfig_; // as the runner has it

  boost::asio::io_context loop_;
  LoopTimer tick_{ loop_ };
  absl::Mutex mutex_;
  std::vector<Mail> mail_ ABSL_GUARDED_BY(mutex_);
  bool stepPosted_ ABSL_GUARDED_BY(mutex_) = false;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace wg
