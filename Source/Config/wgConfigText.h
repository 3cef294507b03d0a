// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

#include "wgConfig.h"

namespace wg {

/** \brief Reads and checks a TOML configuration. Errors name the line and
 * column, the value and the rule. The revision is not part of the text.
 */
Outcome<Config> ReadConfig(absl::string_view text);

/** \brief Prints a configuration so that ReadConfig yields the same. */
std::string PrintConfig(const Config& config);

} // namespace wg
