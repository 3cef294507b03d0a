// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief What tells one request from another, whoever sends it again. */
struct RequestContent
{
  absl::string_view account; // or the caller's key where none is known
  absl::string_view host;
  absl::string_view target; // path and query
  absl::string_view body;
};

/** \brief 16 bytes of a SHA-256 digest: the same for the same request under
 * any id, at any box. No caller can make a request that has another account's
 * fingerprint.
 */
std::string FingerprintOf(const RequestContent& content);

/** \brief As it stands in log lines, in hex. */
std::string PrintFingerprint(absl::string_view fingerprint);

} // namespace wg
