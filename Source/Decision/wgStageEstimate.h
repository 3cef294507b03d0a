// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "wgAdmission.h"
#include "wgDispatch.h"

namespace wg {

/** \brief Estimates service time, stages ahead and slots for a new request of
 * an account at a group.
 */
StageEstimate EstimateStage(const GroupState& group,
                            const std::string& account, double weight);

/** \brief Changes the number of upcoming requests of an account at a group: +1
 * when one is admitted, -1 when its stage is queued or will not be.
 */
void CountUpcoming(GroupState& group, const std::string& account, int change);

} // namespace wg
