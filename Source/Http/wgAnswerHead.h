// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

#include "absl/strings/string_view.h"

#include "wgHttpMessage.h"

namespace wg {

/** \brief Why what an endpoint sent is not a sound answer. */
enum class AnswerFault
{
  Syntax,       // the parser refuses a line, a length or a chunk
  TooLong,      // a head, a line of a chunk or trailers beyond the bound
  Status,       // see IsFinalStatus and IsInterimStatus
  InterimHeads, // more of them than the bound
  Coding,       // a transfer coding other than chunked
  SendFailed    // no length and no chunks: its end can't be told from a cut
};

/** \brief An answer that is not sound. */
struct UnsoundAnswer
{
  AnswerFault fault = AnswerFault::Syntax;
  std::string detail; // printable; the part at fault or the parser's error
};

/** \brief The name of a fault in metrics and logs. */
absl::string_view NameOf(AnswerFault fault);

/** \brief Whether more heads follow one with this status: 100 to 199 but 101
 * (Switching Protocols), as no request asks for an upgrade.
 */
bool IsInterimStatus(unsigned status);

/** \brief Whether an answer may have this status: 200 to 599. RFC 9110, 15
 * calls others invalid and has clients treat them as server errors.
 */
bool IsFinalStatus(unsigned status);

/** \brief What is unsound in a head that the parser has taken; it has refused
 * names and values that no field can have.
 *
 * An answer with a body may be in chunks, and in no other transfer coding: no
 * request offers one (RFC 9112, 7.4), and the field that names the coding is
 * not passed on.
 * \param hasBody false for the answer to HEAD
 * \return nothing if the head is sound
 */
std::optional<UnsoundAnswer> FindUnsound(const HttpHead& head, bool hasBody);

} // namespace wg
