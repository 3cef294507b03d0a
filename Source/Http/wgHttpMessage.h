// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace wg {

/** \brief The loop that a process's sockets and timers run on. */
using EventLoop = boost::asio::io_context;

using HttpFields = boost::beast::http::fields;
using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;
/** \brief Status line and fields of an answer, without its body. */
using HttpHead = boost::beast::http::response_header<>;

/** \brief What one caller may send, and how long it may take. */
struct HttpLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 4U << 20U;
  absl::Duration headerTimeout = absl::Seconds(3);
  absl::Duration idleTimeout = absl::Seconds(15);
  std::size_t connections = 2000;
};

/** \brief What tells where an answer's body ends. */
enum class BodyFraming
{
  Explicit, // a length, chunks, or that there is no body
  ByClose   // the orderly end of the connection
};

/** \brief The longest value that `HttpFields` holds, in bytes; a longer one
 * makes its functions throw.
 */
constexpr std::size_t MaxFieldBytes = 65533;

/** \brief Whether a field can have the value: it is not too long, and has no
 * control character that would end it (RFC 9110, 5.5).
 */
bool IsFieldValue(absl::string_view value);

/** \brief Whether all bytes are of US-ASCII. Other bytes are opaque in a
 * field; JSON and messages between boxes hold nothing but UTF-8.
 */
bool IsAscii(absl::string_view value);

/** \brief Sets a field to a value from outside.
 * \return false, with nothing set, if no field can have the value
 */
[[nodiscard]] bool SetField(HttpFields& fields, absl::string_view name,
                            absl::string_view value);

/** \brief A field's value; empty when there is none. */
absl::string_view FieldOf(const HttpFields& fields, absl::string_view name);

/** \brief A field's value as a whole number, or `fallback`. */
std::int64_t NumberOf(const HttpFields& fields, absl::string_view name,
                      std::int64_t fallback);

/** \brief Removes the fields that concern one connection only (RFC 9110,
 * 7.6.1), those named by Connection among them.
 * \param endToEnd fields that stay although Connection names them
 */
void RemoveConnectionFields(HttpFields& fields,
                            absl::Span<const std::string> endToEnd);

/** \brief A whole answer with a length. */
HttpResponse MakeResponse(unsigned status, absl::string_view contentType,
                          std::string body);

/** \brief The bytes of a status line and fields, with the empty line. */
std::string PrintHead(const HttpHead& head);

/** \brief The bytes of a request with a length. */
std::string PrintRequest(HttpRequest request);

} // namespace wg
