// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgEndpointState.h"
#include "wgReason.h"

namespace wg {

/** \brief Identifies one attempt at one stage of a request. An endpoint echoes
 * it in its answer.
 */
struct AttemptId
{
  std::string request;
  int stage = 0;
  int attempt = 0;
};

enum class AttemptState
{
  Open,
  Answered,
  Abandoned
};

/** \brief The attempts at one stage of a request. */
struct StageAttempts
{
  std::vector<AttemptState> states;
  bool answered = false;
};

/** \brief All attempts of one request. */
struct RequestAttempts
{
  std::string request;
  std::vector<StageAttempts> stages;
  bool mayHaveRun = false; // an endpoint may have run an attempt
};

/** \brief How an answer is handled. */
enum class AnswerVerdict
{
  Accept,
  Late,      // its attempt was abandoned
  Duplicate, // its stage is already answered
  Mismatched // of another request, or of an attempt that was never made
};

/** \brief Opens the next attempt at a stage. */
AttemptId OpenAttempt(RequestAttempts& attempts, int stage);

/** \brief Abandons an open attempt, and records that the request may have run
 * unless the endpoint was not reached.
 */
void AbandonAttempt(RequestAttempts& attempts, const AttemptId& id,
                    AttemptEnd end);

/** \brief Classifies an answer and, if it is accepted, marks its stage as
 * answered.
 */
AnswerVerdict ClassifyAnswer(RequestAttempts& attempts, const AttemptId& id);

/** \brief Returns whether a failed request may have run, for its caller. */
RunState RunStateOf(const RequestAttempts& attempts);

/** \brief The state of a stage after a failed attempt. */
struct RetryQuery
{
  bool repeatable = true;
  AttemptEnd end = AttemptEnd::Failed;
  int attemptsMade = 1;
  int maxAttempts = 3;
  bool timeLeft = true;
};

/** \brief Returns whether another attempt may follow. A stage that is not
 * repeatable is retried only if the endpoint was not reached.
 */
bool MayRetry(const RetryQuery& query);

} // namespace wg
