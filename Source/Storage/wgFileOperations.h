// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

/** \class FileOperations
 * \brief File operations that can fail on a full or faulty disk.
 *
 * Tests replace them to inject failures.
 */
class FileOperations
{
public:
  virtual ~FileOperations() = default;
  /** \brief Writes bytes to a file.
   * \return the number of bytes written, or -1 with errno set
   */
  virtual long Write(int fd, absl::string_view bytes) = 0;
  /** \brief Syncs the written data of a file to the disk.
   * \return false if the sync failed
   */
  virtual bool Sync(int fd) = 0;
};

/** \brief Returns the file operations of the operating system. */
FileOperations& SystemFileOperations();

/** \brief Returns the content of a file, or an error if it can't be opened.
 */
Outcome<std::string> ReadWholeFile(const std::string& path);

/** \brief Replaces a file atomically and durably.
 *
 * Writes and syncs `NAME.new`, renames it to `NAME` and syncs the folder. A
 * crash leaves either the old or the new file.
 * \return an error if a step failed; the new file may be in place already
 */
Outcome<Done> ReplaceFile(FileOperations& files, const std::string& folder,
                          const std::string& name, absl::string_view bytes);

} // namespace wg
