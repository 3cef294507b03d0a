// SPDX-License-Identifier: Apache-2.0
#include "wgJournalFile.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <fcntl.h>

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {

JournalFile::JournalFile(FileOperations& files, std::string folder,
                         std::string name, RecordType type,
                         std::function<void()> onProgress)
  : files_(files)
  , folder_(std::move(folder))
  , name_(std::move(name))
  , type_(type)
  , onProgress_(std::move(onProgress))
  , thread_([this] { Run(); })
{
}

JournalFile::~JournalFile()
{
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

std::vector<std::string> JournalFile::Read() const
{
  const Outcome<std::string> bytes =
    ReadWholeFile(absl::StrCat(folder_, "/", name_));
  std::vector<std::string> payloads;
  if (!Succeeded(bytes)) {
    return payloads; // a fresh folder, or a new disk
  }
  // A loss of power may take one of several writes that were not synced.
  RecordsRead read = ScanRecords(Value(bytes));
  for (auto* records : { &read.records, &read.afterGap }) {
    for (Record& record : *records) {
      if (record.type == type_) {
        payloads.push_back(std::move(record.payload));
      }
    }
  }
  return payloads;
}

void JournalFile::Append(absl::string_view payload, std::uint64_t revision)
{
  absl::MutexLock lock(&mutex_);
  if (progress_.needsRewrite) {
    return;
  }
  if (!next_) {
    next_ = Work{};
  }
  AppendRecord(type_, payload, next_->append);
  next_->revision = revision;
}

void JournalFile::Rewrite(absl::string_view payload, std::uint64_t revision)
{
  Work work;
  std::string bytes;
  AppendRecord(type_, payload, bytes);
  work.rewrite = std::move(bytes);
  work.revision = revision;
  absl::MutexLock lock(&mutex_);
  next_ = std::move(work);
  progress_.needsRewrite = false;
}

JournalProgress JournalFile::Progress() const
{
  absl::MutexLock lock(&mutex_);
  return progress_;
}

void JournalFile::Run()
{
  bool failed = false;
  while (true) {
    Work work;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(this, &JournalFile::HasWork));
      if (!next_) {
        return;
      }
      work = *std::exchange(next_, std::nullopt);
    }
    const Outcome<Done> written = Write(work);
    {
      absl::MutexLock lock(&mutex_);
      const bool isRewritten = next_ && next_->rewrite;
      if (Succeeded(written)) {
        progress_.synced = work.revision;
      } else if (!isRewritten) {
        next_.reset(); // it would follow what was torn
        progress_.needsRewrite = true;
      }
    }
    if (Succeeded(written) == failed) {
      failed = !Succeeded(written);
      LogChange(name_, failed
                         ? absl::StrCat("can't be kept: ", Message(written))
                         : "are kept again");
    }
    onProgress_();
  }
}

Outcome<Done> JournalFile::Open()
{
  file_ = FileDescriptor(::open(absl::StrCat(folder_, "/", name_).c_str(),
                                O_WRONLY | O_APPEND | O_CLOEXEC));
  return file_.IsOpen() ? Outcome<Done>(Done{})
                        : Error{ absl::StrCat("Cannot open ", name_, ": ",
                                              std::strerror(errno)) };
}

Outcome<Done> JournalFile::Write(const Work& work)
{
  if (work.rewrite) {
    auto replaced = ReplaceFile(files_, folder_, name_, *work.rewrite);
    if (!Succeeded(replaced)) {
      return replaced;
    }
    if (auto opened = Open(); !Succeeded(opened)) {
      return opened;
    }
    absl::MutexLock lock(&mutex_);
    progress_.appendedBytes = 0;
  }
  absl::string_view left = work.append;
  while (!left.empty()) {
    const long wrote = files_.Write(file_.Get(), left);
    if (wrote <= 0) {
      return Error{ absl::StrCat("Cannot write ", name_, ": ",
                                 std::strerror(errno)) };
    }
    left.remove_prefix(static_cast<std::size_t>(wrote));
  }
  {
    absl::MutexLock lock(&mutex_);
    progress_.written = work.revision;
    progress_.appendedBytes += work.append.size();
  }
  onProgress_();
  if (!work.append.empty() && !files_.Sync(file_.Get())) {
    return Error{ absl::StrCat("Cannot sync ", name_, ": ",
                               std::strerror(errno)) };
  }
  return Done{};
}

} // namespace wg
