// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "wgPeer.pb.h"

namespace wg {

/** \brief What a control box answers to a change, as it goes over the wire.
 * \param leader the address of the box to ask instead; empty: none is known
 */
std::string PrintChangeResult(wire::ChangeResult::Verdict verdict,
                              const std::string& message,
                              const std::string& leader);

} // namespace wg
