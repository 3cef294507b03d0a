// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "wgCrashEvidence.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief The first heartbeat of each start that came after gateways had taken
 * it to have ended: its sequence, by the identity of the start.
 */
struct BeatsAfterEnd
{
  std::map<std::string, std::uint64_t> first;
};

/** \brief Takes a heartbeat in: a start that goes on to send them lives, and
 * what it was taken to show of requests is outweighed. One or two may have
 * been on their way when it ended.
 *
 * Where a cut resets connections, each endpoint behind it looks to have ended.
 * Of 18 endpoints of a hall that was cut off so, four counted against one
 * innocent request, which would have been refused for a day.
 * \return whether that was news
 */
bool NoteBeatAfterEnd(BeatsAfterEnd& beats, CrashEvidence& evidence,
                      const wire::Registration& heartbeat, Elapsed now);

} // namespace wg
