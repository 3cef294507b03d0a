// SPDX-License-Identifier: Apache-2.0
#include "wgKeptFile.h"

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {

KeptFile::KeptFile(FileOperations& files, std::string folder, std::string name,
                   RecordType type)
  : files_(files)
  , folder_(std::move(folder))
  , name_(std::move(name))
  , type_(type)
  , thread_([this] { Run(); })
{
}

KeptFile::~KeptFile()
{
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

Outcome<std::optional<std::string>> KeptFile::Read() const
{
  const Outcome<std::string> bytes =
    ReadWholeFile(absl::StrCat(folder_, "/", name_));
  if (!Succeeded(bytes)) {
    return std::optional<std::string>(); // a fresh folder, or a new disk
  }
  const auto read = ReadRecords(Value(bytes));
  const bool isWhole = Succeeded(read) && Value(read).records.size() == 1 &&
                       Value(read).records[0].type == type_;
  if (!isWhole) {
    return Error{ absl::StrCat("The file ", name_, " is damaged.") };
  }
  return std::optional<std::string>(Value(read).records[0].payload);
}

void KeptFile::Keep(std::string payload, std::uint64_t revision)
{
  absl::MutexLock lock(&mutex_);
  next_ = Content{ std::move(payload), revision };
}

std::uint64_t KeptFile::WrittenRevision() const
{
  absl::MutexLock lock(&mutex_);
  return written_;
}

void KeptFile::Run()
{
  bool failed = false;
  while (true) {
    Content content;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(this, &KeptFile::HasWork));
      if (stopping_) {
        return;
      }
      content = *std::exchange(next_, std::nullopt);
    }
    std::string bytes;
    AppendRecord(type_, content.first, bytes);
    const auto written = ReplaceFile(files_, folder_, name_, bytes);
    if (Succeeded(written)) {
      absl::MutexLock lock(&mutex_);
      written_ = content.second;
    }
    if (Succeeded(written) == failed) {
      failed = !Succeeded(written);
      LogChange(name_, failed
                         ? absl::StrCat("can't be kept: ", Message(written))
                         : "are kept again");
    }
  }
}

} // namespace wg
