// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgConfig.h"
#include "wgOutcome.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief The configuration after a change; an error changes nothing. */
Outcome<Config> ApplyConfigChange(const Config& config,
                                  const wire::Change& change);

} // namespace wg
