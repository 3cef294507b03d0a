// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgElapsed.h"

namespace wg {

/** \brief The largest valid CPU share: 1,000 cores, far above any real box.
 * Larger values come from software faults or corrupt data.
 */
constexpr std::uint32_t MaxCpuMilli = 1000000;

/** \brief Changed CPU shares take effect together once none has changed for
 * this long. Boxes call each control box once a second.
 */
constexpr absl::Duration ShareSettleTime = absl::Seconds(2);
/** \brief A changed share waits no longer than this to take effect, so that
 * one box whose share keeps changing does not delay the others.
 */
constexpr absl::Duration MaxShareSettleTime = absl::Seconds(10);

bool IsValidCpuShare(std::uint32_t cpuMilli);

/** \brief Parses a CPU share in cores, such as "0.09".
 * \return thousandths of a core; 0 if invalid
 */
std::uint32_t ParseCpuShare(absl::string_view text);

/** \brief A box that may become a pool's coordinator, which makes the calls
 * to the pool's endpoints.
 */
struct CoordinatorCandidate
{
  std::uint64_t hash = 0;     // of box and pool
  std::uint32_t cpuMilli = 0; // thousandths of a core; 0: not reported
  bool isNear = true;         // in the pool's hall, or the pool has none
  bool isReachable = true;    // not suspected, and its hall is reachable
};

/** \brief Returns the index of the box that coordinates a pool.
 *
 * Coordinating takes processor time for each piece, and a box with a small CPU
 * share can't keep up. Candidates are therefore ranked by:
 *
 * - being in the pool's hall;
 * - having at least half of the largest share;
 * - weighted rendezvous hashing with the share as the weight; between equal
 *   shares the larger hash wins.
 *
 * Unreachable boxes count for the largest share, so that a box that becomes
 * unreachable moves only the pools that it coordinated. A box without a valid
 * share counts as having the smallest valid share of all.
 *
 * \param candidates at least one; if none is reachable, the result is 0
 */
std::size_t ChooseByCpuShare(
  absl::Span<const CoordinatorCandidate> candidates);

/** \brief The CPU shares that boxes have reported, and those in effect. */
struct BoxShares
{
  struct Share
  {
    std::uint32_t inEffect = 0; // thousandths of a core; 0: not reported
    std::uint32_t reported = 0; // thousandths of a core; pending if different
  };
  std::map<std::string, Share> boxes;
  // Of the changes that are not yet in effect; infinite: there are none.
  Elapsed firstPendingChange = absl::InfiniteDuration();
  Elapsed lastPendingChange = absl::InfiniteDuration();
};

/** \brief Records the CPU share that a list of boxes gives for a box.
 *
 * The share of a newly listed box takes effect at once, because the box itself
 * is new to the choice. A later change is pending until ApplyPendingShares():
 * when the first control box of a newer version starts, shares become known
 * one after another and must change the choice only once. A missing share
 * leaves the previous one, as control boxes of older versions list none.
 *
 * \param reported thousandths of a core; 0: none
 * \return the share in effect, in thousandths of a core; 0: none
 */
std::uint32_t NoteShare(BoxShares& shares, const std::string& box,
                        std::uint32_t reported, Elapsed now);

/** \brief Puts pending shares into effect if they have waited long enough. */
void ApplyPendingShares(BoxShares& shares, Elapsed now);

bool HasPendingShares(const BoxShares& shares);

} // namespace wg
