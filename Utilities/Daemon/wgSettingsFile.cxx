// SPDX-License-Identifier: Apache-2.0
#include "wgSettingsFile.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wg {
namespace {

Outcome<std::string> ReadText(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return Error{ absl::StrCat("The settings file ", path,
                               " can't be read; correct its path.") };
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

Outcome<SettingsMap> ParseSettings(const std::string& text)
{
  SettingsMap settings;
  for (absl::string_view raw : absl::StrSplit(text, '\n')) {
    const absl::string_view line = absl::StripAsciiWhitespace(raw);
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const std::size_t equals = line.find('=');
    if (equals == absl::string_view::npos) {
      return Error{ absl::StrCat("The line \"", line,
                                 "\" of the settings file is no setting; "
                                 "write it as name=value.") };
    }
    const absl::string_view name =
      absl::StripAsciiWhitespace(line.substr(0, equals));
    const absl::string_view value =
      absl::StripAsciiWhitespace(line.substr(equals + 1));
    if (!value.empty()) {
      settings[std::string(name)] = std::string(value);
    }
  }
  return settings;
}

Outcome<SettingsMap> ReadSettingsFile(const std::string& path)
{
  if (path.empty()) {
    return SettingsMap{};
  }
  Outcome<std::string> text = ReadText(path);
  if (!Succeeded(text)) {
    return Error{ Message(text) };
  }
  return ParseSettings(Value(text));
}

std::vector<std::string> AddressList(const std::string& text,
                                     const std::string& port)
{
  std::vector<std::string> list = absl::StrSplit(text, ',', absl::SkipEmpty());
  for (std::string& address : list) {
    if (!port.empty()) {
      address = absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
    }
  }
  return list;
}

SettingsWatch::SettingsWatch(std::string path)
  : path_(std::move(path))
{
  if (auto text = ReadText(path_); Succeeded(text)) {
    lastText_ = std::move(Value(text));
  }
}

std::vector<std::string> SettingsWatch::ChangedControls(bool force)
{
  if (path_.empty()) {
    return {};
  }
  Outcome<std::string> text = ReadText(path_);
  const bool changed = Succeeded(text) && (force || Value(text) != lastText_);
  if (!changed) {
    return {};
  }
  lastText_ = std::move(Value(text));
  Outcome<SettingsMap> settings = ParseSettings(lastText_);
  if (!Succeeded(settings)) {
    return {};
  }
  return AddressList(Value(settings)["controls"],
                     Value(settings)["controls-port"]);
}

} // namespace wg
