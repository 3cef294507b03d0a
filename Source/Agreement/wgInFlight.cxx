// SPDX-License-Identifier: Apache-2.0
#include "wgInFlight.h"

#include <algorithm>

#include "wgLink.h"

namespace wg::detail {
namespace {

/** 50 ms of the slowest links in use, 10 Mbit/s: no more than a heartbeat's
 * period.
 */
constexpr std::size_t LargeBytes = 64U << 10U;
constexpr std::size_t MaxBytesInMessage = 1U << 20U;
/** Two heartbeats, besides what the transfer takes. */
constexpr absl::Duration LeastWait = absl::Milliseconds(100);
/** Each loss doubles the wait, so that any link gets through in the end. */
constexpr int MaxDoublings = 6;

} // namespace

bool IsLarge(const InFlight& inFlight)
{
  return inFlight.bytes > LargeBytes;
}

std::size_t RoomInFlight(const InFlight& inFlight)
{
  if (inFlight.bytes == 0) {
    return MaxBytesInMessage;
  }
  return LargeBytes - std::min(LargeBytes, inFlight.bytes);
}

absl::Duration LostAfter(const InFlight& inFlight)
{
  return (LeastWait + TransferTime(inFlight.bytes)) * (1 << inFlight.losses);
}

void NoteSent(InFlight& inFlight, std::size_t bytes, std::uint64_t last,
              Elapsed now)
{
  if (inFlight.bytes == 0) {
    inFlight.quietSince = now;
  }
  inFlight.bytes += bytes;
  inFlight.last = std::max(inFlight.last, last);
  inFlight.sent = now;
}

void NoteConfirmed(InFlight& inFlight, std::uint64_t match, Elapsed now)
{
  inFlight.losses = 0;
  inFlight.quietSince = now;
  if (match >= inFlight.last) {
    inFlight.bytes = 0;
    inFlight.last = 0;
  }
}

void NoteAnswer(InFlight& inFlight)
{
  inFlight.awaitsAnswer = false;
}

void NoteLost(InFlight& inFlight)
{
  inFlight.awaitsAnswer = true;
  inFlight.bytes = 0;
  inFlight.last = 0;
  inFlight.losses = std::min(inFlight.losses + 1, MaxDoublings);
}

} // namespace wg::detail
