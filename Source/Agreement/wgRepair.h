// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include "absl/types/span.h"

#include "wgReplica.h"

namespace wg {

/** \brief A replica that asks to be part of the cluster. */
struct JoiningReplica
{
  wire::Voter who;
  Elapsed lastAsked;
};

/** \brief An operator's word that a box is gone and which takes its place. */
struct BoxReplacement
{
  std::string lost; // empty: none
  std::string spare;
};

/** \brief What repair works towards. */
struct RepairRules
{
  std::size_t wanted = 3; // voters there should be
  /** A voter silent for so long gives its vote to a box that asks to join. */
  absl::Duration spareAfter = absl::InfiniteDuration();
  BoxReplacement replacement;
  /** Boxes beyond the wanted voters are taken in without a vote, so that they
   * hold the replicated state too.
   */
  bool spareLearns = false;
};

/** \brief Whether a replica is to ask the others to take it in: it has no
 * vote, or it hears no leader and may have been replaced without knowing.
 */
bool ShouldAskToJoin(const Replica& replica);

/** \brief The next single change of the voter set that repair asks for.
 *
 * A replica joins without a vote, catches up, and only then takes the place
 * of the older replica on its box, of the box that an operator names, or of
 * a voter that has long been silent. Where spares learn, one that has been
 * silent for as long is taken out. Nothing is returned while a change is under
 * way or when it would leave too few voters that answer.
 */
std::optional<wire::VoterSet> NextRepairStep(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  const RepairRules& rules, Elapsed now);

} // namespace wg
