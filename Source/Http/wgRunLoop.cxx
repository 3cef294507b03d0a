// SPDX-License-Identifier: Apache-2.0
#include "wgRunLoop.h"

namespace wg {

void RunLoop(EventLoop& loop,
             const std::function<void(absl::string_view what)>& onThrown)
{
  for (;;) {
    try {
      loop.run();
      return;
    } catch (const ConnectionError& error) {
      onThrown(error.what());
    }
  }
}

void RunCallLoop(EventLoop& loop, absl::Duration time)
{
  try {
    loop.run_for(absl::ToChronoNanoseconds(time));
  } catch (const ConnectionError&) {
    return;
  }
}

} // namespace wg
