// SPDX-License-Identifier: Apache-2.0
// A replica's folder after a loss of power: what was synced is kept, each
// later write is there, torn or missing. It must not cost a replica its
// identity, which a quorum may be short of for good.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>
#include <string>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "wgRecord.h"
#include "wgReplicaStore.h"
#include "wgTemporaryFolder.h"

namespace {

using wg::test::TemporaryFolder;

constexpr std::uint64_t Identity = 11;
constexpr std::uint64_t NewIdentity = 99;
constexpr std::size_t SectorBytes = 512;

/** Thousands of folders are opened. */
class FilesWithoutSync : public wg::FileOperations
{
public:
  long Write(int fd, absl::string_view bytes) override
  {
    return ::write(fd, bytes.data(), bytes.size());
  }
  bool Sync(int) override { return true; }
};

FilesWithoutSync& Files()
{
  static FilesWithoutSync files;
  return files;
}

std::string LogOf(const TemporaryFolder& folder)
{
  return folder.path + "/log";
}

std::string MarkOf(const TemporaryFolder& folder)
{
  return folder.path + "/synced";
}

std::string ReadFile(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

void WriteFile(const std::string& path, const std::string& bytes)
{
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

/** One write of entries and of the hard state, which is synced. */
void WriteEntries(wg::ReplicaStore& store, wg::Replica& replica,
                  std::uint64_t count, std::size_t entryBytes)
{
  wg::ReplicaActions actions;
  for (std::uint64_t i = 0; i < count; ++i) {
    wg::wire::LogEntry entry;
    entry.set_index(replica.log.LastIndex() + 1);
    entry.set_term(1);
    entry.set_kind(wg::wire::LogEntry::CHANGE);
    entry.set_change(std::string(entryBytes, 'c'));
    replica.log.Append(entry);
    actions.append.push_back(entry);
  }
  replica.hard.set_term(1);
  actions.saveHardState = true;
  REQUIRE(wg::Succeeded(store.Write(replica, actions)));
}

std::unique_ptr<wg::ReplicaStore> Open(const std::string& folder,
                                       wg::Replica& replica)
{
  auto store = wg::ReplicaStore::Open(Files(), folder, Identity, replica);
  REQUIRE(wg::Succeeded(store));
  return std::move(wg::Value(store));
}

/** Opens a copy of the folder with these files in place of its own. */
void CheckKept(const TemporaryFolder& folder, const std::string& log,
               const std::string& mark, std::uint64_t syncedEntries)
{
  TemporaryFolder after;
  std::filesystem::copy(folder.path, after.path,
                        std::filesystem::copy_options::recursive |
                          std::filesystem::copy_options::overwrite_existing);
  WriteFile(LogOf(after), log);
  WriteFile(MarkOf(after), mark);
  wg::Replica replica;
  auto store =
    wg::ReplicaStore::Open(Files(), after.path, NewIdentity, replica);
  REQUIRE(wg::Succeeded(store));
  INFO(wg::Value(store)->Damage());
  CHECK(wg::Value(store)->State() == wg::FolderState::Valid);
  CHECK(replica.self.id() == Identity);
  CHECK(replica.log.LastIndex() >= syncedEntries);
}

} // namespace

TEST_CASE("a torn write of the synced mark costs no identity")
{
  TemporaryFolder folder;
  wg::Replica replica;
  const auto store = Open(folder.path, replica);
  std::uint64_t entries = 0;
  std::string before = ReadFile(MarkOf(folder));
  std::set<std::string> tried;
  // Numbers of several lengths, so that each digit is torn at some time.
  for (int i = 0; i < 40; ++i) {
    WriteEntries(*store, replica, 1, 7);
    ++entries;
    const std::string after = ReadFile(MarkOf(folder));
    const std::size_t length = std::max(before.size(), after.size());
    before.resize(length, '\0');
    for (std::size_t torn = 0; torn <= after.size(); ++torn) {
      CAPTURE(entries, torn);
      const std::string mark = after.substr(0, torn) + before.substr(torn);
      if (tried.insert(mark).second) {
        CheckKept(folder, ReadFile(LogOf(folder)), mark, entries);
      }
    }
    before = after;
  }
}

TEST_CASE("a torn write of the log costs no identity")
{
  TemporaryFolder folder;
  wg::Replica replica;
  const auto store = Open(folder.path, replica);
  WriteEntries(*store, replica, 3, 100);
  const std::string synced = ReadFile(LogOf(folder));
  const std::string mark = ReadFile(MarkOf(folder));
  // Power is lost before the next write is synced: any of its sectors may be
  // missing.
  WriteEntries(*store, replica, 4, 700);
  const std::string written = ReadFile(LogOf(folder));
  const std::size_t first = synced.size() / SectorBytes;
  const std::size_t last = (written.size() - 1) / SectorBytes;
  REQUIRE(last - first < 10);
  for (std::size_t kept = 0; kept < 1U << (last - first + 1); ++kept) {
    CAPTURE(kept);
    std::string log = written;
    for (std::size_t sector = first; sector <= last; ++sector) {
      if ((kept >> (sector - first) & 1U) != 0) {
        continue;
      }
      const std::size_t from = std::max(synced.size(), sector * SectorBytes);
      const std::size_t end =
        std::min(written.size(), (sector + 1) * SectorBytes);
      std::fill(log.begin() + static_cast<std::ptrdiff_t>(from),
                log.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    }
    CheckKept(folder, log, mark, 3);
    CheckKept(folder, log, "", 3);
  }
}

TEST_CASE("the log of an older build is read, and torn writes after it cost "
          "no identity")
{
  TemporaryFolder folder;
  wg::Replica replica;
  Open(folder.path, replica).reset();
  wg::wire::HardState hard;
  hard.set_term(3);
  std::string older;
  wg::AppendRecord(wg::RecordType::Header, "1 1 0 0", older);
  wg::wire::LogEntry entry;
  entry.set_index(1);
  entry.set_term(3);
  wg::AppendRecord(wg::RecordType::Entry, entry.SerializeAsString(), older);
  wg::AppendRecord(wg::RecordType::HardState, hard.SerializeAsString(), older);
  WriteFile(LogOf(folder), older);
  // Its mark has no checksum.
  WriteFile(MarkOf(folder), "                   1                  999\n");
  CheckKept(folder, older, ReadFile(MarkOf(folder)), 1);

  wg::Replica reopened;
  const auto store = Open(folder.path, reopened);
  CHECK(reopened.hard.term() == 3);
  WriteEntries(*store, reopened, 3, 700);
  const std::string written = ReadFile(LogOf(folder));
  std::string torn = written;
  torn[older.size()] = '\0';
  CheckKept(folder, torn, "", 1);
  WriteEntries(*store, reopened, 3, 700);
  torn = ReadFile(LogOf(folder));
  torn[written.size()] = '\0';
  CheckKept(folder, torn, "", 4);
}
