// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "wgBlackboard.h"

namespace wg {

/** \brief All that an entry knows, as JSON for the operators' client. */
std::string DescribeEntry(Blackboard& blackboard);

} // namespace wg
