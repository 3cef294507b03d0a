// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <ctime>
#include <map>
#include <string>
#include <vector>

#include "wgOutcome.h"

namespace wg {

/** \brief Settings by the names of their flags. */
using SettingsMap = std::map<std::string, std::string>;

/** \brief Reads lines of the form name=value; empty lines and those that
 * begin with # say nothing, and a setting without a value is not set.
 */
Outcome<SettingsMap> ParseSettings(const std::string& text);

/** \brief Reads a file of settings; an empty path names none. */
Outcome<SettingsMap> ReadSettingsFile(const std::string& path);

/** \brief The list of a setting, separated by commas. With a port, it stands
 * in place of the ports that the list names.
 */
std::vector<std::string> AddressList(const std::string& text,
                                     const std::string& port);

/** \class SettingsWatch
 * \brief Notices that a file of settings has changed.
 */
class SettingsWatch
{
public:
  explicit SettingsWatch(std::string path);
  /** \brief The addresses of control boxes that the file names now, if it has
   * changed since the last call; else none.
   */
  std::vector<std::string> ChangedControls(bool force);

private:
  std::string path_;
  std::string lastText_;
};

} // namespace wg
