// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgCrashEvidence.h"
#include "wgEndpointChoice.h"

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
std::string PrintSuspect(const CrashSuspect& suspect);

/** \brief The parts of a prompt that other requests may share: all but the
 * last, the first MaxSuspectParts of them.
 */
std::vector<CrashSuspect> SharedParts(absl::Span<const PromptPart> parts);
inline constexpr std::size_t MaxSuspectParts = 256;

} // namespace wg
