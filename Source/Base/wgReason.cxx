// SPDX-License-Identifier: Apache-2.0
#include "wgReason.h"

namespace wg {
namespace {

struct ReasonRow
{
  absl::string_view name;
  int status;
};

constexpr std::array<ReasonRow, static_cast<std::size_t>(Reason::Count)>
  ReasonRows = { {
    { "none", 200 },
    { "bad_json", 400 },
    { "bad_header", 400 },
    { "bad_deadline", 422 },
    { "body_too_large", 413 },
    { "unknown_pipeline", 404 },
    { "unknown_account", 401 },
    { "wrong_key", 401 },
    { "not_configured", 503 },
    { "stopping", 503 },
    { "account_rate", 429 },
    { "account_concurrency", 429 },
    { "queue_full", 503 },
    { "queue_bytes", 503 },
    { "deadline_unreachable", 503 },
    { "deadline_passed", 504 },
    { "no_endpoint", 503 },
    { "endpoint_failed", 502 },
    { "retry_budget", 503 },
    { "bad_answer", 502 },
    { "duplicate_key", 409 },
    { "claim_unavailable", 503 },
    { "caller_left", 499 },
    { "internal", 500 },
  } };

constexpr std::array<absl::string_view,
                     static_cast<std::size_t>(RetryReason::Count)>
  RetryNames = { { "connect_failed", "endpoint_refused", "answer_lost",
                   "answer_invalid", "stream_broken", "version_differs" } };

} // namespace

absl::string_view Name(Reason reason)
{
  return ReasonRows[static_cast<std::size_t>(reason)].name;
}

absl::string_view Name(RetryReason reason)
{
  return RetryNames[static_cast<std::size_t>(reason)];
}

absl::string_view Name(RunState state)
{
  switch (state) {
    case RunState::NotRun:
      return "not_run";
    case RunState::Ran:
      return "ran";
    case RunState::MayHaveRun:
      break;
  }
  return "may_have_run";
}

int HttpStatus(Reason reason)
{
  return ReasonRows[static_cast<std::size_t>(reason)].status;
}

} // namespace wg
