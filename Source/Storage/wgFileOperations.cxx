// SPDX-License-Identifier: Apache-2.0
#include "wgFileOperations.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

#include "wgSocket.h"

namespace wg {
namespace {

constexpr int FileMode = 0600;

class SystemOperations : public FileOperations
{
public:
  long Write(int fd, absl::string_view bytes) override
  {
    return ::write(fd, bytes.data(), bytes.size());
  }
  bool Sync(int fd) override { return ::fdatasync(fd) == 0; }
};

Error FileError(absl::string_view action, const std::string& path)
{
  return Error{ absl::StrCat("Cannot ", action, " ", path, ": ",
                             std::strerror(errno),
                             "; check the data folder's disk.") };
}

} // namespace

FileOperations& SystemFileOperations()
{
  static SystemOperations operations;
  return operations;
}

Outcome<std::string> ReadWholeFile(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return FileError("read", path);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Outcome<Done> ReplaceFile(FileOperations& files, const std::string& folder,
                          const std::string& name, absl::string_view bytes)
{
  const std::string path = absl::StrCat(folder, "/", name);
  const std::string temporary = path + ".new";
  FileDescriptor file(::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
  std::size_t done = 0;
  while (file.IsOpen() && done < bytes.size()) {
    const long wrote = files.Write(file.Get(), bytes.substr(done));
    if (wrote <= 0) {
      return FileError("write", temporary);
    }
    done += static_cast<std::size_t>(wrote);
  }
  if (!file.IsOpen() || !files.Sync(file.Get())) {
    return FileError("write", temporary);
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    return FileError("replace the file", path);
  }
  FileDescriptor directory(
    ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!directory.IsOpen() || ::fsync(directory.Get()) != 0) {
    return FileError("sync the folder that holds", path);
  }
  return Done{};
}

} // namespace wg
