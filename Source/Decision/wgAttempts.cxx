// SPDX-License-Identifier: Apache-2.0
#include "wgAttempts.h"

namespace wg {
namespace {

/** Returns the state of an attempt, or null if no such attempt was made. */
AttemptState* FindAttempt(RequestAttempts& attempts, const AttemptId& id)
{
  const bool known = id.request == attempts.request && id.stage >= 0 &&
                     id.stage < static_cast<int>(attempts.stages.size());
  if (!known) {
    return nullptr;
  }
  StageAttempts& stage = attempts.stages[static_cast<std::size_t>(id.stage)];
  const bool made =
    id.attempt >= 1 && id.attempt <= static_cast<int>(stage.states.size());
  return made ? &stage.states[static_cast<std::size_t>(id.attempt - 1)]
              : nullptr;
}

} // namespace

AttemptId OpenAttempt(RequestAttempts& attempts, int stage)
{
  const auto slot = static_cast<std::size_t>(stage);
  if (attempts.stages.size() <= slot) {
    attempts.stages.resize(slot + 1);
  }
  auto& states = attempts.stages[slot].states;
  states.push_back(AttemptState::Open);
  return { attempts.request, stage, static_cast<int>(states.size()) };
}

void AbandonAttempt(RequestAttempts& attempts, const AttemptId& id,
                    AttemptEnd end)
{
  AttemptState* state = FindAttempt(attempts, id);
  if (state == nullptr || *state != AttemptState::Open) {
    return;
  }
  *state = AttemptState::Abandoned;
  if (end != AttemptEnd::Unreached) {
    attempts.mayHaveRun = true;
  }
}

AnswerVerdict ClassifyAnswer(RequestAttempts& attempts, const AttemptId& id)
{
  AttemptState* state = FindAttempt(attempts, id);
  if (state == nullptr) {
    return AnswerVerdict::Mismatched;
  }
  StageAttempts& stage = attempts.stages[static_cast<std::size_t>(id.stage)];
  if (stage.answered) {
    return AnswerVerdict::Duplicate;
  }
  if (*state != AttemptState::Open) {
    return AnswerVerdict::Late;
  }
  *state = AttemptState::Answered;
  stage.answered = true;
  attempts.mayHaveRun = true;
  return AnswerVerdict::Accept;
}

RunState RunStateOf(const RequestAttempts& attempts)
{
  for (const StageAttempts& stage : attempts.stages) {
    for (const AttemptState state : stage.states) {
      if (state == AttemptState::Open) {
        return RunState::MayHaveRun;
      }
    }
  }
  return attempts.mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
}

bool MayRetry(const RetryQuery& query)
{
  if (!query.timeLeft || query.attemptsMade >= query.maxAttempts) {
    return false;
  }
  return query.repeatable || query.end == AttemptEnd::Unreached;
}

} // namespace wg
