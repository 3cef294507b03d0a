// SPDX-License-Identifier: Apache-2.0
#include "wgInFlight.h"

#include <algorithm>

#include "wgLink.h"

namespace wg::detail {
namespace {

/** One heartbeat period, 50 ms, on the slowest links in use, 10 Mbit/s. */
constexpr std::size_t LargeBytes = 64U << 10U;
constexpr std::size_t MaxBytesInMessage = 1U << 20U;
/** Two heartbeat periods; the transfer time is added. */
constexpr absl::Duration MinAckTimeout = absl::Milliseconds(100);
/** Each loss doubles the timeout, so that transfers over slow links succeed
 * eventually.
 */
constexpr int MaxDoublings = 6;

} // namespace

bool IsLarge(const InFlight& inFlight)
{
  return inFlight.bytes > LargeBytes;
}

std::size_t SendWindow(const InFlight& inFlight)
{
  if (inFlight.bytes == 0) {
    return MaxBytesInMessage;
  }
  return LargeBytes - std::min(LargeBytes, inFlight.bytes);
}

absl::Duration AckTimeout(const InFlight& inFlight)
{
  return (MinAckTimeout + TransferTime(inFlight.bytes)) *
         (1 << inFlight.losses);
}

void NoteSent(InFlight& inFlight, std::size_t bytes, std::uint64_t last,
              Elapsed now)
{
  if (inFlight.bytes == 0) {
    inFlight.noAckSince = now;
  }
  inFlight.bytes += bytes;
  inFlight.last = std::max(inFlight.last, last);
  inFlight.sent = now;
}

void NoteAcknowledged(InFlight& inFlight, std::uint64_t match, Elapsed now)
{
  inFlight.losses = 0;
  inFlight.noAckSince = now;
  if (match >= inFlight.last) {
    inFlight.bytes = 0;
    inFlight.last = 0;
  }
}

void NoteReply(InFlight& inFlight)
{
  inFlight.probing = false;
}

void NoteLost(InFlight& inFlight)
{
  inFlight.probing = true;
  inFlight.bytes = 0;
  inFlight.last = 0;
  inFlight.losses = std::min(inFlight.losses + 1, MaxDoublings);
}

} // namespace wg::detail
