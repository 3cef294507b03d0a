// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

/** \class FileOperations
 * \brief The calls that can fail on a full or broken disk.
 */
class FileOperations
{
public:
  virtual ~FileOperations() = default;
  /** \brief Appends at the file's end; the bytes written, or -1. */
  virtual long Write(int fd, absl::string_view bytes) = 0;
  /** \brief Returns once all that was written lasts. */
  virtual bool Sync(int fd) = 0;
};

/** \brief The operating system's own calls. */
FileOperations& SystemFileOperations();

/** \brief The whole of a file; an error when it can't be read. */
Outcome<std::string> ReadWholeFile(const std::string& path);

/** \brief Puts a file in place so that it is either the old or the new one,
 * and lasts once this returns.
 */
Outcome<Done> ReplaceFile(FileOperations& files, const std::string& folder,
                          const std::string& name, absl::string_view bytes);

} // namespace wg
