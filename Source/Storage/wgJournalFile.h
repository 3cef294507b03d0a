// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

#include "wgFileOperations.h"
#include "wgRecord.h"
#include "wgSocket.h"

namespace wg {

/** \brief How far a journal has come. A revision is 0 before the first. */
struct JournalProgress
{
  std::uint64_t written = 0; // survives the end of the process
  std::uint64_t synced = 0;  // survives a loss of power
  /** Bytes appended since the last rewrite. */
  std::size_t appendedBytes = 0;
  /** The file may end in a torn record: at first, and after a write or a
   * sync that failed. Nothing is appended until Rewrite.
   */
  bool needsRewrite = false;
};

/** \class JournalFile
 * \brief A file to which records are appended, and which is rewritten from
 * time to time.
 *
 * A thread of its own writes and syncs it, so that a disk that stalls holds
 * nothing else up. What was handed over meanwhile shares the next sync. After
 * a torn write all other records can still be read.
 */
class JournalFile
{
public:
  /** \param onProgress called on the journal's thread after each write and
   * each sync, also if it failed
   */
  JournalFile(FileOperations& files, std::string folder, std::string name,
              RecordType type, std::function<void()> onProgress);
  ~JournalFile();

  /** \brief Returns the payloads of all valid records, the oldest first. */
  std::vector<std::string> Read() const;

  /** \brief Appends a record soon; returns at once.
   * \param revision of the content with this record, above all before
   */
  void Append(absl::string_view payload, std::uint64_t revision);

  /** \brief Replaces the file by one record soon; returns at once. What was
   * handed over before and is not written yet must be part of it.
   */
  void Rewrite(absl::string_view payload, std::uint64_t revision);

  /** \brief From any thread. */
  JournalProgress Progress() const;

private:
  /** \brief What the thread has to do next. */
  struct Work
  {
    std::optional<std::string> rewrite; // bytes of the new file
    std::string append;                 // bytes, after the rewrite
    std::uint64_t revision = 0;
  };

  void Run();
  Outcome<Done> Write(const Work& work);
  Outcome<Done> Open();
  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    return stopping_ || next_.has_value();
  }

  FileOperations& files_;
  const std::string folder_;
  const std::string name_;
  const RecordType type_;
  const std::function<void()> onProgress_;
  FileDescriptor file_; // of the thread
  mutable absl::Mutex mutex_;
  std::optional<Work> next_ ABSL_GUARDED_BY(mutex_);
  JournalProgress progress_ ABSL_GUARDED_BY(mutex_) = { 0, 0, 0, true };
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace wg
