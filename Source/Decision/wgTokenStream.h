// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace wg {

/** \brief The part of a generated text that was delivered to the caller. */
struct TokenStream
{
  std::string text;
  std::size_t next = 0; // index of the next token
  std::string version;  // of the endpoint that generated the first one
};

enum class TokenVerdict
{
  Deliver,
  Duplicate, // already delivered; a resumed stream may repeat tokens
  Gap        // a token is missing: the stream must be resumed
};

/** \brief Classifies a token by its index and appends it if it is next. */
inline TokenVerdict ClassifyToken(TokenStream& stream, std::size_t index,
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
