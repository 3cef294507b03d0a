// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>

#include "wgControlNode.h"
#include "wgEntryNode.h"
#include "wgLog.h"
#include "wgOutcome.h"

namespace wg {

/** \brief What the daemon was told by its flags and its environment. */
struct DaemonSettings
{
  std::variant<EntrySettings, ControlSettings> role;
  LogFormat logFormat = LogFormat::Text;
  bool checkOnly = false;
};

/** \brief Reads and checks the settings. Each flag --some-name may also be
 * given as the environment variable WEIRGATE_SOME_NAME; the flag wins.
 * Exits by itself for --help and --version.
 */
Outcome<DaemonSettings> ReadDaemonSettings(int argc, char** argv);

} // namespace wg
