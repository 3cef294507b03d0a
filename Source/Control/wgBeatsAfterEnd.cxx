// SPDX-License-Identifier: Apache-2.0
#include "wgBeatsAfterEnd.h"

#include "wgEndpointStart.h"

namespace wg {
namespace {

/** As many after the first as can hardly all be on their way. */
constexpr std::uint64_t BeatsOfTheLiving = 2;

} // namespace

bool NoteBeatAfterEnd(BeatsAfterEnd& beats, CrashEvidence& evidence,
                      const wire::Registration& heartbeat, Elapsed now)
{
  if (evidence.records.empty()) {
    beats.first.clear();
    return false;
  }
  const std::string id = IdentityOf(StartOf(heartbeat));
  if (!IsPresumedEnded(evidence, id)) {
    beats.first.erase(id);
    return false;
  }
  const auto first = beats.first.try_emplace(id, heartbeat.sequence()).first;
  if (heartbeat.sequence() < first->second + BeatsOfTheLiving) {
    return false;
  }
  beats.first.erase(first);
  return NoteLive(evidence, id, now);
}

} // namespace wg
