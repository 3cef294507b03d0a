// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgEndpointState.h"
#include "wgReason.h"

namespace wg {

/** \brief Names one try of one stage of one request; an endpoint gives it
 * back with its answer.
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

/** \brief What was done with a stage of a request so far. */
struct StageAttempts
{
  std::vector<AttemptState> tries;
  bool answered = false;
};

/** \brief All tries of one request. */
struct RequestAttempts
{
  std::string request;
  std::vector<StageAttempts> stages;
  bool mayHaveRun = false; // a try reached an endpoint that could run it
};

/** \brief What becomes of an answer. */
enum class AnswerVerdict
{
  Accept,
  Late,      // its try was given up
  Duplicate, // its stage has an answer
  Foreign    // not of this request, or of no try that was made
};

/** \brief Opens the next try of a stage. */
AttemptId OpenAttempt(RequestAttempts& attempts, int stage);

/** \brief Gives a try up; what it may have done is noted. */
void AbandonAttempt(RequestAttempts& attempts, const AttemptId& id,
                    AttemptEnd end);

/** \brief Judges an answer, and takes it in when it is to be accepted. */
AnswerVerdict JudgeAnswer(RequestAttempts& attempts, const AttemptId& id);

/** \brief What may be told the caller of a request that failed. */
RunState RunStateOf(const RequestAttempts& attempts);

/** \brief Whether a failed try may be followed by another. */
struct RetryQuery
{
  bool repeatable = true;
  AttemptEnd end = AttemptEnd::Failed;
  int triesMade = 1;
  int maxTries = 3;
  bool timeLeft = true;
};
bool MayRetry(const RetryQuery& query);

} // namespace wg
