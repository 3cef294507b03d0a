// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace wg::test {

/** Creates a data folder and removes it at the end of the test. */
struct TemporaryFolder
{
  std::string path;
  TemporaryFolder()
  {
    std::string pattern =
      std::filesystem::temp_directory_path() / "wg-storage-XXXXXX";
    path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

} // namespace wg::test
