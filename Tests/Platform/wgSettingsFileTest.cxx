// SPDX-License-Identifier: Apache-2.0
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>

#include "wgSettingsFile.h"

namespace {

/** A file that lives as long as the test. */
class TestFile
{
public:
  TestFile()
    : path_(
        (std::filesystem::temp_directory_path() / "wg-settings-test").string())
  {
  }
  ~TestFile() { std::remove(path_.c_str()); }
  void Write(const std::string& text) const { std::ofstream(path_) << text; }
  const std::string& Path() const { return path_; }

private:
  std::string path_;
};

} // namespace

TEST_CASE("Lines of a settings file are settings by name")
{
  const auto read = wg::ParseSettings("# says nothing\n\n box = b1 \n"
                                      "controls=a:1,b:2\ndata=\n");
  REQUIRE(wg::Succeeded(read));
  CHECK(wg::Value(read).at("box") == "b1");
  CHECK(wg::Value(read).at("controls") == "a:1,b:2");
  CHECK(wg::Value(read).count("data") == 0);
  CHECK_FALSE(wg::Succeeded(wg::ParseSettings("box b1")));
  CHECK_FALSE(wg::Succeeded(wg::ReadSettingsFile("/no/such/file")));
  CHECK(wg::Value(wg::ReadSettingsFile("")).empty());
}

TEST_CASE("A port may stand in place of those of a list")
{
  CHECK(wg::AddressList("10.1.0.4:86,10.1.0.5:86", "77") ==
        std::vector<std::string>{ "10.1.0.4:77", "10.1.0.5:77" });
  CHECK(wg::AddressList("10.1.0.4:86", "") ==
        std::vector<std::string>{ "10.1.0.4:86" });
  CHECK(wg::AddressList("", "77").empty());
}

TEST_CASE("A changed file is noticed, without a signal too")
{
  const TestFile file;
  file.Write("controls=10.1.0.4:86\ncontrols-port=77\n");
  wg::SettingsWatch watch(file.Path());
  CHECK(watch.ChangedControls(false).empty());
  file.Write("controls=10.1.0.9:86\ncontrols-port=77\n");
  CHECK(watch.ChangedControls(false) ==
        std::vector<std::string>{ "10.1.0.9:77" });
  CHECK(watch.ChangedControls(false).empty());
  CHECK(watch.ChangedControls(true).size() == 1);
  file.Write("cut off in the mid");
  CHECK(watch.ChangedControls(false).empty());
}
