// SPDX-License-Identifier: Apache-2.0
#include "wgAnswerHead.h"

#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace wg {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t MaxDetailBytes = 100;

constexpr unsigned FirstInterim = 100;
constexpr unsigned FirstFinal = 200;
constexpr unsigned AfterLastFinal = 600;

/** Whether an answer with this status has no body, whatever its fields say
 * (RFC 9112, 6.3).
 */
bool IsBodiless(const HttpHead& head)
{
  return IsInterimStatus(head.result_int()) ||
         head.result() == http::status::no_content ||
         head.result() == http::status::not_modified;
}

/** All lines of Transfer-Encoding. */
std::vector<std::string> CodingLines(const HttpHead& head)
{
  std::vector<std::string> lines;
  const auto range = head.equal_range(http::field::transfer_encoding);
  for (auto line = range.first; line != range.second; ++line) {
    lines.emplace_back(line->value());
  }
  return lines;
}

/** Elements of a list may be empty (RFC 9110, 5.6.1). */
bool IsChunkedAlone(absl::string_view codings)
{
  const std::vector<absl::string_view> names =
    absl::StrSplit(codings, ',', absl::SkipWhitespace());
  return names.size() == 1 &&
         absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(names.front()),
                                "chunked");
}

} // namespace

absl::string_view NameOf(AnswerFault fault)
{
  switch (fault) {
    case AnswerFault::Syntax:
      return "syntax";
    case AnswerFault::TooLong:
      return "too_long";
    case AnswerFault::Status:
      return "status";
    case AnswerFault::InterimHeads:
      return "interim_heads";
    case AnswerFault::Coding:
      return "coding";
    case AnswerFault::SendFailed:
      return "send_failed";
  }
  return "unknown";
}

bool IsInterimStatus(unsigned status)
{
  constexpr unsigned switchingProtocols = 101;
  return status >= FirstInterim && status < FirstFinal &&
         status != switchingProtocols;
}

bool IsFinalStatus(unsigned status)
{
  return status >= FirstFinal && status < AfterLastFinal;
}

std::optional<UnsoundAnswer> FindUnsound(const HttpHead& head, bool hasBody)
{
  const unsigned status = head.result_int();
  if (!IsInterimStatus(status) && !IsFinalStatus(status)) {
    return UnsoundAnswer{ AnswerFault::Status, absl::StrCat(status) };
  }
  if (!hasBody || IsBodiless(head)) {
    return std::nullopt;
  }
  const std::vector<std::string> lines = CodingLines(head);
  if (lines.empty()) {
    return std::nullopt;
  }
  const std::string codings = absl::StrJoin(lines, ",");
  if (!IsChunkedAlone(codings)) {
    return UnsoundAnswer{ AnswerFault::Coding,
                          absl::CHexEscape(
                            absl::ClippedSubstr(codings, 0, MaxDetailBytes)) };
  }
  return std::nullopt;
}

} // namespace wg
