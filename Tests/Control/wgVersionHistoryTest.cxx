// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

#include "wgVersionHistory.h"

namespace {

using wg::StreamOrigin;
using wg::VersionHistory;

constexpr wg::Elapsed Now = absl::Seconds(1000);
const StreamOrigin V1{ "llm", "v1" };
const StreamOrigin V2{ "llm", "v2" };

std::vector<StreamOrigin> Served(const VersionHistory& history)
{
  return wg::ServedVersions(history, { "llm" });
}

} // namespace

TEST_CASE("A version is possible for as long as streams that it began")
{
  VersionHistory history;
  REQUIRE(wg::NoteServing(history, "llm", "v1", Now));
  REQUIRE(wg::NoteServing(history, "llm", "v2", Now));
  REQUIRE(wg::NoteServing(history, "other", "v3", Now));
  CHECK(Served(history) == std::vector<StreamOrigin>{ V1, V2 });
  wg::Elapsed now = Now;
  while (now < Now + wg::StreamMemory) {
    now += wg::VersionsPeriod;
    wg::NoteServing(history, "llm", "v2", now);
    wg::ExpireVersions(history, now);
    CHECK(Served(history) == std::vector<StreamOrigin>{ V1, V2 });
  }
  wg::ExpireVersions(history, now + 2 * wg::VersionsPeriod);
  CHECK(Served(history) == std::vector<StreamOrigin>{ V2 });
}

TEST_CASE("A version that has just left is possible after a restart")
{
  VersionHistory before;
  wg::NoteServing(before, "llm", "v1", Now);
  wg::NoteServing(before, "llm", "v2", Now);
  wg::wire::RememberedEndpoints kept;
  wg::RememberVersions(before, kept);
  VersionHistory history;
  const wg::Elapsed start = Now + absl::Hours(2);
  wg::RecallVersions(history, &kept, false, start);
  CHECK(Served(history) == std::vector<StreamOrigin>{ V1, V2 });
  CHECK(wg::IsWholeHistory(history, start));
  CHECK(wg::IsWritten(history, "llm", "v1"));
  wg::ExpireVersions(history, start + wg::StreamMemory);
  CHECK(Served(history).size() == 2);
}

TEST_CASE("What was lost with a disk may have begun streams")
{
  VersionHistory lost;
  wg::RecallVersions(lost, nullptr, false, Now);
  CHECK_FALSE(wg::IsWholeHistory(lost, Now));
  CHECK(wg::IsWholeHistory(lost, Now + wg::StreamMemory));
  VersionHistory first;
  wg::RecallVersions(first, nullptr, true, Now);
  CHECK(wg::IsWholeHistory(first, Now));
  // An older build kept endpoints alone, which are left out after a minute.
  wg::wire::RememberedEndpoints kept;
  kept.add_endpoints()->set_service("llm");
  kept.mutable_endpoints(0)->set_version("v1");
  VersionHistory older;
  wg::RecallVersions(older, &kept, false, Now);
  CHECK(wg::IsWholeHistory(older, Now));
  CHECK(Served(older) == std::vector<StreamOrigin>{ V1 });
  CHECK_FALSE(wg::IsWritten(older, "llm", "v1"));
  kept.clear_endpoints();
  VersionHistory old;
  wg::RecallVersions(old, &kept, false, Now);
  CHECK_FALSE(wg::IsWholeHistory(old, Now));
}

TEST_CASE("A history is not whole while a version was told and not written")
{
  VersionHistory history;
  wg::NoteServing(history, "llm", "v1", Now);
  CHECK_FALSE(wg::IsWritten(history, "llm", "v1"));
  CHECK(wg::IsWholeHistory(history, Now));
  wg::NoteToldUnwritten(history);
  CHECK_FALSE(wg::IsWholeHistory(history, Now));
  history.written = history.revision;
  CHECK(wg::IsWholeHistory(history, Now));
  CHECK(wg::IsWritten(history, "llm", "v1"));
  wg::NoteServing(history, "llm", "v2", Now);
  CHECK_FALSE(wg::IsWritten(history, "llm", "v2"));
  CHECK(wg::IsWritten(history, "llm", "v1"));
}

TEST_CASE("Versions that heartbeats make up are bounded")
{
  VersionHistory history;
  for (std::size_t i = 0; i < wg::MaxVersions; ++i) {
    REQUIRE(wg::NoteServing(history, "llm", absl::StrCat(i), Now));
  }
  CHECK_FALSE(wg::NoteServing(history, "llm", "one more", Now));
  CHECK(wg::NoteServing(history, "llm", "0", Now));
}
