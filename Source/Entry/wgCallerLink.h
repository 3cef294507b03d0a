// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>

namespace wg {

/** \brief Gets each token of a streamed answer once and in order; false when
 * the caller has left.
 */
using TokenSink =
  std::function<bool(std::size_t index, const std::string& token)>;

/** \brief The way back to a caller while its request runs. Both are empty when
 * the answer is not streamed: such a caller is not seen to leave.
 */
struct CallerLink
{
  TokenSink takeToken;
  std::function<bool()> isThere;
};

} // namespace wg
