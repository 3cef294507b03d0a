// SPDX-License-Identifier: Apache-2.0
#include "wgReplicaStore.h"

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <optional>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "wgRecord.h"
#include "wgSyncedMark.h"

namespace wg {
namespace {

constexpr int FormatVersion = 1;
constexpr int FileMode = 0600;
constexpr const char* LogName = "log";
constexpr const char* SnapshotName = "snapshot";
constexpr const char* IdentityName = "identity";
constexpr const char* SyncedName = "synced";
constexpr const char* LockName = "lock";

std::string Path(const std::string& folder, const char* name)
{
  return absl::StrCat(folder, "/", name);
}

/** Returns the log header: version, generation, base index, base term. */
std::string HeaderPayload(std::uint64_t generation, const ReplicaLog& log)
{
  return absl::StrCat(FormatVersion, " ", generation, " ", log.BaseIndex(),
                      " ", log.BaseTerm());
}

struct LogHeader
{
  int version = 0;
  std::uint64_t generation = 0;
  std::uint64_t baseIndex = 0;
  std::uint64_t baseTerm = 0;
};

bool ParseHeader(const std::string& payload, LogHeader& header)
{
  const std::vector<std::string> words = absl::StrSplit(payload, ' ');
  return words.size() == 4 && absl::SimpleAtoi(words[0], &header.version) &&
         header.version == FormatVersion &&
         absl::SimpleAtoi(words[1], &header.generation) &&
         absl::SimpleAtoi(words[2], &header.baseIndex) &&
         absl::SimpleAtoi(words[3], &header.baseTerm);
}

/** Applies a log record to the replica. Returns false if it is invalid. */
bool ApplyRecord(const Record& record, Replica& replica)
{
  if (record.type == RecordType::HardState) {
    return replica.hard.ParseFromString(record.payload);
  }
  if (record.type == RecordType::Truncate) {
    std::uint64_t from = 0;
    const bool valid = absl::SimpleAtoi(record.payload, &from);
    replica.log.TruncateFrom(from);
    return valid;
  }
  wire::LogEntry entry;
  const bool valid = record.type == RecordType::Entry &&
                     entry.ParseFromString(record.payload) &&
                     entry.index() == replica.log.LastIndex() + 1;
  if (valid) {
    replica.log.Append(std::move(entry));
  }
  return valid;
}

/** Every write to the log ends with a hard state: after a loss of power a
 * write that was not synced is told by it from a synced one that is damaged.
 * \param logBytes  length of the log before this write
 */
void AppendHardState(const wire::HardState& hard, std::size_t logBytes,
                     std::string& bytes)
{
  wire::HardState state = hard;
  state.set_log_bytes(logBytes);
  AppendRecord(RecordType::HardState, state.SerializeAsString(), bytes);
}

std::optional<std::size_t> SyncedBefore(const Record& record)
{
  wire::HardState state;
  const bool tells = record.type == RecordType::HardState &&
                     state.ParseFromString(record.payload) &&
                     state.has_log_bytes();
  return tells ? std::optional<std::size_t>(state.log_bytes()) : std::nullopt;
}

/** Whether the writes to a log tell what had been synced before them; those of
 * older builds do not.
 */
bool TellsSyncedBytes(const std::vector<Record>& records)
{
  return std::any_of(records.begin(), records.end(), [](const Record& record) {
    return SyncedBefore(record).has_value();
  });
}

/** Valid records behind a gap are of the write that was interrupted, unless
 * one of them tells that the gap had been synced.
 */
bool IsGapDamage(const RecordsRead& read)
{
  if (read.afterGap.empty()) {
    return false;
  }
  const bool isSynced = std::any_of(
    read.afterGap.begin(), read.afterGap.end(), [&read](const Record& record) {
      return SyncedBefore(record).value_or(0) > read.validBytes;
    });
  return isSynced ||
         (!TellsSyncedBytes(read.records) && !TellsSyncedBytes(read.afterGap));
}

std::string SerializeRecords(const ReplicaActions& actions,
                             const wire::HardState& hard, std::size_t logBytes)
{
  std::string bytes;
  if (actions.truncateFrom) {
    AppendRecord(RecordType::Truncate, absl::StrCat(*actions.truncateFrom),
                 bytes);
  }
  for (const wire::LogEntry& entry : actions.append) {
    AppendRecord(RecordType::Entry, entry.SerializeAsString(), bytes);
  }
  AppendHardState(hard, logBytes, bytes);
  return bytes;
}

} // namespace

ReplicaStore::ReplicaStore(FileOperations& files, std::string folder)
  : files_(files)
  , folder_(std::move(folder))
{
}

Outcome<std::unique_ptr<ReplicaStore>> ReplicaStore::Open(
  FileOperations& files, const std::string& folder, std::uint64_t newIdentity,
  Replica& replica)
{
  std::unique_ptr<ReplicaStore> store(new ReplicaStore(files, folder));
  if (auto locked = store->Lock(); !Succeeded(locked)) {
    return Error{ Message(locked) };
  }
  const bool fresh = !std::filesystem::exists(Path(folder, IdentityName)) &&
                     !std::filesystem::exists(Path(folder, LogName)) &&
                     !std::filesystem::exists(Path(folder, SnapshotName));
  Outcome<Done> loaded = Done{};
  if (!fresh) {
    Replica loadedReplica = replica;
    loaded = store->Load(loadedReplica);
    if (Succeeded(loaded)) {
      replica = std::move(loadedReplica);
      return store;
    }
    if (store->filesFailed_) {
      return Error{ Message(loaded) };
    }
    store->damage_ = Message(loaded);
    store->RenameDamagedFiles();
  }
  store->state_ = fresh ? FolderState::Fresh : FolderState::Damaged;
  if (auto initialized = store->Initialize(newIdentity, replica);
      !Succeeded(initialized)) {
    return Error{ Message(initialized) };
  }
  return store;
}

Outcome<Done> ReplicaStore::Lock()
{
  std::error_code ignored;
  std::filesystem::create_directories(folder_, ignored);
  lock_ = FileDescriptor(::open(Path(folder_, LockName).c_str(),
                                O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!lock_.IsOpen()) {
    return Error{ absl::StrCat("Cannot write in the data folder ", folder_,
                               "; check its path and permissions.") };
  }
  if (::flock(lock_.Get(), LOCK_EX | LOCK_NB) != 0) {
    return Error{ absl::StrCat("Another process uses the data folder ",
                               folder_, "; stop it first.") };
  }
  return Done{};
}

Outcome<Done> ReplicaStore::Load(Replica& replica)
{
  if (auto identity = LoadIdentity(replica); !Succeeded(identity)) {
    return identity;
  }
  if (auto snapshot = LoadSnapshot(replica); !Succeeded(snapshot)) {
    return snapshot;
  }
  return LoadLog(replica);
}

Outcome<std::string> ReplicaStore::LoadFile(const char* name)
{
  Outcome<std::string> bytes = ReadWholeFile(Path(folder_, name));
  if (!Succeeded(bytes) && std::filesystem::exists(Path(folder_, name))) {
    filesFailed_ = true;
  }
  return bytes;
}

Outcome<Done> ReplicaStore::LoadIdentity(Replica& replica)
{
  Outcome<std::string> bytes = LoadFile(IdentityName);
  if (!Succeeded(bytes)) {
    return Error{ Message(bytes) };
  }
  auto read = ReadRecords(Value(bytes));
  const bool valid = Succeeded(read) && Value(read).records.size() == 1 &&
                     Value(read).validBytes == Value(bytes).size();
  wire::JoinRequest identity;
  if (!valid || !identity.ParseFromString(Value(read).records[0].payload)) {
    return Error{ "The identity file is damaged." };
  }
  replica.self.set_id(identity.who().id());
  replica.cluster = identity.cluster();
  return Done{};
}

Outcome<Done> ReplicaStore::LoadSnapshot(Replica& replica)
{
  if (!std::filesystem::exists(Path(folder_, SnapshotName))) {
    return Done{};
  }
  Outcome<std::string> bytes = LoadFile(SnapshotName);
  if (!Succeeded(bytes)) {
    return Error{ Message(bytes) };
  }
  auto read = ReadRecords(Value(bytes));
  const bool valid = Succeeded(read) && Value(read).records.size() == 1 &&
                     Value(read).validBytes == Value(bytes).size();
  if (!valid ||
      !replica.snapshot.ParseFromString(Value(read).records[0].payload)) {
    return Error{ "The snapshot file is damaged." };
  }
  return Done{};
}

Outcome<Done> ReplicaStore::LoadLog(Replica& replica)
{
  Outcome<std::string> bytes = LoadFile(LogName);
  if (!Succeeded(bytes)) {
    return Error{ Message(bytes) };
  }
  const RecordsRead read = ScanRecords(Value(bytes));
  if (IsGapDamage(read)) {
    return Error{ absl::StrCat("The record at byte ", read.validBytes,
                               " of the log is damaged, but was synced.") };
  }
  const std::vector<Record>& records = read.records;
  LogHeader header;
  if (records.empty() || records[0].type != RecordType::Header ||
      !ParseHeader(records[0].payload, header)) {
    return Error{ "The log has no valid header of a supported version." };
  }
  generation_ = header.generation;
  replica.log.Reset(header.baseIndex, header.baseTerm);
  for (std::size_t i = 1; i < records.size(); ++i) {
    if (!ApplyRecord(records[i], replica)) {
      return Error{ absl::StrCat("Record ", i, " of the log is invalid.") };
    }
  }
  if (auto marked = CheckSyncedMark(read.validBytes); !Succeeded(marked)) {
    return marked;
  }
  const std::uint64_t snapshotIndex = replica.snapshot.index();
  if (header.baseIndex > snapshotIndex) {
    return Error{ "The snapshot is missing or older than the log's start." };
  }
  if (replica.log.TermAt(snapshotIndex) != replica.snapshot.term()) {
    // The process ended after it had written a snapshot from the leader and
    // before it rewrote the log, which doesn't match that snapshot.
    replica.log.Reset(snapshotIndex, replica.snapshot.term());
    return NoteFileFailure(RewriteLog(replica));
  }
  return NoteFileFailure(OpenLog(read.validBytes));
}

/** An error here is one of the disk: what was read is valid. */
Outcome<Done> ReplicaStore::NoteFileFailure(Outcome<Done> written)
{
  filesFailed_ = !Succeeded(written);
  return written;
}

Outcome<Done> ReplicaStore::CheckSyncedMark(std::size_t validBytes)
{
  Outcome<std::string> marks = ReadWholeFile(Path(folder_, SyncedName));
  const std::uint64_t synced =
    Succeeded(marks) ? ReadSyncedBytes(Value(marks), generation_).value_or(0)
                     : 0; // marks aren't synced, so a crash may lose them
  if (validBytes < synced) {
    return Error{ absl::StrCat("The log has ", validBytes,
                               " valid bytes, but ", synced,
                               " bytes were synced.") };
  }
  return Done{};
}

Outcome<Done> ReplicaStore::Initialize(std::uint64_t identity,
                                       Replica& replica)
{
  replica.self.set_id(identity);
  replica.cluster.clear();
  if (auto named = SaveIdentity(replica); !Succeeded(named)) {
    return named;
  }
  return RewriteLog(replica);
}

void ReplicaStore::RenameDamagedFiles()
{
  std::error_code ignored;
  for (const char* name :
       { LogName, SnapshotName, IdentityName, SyncedName }) {
    const std::string path = Path(folder_, name);
    std::filesystem::rename(path, path + ".damaged", ignored);
  }
}

Outcome<Done> ReplicaStore::SaveIdentity(const Replica& replica)
{
  wire::JoinRequest identity;
  *identity.mutable_who() = replica.self;
  identity.set_cluster(replica.cluster);
  std::string bytes;
  AppendRecord(RecordType::Identity, identity.SerializeAsString(), bytes);
  return ReplaceFile(files_, folder_, IdentityName, bytes);
}

Outcome<Done> ReplicaStore::Write(const Replica& replica,
                                  const ReplicaActions& actions)
{
  if (broken_) {
    return Error{ "The log may be inconsistent after a failed write or sync; "
                  "check its disk and restart the process." };
  }
  if (actions.install) {
    return SaveSnapshot(replica);
  }
  const std::string bytes = SerializeRecords(actions, replica.hard, logBytes_);
  std::size_t done = 0;
  while (done < bytes.size()) {
    const long wrote =
      files_.Write(log_.Get(), absl::string_view(bytes).substr(done));
    if (wrote <= 0) {
      // Remove the partial record: later records must not follow it, or the
      // log would be read as damaged.
      const auto length = static_cast<off_t>(logBytes_);
      broken_ = ::ftruncate(log_.Get(), length) != 0;
      return Error{ absl::StrCat("Cannot write the log in ", folder_, ": ",
                                 std::strerror(errno),
                                 "; check the free space of its disk.") };
    }
    done += static_cast<std::size_t>(wrote);
  }
  if (!files_.Sync(log_.Get())) {
    broken_ = true; // an unknown part of the records may be stored
    return Error{ absl::StrCat("Cannot sync the log in ", folder_,
                               "; check its disk and restart the process.") };
  }
  logBytes_ += bytes.size();
  WriteSyncedMark();
  return Done{};
}

Outcome<Done> ReplicaStore::SaveSnapshot(const Replica& replica)
{
  std::string bytes;
  AppendRecord(RecordType::Snapshot, replica.snapshot.SerializeAsString(),
               bytes);
  if (auto saved = ReplaceFile(files_, folder_, SnapshotName, bytes);
      !Succeeded(saved)) {
    return saved;
  }
  return RewriteLog(replica);
}

Outcome<Done> ReplicaStore::RewriteLog(const Replica& replica)
{
  std::string bytes;
  AppendRecord(RecordType::Header, HeaderPayload(generation_ + 1, replica.log),
               bytes);
  for (std::uint64_t i = replica.log.FirstIndex();
       i <= replica.log.LastIndex(); ++i) {
    AppendRecord(RecordType::Entry, replica.log.At(i).SerializeAsString(),
                 bytes);
  }
  // The file gets its name only once it is synced.
  AppendHardState(replica.hard, bytes.size(), bytes);
  if (auto written = ReplaceFile(files_, folder_, LogName, bytes);
      !Succeeded(written)) {
    return written;
  }
  ++generation_;
  return OpenLog(bytes.size());
}

Outcome<Done> ReplicaStore::OpenLog(std::size_t length)
{
  log_ = FileDescriptor(
    ::open(Path(folder_, LogName).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  syncedMark_ =
    FileDescriptor(::open(Path(folder_, SyncedName).c_str(),
                          O_WRONLY | O_CREAT | O_CLOEXEC, FileMode));
  const bool ready =
    log_.IsOpen() && syncedMark_.IsOpen() &&
    ::ftruncate(log_.Get(), static_cast<off_t>(length)) == 0 &&
    files_.Sync(log_.Get());
  if (!ready) {
    return Error{ absl::StrCat("Cannot open the log in ", folder_,
                               "; check its disk.") };
  }
  logBytes_ = length;
  WriteSyncedMark();
  return Done{};
}

void ReplicaStore::WriteSyncedMark()
{
  const std::string mark = PrintSyncedMark({ generation_, logBytes_ });
  const std::size_t place = marksWritten_++ % SyncedMarkPlaces;
  // An older mark is still a valid lower bound.
  [[maybe_unused]] const auto wrote =
    ::pwrite(syncedMark_.Get(), mark.data(), mark.size(),
             static_cast<off_t>(place * SyncedMarkBytes));
}

} // namespace wg
