// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgConfig.h"
#include "wgOutcome.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief Gives a group a version to run; one that is being updated goes on
 * to the new version.
 */
Outcome<Config> ApplyStartRollout(Config config,
                                  const wire::StartRollout& start);

/** \brief Takes an endpoint out of service to be updated, or gives it back.
 * Refused unless it is the next, or the current one: a step that comes late
 * or twice changes nothing.
 */
Outcome<Config> ApplyStepRollout(Config config, const wire::StepRollout& step);

/** \brief Ends a roll-out where it is; the current endpoint is given back. */
Outcome<Config> ApplyStopRollout(Config config, const wire::StopRollout& stop);

/** \brief Takes in that an operator drained or undrained an endpoint: the
 * current one of a roll-out stays drained until it is updated.
 */
void NoteDrained(Config& config, EndpointConfig& endpoint);

/** \brief Puts the roll-outs of the present configuration into the next. */
void KeepRollouts(const Config& present, Config& next);

} // namespace wg
