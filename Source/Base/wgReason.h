// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstddef>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief Why a request ended without its whole answer. A closed list:
 * each has one counter and one row in docs/operators/reasons.md.
 */
enum class Reason
{
  None,
  BadJson,
  BadHeader,
  BadDeadline,
  BodyTooLarge,
  UnknownPipeline,
  UnknownAccount,
  WrongKey,
  NotConfigured,
  Stopping,
  AccountRate,
  AccountConcurrency,
  QueueFull,
  QueueBytes,
  DeadlineUnreachable,
  DeadlinePassed,
  NoEndpoint,
  EndpointFailed,
  RetryBudget,
  BadAnswer,
  DuplicateKey,
  ClaimUnavailable,
  CallerLeft,
  Internal,
  Count
};

/** \brief Why a stage was tried again. */
enum class RetryReason
{
  ConnectFailed,
  EndpointRefused,
  AnswerLost,
  AnswerInvalid,
  StreamBroken,
  VersionDiffers, // from the one that began the generation
  Count
};

/** \brief What may be said of the execution of a failed request. */
enum class RunState
{
  NotRun,
  MayHaveRun,
  Ran
};

absl::string_view Name(Reason reason);
absl::string_view Name(RetryReason reason);
absl::string_view Name(RunState state);

/** \brief The HTTP status that a caller sees for a reason. */
int HttpStatus(Reason reason);

} // namespace wg
