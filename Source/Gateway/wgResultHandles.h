// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgHttpMessage.h"

namespace wg {

/** \brief The longest handle of a result that is taken, in bytes. */
constexpr std::size_t MaxHandleBytes = 1024;

/** \brief Whether an endpoint's word can be the handle of a result: handles
 * are listed in a field, with commas between them.
 */
bool IsResultHandle(absl::string_view handle);

/** \brief Whether a request can name the handles, each of them sound. */
bool AreListable(absl::Span<const std::string> handles);

/** \brief Whether a request can be expected to name as many handles, so that
 * making the results is not in vain.
 */
bool AreListable(std::size_t handles);

} // namespace wg
