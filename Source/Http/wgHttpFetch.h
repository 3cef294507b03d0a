// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>

#include "absl/time/time.h"

#include "wgHttpMessage.h"
#include "wgOutcome.h"

namespace wg {

/** \brief What one answer may take. */
struct FetchLimits
{
  absl::Duration timeout; // from the connection to the answer's last byte
  std::size_t bodyBytes = 1U << 20U;
};

/** \brief Sends a request on a connection of its own and waits for its answer.
 * The error says why no whole answer came within the limits.
 * \param address IP:port
 */
Outcome<HttpResponse> Fetch(const std::string& address, HttpRequest request,
                            const FetchLimits& limits);

} // namespace wg
