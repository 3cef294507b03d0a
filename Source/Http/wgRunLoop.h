// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>

#include "absl/strings/string_view.h"

#include "wgHttpMessage.h"

namespace wg {

/** \brief Runs a loop until it is stopped or has nothing left to do. A
 * handler that throws ends alone, after `onThrown` was told what it threw: a
 * fault that one connection's bytes show must not end the work for all others.
 */
void RunLoop(EventLoop& loop,
             const std::function<void(absl::string_view what)>& onThrown);

} // namespace wg
