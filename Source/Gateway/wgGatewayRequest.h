// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/cord.h"

#include "wgAttemptRules.h"
#include "wgCallerDeadlines.h"
#include "wgChainAdmission.h"
#include "wgCrashTracker.h"
#include "wgDecisionLog.h"
#include "wgDialect.h"
#include "wgDirectory.h"
#include "wgEndpointChoice.h"
#include "wgEngineClient.h"
#include "wgEventSplitter.h"
#include "wgGatewayMetrics.h"
#include "wgHttpClient.h"
#include "wgHttpServer.h"
#include "wgLoopTimer.h"
#include "wgRelayClient.h"
#include "wgReservationClient.h"
#include "wgRetryWindow.h"
#include "wgRouteTimes.h"
#include "wgSendPermits.h"
#include "wgSilence.h"
#include "wgStageClient.h"
#include "wgStagePlan.h"
#include "wgStatusProber.h"
#include "wgStreamOrigins.h"
#include "wgTermsTracker.h"
#include "wgVersionTallies.h"

namespace wg {

/** \brief Who judges whether the stages of a request can be served in time.
 */
enum class StageAdmission
{
  ByBox,  // each box, by the waits that it was told
  ByChain // the coordinators of the pools of all its stages
};

/** \brief The published document that this box applies. */
struct DocumentInForce
{
  std::uint64_t number = 0;
  Elapsed since = absl::ZeroDuration();
};

/** \brief Requests that end so soon after a document came into force are
 * counted apart.
 */
inline constexpr absl::Duration NearDocument = absl::Seconds(3);

/** \brief The times of a stop that has begun. */
struct StopTimes
{
  Elapsed settled; // callers are no longer sent here
  Elapsed giveUp;  // what is open is given up
};

/** \brief What all requests of a box share; on its loop. */
struct GatewayShared
{
  EventLoop& loop;
  const Dialect& dialect;
  Directory& directory;
  RelayClient& calls;
  StageClient& stages;
  ReservationClient& reservations;
  EngineClient& engines;
  StreamOrigins& origins;
  HallProber& halls;
  CrashTracker& crashes;
  TermsTracker& terms;
  SendPermits& permits;
  StatusProber& status;
  GatewayMetrics& metrics;
  DecisionLog& log;
  std::string hall;
  RetryRules retryRules;
  VersionTallies& tallies;
  StageAdmission admission = StageAdmission::ByBox;
  EngineSpeed speed{};
  absl::BitGen random{};
  std::map<std::string, RetryWindow> retries{}; // by service
  CallerDeadlines deadlines{};
  RouteTimes times{};
  std::optional<StopTimes> stop{};
  DocumentInForce document{};
  std::size_t answerBytes = 0; // of whole answers that are being read
  const HttpServer* callers = nullptr;
};

namespace detail {

/** \brief One stage and the results that it has made. */
struct RequestStage
{
  int pieces = 0;
  bool submitted = false;
  bool done = false;
  std::uint64_t work = 0;
  Elapsed submittedAt;
  Elapsed doneAt;
  StagePoolKey pool;       // that has made them
  bool roomScarce = false; // in that pool
  AskedReservation reserved;
  std::vector<std::string> handles;
  std::vector<std::string> makers; // identities of the endpoints with them
};
/** \brief The attempt that is open. */
struct RequestAttempt
{
  std::size_t number = 0; // of the request's attempts, from 1
  std::string endpoint;   // id
  std::string version;    // of its software, as it was known at the start
  std::unique_ptr<HttpCall> call;
  std::string relay; // the box that makes the call; empty: this one
  HttpHead head;
  BodyFraming framing = BodyFraming::Explicit;
  absl::Cord body;          // takes no more room than it has bytes as it grows
  std::size_t buffered = 0; // bytes that were read into the body
  Elapsed sent;
  LifeSign sign = LifeSign::Unknown; // of the endpoint, while it is silent
  Elapsed signAt;
  Elapsed heard;           // its last byte, while it is held for the next
  bool isPathLost = false; // the connection carries nothing any more
  double prefillSeconds = 0.0;
  PlacedRead placed;
  bool headSeen = false;
  bool saidNotRun = false;
  bool streams = false;
  bool eventSeen = false;
  bool partsAnswered = false; // its endpoint went on after the first event
};

} // namespace detail

/** \brief Why a request is refused that ended endpoints before. */
inline constexpr absl::string_view KeptAwayReason = "kept_away";

/** \brief Why a request is refused whose endpoints are all sent what their
 * limits allow, or have asked this box for a rest.
 */
inline constexpr absl::string_view EndpointsLimitedReason =
  "endpoints_limited";
inline constexpr absl::string_view EndpointsRestReason = "endpoints_rest";

/** \brief Why a request is refused for which a pool of its stages has no
 * capacity.
 */
inline constexpr absl::string_view PoolFullReason = "pool_full";

/** \brief Why a request is refused while this box reaches no endpoint and no
 * box relays for it.
 */
inline constexpr absl::string_view NoPathReason = "no_path";

/** \brief Why a stream is not taken up: what began it is not known, its
 * route no longer leads to the service that did, or no endpoint of the version
 * that did is left.
 */
inline constexpr absl::string_view OriginUnknownReason =
  "stream_origin_unknown";
inline constexpr absl::string_view ServiceChangedReason =
  "stream_service_changed";
inline constexpr absl::string_view VersionGoneReason = "stream_version_gone";

/** \class GatewayRequest
 * \brief A caller's request from its arrival to the end of its answer: the
 * stages before it, the attempts at endpoints, what the caller is told.
 */
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest>
{
public:
  using Over = std::function<void(const std::shared_ptr<GatewayRequest>&)>;

  GatewayRequest(GatewayShared& shared, std::shared_ptr<HttpExchange> exchange,
                 std::shared_ptr<const RouteTable> table, Over over);

  void Begin();

  /** \brief This box does not reach the endpoint of the attempt any more, and
   * open connections carry nothing: it is repeated if that is allowed.
   */
  void NotePathLost();
  /** \brief Whether its attempt is at the endpoint. */
  bool IsSentTo(absl::string_view endpoint) const
  {
    return attempt_ && attempt_->endpoint == endpoint;
  }

  /** \brief Answers now with what can be said: this box ends. */
  void GiveUp();
  /** \brief Notes for how long it has been open. */
  void NoteTime();

private:
  using Stage = detail::RequestStage;
  using Attempt = detail::RequestAttempt;

  const FieldNames& Fields() const { return shared_.dialect.fields; }
  bool TakesStreamUp() const;
  std::string OriginName() const;
  void FindOrigin();
  void OnOrigin(const OriginVerdict& verdict);
  void NoteFirstEvent();
  bool HasEndpointWithinBound() const;
  absl::Duration OriginRetry(absl::string_view reason) const;
  void BeginWork();

  bool FindRouteAndKey();
  const std::string& Fingerprint() const;
  bool IsKeptAway() const;
  bool ReadDeadline();
  void ReadPrompt();
  bool CanEndBeforeStop() const;
  bool ReadStages();
  bool CanNameResults() const;
  double OwnSeconds(std::size_t stage) const;
  double ReadSeconds() const;
  StagePlan MakePlan() const;
  std::vector<double> ToldWaits() const;
  void PlanHall();
  bool RefuseIfEvacuated();
  bool RefuseIfHopeless();
  bool CameBack() const;
  bool IsFirstWork() const;
  absl::Duration MayWait(std::size_t stage) const;
  Elapsed Due() const;
  Elapsed AnswerBy() const;
  void StartTimer();

  bool IsAdmittedByChain() const;
  std::vector<double> FullCallSeconds() const;
  void AskForChain();
  wire::StageReserve MakeReserve(std::size_t stage) const;
  void OnChainAnswers(
    absl::Span<const std::optional<wire::StageReserveAnswer>> answers);
  void RefuseChain(const ChainVerdict& verdict);
  std::optional<std::string> FindOtherHall(absl::Duration wait) const;
  void EndReservations();
  void LogAdmission(const ChainVerdict& verdict,
                    absl::Span<const PoolAnswer> answers) const;

  void SubmitStages();
  void PlaceWork(std::size_t stage, wire::StageWork& work) const;
  void ChooseStagePool(std::size_t stage, wire::StageWork& work);
  bool MayReleaseInputs(std::size_t stage) const;
  void NameInputPool(std::size_t stage, wire::StageWork& work) const;
  int LongestLeft() const;
  bool IsReady(std::size_t stage) const;
  wire::StageWork MakeWork(std::size_t stage);
  void OnStage(std::size_t stage, const wire::StageReply& reply);
  void FailStages(const wire::StageReply& reply, std::size_t stage);
  void PlaceElsewhere(std::size_t stage);
  void ReleaseStage(std::size_t stage);
  void ReleaseConsumed();
  void ReleaseAll();
  std::string FinalHandles() const;

  bool HasTimeLeft() const;
  void SendToEndpoint();
  void SendToOwnChoice();
  void SendTo(DirectoryEndpoint& endpoint, double prefillSeconds);
  void EndForTime();
  bool IsForEngine() const;
  ChoiceQuery MakeChoiceQuery() const;
  std::vector<DirectoryEndpoint*> OwnCandidates() const;
  bool WantsVersion() const;
  void AskToSend(DirectoryEndpoint& endpoint, double prefillSeconds,
                 const PlacedRead& placed);
  void OnPermit(const std::string& id, bool granted, double prefillSeconds,
                const PlacedRead& placed);
  absl::string_view WhyNoEndpoint() const;
  DirectoryEndpoint* ChooseEndpointFor(
    absl::Span<DirectoryEndpoint* const> endpoints, double& prefillSeconds);
  void AskForEngine();
  void OnEngineChosen(const PlacedRead& placed,
                      const wire::EngineAnswer& answer);
  void AddUnsound(wire::EngineAsk& ask);
  DirectoryEndpoint* FindChosen(const std::string& id);
  void DenyLimited(const StagePoolKey& pool, absl::Duration wait);
  void EndRead(Attempt& attempt, const EngineReadResult& result);
  std::int64_t ResultBytes() const;
  Outcome<HttpRequest> MakeForward(const DirectoryEndpoint& endpoint) const;
  void StartAttempt(DirectoryEndpoint& endpoint, double prefillSeconds,
                    const PlacedRead& placed);
  bool OnHead(std::size_t attempt, const HttpHead& head, BodyFraming framing);
  void OnBody(std::size_t attempt, absl::string_view bytes);
  std::size_t WaitingBytes() const;
  void EndTooLong(AttemptKnowledge knowledge, absl::string_view why);
  void OnEvents(const std::string& events);
  void WatchStream();
  void ArmSilenceTimer(absl::Duration after);
  void NoteHeard();
  SilenceFacts DescribeSilence() const;
  void OnSilence();
  std::string StatusPath() const;
  void AskForLifeSign();
  LifeSign SignOf(const EndpointStatus& status) const;
  void OnLifeSign(LifeSign sign);
  bool HasOtherEndpoint();
  std::vector<DirectoryEndpoint*> NextCandidates() const;
  bool HasPosition() const;
  absl::string_view WhyNotContinued();
  void PrepareContinuation(absl::string_view why);
  bool LacksResults() const;
  void ConfirmAnyNext();
  void GoOn();
  void EndPreparationIfCut();
  void AbandonContinuation(absl::string_view why);
  void CancelStages();
  bool KeepsAnswer(absl::string_view reason);
  bool LeaveAttempt();
  void HoldAttempt();
  void ReturnToHeld();
  void EndHeld();
  bool IsFromHeld(std::size_t attempt);
  void ConfirmNext(DirectoryEndpoint& endpoint, double prefillSeconds);
  void AskNext(const DirectoryEndpoint& endpoint,
               std::function<void(bool hasAnswered)> then);
  void OnAttemptEnd(std::size_t attempt, HttpCallEnd end);
  bool IsWhole(HttpCallEnd end) const;
  void OnCut(HttpCallEnd end);
  void NoteRunThrough();
  void NotePartsAnswered();
  void NoteCutOff(const Attempt& attempt);
  void OnComplete();
  void AnswerWhole();
  void RestartStages();
  bool ResultsAreLost() const;
  void CloseAttempt(bool failed);
  void DropAttempt(std::optional<Attempt>& attempt);
  void AfterFailure(AttemptKnowledge knowledge, absl::string_view why);

  void Refuse(unsigned status, absl::string_view reason);
  void SayNotRun(absl::string_view reason);
  void SayMayHave(absl::string_view reason);
  void OnTimeOver();
  void StopWaiting(absl::string_view reason);
  void OnCallerLeft();
  void End(absl::string_view outcome, absl::string_view reason);
  nlohmann::json DescribeTimes() const;
  void AddVersions(nlohmann::json& fields) const;
  void AddParts(nlohmann::json& fields) const;
  void AddEnd(nlohmann::json& fields) const;
  void CountEnd(absl::string_view outcome, absl::string_view reason) const;
  void LogSilence(absl::string_view next) const;
  void LogOutcome(absl::string_view outcome, absl::string_view reason) const;

  GatewayShared& shared_;
  std::shared_ptr<HttpExchange> exchange_;
  std::shared_ptr<const RouteTable> table_;
  Over over_;
  const Route* route_ = nullptr;
  std::string id_;
  mutable std::string fingerprint_; // once it was asked for
  std::string service_;
  VersionBound bound_; // of a stream that has begun, here or at an earlier try
  std::string origin_; // the request that began it; empty: not named
  bool isOriginFinal_ = true; // asking again for it does not help
  KeyHolder holder_;
  PromptShape prompt_;
  std::vector<CrashSuspect> sharedParts_; // of the prompt
  std::string pieceKey_;
  std::string resultHall_; // where an engine is likely to want the results
  std::vector<Stage> stages_;
  std::vector<int> stagesToEnd_;
  StagePlan plan_;
  ChainWindows windows_;
  absl::Duration poolRetry_; // when pools that refused have capacity
  bool askedElsewhere_ = false;
  bool isAdmittedLate_ = false; // behind what can still be in time
  Elapsed callerDeadline_ = absl::InfiniteDuration();
  Elapsed giveUp_;
  Elapsed firstTried_; // when its caller first sent it, as far as is known
  LoopTimer timer_;
  LoopTimer silenceTimer_;
  LoopTimer heldTimer_;
  std::optional<Attempt> attempt_;
  /** The former attempt, until the endpoint of the open one takes over. */
  std::optional<Attempt> held_;
  std::vector<std::string> tried_;    // ids of endpoints
  std::vector<std::string> versions_; // of the endpoint of each attempt
  std::vector<std::string> failures_; // why attempts were left
  std::string relay_;                 // that made the last attempt's call
  /** Another endpoint is to go on; the open attempt, if there is one, is left
   * once all is there that this needs.
   */
  bool isPreparing_ = false;
  std::uint64_t preparation_ = 0; // changes as one ends
  std::string leftFor_;           // why the open attempt is to be left
  Elapsed continuedAt_;           // when the last one began
  int endpointsTried_ = 0;
  int connectFailures_ = 0;
  std::size_t attempts_ = 0;
  bool mayHaveRun_ = false;
  bool streamBegun_ = false;
  bool stagesRestarted_ = false;
  bool mayRestartStages_ = true;
  bool placedElsewhere_ = false;
  bool finalReleased_ = false;
  bool ended_ = false;
  std::optional<HttpCallEnd> answerEnd_; // of the last attempt that had one
  EventSplitter reader_;
  Elapsed sentAt_;       // of the last attempt
  Elapsed heardAt_;      // its last byte
  Elapsed firstEventAt_; // of the answer
};

} // namespace wg
