// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include "wgFileOperations.h"
#include "wgOutcome.h"
#include "wgRecord.h"

namespace wg {

/** \class KeptFile
 * \brief A file of one record that is replaced as a whole.
 *
 * A thread of its own writes and syncs it, so that a disk that stalls holds
 * nothing else up.
 */
class KeptFile
{
public:
  KeptFile(FileOperations& files, std::string folder, std::string name,
           RecordType type);
  ~KeptFile();

  /** \brief Returns the record of the file, nothing where there is no file, or
   * an error if the file is damaged.
   */
  Outcome<std::optional<std::string>> Read() const;

  /** \brief Writes soon; returns at once. What was handed over before and is
   * not yet written is left out.
   * \param revision of the content, for WrittenRevision
   */
  void Keep(std::string payload, std::uint64_t revision);

  /** \brief The revision that was written and synced last; 0: none. From any
   * thread.
   */
  std::uint64_t WrittenRevision() const;

private:
  using Content = std::pair<std::string, std::uint64_t>;

  void Run();
  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
  {
    return stopping_ || next_.has_value();
  }

  FileOperations& files_;
  const std::string folder_;
  const std::string name_;
  const RecordType type_;
  mutable absl::Mutex mutex_;
  std::optional<Content> next_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t written_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

} // namespace wg
