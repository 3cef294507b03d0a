// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

/** \brief A Zstandard frame that tells its content's size. */
std::string Compress(absl::string_view content);

/** \brief The content of such a frame; an error if it is damaged or its
 * content would be larger than `most` bytes.
 */
Outcome<std::string> Decompress(absl::string_view frame, std::size_t most);

/** \brief Tells contents apart, also after damage; not against forgery. */
std::uint64_t Digest(absl::string_view content);

} // namespace wg
