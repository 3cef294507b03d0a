// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <stdexcept>

#include "absl/strings/string_view.h"

#include "wgHttpMessage.h"

namespace wg {

/** \brief What a handler threw at the bytes of a connection, which has been
 * closed.
 */
class ConnectionError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** \brief Runs a loop until it is stopped or has nothing left to do. It goes
 * on after a ConnectionError, of which `onThrown` was told: a fault that one
 * connection's bytes show must not end the work for all others. What anything
 * else throws, as a timer whose chain would end, is passed on.
 */
void RunLoop(EventLoop& loop,
             const std::function<void(absl::string_view what)>& onThrown);

/** \brief Runs the loop of one call until it is stopped, or `time` is over. A
 * ConnectionError ends it too: the call has been told that it was cut.
 */
void RunCallLoop(EventLoop& loop, absl::Duration time);

} // namespace wg
