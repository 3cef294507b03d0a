// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgAnsweredParts.h"

using wg::AnsweredParts;
using wg::AnswersWithPart;
using wg::Elapsed;
using wg::NotePartAnswered;

namespace {

const Elapsed Start = absl::Hours(100);

} // namespace

TEST_CASE("Answers with a part count for one to two windows", "[parts]")
{
  AnsweredParts answered;
  CHECK(AnswersWithPart(answered, "a", Start) == 0);
  for (int i = 0; i < 5; ++i) {
    NotePartAnswered(answered, "a", Start + absl::Seconds(i));
  }
  CHECK(AnswersWithPart(answered, "a", Start + absl::Seconds(5)) == 5);
  CHECK(AnswersWithPart(answered, "b", Start + absl::Seconds(5)) == 0);
  CHECK(AnswersWithPart(answered, "a", Start + absl::Seconds(40)) == 5);
  NotePartAnswered(answered, "a", Start + absl::Seconds(40));
  CHECK(AnswersWithPart(answered, "a", Start + absl::Seconds(50)) == 6);
  CHECK(AnswersWithPart(answered, "a", Start + absl::Seconds(80)) == 1);
  CHECK(AnswersWithPart(answered, "a", Start + absl::Seconds(200)) == 0);
}

TEST_CASE("A million different parts take bounded room", "[parts]")
{
  AnsweredParts answered;
  for (int i = 0; i < 1000000; ++i) {
    NotePartAnswered(answered, absl::StrCat("part", i),
                     Start + absl::Milliseconds(i));
  }
  CHECK(answered.parts.size() <= answered.maxParts);
  CHECK(AnswersWithPart(answered, "part999999", Start + absl::Seconds(1000)) ==
        1);
}
