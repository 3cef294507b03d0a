// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "wgControlNode.h"
#include "wgEntryNode.h"
#include "wgGatewayNode.h"
#include "wgLog.h"
#include "wgOutcome.h"

namespace wg {

/** \brief What the daemon was told by its flags and its environment. */
struct DaemonSettings
{
  std::variant<EntrySettings, GatewaySettings, ControlSettings> role;
  std::string api; // control: where the platform's calls come in
  std::vector<std::string> halls; // control: that orders may name
  std::string metrics;      // control: where metrics are served; empty: none
  std::string settingsFile; // empty: none
  LogFormat logFormat = LogFormat::Text;
  bool checkOnly = false;
};

/** \brief Reads and checks the settings. Each flag --some-name may also be
 * given as the environment variable WEIRGATE_SOME_NAME, or as a line
 * some-name=value of the file that WEIRGATE_SETTINGS names; the flag wins,
 * then the variable. Exits by itself for --help and --version.
 */
Outcome<DaemonSettings> ReadDaemonSettings(int argc, char** argv);

} // namespace wg
