// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief The tokens of one generated text that the caller has got. */
struct TokenStream
{
  std::string text;
  std::size_t next = 0; // index of the token that must come next
};

enum class TokenVerdict
{
  Deliver,
  Duplicate, // the caller has it; a resumed stream may repeat some
  Gap        // one is missing: the stream must be resumed
};

/** \brief Judges a token by its index and takes it in when it is next. */
inline TokenVerdict JudgeToken(TokenStream& stream, std::size_t index,
                               absl::string_view token)
{
  if (index < stream.next) {
    return TokenVerdict::Duplicate;
  }
  if (index > stream.next) {
    return TokenVerdict::Gap;
  }
  stream.text.append(token.data(), token.size());
  ++stream.next;
  return TokenVerdict::Deliver;
}

} // namespace wg
