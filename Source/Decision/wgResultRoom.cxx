// SPDX-License-Identifier: Apache-2.0
#include "wgResultRoom.h"

#include <algorithm>

namespace wg {
namespace {

/** Sizes come from other boxes. No valid size is larger, and sums of a few
 * such sizes don't overflow.
 */
constexpr std::int64_t MaxBytes = std::int64_t{ 1 } << 50;

std::int64_t ClampSize(std::int64_t bytes)
{
  return std::clamp<std::int64_t>(bytes, 0, MaxBytes);
}

} // namespace

bool AreBuffersScarce(std::int64_t used, std::int64_t total)
{
  return total > 0 && static_cast<double>(used) >=
                        ScarceBufferFraction * static_cast<double>(total);
}

InputVerdict EvaluateInputs(int waiting, absl::Span<const InputUse> calls,
                            Elapsed lastLoss, Elapsed now)
{
  if (waiting > 0) {
    return InputVerdict::TooEarly;
  }
  if (now < lastLoss + InputLossHoldTime) {
    return InputVerdict::RecentLoss;
  }
  for (const InputUse& call : calls) {
    if (call.isBufferFull) {
      return InputVerdict::BufferFull;
    }
    if (now - call.started > call.expected) {
      return InputVerdict::CallOverdue;
    }
  }
  const bool allFetched =
    std::all_of(calls.begin(), calls.end(), [now](const InputUse& call) {
      return now - call.started >= FetchedAfterFraction * call.expected;
    });
  return allFetched ? InputVerdict::Release : InputVerdict::TooEarly;
}

BufferEvidence EvidenceOf(const BufferFullAnswer& answer, Elapsed now)
{
  const std::int64_t recorded = std::max(ClampSize(answer.recordedAtSend),
                                         ClampSize(answer.recordedAtEnd));
  BufferEvidence evidence;
  evidence.isKnown = true;
  evidence.held = ClampSize(recorded - ClampSize(answer.notExecuted));
  evidence.refused = ClampSize(answer.refused);
  evidence.smallestRefused = ClampSize(answer.smallestRefused);
  evidence.noted = now;
  return evidence;
}

bool IsBufferFull(const BufferEvidence& evidence, Elapsed now)
{
  return evidence.isKnown && now < evidence.noted + ResultLifetime;
}

std::int64_t BufferBound(const BufferEvidence& evidence, Elapsed now)
{
  if (!IsBufferFull(evidence, now)) {
    return UnboundedBuffer;
  }
  const auto periods = static_cast<std::int64_t>(
    absl::FDivDuration(now - evidence.noted, BufferRetryPeriod));
  if (periods <= 0) { // one more result of this size did not fit
    return evidence.held + evidence.smallestRefused - 1;
  }
  return evidence.held + periods * evidence.refused;
}

} // namespace wg
