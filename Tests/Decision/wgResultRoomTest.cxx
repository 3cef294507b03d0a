// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

#include <catch2/catch.hpp>

#include "wgResultRoom.h"

namespace {

using wg::InputUse;
using wg::InputVerdict;

constexpr wg::Elapsed Start = absl::Seconds(50);
constexpr absl::Duration Expected = absl::Milliseconds(400);

InputVerdict Evaluate(int waiting, const std::vector<InputUse>& calls,
                      absl::Duration after)
{
  return EvaluateInputs(waiting, calls, wg::NeverLost, Start + after);
}

/** An endpoint whose buffer holds results of one byte each. Some are unknown
 * to the coordinator at first; they expire one after another.
 */
struct Endpoint
{
  int capacity = 0;
  int unknown = 0;
  int own = 0;

  /** \return number of pieces whose results fit the buffer */
  int Execute(int pieces)
  {
    const int executed = std::clamp(capacity - unknown - own, 0, pieces);
    own += executed;
    return executed;
  }
};

struct Totals
{
  int executed = 0;
  int refused = 0;
};

/** How a coordinator bounds the work of an endpoint that refused pieces. */
enum class Rule
{
  Bound,  // by BufferBound
  Counted // baseline: a refused piece counts as buffered for 400 ms
};

std::int64_t LimitOf(Rule rule, const Endpoint& endpoint,
                     const wg::BufferEvidence& evidence, wg::Elapsed now)
{
  if (rule == Rule::Bound) {
    return std::min<std::int64_t>(endpoint.capacity,
                                  BufferBound(evidence, now));
  }
  const bool counts =
    evidence.isKnown && now < evidence.noted + absl::Milliseconds(400);
  return endpoint.capacity - (counts ? evidence.refused : 0);
}

/** Keeps an endpoint filled for 3 s with calls of 250 ms, whose results are
 * released 1.1 s later. Ten of the unknown results expire during each call.
 */
Totals Fill(Endpoint endpoint, Rule rule)
{
  constexpr absl::Duration call = absl::Milliseconds(250);
  constexpr int batch = 60;
  constexpr int callsUntilRelease = 4;
  Totals totals;
  std::vector<int> executed;
  wg::BufferEvidence evidence;
  for (wg::Elapsed now = Start; now < Start + absl::Seconds(3); now += call) {
    const auto calls = static_cast<int>(executed.size());
    if (calls >= callsUntilRelease) {
      endpoint.own -=
        executed[static_cast<std::size_t>(calls - callsUntilRelease)];
    }
    endpoint.unknown = std::max(0, endpoint.unknown - 10);
    const std::int64_t limit = LimitOf(rule, endpoint, evidence, now);
    const auto pieces = static_cast<int>(
      std::clamp<std::int64_t>(limit - endpoint.own, 0, batch));
    const std::int64_t recorded = endpoint.own + pieces;
    executed.push_back(endpoint.Execute(pieces));
    const int refused = pieces - executed.back();
    totals.executed += executed.back();
    totals.refused += refused;
    if (refused > 0) {
      evidence = wg::EvidenceOf({ recorded, recorded, refused, refused, 1 },
                                now + call);
    }
  }
  return totals;
}

} // namespace

TEST_CASE("Inputs are kept until all calls of a work are half done")
{
  // If a call misses its inputs, all stages of the request run again.
  const std::vector<InputUse> calls{
    { Start, Expected }, { Start + absl::Milliseconds(150), Expected }
  };
  const auto half = absl::Milliseconds(350); // of the later call
  CHECK(Evaluate(0, calls, half - absl::Milliseconds(1)) ==
        InputVerdict::TooEarly);
  CHECK(Evaluate(0, calls, half) == InputVerdict::Release);
  CHECK(Evaluate(1, calls, half) == InputVerdict::TooEarly);
}

TEST_CASE("Inputs of a call that takes longer than expected are kept")
{
  // The call is likely to fail; its pieces are then executed elsewhere.
  const std::vector<InputUse> calls{
    { Start, Expected }, { Start - absl::Milliseconds(150), Expected }
  };
  CHECK(Evaluate(0, calls, absl::Milliseconds(250)) == InputVerdict::Release);
  CHECK(Evaluate(0, calls, absl::Milliseconds(251)) ==
        InputVerdict::CallOverdue);
}

TEST_CASE("Inputs are kept where a full buffer may refuse results")
{
  // A refused piece is executed again and needs its inputs.
  const std::vector<InputUse> calls{ { Start, Expected, true } };
  CHECK(Evaluate(0, calls, Expected / 2) == InputVerdict::BufferFull);
}

TEST_CASE("Inputs are kept for a time after released inputs were missed")
{
  // Otherwise, calls that queue at an endpoint would fail repeatedly.
  const std::vector<InputUse> calls{ { Start, Expected } };
  const wg::Elapsed now = Start + Expected / 2;
  CHECK(EvaluateInputs(0, calls,
                       now - wg::InputLossHoldTime + absl::Milliseconds(1),
                       now) == InputVerdict::RecentLoss);
  CHECK(EvaluateInputs(0, calls, now - wg::InputLossHoldTime, now) ==
        InputVerdict::Release);
}

TEST_CASE("No call is sent that the last answer shows to be too large")
{
  // 100 recorded with the call, of which 30 were refused: 70 fit, 71 do not.
  const auto evidence = wg::EvidenceOf({ 100, 100, 30, 30, 1 }, Start);
  CHECK(wg::BufferBound(evidence, Start) == 70);
  CHECK(wg::BufferBound(evidence, Start + wg::BufferRetryPeriod -
                                    absl::Milliseconds(1)) == 70);
  // Unknown results expire, so the bound grows step by step.
  CHECK(wg::BufferBound(evidence, Start + wg::BufferRetryPeriod) == 100);
  CHECK(wg::BufferBound(evidence, Start + 2 * wg::BufferRetryPeriod) == 130);
  CHECK(wg::IsBufferFull(evidence, Start));
  CHECK_FALSE(wg::IsBufferFull(evidence, Start + wg::ResultLifetime));
  CHECK(wg::BufferBound(evidence, Start + wg::ResultLifetime) ==
        wg::UnboundedBuffer);
  CHECK(wg::BufferBound({}, Start) == wg::UnboundedBuffer);
}

TEST_CASE("Results released during a call count as buffered")
{
  // The endpoint may have refused results before the release.
  const auto evidence = wg::EvidenceOf({ 100, 60, 30, 30, 10 }, Start);
  CHECK(wg::BufferBound(evidence, Start) == 79);
}

TEST_CASE("Invalid sizes are clamped")
{
  // Sizes come from other boxes; an overflow would block an endpoint.
  constexpr auto huge = std::numeric_limits<std::int64_t>::max();
  const auto large = wg::EvidenceOf({ huge, huge, -huge, huge, huge }, Start);
  const auto negative =
    wg::EvidenceOf({ -1, -huge, huge, -huge, -huge }, Start);
  for (auto age = absl::ZeroDuration(); age < 2 * wg::ResultLifetime;
       age += wg::BufferRetryPeriod) {
    CHECK(wg::BufferBound(large, Start + age) > 0);
    CHECK(wg::BufferBound(negative, Start + age) >= -1);
  }
  // Results of unknown size are tried again after one period.
  CHECK(wg::BufferBound(negative, Start + wg::BufferRetryPeriod) == 0);
}

TEST_CASE("An endpoint with unknown results in its buffer refuses few pieces")
{
  // A new coordinator does not know the results of its predecessor: the buffer
  // holds 138 results, 100 of them unknown, which expire within 2.5 s. A
  // refused piece waits for another call, and after four its work fails.
  const Endpoint endpoint{ 138, 100, 0 };
  const Totals before = Fill(endpoint, Rule::Counted);
  const Totals after = Fill(endpoint, Rule::Bound);
  CAPTURE(before.executed, before.refused, after.executed, after.refused);
  CHECK(4 * after.refused < before.refused);
  CHECK(4 * after.executed >= 3 * before.executed);
}

// Failure: inputs are released early while buffers have space, and each piece
// that fails has all stages of its request executed again.
TEST_CASE("Buffers are scarce once results fill half of them")
{
  CHECK_FALSE(wg::AreBuffersScarce(49, 100));
  CHECK(wg::AreBuffersScarce(50, 100));
  CHECK_FALSE(wg::AreBuffersScarce(1000, 0)); // no limit
}
