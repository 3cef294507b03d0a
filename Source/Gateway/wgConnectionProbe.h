// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>

#include "wgHttpMessage.h"

namespace wg {

/** \brief What came of a connection that was tried. */
enum class ProbeResult
{
  Connected,
  Refused, // a box answered, and nothing listens there
  NoAnswer
};

/** \brief Tries to connect to an address (IP:port), and closes again. `done`
 * is called once, on the loop; never where the address can't be read.
 */
void ProbeAddress(EventLoop& loop, const std::string& address,
                  std::function<void(ProbeResult)> done);

} // namespace wg
