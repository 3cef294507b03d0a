// SPDX-License-Identifier: Apache-2.0
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>

#include <catch2/catch.hpp>

#include "absl/time/clock.h"

#include "wgEndpointFile.h"

namespace {

const absl::Time Now = absl::FromUnixSeconds(1700000000);

/** A folder of its own, gone with the test. */
struct Folder
{
  Folder()
  {
    std::string pattern =
      std::filesystem::temp_directory_path() / "wg-endpoints-XXXXXX";
    path = mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

wg::wire::RememberedEndpoints One(const std::string& name)
{
  wg::wire::RememberedEndpoints endpoints;
  endpoints.add_endpoints()->set_endpoint(name);
  return endpoints;
}

/** Until the file holds the name; whether it did within some seconds. */
bool Holds(const wg::EndpointFile& file, const std::string& name)
{
  for (int i = 0; i < 500; ++i) {
    const auto read = file.Read(Now);
    if (read && read->endpoints(0).endpoint() == name) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
  return false;
}

/** Syncs at once: other processes may keep the real disk busy for seconds. */
struct UnsyncedDisk : wg::FileOperations
{
  long Write(int fd, absl::string_view bytes) override
  {
    return wg::SystemFileOperations().Write(fd, bytes);
  }
  bool Sync(int) override { return true; }
};

} // namespace

TEST_CASE(
  "Endpoints are kept over a restart, the newest that were handed over")
{
  Folder folder;
  UnsyncedDisk disk;
  {
    wg::EndpointFile file(disk, folder.path);
    CHECK_FALSE(file.Read(Now));
    for (int i = 0; i < 100; ++i) {
      file.Keep(One("e" + std::to_string(i)), 0, Now);
    }
    CHECK(Holds(file, "e99"));
  }
  wg::EndpointFile again(disk, folder.path);
  const auto read = again.Read(Now + absl::Seconds(30));
  REQUIRE(read);
  CHECK(read->endpoints(0).endpoint() == "e99");
}

TEST_CASE("What was known long ago, or by another clock, is not taken")
{
  Folder folder;
  wg::EndpointFile file(wg::SystemFileOperations(), folder.path);
  file.Keep(One("e"), 0, Now);
  REQUIRE(Holds(file, "e"));
  for (const absl::Duration age : { absl::Minutes(2), -absl::Minutes(2) }) {
    const auto read = file.Read(Now + age);
    REQUIRE(read);
    CHECK(read->endpoints().empty());
  }
}

TEST_CASE("Which requests end endpoints is known after a long time, too")
{
  // Endpoints of long ago may have been replaced; a request that ends them
  // ends their successors.
  Folder folder;
  wg::EndpointFile file(wg::SystemFileOperations(), folder.path);
  wg::wire::RememberedEndpoints known = One("e");
  known.add_crashes()->set_request("a");
  file.Keep(known, 0, Now);
  REQUIRE(Holds(file, "e"));
  const auto read = file.Read(Now + absl::Hours(3));
  REQUIRE(read);
  REQUIRE(read->crashes_size() == 1);
  CHECK(read->crashes(0).request() == "a");
}

TEST_CASE("A damaged file is as none")
{
  Folder folder;
  wg::EndpointFile file(wg::SystemFileOperations(), folder.path);
  file.Keep(One("e"), 0, Now);
  REQUIRE(Holds(file, "e"));
  const std::string path = folder.path + "/endpoints";
  for (const std::string& bytes :
       { std::string(), std::string("nonsense"), std::string(200, '\0') }) {
    std::ofstream(path, std::ios::binary) << bytes;
    CHECK_FALSE(file.Read(Now));
  }
}

TEST_CASE("A disk that takes nothing holds nobody up")
{
  struct FullDisk : wg::FileOperations
  {
    long Write(int, absl::string_view) override { return -1; }
    bool Sync(int) override { return false; }
  };
  Folder folder;
  FullDisk disk;
  wg::EndpointFile file(disk, folder.path);
  for (int i = 0; i < 1000; ++i) {
    file.Keep(One("e"), 1, Now);
  }
  absl::SleepFor(absl::Milliseconds(50));
  CHECK_FALSE(file.Read(Now));
  CHECK(file.WrittenVersions() == 0);
}

TEST_CASE("A first change after a quiet time waits for the end of a period")
{
  // A disk that then took 0.5 s had it too late: an endpoint that was heard
  // of 1.5 s before all power was lost was not known after it.
  constexpr wg::Elapsed start = absl::Seconds(50);
  wg::KeepTurns turns;
  CHECK(TakeKeepTurn(turns, { 1, 0, 0 }, start));
  wg::Elapsed now = start;
  for (int i = 0; i < 1000; ++i) {
    now += absl::Milliseconds(15);
    REQUIRE_FALSE(TakeKeepTurn(turns, { 1, 0, 0 }, now));
  }
  SECTION("of endpoints")
  {
    CHECK(TakeKeepTurn(turns, { 2, 0, 0 }, now + absl::Milliseconds(15)));
  }
  SECTION("of what ends them")
  {
    CHECK(TakeKeepTurn(turns, { 1, 1, 0 }, now + absl::Milliseconds(15)));
  }
}

TEST_CASE("A version that boxes are to be told of waits for no period")
{
  wg::KeepTurns turns;
  const wg::Elapsed now = absl::Seconds(50);
  CHECK(TakeKeepTurn(turns, { 1, 0, 1 }, now));
  CHECK_FALSE(TakeKeepTurn(turns, { 2, 0, 1 }, now));
  CHECK(TakeKeepTurn(turns, { 2, 0, 2 }, now));
}

TEST_CASE("Endpoints of a calm time are of use after a restart")
{
  // The age of the file is the time since its process last ran.
  wg::KeepTurns turns;
  wg::Elapsed now = absl::Seconds(50);
  int written = 0;
  for (int i = 0; i < 120; ++i) {
    now += absl::Seconds(1);
    written += TakeKeepTurn(turns, { 1, 0, 1 }, now) ? 1 : 0;
  }
  CHECK(written == 6);
}

TEST_CASE("Versions that served are known after a long time, too")
{
  Folder folder;
  wg::EndpointFile file(wg::SystemFileOperations(), folder.path);
  wg::wire::RememberedEndpoints known = One("e");
  known.set_keeps_versions(true);
  known.add_versions()->set_version("v1");
  file.Keep(known, 3, Now);
  REQUIRE(Holds(file, "e"));
  const auto read = file.Read(Now + absl::Hours(3));
  REQUIRE(read);
  CHECK(read->endpoints().empty());
  REQUIRE(read->versions_size() == 1);
  CHECK(read->versions(0).version() == "v1");
  for (int i = 0; i < 500 && file.WrittenVersions() != 3; ++i) {
    absl::SleepFor(absl::Milliseconds(10));
  }
  CHECK(file.WrittenVersions() == 3);
}

TEST_CASE("Each change of a burst is written")
{
  constexpr int ticks = 400;
  constexpr absl::Duration tick = absl::Milliseconds(15);
  wg::KeepTurns turns;
  wg::Elapsed now = absl::Seconds(50);
  std::uint64_t revision = 0;
  int written = 0;
  for (int i = 0; i < ticks; ++i) {
    now += tick;
    written += TakeKeepTurn(turns, { ++revision, 0, 0 }, now) ? 1 : 0;
  }
  CHECK(written <= ticks * tick / wg::KeepEndpointsPeriod + 1);
  // The last one is, too.
  now += wg::KeepEndpointsPeriod;
  CHECK(TakeKeepTurn(turns, { revision, 0, 0 }, now));
  CHECK(turns.revisions.endpoints == revision);
}
