// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/strings/string_view.h"

namespace wg {

enum class LogFormat
{
  Text,
  Json
};

/** \brief Sends log lines to standard error in the format asked for. */
void StartLog(LogFormat format);

/** \brief One line for one change of state, in the form "subject: event". */
void LogChange(absl::string_view subject, absl::string_view event);

} // namespace wg
