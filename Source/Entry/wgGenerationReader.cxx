// SPDX-License-Identifier: Apache-2.0
#include "wgGenerationReader.h"

namespace wg {

GenerationReader::GenerationReader(TokenStream& stream, const TokenSink& sink)
  : stream_(stream)
  , sink_(sink)
{
}

bool GenerationReader::Take(absl::string_view bytes)
{
  return events_.Take(
    bytes, [this](const std::string& data) { return OnEvent(data); });
}

bool GenerationReader::OnEvent(const std::string& data)
{
  GenerationEvent event;
  if (!ParseGenerationEvent(data, event)) {
    return false;
  }
  if (event.isEnd) {
    whole_ = event.index == stream_.next;
    return whole_;
  }
  const TokenVerdict verdict =
    ClassifyToken(stream_, event.index, event.token);
  if (verdict == TokenVerdict::Deliver && sink_) {
    callerLeft_ = !sink_(event.index, event.token);
  }
  return verdict != TokenVerdict::Gap && !callerLeft_;
}

} // namespace wg
