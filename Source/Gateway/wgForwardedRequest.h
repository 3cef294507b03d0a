// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgDialect.h"
#include "wgHttpMessage.h"
#include "wgOutcome.h"

namespace wg {

/** \brief What weirgate says of a request that it sends to an endpoint. */
struct ForwardFacts
{
  absl::string_view account;   // of the caller's key; empty: none
  absl::string_view endpoint;  // id; no other may serve it
  absl::Duration left;         // until it is given up
  std::string inputs;          // handles of results; empty: none
  absl::string_view lastEvent; // after which a stream goes on; empty: none
};

/** \brief The request as an endpoint gets it: the caller's, without what
 * concerns the caller's connection or is weirgate's to say, and with what
 * weirgate says. The error names the field that can't have its value.
 */
Outcome<HttpRequest> MakeForwardedRequest(const HttpRequest& asked,
                                          const FieldNames& names,
                                          const ForwardFacts& facts);

} // namespace wg
