// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>

#include "wgHttpClient.h"

namespace wg {

/** \brief Tries to connect to an address (IP:port), and closes again. `done`
 * is called once, on the loop; never where the address can't be read.
 */
void ProbeAddress(EventLoop& loop, const std::string& address,
                  std::function<void(ConnectResult)> done);

} // namespace wg
