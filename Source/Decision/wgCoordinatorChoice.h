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

/** \brief The largest accepted CPU share of a box, in thousandths of a core.
 *
 * 1,000 cores are far above any real box; a larger value is a software fault
 * or corrupt data.
 */
constexpr std::uint32_t MaxCpuMilli = 1000000;

/** \brief Changed CPU shares take effect together once no share has changed
 * for this time. Boxes call each control box once a second, so their first
 * reports arrive within about a second of each other.
 */
constexpr absl::Duration ShareSettleTime = absl::Seconds(2);
/** \brief The longest time that a changed CPU share waits to take effect, so
 * that one box whose share keeps changing does not delay all others.
 */
constexpr absl::Duration MaxShareSettleTime = absl::Seconds(10);

/** \brief Returns whether a CPU share is valid: above 0 and at most
 * MaxCpuMilli.
 * \param cpuMilli thousandths of a core
 */
bool IsSoundShare(std::uint32_t cpuMilli);

/** \brief Parses a CPU share given in cores, such as "0.09".
 * \return thousandths of a core; 0 if the text is no number or the share is
 * not valid
 */
std::uint32_t ReadCpuShare(absl::string_view text);

/** \brief A box that may become the coordinator of a pool. The coordinator
 * makes the calls of the pool to its endpoints.
 */
struct CoordinatorCandidate
{
  std::uint64_t hash = 0;     // of box and pool
  std::uint32_t cpuMilli = 0; // thousandths of a core; 0: not reported
  bool isNear = true;         // in the pool's hall, or the pool has none
  bool isAlive = true;        // not suspected, and its hall is reachable
};

/** \brief Returns the index of the box that coordinates a pool.
 *
 * A coordinator spends processor time on each piece of its pool. A box with a
 * small CPU share can't keep up with that, so larger boxes are preferred:
 *
 * - Boxes in the pool's hall come before boxes of other halls.
 * - Among these, boxes with at least half of the largest share come first.
 * - Among these, weighted rendezvous hashing decides, with the share as the
 *   weight. Between equal shares, the larger hash wins.
 *
 * The largest share includes those of unreachable boxes. A box that becomes
 * unreachable therefore moves only the pools that it coordinated. A box
 * without a valid share counts as having the smallest valid share of all
 * candidates.
 *
 * \param candidates at least one; if none is reachable, the result is 0
 */
std::size_t ChooseByShare(absl::Span<const CoordinatorCandidate> candidates);

/** \brief The CPU shares that boxes have reported, and the shares that are in
 * effect for the choice of coordinators.
 */
struct BoxShares
{
  struct Share
  {
    std::uint32_t inEffect = 0; // thousandths of a core; 0: not reported
    std::uint32_t reported = 0; // thousandths of a core; pending if different
  };
  std::map<std::string, Share> boxes;
  /** Times of the first and the last change that is not yet in effect;
   * infinite if there is none.
   */
  Elapsed firstPendingChange = absl::InfiniteDuration();
  Elapsed lastPendingChange = absl::InfiniteDuration();
};

/** \brief Records the CPU share that a list of boxes gives for a box.
 *
 * The share of a box that was not listed before takes effect at once, because
 * the box itself is new to the choice. A later change stays pending until
 * SettleShares(). When the first control box of a newer version starts, the
 * shares of all boxes become known one after another; they then change the
 * choice only once. A missing or invalid share leaves the previous one,
 * because control boxes of older versions list no shares.
 *
 * \param reported thousandths of a core; 0: the list gives none
 * \return the share in effect, in thousandths of a core; 0 if none is known or
 * the table is full
 */
std::uint32_t NoteShare(BoxShares& shares, const std::string& box,
                        std::uint32_t reported, Elapsed now);

/** \brief Puts all pending shares into effect once none has changed for
 * ShareSettleTime, or the first pending change is MaxShareSettleTime old.
 */
void SettleShares(BoxShares& shares, Elapsed now);

/** \brief Returns whether any changed share is not yet in effect. */
bool HasUnsettled(const BoxShares& shares);

} // namespace wg
