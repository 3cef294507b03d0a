// SPDX-License-Identifier: Apache-2.0
#include <cerrno>
#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "wgRecord.h"
#include "wgReplicaStore.h"
#include "wgTemporaryFolder.h"

namespace {

using trompeloeil::_;
using wg::test::TemporaryFolder;

class MockFiles : public wg::FileOperations
{
public:
  MAKE_MOCK2(Write, long(int, absl::string_view), override);
  MAKE_MOCK1(Sync, bool(int), override);
};

wg::ReplicaActions MakeActions(std::uint64_t from, std::uint64_t count)
{
  wg::ReplicaActions actions;
  for (std::uint64_t i = from; i < from + count; ++i) {
    wg::wire::LogEntry entry;
    entry.set_index(i);
    entry.set_term(1);
    entry.set_kind(wg::wire::LogEntry::CHANGE);
    entry.set_change("change " + std::to_string(i));
    actions.append.push_back(entry);
  }
  actions.saveHardState = true;
  return actions;
}

/** Opens a store, appends `count` entries and closes it. */
void WriteEntries(const std::string& folder, std::uint64_t count)
{
  wg::Replica replica;
  auto store =
    wg::ReplicaStore::Open(wg::SystemFileOperations(), folder, 11, replica);
  REQUIRE(wg::Succeeded(store));
  replica.hard.set_term(7);
  replica.hard.set_vote(3);
  const std::uint64_t from = replica.log.LastIndex() + 1;
  for (std::uint64_t i = from; i < from + count; ++i) {
    const wg::ReplicaActions actions = MakeActions(i, 1);
    replica.log.Append(actions.append[0]);
    REQUIRE(wg::Succeeded(wg::Value(store)->Write(replica, actions)));
  }
}

wg::Replica Reopen(const std::string& folder, wg::FolderState expected)
{
  wg::Replica replica;
  auto store =
    wg::ReplicaStore::Open(wg::SystemFileOperations(), folder, 99, replica);
  REQUIRE(wg::Succeeded(store));
  CHECK(wg::Value(store)->State() == expected);
  return replica;
}

void FlipByte(const std::string& path, std::size_t at)
{
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(at));
  const char old = static_cast<char>(file.get());
  file.seekp(static_cast<std::streamoff>(at));
  file.put(static_cast<char>(old ^ 0x55));
}

} // namespace

TEST_CASE("synced entries are loaded after a restart")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 20);
  const wg::Replica replica = Reopen(folder.path, wg::FolderState::Valid);
  CHECK(replica.self.id() == 11);
  CHECK(replica.log.LastIndex() == 20);
  CHECK(replica.hard.term() == 7);
  CHECK(replica.hard.vote() == 3);
  CHECK(replica.log.At(20).change() == "change 20");
}

TEST_CASE("a partial record at the log's end is removed, all others stay")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 5);
  std::ofstream(folder.path + "/log", std::ios::app | std::ios::binary)
    << "WgR1\x02half of a record";
  const wg::Replica replica = Reopen(folder.path, wg::FolderState::Valid);
  CHECK(replica.log.LastIndex() == 5);
  WriteEntries(folder.path, 1);
  CHECK(Reopen(folder.path, wg::FolderState::Valid).log.LastIndex() == 6);
}

TEST_CASE("a damaged record amid the log gives a new identity")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 20);
  const auto size = std::filesystem::file_size(folder.path + "/log");
  FlipByte(folder.path + "/log", size / 2);
  const wg::Replica replica = Reopen(folder.path, wg::FolderState::Damaged);
  CHECK(replica.self.id() == 99);
  CHECK(replica.cluster.empty());
  CHECK(replica.log.LastIndex() == 0);
  CHECK(replica.hard.vote() == 0);
}

TEST_CASE("a damaged record amid the log is detected without the synced mark")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 20);
  const auto size = std::filesystem::file_size(folder.path + "/log");
  FlipByte(folder.path + "/log", size / 2);
  std::filesystem::remove(folder.path + "/synced");
  CHECK(Reopen(folder.path, wg::FolderState::Damaged).self.id() == 99);
}

TEST_CASE("a log shorter than its synced length gives a new identity")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 20);
  const auto size = std::filesystem::file_size(folder.path + "/log");
  std::filesystem::resize_file(folder.path + "/log", size - 40);
  CHECK(Reopen(folder.path, wg::FolderState::Damaged).self.id() == 99);
}

TEST_CASE("a missing log or identity file gives a new identity")
{
  for (const char* name : { "log", "identity" }) {
    TemporaryFolder folder;
    WriteEntries(folder.path, 3);
    std::filesystem::remove(folder.path + "/" + name);
    CHECK(Reopen(folder.path, wg::FolderState::Damaged).self.id() == 99);
  }
}

TEST_CASE("a log that starts after a missing snapshot gives a new identity")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 30);
  {
    wg::Replica replica;
    auto store = wg::ReplicaStore::Open(wg::SystemFileOperations(),
                                        folder.path, 1, replica);
    replica.applied = 25;
    wg::Compact(replica, "state", 5);
    REQUIRE(wg::Succeeded(wg::Value(store)->SaveSnapshot(replica)));
  }
  const wg::Replica replica = Reopen(folder.path, wg::FolderState::Valid);
  CHECK(replica.snapshot.index() == 25);
  CHECK(replica.log.FirstIndex() == 21);
  CHECK(replica.log.LastIndex() == 30);
  std::filesystem::remove(folder.path + "/snapshot");
  CHECK(Reopen(folder.path, wg::FolderState::Damaged).self.id() == 99);
}

TEST_CASE("an emptied folder gives a new identity")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 3);
  std::filesystem::remove_all(folder.path);
  CHECK(Reopen(folder.path, wg::FolderState::Fresh).self.id() == 99);
}

TEST_CASE("a locked data folder can not be opened again")
{
  TemporaryFolder folder;
  wg::Replica first;
  auto store =
    wg::ReplicaStore::Open(wg::SystemFileOperations(), folder.path, 1, first);
  REQUIRE(wg::Succeeded(store));
  wg::Replica second;
  auto reopened =
    wg::ReplicaStore::Open(wg::SystemFileOperations(), folder.path, 2, second);
  REQUIRE_FALSE(wg::Succeeded(reopened));
  CHECK_THAT(wg::Message(reopened), Catch::Contains("Another process"));
}

TEST_CASE("a write that failed on a full disk can be repeated")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 4);
  MockFiles files;
  ALLOW_CALL(files, Sync(_)).RETURN(true);
  wg::Replica replica;
  auto store = wg::ReplicaStore::Open(files, folder.path, 1, replica);
  REQUIRE(wg::Succeeded(store));
  const wg::ReplicaActions actions = MakeActions(5, 1);
  replica.log.Append(actions.append[0]);
  {
    trompeloeil::sequence order;
    REQUIRE_CALL(files, Write(_, _))
      .IN_SEQUENCE(order)
      .RETURN(::write(_1, _2.data(), 10));
    REQUIRE_CALL(files, Write(_, _)).IN_SEQUENCE(order).RETURN(-1);
    CHECK_FALSE(wg::Succeeded(wg::Value(store)->Write(replica, actions)));
  }
  REQUIRE_CALL(files, Write(_, _)).RETURN(::write(_1, _2.data(), _2.size()));
  CHECK(wg::Succeeded(wg::Value(store)->Write(replica, actions)));
  wg::Value(store).reset();
  CHECK(Reopen(folder.path, wg::FolderState::Valid).log.LastIndex() == 5);
}

TEST_CASE("writes fail after a failed sync")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 1);
  MockFiles files;
  wg::Replica replica;
  std::unique_ptr<wg::ReplicaStore> store;
  {
    ALLOW_CALL(files, Sync(_)).RETURN(true);
    auto opened = wg::ReplicaStore::Open(files, folder.path, 1, replica);
    REQUIRE(wg::Succeeded(opened));
    store = std::move(wg::Value(opened));
  }
  const wg::ReplicaActions actions = MakeActions(2, 1);
  {
    REQUIRE_CALL(files, Write(_, _)).RETURN(static_cast<long>(_2.size()));
    REQUIRE_CALL(files, Sync(_)).RETURN(false);
    CHECK_FALSE(wg::Succeeded(store->Write(replica, actions)));
  }
  FORBID_CALL(files, Write(_, _));
  CHECK_FALSE(wg::Succeeded(store->Write(replica, actions)));
}

// Its files are whole: it must not lose its identity to a disk that does not
// take a sync for a while.
TEST_CASE("a folder that can not be synced as it is opened keeps its identity")
{
  TemporaryFolder folder;
  WriteEntries(folder.path, 5);
  {
    MockFiles files;
    ALLOW_CALL(files, Sync(_)).RETURN(false);
    ALLOW_CALL(files, Write(_, _)).RETURN(-1);
    wg::Replica replica;
    CHECK_FALSE(
      wg::Succeeded(wg::ReplicaStore::Open(files, folder.path, 99, replica)));
  }
  const wg::Replica replica = Reopen(folder.path, wg::FolderState::Valid);
  CHECK(replica.self.id() == 11);
  CHECK(replica.log.LastIndex() == 5);
}

TEST_CASE("a damaged byte or a truncation of records is detected")
{
  std::string bytes;
  for (int i = 0; i < 4; ++i) {
    wg::AppendRecord(wg::RecordType::Entry, "payload " + std::to_string(i),
                     bytes);
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x21);
    const auto read = wg::ReadRecords(damaged);
    const bool detected =
      !wg::Succeeded(read) || wg::Value(read).validBytes < bytes.size();
    CHECK(detected);
    const auto truncated =
      wg::ReadRecords(absl::string_view(bytes).substr(0, at));
    REQUIRE(wg::Succeeded(truncated));
    CHECK(wg::Value(truncated).validBytes <= at);
  }
}
