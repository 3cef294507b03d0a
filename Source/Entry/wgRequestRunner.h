// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "wgBlackboard.h"
#include "wgChangeClient.h"
#include "wgEndpointClient.h"
#include "wgGenerationReader.h"
#include "wgStageQueue.h"

namespace wg {

/** \brief A caller's request, read and found well-formed. */
struct CallerRequest
{
  std::string id;
  std::string account;
  std::string accountKey;
  std::string pipeline;
  std::string input;
  int maxTokens = 64;
  int priority = 0;
  std::string idempotencyKey;
  bool repeatable = true;
  absl::Duration timeLeft = absl::ZeroDuration(); // zero: the pipeline's own
  std::size_t bytes = 0;
};

/** \brief Why a request has no whole answer, and what may be said of it. */
struct RequestFailure
{
  Reason reason = Reason::Internal;
  RunState run = RunState::NotRun;
  absl::Duration retryAfter = absl::Seconds(1);
  std::string detail;
};

/** \brief The whole answer. */
struct RequestAnswer
{
  nlohmann::json output;
};

using RequestOutcome = std::variant<RequestAnswer, RequestFailure>;

/** \brief What the runner works with. */
struct RunnerContext
{
  Blackboard& blackboard;
  EndpointClient& endpoints;
  ChangeClient& changes;
  ClaimEnder& claimEnder;
};

/** \class RequestRunner
 * \brief Takes one request through its pipeline, on the caller's thread.
 */
class RequestRunner
{
public:
  RequestRunner(RunnerContext context, CallerRequest request);
  ~RequestRunner();
  RequestRunner(const RequestRunner&) = delete;
  RequestRunner& operator=(const RequestRunner&) = delete;

  /** \brief Admits or refuses; nothing has been run when it refuses. */
  Reason Admit(RequestFailure& failure);

  /** \brief Runs all stages of an admitted request. */
  RequestOutcome Run(const CallerLink& caller);

private:
  /** \brief How one try of a stage ended, for the retry decision. */
  struct TryResult
  {
    bool done = false;
    AttemptEnd end = AttemptEnd::Failed;
    RetryReason retry = RetryReason::AnswerLost;
    std::size_t endpoint = SIZE_MAX;
    Reason reason = Reason::EndpointFailed;
  };

  bool CheckCaller(RequestFailure& failure);
  bool CheckLimits(RequestFailure& failure);
  bool CheckDeadline(RequestFailure& failure);
  bool ClaimKeyFirst(RequestFailure& failure);
  std::vector<StageEstimate> Outlook(std::size_t fromStage)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(context_.blackboard.groups.mutex);
  void CountUpcoming(std::size_t stage, int change);
  bool RunStage(std::size_t stage, const CallerLink& caller,
                RequestFailure& failure);
  TryResult TryStage(std::size_t stage, int tryNumber, std::size_t avoid,
                     const CallerLink& caller);
  GrantOutcome AskForPlace(std::size_t stage, std::size_t avoid,
                           const CallerLink& caller);
  EndpointReply CallEndpoint(std::size_t stage, const Grant& grant,
                             const AttemptId& attempt, const TokenSink& sink);
  bool TakeAnswer(std::size_t stage, const EndpointReply& reply,
                  TryResult& result);
  void NoteEnd(std::size_t stage, const Grant& grant, const AttemptId& attempt,
               const EndpointReply& reply, const TryResult& result);
  bool SpendRetryToken(std::size_t stage);
  RequestFailure Fail(Reason reason) const;
  const GroupConfig& Group(std::size_t stage) const;

  RunnerContext context_;
  CallerRequest request_;
  std::shared_ptr<const Config> config_;
  const PipelineConfig* pipeline_ = nullptr;
  const AccountConfig* account_ = nullptr;
  Elapsed arrived_;
  Elapsed deadline_;
  bool admitted_ = false;
  bool claimed_ = false;
  bool callerLeft_ = false;
  std::size_t upcomingFrom_ = 0; // stages from here on are counted as coming
  bool countsUpcoming_ = false;
  RequestAttempts attempts_;
  nlohmann::json document_; // what the stages have made so far
  TokenStream generated_;   // what the caller has of the generated text
  double queuedSeconds_ = 0.0;
  std::uint64_t attemptTokens_ = 0; // that the running attempt has made
  CostLedger costs_;                // of this request alone
};

} // namespace wg
