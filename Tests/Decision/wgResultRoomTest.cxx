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

InputVerdict Judge(int waiting, const std::vector<InputUse>& calls,
                   absl::Duration after)
{
  return JudgeInputs(waiting, calls, wg::NeverLost, Start + after);
}

/** An endpoint with room for so many results of one byte, of which others
 * than the coordinator's are held at first. They end one after another.
 */
struct Endpoint
{
  int room = 0;
  int foreign = 0;
  int own = 0;

  /** How many of the pieces it makes. */
  int Make(int pieces)
  {
    const int made = std::clamp(room - foreign - own, 0, pieces);
    own += made;
    return made;
  }
};

struct Totals
{
  int made = 0;
  int refused = 0;
};

/** How much a coordinator sends an endpoint that has refused pieces. */
enum class Rule
{
  Bound,  // as here
  Counted // as before: each refused piece counted as held for 400 ms
};

std::int64_t LimitOf(Rule rule, const Endpoint& endpoint,
                     const wg::RoomEvidence& evidence, wg::Elapsed now)
{
  if (rule == Rule::Bound) {
    return std::min<std::int64_t>(endpoint.room, RoomBound(evidence, now));
  }
  const bool counts =
    evidence.isKnown && now < evidence.noted + absl::Milliseconds(400);
  return endpoint.room - (counts ? evidence.refused : 0);
}

/** A coordinator that keeps an endpoint filled with calls of 250 ms and
 * releases each result 1.1 s after its call, for 3 s. Ten of the results that
 * it does not know of end during each call.
 */
Totals Fill(Endpoint endpoint, Rule rule)
{
  constexpr absl::Duration call = absl::Milliseconds(250);
  constexpr int batch = 60;
  constexpr int resultsLast = 4; // calls
  Totals totals;
  std::vector<int> made;
  wg::RoomEvidence evidence;
  for (wg::Elapsed now = Start; now < Start + absl::Seconds(3); now += call) {
    const auto calls = static_cast<int>(made.size());
    if (calls >= resultsLast) {
      endpoint.own -= made[static_cast<std::size_t>(calls - resultsLast)];
    }
    endpoint.foreign = std::max(0, endpoint.foreign - 10);
    const std::int64_t limit = LimitOf(rule, endpoint, evidence, now);
    const auto pieces = static_cast<int>(
      std::clamp<std::int64_t>(limit - endpoint.own, 0, batch));
    const std::int64_t recorded = endpoint.own + pieces;
    made.push_back(endpoint.Make(pieces));
    const int refused = pieces - made.back();
    totals.made += made.back();
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
  // Inputs released while a call may still fetch them cost the whole chain.
  const std::vector<InputUse> calls{
    { Start, Expected }, { Start + absl::Milliseconds(150), Expected }
  };
  const auto half = absl::Milliseconds(350); // of the later call
  CHECK(Judge(0, calls, half - absl::Milliseconds(1)) ==
        InputVerdict::TooEarly);
  CHECK(Judge(0, calls, half) == InputVerdict::Release);
  CHECK(Judge(1, calls, half) == InputVerdict::TooEarly);
}

TEST_CASE("Inputs of a call that takes longer than expected are kept")
{
  // It is likely to fail, and its pieces are then made elsewhere.
  const std::vector<InputUse> calls{
    { Start, Expected }, { Start - absl::Milliseconds(150), Expected }
  };
  CHECK(Judge(0, calls, absl::Milliseconds(250)) == InputVerdict::Release);
  CHECK(Judge(0, calls, absl::Milliseconds(251)) == InputVerdict::CallOverdue);
}

TEST_CASE("Inputs are kept where results may be refused for lack of room")
{
  // A refused piece is made again and needs its inputs.
  const std::vector<InputUse> calls{ { Start, Expected, true } };
  CHECK(Judge(0, calls, Expected / 2) == InputVerdict::RoomShort);
}

TEST_CASE("Inputs are kept for a while after released ones were missed")
{
  // Otherwise calls that queue at an endpoint would fail again and again.
  const std::vector<InputUse> calls{ { Start, Expected } };
  const wg::Elapsed now = Start + Expected / 2;
  CHECK(JudgeInputs(0, calls,
                    now - wg::InputLossMemory + absl::Milliseconds(1),
                    now) == InputVerdict::RecentLoss);
  CHECK(JudgeInputs(0, calls, now - wg::InputLossMemory, now) ==
        InputVerdict::Release);
}

TEST_CASE("No call is made that the last answer proves too large")
{
  // 100 recorded with the call, of which 30 were refused: 70 fitted, 71 not.
  const auto evidence = wg::EvidenceOf({ 100, 100, 30, 30, 1 }, Start);
  CHECK(wg::RoomBound(evidence, Start) == 70);
  CHECK(wg::RoomBound(evidence, Start + wg::RoomRetryPeriod -
                                  absl::Milliseconds(1)) == 70);
  // What the endpoint holds unknown ends: more is tried step by step.
  CHECK(wg::RoomBound(evidence, Start + wg::RoomRetryPeriod) == 100);
  CHECK(wg::RoomBound(evidence, Start + 2 * wg::RoomRetryPeriod) == 130);
  CHECK(wg::IsRoomShort(evidence, Start));
  CHECK_FALSE(wg::IsRoomShort(evidence, Start + wg::RoomBoundMemory));
  CHECK(wg::RoomBound(evidence, Start + wg::RoomBoundMemory) ==
        wg::UnboundedRoom);
  CHECK(wg::RoomBound({}, Start) == wg::UnboundedRoom);
}

TEST_CASE("Results released during a call count as room")
{
  // The endpoint may have judged before they were released.
  const auto evidence = wg::EvidenceOf({ 100, 60, 30, 30, 10 }, Start);
  CHECK(wg::RoomBound(evidence, Start) == 79);
}

TEST_CASE("Sizes that cannot be are not believed")
{
  // They come from other boxes; a sum that wraps would block an endpoint.
  constexpr auto huge = std::numeric_limits<std::int64_t>::max();
  const auto large = wg::EvidenceOf({ huge, huge, -huge, huge, huge }, Start);
  const auto negative =
    wg::EvidenceOf({ -1, -huge, huge, -huge, -huge }, Start);
  for (auto age = absl::ZeroDuration(); age < 2 * wg::RoomBoundMemory;
       age += wg::RoomRetryPeriod) {
    CHECK(wg::RoomBound(large, Start + age) > 0);
    CHECK(wg::RoomBound(negative, Start + age) >= -1);
  }
  // Results of no known size are tried again after one period.
  CHECK(wg::RoomBound(negative, Start + wg::RoomRetryPeriod) == 0);
}

TEST_CASE("An endpoint that holds unknown results refuses few pieces")
{
  // A new coordinator does not know what the one before had made: 138 places,
  // 100 of them taken, which end within 2.5 s. A refused piece waits for one
  // more call, and after four its work fails.
  const Endpoint endpoint{ 138, 100, 0 };
  const Totals before = Fill(endpoint, Rule::Counted);
  const Totals after = Fill(endpoint, Rule::Bound);
  CAPTURE(before.made, before.refused, after.made, after.refused);
  CHECK(4 * after.refused < before.refused);
  CHECK(4 * after.made >= 3 * before.made);
}

// Failure: inputs are released early where nobody needs their room, and each
// piece that fails has all stages of its request executed again.
TEST_CASE("Room is scarce once results take half of it")
{
  CHECK_FALSE(wg::IsRoomScarce(49, 100));
  CHECK(wg::IsRoomScarce(50, 100));
  CHECK_FALSE(wg::IsRoomScarce(1000, 0)); // no limit
}
