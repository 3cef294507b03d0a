// SPDX-License-Identifier: Apache-2.0
#include "wgHttpMessage.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

boost::beast::string_view ToBeast(absl::string_view text)
{
  return { text.data(), text.size() };
}

/** The field may stand more than once. */
std::vector<std::string> NamedByConnection(const HttpFields& fields)
{
  std::vector<std::string> named;
  const auto lines = fields.equal_range(http::field::connection);
  for (auto line = lines.first; line != lines.second; ++line) {
    for (const auto& token : http::token_list(line->value())) {
      named.emplace_back(token);
    }
  }
  return named;
}

bool IsAmong(absl::string_view name, absl::Span<const std::string> names)
{
  return std::any_of(names.begin(), names.end(),
                     [name](absl::string_view other) {
                       return absl::EqualsIgnoreCase(name, other);
                     });
}

} // namespace

bool IsFieldValue(absl::string_view value)
{
  return value.size() <= MaxFieldBytes &&
         std::none_of(value.begin(), value.end(), [](char c) {
           return absl::ascii_iscntrl(static_cast<unsigned char>(c)) &&
                  c != '\t';
         });
}

bool IsAscii(absl::string_view value)
{
  return std::all_of(value.begin(), value.end(), [](char c) {
    return absl::ascii_isascii(static_cast<unsigned char>(c));
  });
}

bool SetField(HttpFields& fields, absl::string_view name,
              absl::string_view value)
{
  if (!IsFieldValue(value)) {
    return false;
  }
  fields.set(ToBeast(name), ToBeast(value));
  return true;
}

absl::string_view FieldOf(const HttpFields& fields, absl::string_view name)
{
  const auto found = fields.find(ToBeast(name));
  if (found == fields.end()) {
    return ""; // not null, of which a split yields no part at all
  }
  return { found->value().data(), found->value().size() };
}

std::int64_t NumberOf(const HttpFields& fields, absl::string_view name,
                      std::int64_t fallback)
{
  std::int64_t value = fallback;
  const bool isNumber = absl::SimpleAtoi(FieldOf(fields, name), &value);
  return isNumber ? value : fallback;
}

void RemoveConnectionFields(HttpFields& fields,
                            absl::Span<const std::string> endToEnd)
{
  for (const std::string& name : NamedByConnection(fields)) {
    if (!IsAmong(name, endToEnd)) {
      fields.erase(name);
    }
  }
  for (const http::field field :
       { http::field::connection, http::field::keep_alive,
         http::field::proxy_connection, http::field::te, http::field::trailer,
         http::field::transfer_encoding, http::field::upgrade,
         http::field::expect }) {
    fields.erase(field);
  }
}

HttpResponse MakeResponse(unsigned status, absl::string_view contentType,
                          std::string body)
{
  HttpResponse response;
  response.version(11);
  response.result(status);
  if (!contentType.empty()) {
    response.set(http::field::content_type, ToBeast(contentType));
  }
  response.body() = std::move(body);
  response.content_length(response.body().size());
  return response;
}

std::string PrintHead(const HttpHead& head)
{
  std::ostringstream text;
  text << head;
  return text.str();
}

std::string PrintRequest(HttpRequest request)
{
  request.erase(http::field::transfer_encoding);
  if (request.body().empty()) {
    request.erase(http::field::content_length);
  } else {
    request.content_length(request.body().size());
  }
  const bool wantsLength =
    request.body().empty() && (request.method() == http::verb::post ||
                               request.method() == http::verb::put ||
                               request.method() == http::verb::patch);
  if (wantsLength) {
    request.content_length(0);
  }
  std::ostringstream text;
  text << request.base();
  return text.str() + request.body();
}

} // namespace wg
