// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief A fresh random number, as hex, that binds a reply to its request. */
std::string MakeNonce();

/** \brief The name under which weirgate's own processes sign. */
constexpr absl::string_view PeerName = "peer";

/** \brief The key of each that may call: PeerName, and operators. */
using KeyRing = std::map<std::string, std::string>;

/** \brief HMAC-SHA256 in hex over who asks, path, nonce and body. */
std::string SignRequest(absl::string_view key, absl::string_view who,
                        absl::string_view path, absl::string_view nonce,
                        absl::string_view body);

/** \brief HMAC-SHA256 in hex over a reply's body and its request's nonce. */
std::string SignReply(absl::string_view key, absl::string_view nonce,
                      absl::string_view body);

/** \brief Compares two signatures in a time that tells nothing of them. */
bool SameSignature(absl::string_view a, absl::string_view b);

} // namespace wg
