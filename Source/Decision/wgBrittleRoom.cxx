// SPDX-License-Identifier: Apache-2.0
#include "wgBrittleRoom.h"

#include <algorithm>

namespace wg {
namespace {

/** The bound that a refusal has lowered rises by so many requests. */
constexpr double RegainPerSecond = 1.0;
/** Refusals before it no longer count against an endpoint. */
constexpr absl::Duration RefusalWindow = absl::Seconds(1);

int OpenAt(const BrittleRoom& room, Elapsed now)
{
  int open = 0;
  for (const auto& [box, requests] : room.boxes) {
    open += now - requests.reported < OpenMemory ? requests.open : 0;
  }
  return open;
}

int MostOpen(const BrittleRoom& room, const BrittleBounds& bounds, Elapsed now)
{
  const int settled =
    bounds.isSettled ? bounds.slots : std::max(1, bounds.slots / 2);
  if (room.refusedAt == 0) {
    return settled;
  }
  const double since = absl::ToDoubleSeconds(now - room.refused);
  const int lowered =
    room.refusedAt - 1 + static_cast<int>(since * RegainPerSecond);
  return std::clamp(lowered, 1, settled);
}

} // namespace

void NoteOpen(BrittleRoom& room, absl::string_view box,
              const OpenRequestReport& report, Elapsed now)
{
  BoxRequests& requests = room.boxes[std::string(box)];
  if (report.sequence <= requests.sequence &&
      now - requests.reported < OpenMemory) { // else the box was restarted
    return;
  }
  auto& unreported = requests.unreported;
  unreported.erase(std::remove_if(unreported.begin(), unreported.end(),
                                  [&](const UnreportedGrant& grant) {
                                    return grant.number <= report.grant ||
                                           now - grant.granted >= GrantMemory;
                                  }),
                   unreported.end());
  requests.open = report.open + static_cast<int>(unreported.size());
  requests.sequence = report.sequence;
  requests.reported = now;
}

void NoteGranted(BrittleRoom& room, absl::string_view box,
                 std::uint64_t number, Elapsed now)
{
  BoxRequests& requests = room.boxes[std::string(box)];
  ++requests.open;
  requests.reported = now;
  if (number != 0) {
    requests.unreported.push_back({ number, now });
  }
}

void NoteRefused(BrittleRoom& room, int refused, const BrittleBounds& bounds,
                 Elapsed now)
{
  room.refusedAt =
    std::clamp(OpenAt(room, now), 1, MostOpen(room, bounds, now));
  room.refused = now;
  room.pausedUntil =
    std::min(std::max(room.pausedUntil, now) +
               refused * RefusalPause(bounds.refusalsPerSecond),
             now + RefusalWindow);
}

bool HasRoom(const BrittleRoom& room, const BrittleBounds& bounds, Elapsed now)
{
  return now >= room.pausedUntil &&
         OpenAt(room, now) < MostOpen(room, bounds, now);
}

absl::Duration RefusalPause(double refusalsPerSecond)
{
  return absl::Seconds(1) / std::max(refusalsPerSecond, 1.0);
}

} // namespace wg
