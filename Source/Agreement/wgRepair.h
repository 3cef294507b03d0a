// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "absl/types/span.h"

#include "wgReplica.h"

namespace wg {

/** \brief A replica that requests to join the cluster. */
struct JoiningReplica
{
  wire::Voter who;
  Elapsed lastRequest;
};

/** \brief An operator's order to replace a lost box by another. */
struct BoxReplacement
{
  std::string lost; // empty: none
  std::string standby;
};

/** \brief Target of the repair of the voter set. */
struct RepairRules
{
  std::size_t wanted = 3; // target number of voters
  /** A voter unresponsive for this long is replaced by a joining box. */
  absl::Duration standbyAfter = absl::InfiniteDuration();
  BoxReplacement replacement;
  /** Boxes beyond the wanted voters join as learners, so that they hold the
   * replicated state too.
   */
  bool standbysLearn = false;
  /** Replicas whose processes are about to end. A voter among them gives its
   * vote to a standby that has caught up.
   */
  std::set<std::uint64_t> stopping;
};

/** \brief Returns whether a replica should request to join: it is no voter, or
 * it has no leader and may have been replaced without knowing.
 */
bool ShouldRequestJoin(const Replica& replica);

/** \brief Returns whether a replica that is about to end should wait: it is a
 * voter, or was one before a change that is not committed, and a standby that
 * responds can take its vote.
 */
bool IsHandingOver(const Replica& leader, std::uint64_t id,
                   const RepairRules& rules, Elapsed now);

/** \brief Returns the next voter set, a single change away from the current
 * one.
 *
 * A replica joins as a learner, catches up, and only then replaces the older
 * replica on its box, that on the box named by an operator, a voter that is
 * about to end, or one that has been unresponsive for standbyAfter. With
 * standbysLearn, a learner that has been unresponsive for as long is removed.
 * Returns nothing while a change is uncommitted or if too few voters would
 * respond after it.
 */
std::optional<wire::VoterSet> NextRepairStep(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  const RepairRules& rules, Elapsed now);

} // namespace wg
