// SPDX-License-Identifier: Apache-2.0
#include "wgChangeClient.h"

#include <algorithm>

#include "absl/time/clock.h"

#include "wgLink.h"

namespace wg {
namespace {

constexpr absl::Duration OneCall = absl::Milliseconds(700);
constexpr absl::Duration StopTimeout = absl::Seconds(2);
constexpr absl::Duration EndTimeout = absl::Seconds(1);
constexpr std::size_t MaxPendingEnds = 10000;
constexpr absl::Duration PauseBetweenCalls = absl::Milliseconds(30);

using Result = wire::ChangeResult;

Result Unavailable()
{
  Result result;
  result.set_verdict(Result::UNAVAILABLE);
  result.set_message("No control replica gave an answer in time.");
  return result;
}

} // namespace

ChangeClient::ChangeClient(PeerClient& client,
                           std::vector<std::string> controls)
  : client_(client)
  , controls_(std::move(controls))
{
}

std::string ChangeClient::CurrentLeader()
{
  absl::MutexLock lock(&mutex_);
  if (leader_.empty() && !controls_.empty()) {
    leader_ = controls_.front();
  }
  return leader_;
}

void ChangeClient::NoteLeader(const std::string& leader)
{
  absl::MutexLock lock(&mutex_);
  leader_ = leader;
}

std::string ChangeClient::NextControl(const std::string& after) const
{
  auto found = std::find(controls_.begin(), controls_.end(), after);
  const bool last = found == controls_.end() || found + 1 == controls_.end();
  return last ? controls_.front() : *(found + 1);
}

wire::ChangeResult ChangeClient::Propose(const wire::Change& change,
                                         Elapsed until)
{
  const std::string body = change.SerializeAsString();
  std::string address = CurrentLeader();
  Result result = Unavailable();
  while (!address.empty() && ElapsedNow() < until) {
    const absl::Duration oneCall = OneCall + TransferTime(body.size());
    const absl::Duration wait = std::min(oneCall, until - ElapsedNow());
    const Outcome<std::string> reply =
      client_.CallAndWait(address, "/change", body, wait);
    Result answer;
    const bool answered =
      Succeeded(reply) && answer.ParseFromString(Value(reply));
    const bool definite = answered && (answer.verdict() == Result::ACCEPTED ||
                                       answer.verdict() == Result::REJECTED);
    if (definite) {
      NoteLeader(address);
      return answer;
    }
    if (answered) {
      result = answer;
    }
    const bool redirected =
      answered && !answer.leader().empty() && answer.leader() != address;
    address = redirected ? answer.leader() : NextControl(address);
    NoteLeader(address);
    if (!redirected) {
      absl::SleepFor(PauseBetweenCalls);
    }
  }
  return result;
}

ClaimOutcome TakeClaim(ChangeClient& changes, const RequestClaim& claim,
                       Elapsed until)
{
  wire::Change change;
  wire::TakeClaim& take = *change.mutable_take_claim();
  take.set_account(claim.account);
  take.set_key(claim.key);
  take.set_request(claim.request);
  const Result result = changes.Propose(change, until);
  switch (result.verdict()) {
    case Result::ACCEPTED:
      return ClaimOutcome::Taken;
    case Result::REJECTED:
      return result.claim_ended() ? ClaimOutcome::UsedEnded
                                  : ClaimOutcome::UsedRunning;
    default:
      return ClaimOutcome::Unavailable;
  }
}

ClaimEnder::ClaimEnder(ChangeClient& changes)
  : changes_(changes)
  , thread_([this] { Run(); })
{
}

ClaimEnder::~ClaimEnder()
{
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    stopBy_ = ElapsedNow() + StopTimeout;
  }
  thread_.join();
}

void ClaimEnder::Post(ClaimEnd end)
{
  absl::MutexLock lock(&mutex_);
  if (ends_.size() < MaxPendingEnds) {
    ends_.push_back(std::move(end));
  }
}

void ClaimEnder::Run()
{
  for (;;) {
    ClaimEnd end;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(
        +[](ClaimEnder* self) ABSL_EXCLUSIVE_LOCKS_REQUIRED(self->mutex_) {
          return self->stopping_ || !self->ends_.empty();
        },
        this));
      if (ends_.empty() || ElapsedNow() > stopBy_) {
        return;
      }
      end = std::move(ends_.front());
      ends_.pop_front();
    }
    wire::Change change;
    wire::EndClaim& body = *change.mutable_end_claim();
    body.set_account(end.claim.account);
    body.set_key(end.claim.key);
    body.set_request(end.claim.request);
    body.set_not_run(end.notRun);
    changes_.Propose(change, ElapsedNow() + EndTimeout);
  }
}

} // namespace wg
