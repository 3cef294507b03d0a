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

/** \brief The next single change of the voter set that repair asks for.
 *
 * A replica joins without a vote, catches up, and only then takes the place
 * of the older replica on its box. Nothing is returned while a change is
 * under way or when it would leave too few voters that answer.
 * \param wanted how many voters there should be
 */
std::optional<wire::VoterSet> NextRepairStep(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  std::size_t wanted, Elapsed now);

} // namespace wg
