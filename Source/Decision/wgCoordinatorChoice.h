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

/** \brief The largest share of a core that is accepted, in thousandths: 1,000
 * cores, far above any box. Larger values come from faults or damage.
 */
constexpr std::uint32_t MostCpuMilli = 1000000;

/** \brief Reported shares that change within this time of each other take
 * effect together. Boxes call each control box once a second.
 */
constexpr absl::Duration ShareSettleTime = absl::Seconds(2);
/** \brief A changed share takes effect by then, even if others still change:
 * one box with a changing share must not hold up all others.
 */
constexpr absl::Duration ShareSettleMost = absl::Seconds(10);

/** \brief Whether it can be a box's share of a core, in thousandths. */
bool IsSoundShare(std::uint32_t cpuMilli);

/** \brief Reads a share of a core, such as "0.09", in thousandths; 0 if it is
 * empty or can't be a share.
 */
std::uint32_t ReadCpuShare(absl::string_view text);

/** \brief A box that may make the calls of a pool. */
struct CoordinatorCandidate
{
  std::uint64_t hash = 0;     // of box and pool
  std::uint32_t cpuMilli = 0; // share of a core in thousandths; 0: not told
  bool isNear = true;         // in the pool's hall, if that has one
  bool isAlive = true;
};

/** \brief The index of the box that makes the calls of a pool.
 *
 * The load: a pool's coordinator spends processor time on each piece of the
 * pool, which a box with a small share of a core can't keep up with.
 *
 * Boxes in the pool's hall go first, and of these the ones with at least half
 * of the largest share. Among them weighted rendezvous hashing chooses, with
 * the share as the weight; equal shares leave the largest hash. The largest
 * share is taken over boxes that are not alive as well, so that a box which
 * leaves changes the choice only where it was chosen. A box without a share
 * counts as the smallest share of any. The first candidate is taken if none is
 * alive; there must be one.
 */
std::size_t ChooseByShare(absl::Span<const CoordinatorCandidate> candidates);

/** \brief The reported shares of boxes, and which of them are in effect. */
struct BoxShares
{
  struct Share
  {
    std::uint32_t inEffect = 0; // thousandths of a core; 0: not told
    std::uint32_t told = 0;
  };
  std::map<std::string, Share> boxes;
  Elapsed firstNews = absl::InfiniteDuration(); // of those not in effect
  Elapsed lastNews = absl::InfiniteDuration();
};

/** \brief Takes the share that a box was listed with; 0 if none was.
 *
 * That of a box not listed before takes effect at once, as the box itself is
 * new to the choice. A later one waits, so that many that become known in
 * turn, as when the first control box of a newer version starts, change the
 * choice once. One that was told stays when a list names none: control boxes
 * of older versions don't.
 * \returns the share in effect
 */
std::uint32_t NoteShare(BoxShares& shares, const std::string& box,
                        std::uint32_t told, Elapsed now);

/** \brief Puts those into effect that have waited long enough. */
void SettleShares(BoxShares& shares, Elapsed now);

/** \brief Whether shares are known that are not in effect. */
bool HasUnsettled(const BoxShares& shares);

} // namespace wg
