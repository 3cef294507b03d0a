// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgPartCounts.h"

using wg::CountPart;
using wg::Elapsed;
using wg::PartCounts;
using wg::TimesCounted;

namespace {

const Elapsed Start = absl::Hours(100);

} // namespace

TEST_CASE("Requests with a part count for one to two windows", "[parts]")
{
  PartCounts counts;
  CHECK(TimesCounted(counts, "a", Start) == 0);
  for (int i = 0; i < 5; ++i) {
    CountPart(counts, "a", Start + absl::Seconds(i));
  }
  CHECK(TimesCounted(counts, "a", Start + absl::Seconds(5)) == 5);
  CHECK(TimesCounted(counts, "b", Start + absl::Seconds(5)) == 0);
  CHECK(TimesCounted(counts, "a", Start + absl::Seconds(40)) == 5);
  CountPart(counts, "a", Start + absl::Seconds(40));
  CHECK(TimesCounted(counts, "a", Start + absl::Seconds(50)) == 6);
  CHECK(TimesCounted(counts, "a", Start + absl::Seconds(80)) == 1);
  CHECK(TimesCounted(counts, "a", Start + absl::Seconds(200)) == 0);
}

TEST_CASE("A million different parts take bounded room", "[parts]")
{
  PartCounts counts;
  for (int i = 0; i < 1000000; ++i) {
    CountPart(counts, absl::StrCat("part", i), Start + absl::Milliseconds(i));
  }
  CHECK(counts.parts.size() <= counts.maxParts);
  CHECK(TimesCounted(counts, "part999999", Start + absl::Seconds(1000)) == 1);
}
