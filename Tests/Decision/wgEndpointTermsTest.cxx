// SPDX-License-Identifier: Apache-2.0
#include <optional>

#include <catch2/catch.hpp>

#include "wgEndpointTerms.h"

namespace {

using wg::Elapsed;
using wg::EndpointTerms;
using wg::SenderTerms;

constexpr Elapsed Start = absl::Seconds(100);

Elapsed At(double seconds)
{
  return Start + absl::Seconds(seconds);
}

SenderTerms Limit(double perSecond)
{
  SenderTerms terms;
  terms.limits.perSecond = perSecond;
  return terms;
}

/** A successful answer without a limit. */
SenderTerms Unlimited()
{
  SenderTerms terms;
  terms.clearsLimit = true;
  return terms;
}

} // namespace

TEST_CASE("A limit holds until a later successful answer has none")
{
  EndpointTerms known;
  CHECK(ApplyTerms(known, Limit(2.0), At(0), At(1)).limit);
  CHECK(known.limits.perSecond == 2.0);
  CHECK_FALSE(ApplyTerms(known, Limit(2.0), At(1), At(1.1)).limit);
  CHECK(ApplyTerms(known, Limit(0.5), At(1), At(1.2)).limit);
  // Sent before the limit was reported: the answers overtook each other.
  CHECK_FALSE(ApplyTerms(known, Unlimited(), At(1.1), At(1.3)).limit);
  CHECK(known.limits.perSecond == 0.5);
  const SenderTerms refusal; // or an answer that could not be parsed
  CHECK_FALSE(ApplyTerms(known, refusal, At(2), At(2.1)).limit);
  CHECK(ApplyTerms(known, Unlimited(), At(2), At(2.1)).limit);
  CHECK_FALSE(known.limits.perSecond);
}

TEST_CASE("The newest of the limits reported by other boxes holds")
{
  EndpointTerms known;
  CHECK(ApplyLimits(known, { 3.0, {} }, At(5)));
  CHECK_FALSE(ApplyLimits(known, { 9.0, {} }, At(4)));
  CHECK(known.limits.perSecond == 3.0);
  CHECK(ApplyLimits(known, {}, At(6)));
  CHECK_FALSE(known.limits.perSecond);
}

TEST_CASE("A backoff ends at the latest time that was requested")
{
  EndpointTerms known;
  SenderTerms answer;
  answer.backoff = absl::Seconds(3);
  CHECK(ApplyTerms(known, answer, At(0), At(0)).backoff);
  answer.backoff = absl::Seconds(1);
  CHECK_FALSE(ApplyTerms(known, answer, At(0.5), At(0.5)).backoff);
  CHECK(IsBackingOff(known, At(2.9)));
  CHECK_FALSE(IsBackingOff(known, At(3)));
  // An answer to an earlier request does not end it.
  CHECK_FALSE(ApplyTerms(known, {}, At(0.4), At(2)).backoff);
  CHECK(IsBackingOff(known, At(2.9)));
}

TEST_CASE("An announced leave expires but is not withdrawn by answers")
{
  EndpointTerms known;
  SenderTerms leaves;
  leaves.isLeaving = true;
  CHECK(ApplyTerms(known, leaves, At(0), At(1)).leaving);
  CHECK(known.isLeaving);
  CHECK_FALSE(ApplyTerms(known, leaves, At(1), At(2)).leaving);
  CHECK_FALSE(ApplyTerms(known, Unlimited(), At(3), At(4)).leaving);
  CHECK(known.isLeaving);
  ForgetLeaving(known, At(2) + wg::LeavingMemory - absl::Seconds(1));
  CHECK(known.isLeaving);
  ForgetLeaving(known, At(2) + wg::LeavingMemory);
  CHECK_FALSE(known.isLeaving);
}

TEST_CASE("Each of two limits stays while refusals name the other alone")
{
  SenderTerms brittle;
  brittle.limits.refusalsPerSecond = 3.0;
  EndpointTerms known;
  CHECK(ApplyTerms(known, brittle, At(0), At(1)).limit);
  CHECK(ApplyTerms(known, Limit(2.0), At(1), At(1.1)).limit);
  CHECK(known.limits.perSecond == 2.0);
  CHECK(known.limits.refusalsPerSecond == 3.0);
  CHECK_FALSE(ApplyTerms(known, brittle, At(1), At(1.2)).limit);
  // A successful answer tells of all that hold.
  brittle.clearsLimit = true;
  CHECK(ApplyTerms(known, brittle, At(2), At(2.1)).limit);
  CHECK_FALSE(known.limits.perSecond);
  CHECK(known.limits.refusalsPerSecond == 3.0);
  CHECK(ApplyTerms(known, Unlimited(), At(3), At(3.1)).limit);
  CHECK_FALSE(known.limits.refusalsPerSecond);
}
