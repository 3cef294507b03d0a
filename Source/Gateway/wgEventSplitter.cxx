// SPDX-License-Identifier: Apache-2.0
#include "wgEventSplitter.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include "wgHttpMessage.h"

namespace wg {
namespace {

/** Ids are short numbers; a request names one in a field. */
constexpr std::size_t MaxEventIdBytes = 1024;

/** The end of the first whole event, or npos. Lines end with LF or CRLF. */
std::size_t EventEnd(absl::string_view text, std::size_t from)
{
  for (std::size_t at = text.find('\n', from); at != absl::string_view::npos;
       at = text.find('\n', at + 1)) {
    const absl::string_view rest = text.substr(at + 1);
    if (absl::StartsWith(rest, "\n")) {
      return at + 2;
    }
    if (absl::StartsWith(rest, "\r\n")) {
      return at + 3;
    }
  }
  return absl::string_view::npos;
}

void NoteId(EventSplitter& reader, absl::string_view event)
{
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    if (!absl::ConsumePrefix(&line, "id:")) {
      continue;
    }
    const absl::string_view id = absl::StripAsciiWhitespace(line);
    if (id.size() <= MaxEventIdBytes && IsFieldValue(id)) {
      reader.lastId = std::string(id);
    } else {
      reader.hasUnusableId = true;
    }
  }
}

} // namespace

std::string TakeEvents(EventSplitter& reader, absl::string_view bytes)
{
  // The end may lie across what came before: look a little way back.
  constexpr std::size_t longestEnd = 3;
  std::size_t from = reader.partial.size() > longestEnd
                       ? reader.partial.size() - longestEnd
                       : 0;
  reader.partial.append(bytes.data(), bytes.size());
  std::size_t whole = 0;
  for (;;) {
    const std::size_t end = EventEnd(reader.partial, from);
    if (end == std::string::npos) {
      break;
    }
    NoteId(reader,
           absl::string_view(reader.partial).substr(whole, end - whole));
    ++reader.events;
    whole = end;
    from = end;
  }
  std::string events = reader.partial.substr(0, whole);
  reader.partial.erase(0, whole);
  return events;
}

} // namespace wg
