// SPDX-License-Identifier: Apache-2.0
#include <catch2/catch.hpp>

#include "wgResultLedger.h"

namespace {

const wg::Elapsed Now = absl::Seconds(100);

} // namespace

TEST_CASE("A result is taken out once")
{
  wg::ResultLedger ledger;
  wg::KeepResult(ledger, "a", { "e1", 10, Now + absl::Seconds(4) });
  wg::KeepResult(ledger, "b", { "e2", 20, Now + absl::Seconds(4) });
  const auto taken = wg::TakeResult(ledger, "b");
  REQUIRE(taken);
  CHECK(taken->endpoint == "e2");
  CHECK(taken->bytes == 20);
  CHECK_FALSE(wg::TakeResult(ledger, "b"));
  CHECK(ledger.kept.size() == 1);
}

TEST_CASE("What has no name is kept until its time is over")
{
  wg::ResultLedger ledger;
  wg::KeepUnnamed(ledger, { "e1", 10, Now + absl::Seconds(1) });
  wg::KeepUnnamed(ledger, { "e1", 20, Now + absl::Seconds(2) });
  CHECK(wg::TakeExpired(ledger, Now).empty());
  const auto first = wg::TakeExpired(ledger, Now + absl::Seconds(1));
  REQUIRE(first.size() == 1);
  CHECK(first[0].bytes == 10);
  const auto second = wg::TakeExpired(ledger, Now + absl::Seconds(3));
  REQUIRE(second.size() == 1);
  CHECK(second[0].bytes == 20);
  CHECK(ledger.kept.empty());
}

TEST_CASE("What is gone is known for a while, unless it is made again")
{
  // A result that a restarted request makes again may bear the same name: its
  // release must reach its maker.
  wg::GoneResults gone;
  wg::NoteGone(gone, "a", Now);
  wg::NoteGone(gone, "b", Now);
  CHECK(wg::IsGone(gone, "a", Now + wg::GoneMemory / 2));
  CHECK_FALSE(wg::IsGone(gone, "c", Now));
  wg::ForgetGone(gone, "a");
  CHECK_FALSE(wg::IsGone(gone, "a", Now));
  CHECK_FALSE(wg::IsGone(gone, "b", Now + wg::GoneMemory));
  wg::NoteGone(gone, "d", Now + wg::GoneMemory);
  CHECK(gone.until.size() == 1); // "b" takes no memory any more
}
