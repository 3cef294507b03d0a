// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgHttpClient.h"
#include "wgRouteTable.h"

namespace wg {

/** \brief What is known of a request that was to be sent to an endpoint. */
enum class AttemptKnowledge
{
  NotSent,    // no byte of it left
  SaidNotRun, // the endpoint said that it did not and will not run it
  MayHaveRun,
  Ran // the endpoint answered
};

/** \brief What is done once an attempt has failed. */
enum class AfterAttempt
{
  SendAgain,  // to another endpoint
  SayNotRun,  // a refusal that promises that it has not run
  SayMayHave, // a failure that promises nothing
  BreakOff    // the answer has begun: it must not look complete
};

/** \brief The facts of a request after a failed attempt. */
struct AttemptFacts
{
  Repetition repetition = Repetition::RunOnce;
  AttemptKnowledge last = AttemptKnowledge::NotSent;
  bool anyMayHaveRun = false; // this attempt or an earlier one
  bool answerBegun = false;   // bytes of the answer went to the caller
  bool hasPosition = true;    // the next endpoint can be told where to go on
  int endpointsTried = 0;     // to which it was sent
  int maxAttempts = 1;
  bool keptAway = false; // it is known to end endpoints
  bool timeLeft = true;
  bool budgetLeft = true;
  bool endpointLeft = true; // one that has not been tried
};

/** \brief What is known of an answer when its connection or its framing says
 * that it is over.
 */
struct AnswerFacts
{
  HttpCallEnd end = HttpCallEnd::Cut;
  bool streams = false;
  bool hasEvent = false;      // a whole one
  bool isInsideEvent = false; // bytes of another one came after it
  bool isJson = false;        // by its type; not of a stream
  bool parses = true;         // as such, to its end
};

/** \brief Whether the answer is whole as far as can be known: its framing says
 * so, or nothing but the close ends it and its content could end there. A
 * stream that ends inside an event has been broken off in any framing.
 */
bool IsWholeAnswer(const AnswerFacts& facts);

/** \brief Whether it is safe, allowed and worth it to send again, and if not,
 * what the caller is told.
 */
AfterAttempt JudgeAttempt(const AttemptFacts& facts);

} // namespace wg
