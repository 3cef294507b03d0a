// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "wgAdmission.h"
#include "wgDispatch.h"

namespace wg {

/** \brief What a stage of an account's request will meet at a group. */
StageOutlook OutlookFor(const GroupState& group, const std::string& account,
                        double weight);

/** \brief Counts an admitted request that is still to come to a group (+1),
 * or that has come or will not (-1).
 */
void CountUpcoming(GroupState& group, const std::string& account, int change);

} // namespace wg
