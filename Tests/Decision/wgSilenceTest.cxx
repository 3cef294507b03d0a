// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgSilence.h"

namespace wg {
namespace {

SilenceFacts Silent(absl::Duration silent, LifeSign sign = LifeSign::Unknown,
                    absl::Duration signAge = absl::ZeroDuration())
{
  SilenceFacts facts;
  facts.silent = silent;
  facts.expected = absl::Seconds(1);
  facts.patience = absl::Seconds(6);
  facts.sign = sign;
  facts.signAge = signAge;
  return facts;
}

TEST_CASE("A usual pause is no silence")
{
  CHECK(EvaluateSilence(Silent(absl::Milliseconds(999))) ==
        SilenceVerdict::Wait);
  CHECK(EvaluateSilence(Silent(absl::Milliseconds(999), LifeSign::Gone)) ==
        SilenceVerdict::Wait);
}

TEST_CASE("An endpoint is asked before its answer is left")
{
  CHECK(EvaluateSilence(Silent(absl::Seconds(1))) == SilenceVerdict::Ask);
}

TEST_CASE("An answer is left where its endpoint has lost it")
{
  for (const LifeSign sign : { LifeSign::Answers, LifeSign::Gone }) {
    CHECK(EvaluateSilence(Silent(absl::Seconds(1), sign)) ==
          SilenceVerdict::GoOn);
  }
}

TEST_CASE("An endpoint that stands still or works on keeps its answer")
{
  for (const LifeSign sign : { LifeSign::NoAnswer, LifeSign::Working }) {
    CHECK(EvaluateSilence(Silent(absl::Milliseconds(2900), sign)) ==
          SilenceVerdict::Wait);
    CHECK(EvaluateSilence(Silent(absl::Milliseconds(2900), sign,
                                 absl::Seconds(1))) == SilenceVerdict::Ask);
  }
}

TEST_CASE("An answer is left while its caller still waits")
{
  for (const LifeSign sign :
       { LifeSign::Unknown, LifeSign::NoAnswer, LifeSign::Working }) {
    CHECK(EvaluateSilence(Silent(absl::Seconds(3), sign)) ==
          SilenceVerdict::GoOn);
  }
  SilenceFacts impatient =
    Silent(absl::Milliseconds(1500), LifeSign::NoAnswer);
  impatient.patience = absl::Seconds(2);
  CHECK(EvaluateSilence(impatient) == SilenceVerdict::GoOn);
}

TEST_CASE("The verdict is due again when it may be another one")
{
  CHECK(SilenceRecheck(Silent(absl::Milliseconds(400))) ==
        absl::Milliseconds(600));
  CHECK(SilenceRecheck(Silent(absl::Seconds(1), LifeSign::NoAnswer,
                              absl::Milliseconds(100))) ==
        absl::Milliseconds(900));
  CHECK(SilenceRecheck(Silent(absl::Milliseconds(2500), LifeSign::NoAnswer)) ==
        absl::Milliseconds(500));
  CHECK(SilenceRecheck(Silent(absl::Seconds(9), LifeSign::NoAnswer)) >=
        absl::Milliseconds(20));
}

} // namespace
} // namespace wg
