// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/strings/string_view.h"

namespace wg {

/** \brief Fields of a call that one box has another one make for it: a POST
 * whose body is the request's bytes, answered by the endpoint's answer.
 */
namespace relay {

constexpr absl::string_view Target = "/relay";
// Of the call.
constexpr absl::string_view To = "Weirgate-Relay-To";     // registered IP:port
constexpr absl::string_view From = "Weirgate-Relay-From"; // box
constexpr absl::string_view Nonce = "Weirgate-Relay-Nonce";
constexpr absl::string_view Signature = "Weirgate-Relay-Signature";
constexpr absl::string_view Bodiless = "Weirgate-Relay-Bodiless"; // HEAD
constexpr absl::string_view MaxRestMs = "Weirgate-Relay-Max-Rest-Ms";
// Of the answer.
constexpr absl::string_view Result = "Weirgate-Relay-Result";
constexpr absl::string_view Status = "Weirgate-Relay-Status";
constexpr absl::string_view Framing = "Weirgate-Relay-Framing";

// Results.
constexpr absl::string_view Answered = "answered";
constexpr absl::string_view NotConnected = "not_connected";
constexpr absl::string_view Unreached = "unreached";
constexpr absl::string_view Cut = "cut"; // it may have run
constexpr absl::string_view Full = "full";
constexpr absl::string_view NoPath = "no_path";
constexpr absl::string_view Unknown = "unknown_endpoint";

/** \brief Value of Framing where the endpoint's close ends its answer. */
constexpr absl::string_view ByClose = "close";

} // namespace relay

} // namespace wg
