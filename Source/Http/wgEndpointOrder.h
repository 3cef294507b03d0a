// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "wgEndpointClient.h"
#include "wgOutcome.h"

namespace wg {

/** \brief An order to an engine: to load a model, an adapter or a version,
 * or to change its role.
 */
struct EndpointOrder
{
  std::uint64_t fence = 0; // above those of all earlier orders
  std::string what;        // model, adapter, version or role
  std::string name;        // of it
};

/** \brief Gives an engine an order. An error says that it was not taken, or
 * that nobody knows; it may be given again under a higher fence.
 */
Outcome<Done> SendOrder(const EndpointAddress& address,
                        const EndpointOrder& order, absl::Duration timeout);

} // namespace wg
