// SPDX-License-Identifier: Apache-2.0
#include "wgAttemptRules.h"

namespace wg {
namespace {

bool IsSafeToRepeat(const AttemptFacts& facts)
{
  if (facts.answerBegun) {
    return facts.repetition == Repetition::Resumable && facts.hasPosition;
  }
  return !facts.anyMayHaveRun || facts.repetition != Repetition::RunOnce;
}

} // namespace

bool IsWholeAnswer(const AnswerFacts& facts)
{
  if (!IsAnswered(facts.end) || (facts.streams && facts.isInsideEvent)) {
    return false;
  }
  if (facts.end == HttpCallEnd::Complete) {
    return true;
  }
  return facts.streams ? facts.hasEvent : !facts.isJson || facts.parses;
}

AfterAttempt JudgeAttempt(const AttemptFacts& facts)
{
  // What was never sent costs neither an attempt nor the budget.
  const bool isFree = facts.last == AttemptKnowledge::NotSent;
  const bool allowed =
    facts.endpointsTried < facts.maxAttempts && (isFree || facts.budgetLeft);
  const bool again = IsSafeToRepeat(facts) && allowed && !facts.keptAway &&
                     facts.timeLeft && facts.endpointLeft;
  if (again) {
    return AfterAttempt::SendAgain;
  }
  if (facts.answerBegun) {
    return AfterAttempt::BreakOff;
  }
  return facts.anyMayHaveRun ? AfterAttempt::SayMayHave
                             : AfterAttempt::SayNotRun;
}

} // namespace wg
