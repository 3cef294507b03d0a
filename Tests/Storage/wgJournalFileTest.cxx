// SPDX-License-Identifier: Apache-2.0
#include <atomic>
#include <cerrno>
#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/time/clock.h"

#include "wgJournalFile.h"
#include "wgTemporaryFolder.h"

namespace {

using wg::test::TemporaryFolder;

constexpr const char* Name = "journal";

/** \class Disk
 * \brief Refuses writes, tears them or fails syncs as long as it is told to.
 */
class Disk : public wg::FileOperations
{
public:
  std::atomic<bool> isFull{ false };
  std::atomic<bool> tears{ false };
  std::atomic<bool> failsSyncs{ false };

  long Write(int fd, absl::string_view bytes) override
  {
    if (isFull) {
      errno = ENOSPC;
      return -1;
    }
    if (tears && bytes.size() > 1) {
      tears = false;
      isFull = true;
      return wg::SystemFileOperations().Write(
        fd, bytes.substr(0, bytes.size() / 2));
    }
    return wg::SystemFileOperations().Write(fd, bytes);
  }
  bool Sync(int) override { return !failsSyncs; }
};

wg::JournalFile Open(Disk& disk, const TemporaryFolder& folder)
{
  return wg::JournalFile(disk, folder.path, Name, wg::RecordType::EndpointEnds,
                         [] {});
}

/** \return whether the condition became true within some seconds */
template <class Condition>
bool Becomes(Condition condition)
{
  for (int i = 0; i < 1000; ++i) {
    if (condition()) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(5));
  }
  return false;
}

bool IsSynced(const wg::JournalFile& journal, std::uint64_t revision)
{
  return Becomes([&] { return journal.Progress().synced >= revision; });
}

} // namespace

TEST_CASE("What a journal has written is read after a restart, in order")
{
  const TemporaryFolder folder;
  Disk disk;
  {
    wg::JournalFile journal = Open(disk, folder);
    CHECK(journal.Read().empty());
    CHECK(journal.Progress().needsRewrite);
    journal.Append("lost", 1); // the file may end in a torn record
    journal.Rewrite("a", 2);
    journal.Append("b", 3);
    journal.Append("c", 4);
    CHECK(IsSynced(journal, 4));
    CHECK(journal.Progress().appendedBytes > 0);
  }
  {
    wg::JournalFile again = Open(disk, folder);
    CHECK(again.Read() == std::vector<std::string>{ "a", "b", "c" });
    again.Rewrite("abc", 5);
    CHECK(IsSynced(again, 5));
    CHECK(again.Progress().appendedBytes == 0);
  }
  CHECK(Open(disk, folder).Read() == std::vector<std::string>{ "abc" });
}

// A torn write takes the records before or after it along.
TEST_CASE("A torn write costs its own record alone")
{
  const TemporaryFolder folder;
  Disk disk;
  {
    wg::JournalFile journal = Open(disk, folder);
    journal.Rewrite("a", 1);
    journal.Append("b", 2);
    REQUIRE(IsSynced(journal, 2));
    disk.tears = true;
    journal.Append("torn", 3);
    CHECK(Becomes([&] { return journal.Progress().needsRewrite; }));
    CHECK(journal.Progress().synced == 2);
  }
  disk.isFull = false;
  CHECK(Open(disk, folder).Read() == std::vector<std::string>{ "a", "b" });
  // As after a loss of power that has taken one of two writes.
  std::string bytes;
  wg::AppendRecord(wg::RecordType::EndpointEnds, "after", bytes);
  std::ofstream(folder.path + "/" + Name, std::ios::app | std::ios::binary)
    << bytes;
  CHECK(Open(disk, folder).Read() ==
        std::vector<std::string>{ "a", "b", "after" });
}

// What a disk has not taken counts as kept.
TEST_CASE("A journal that can't be written or synced says so")
{
  const TemporaryFolder folder;
  Disk disk;
  wg::JournalFile journal = Open(disk, folder);
  journal.Rewrite("a", 1);
  REQUIRE(IsSynced(journal, 1));
  for (std::atomic<bool>* fails : { &disk.isFull, &disk.failsSyncs }) {
    const std::uint64_t before = journal.Progress().synced;
    *fails = true;
    journal.Append("b", before + 1);
    CHECK(Becomes([&] { return journal.Progress().needsRewrite; }));
    journal.Append("c", before + 2);
    CHECK(journal.Progress().synced == before);
    journal.Rewrite("abc", before + 3);
    CHECK(Becomes([&] { return journal.Progress().needsRewrite; }));
    CHECK(journal.Progress().synced == before);
    *fails = false;
    journal.Rewrite("abc", before + 4);
    CHECK(IsSynced(journal, before + 4));
    CHECK_FALSE(journal.Progress().needsRewrite);
  }
}
