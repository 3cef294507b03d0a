// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "absl/strings/string_view.h"

#include "wgConfig.h"
#include "wgTokenStream.h"

namespace wg {

/** \brief The HTTP path at which a kind of stage is called. */
std::string StagePath(StageKind kind);

/** \brief The JSON body of a stage's call.
 * \param document what the stages before it have made
 * \param resumeFrom the index of the first token that is still missing
 */
std::string StageBody(StageKind kind, const nlohmann::json& document,
                      int maxTokens, std::size_t resumeFrom);

/** \brief Takes a whole (not streamed) answer into the document; false when
 * it is not what this kind of stage answers.
 */
bool TakeStageAnswer(StageKind kind, const std::string& group,
                     const std::string& body, nlohmann::json& document);

/** \class EventReader
 * \brief Splits a stream of server-sent events into their data.
 */
class EventReader
{
public:
  using OnData = std::function<bool(const std::string& data)>;
  /** \brief False when `onData` said so, or an event is too long. */
  bool Take(absl::string_view bytes, const OnData& onData);

private:
  std::string pending_;
};

/** \brief One event of a generation: a token, or the end. */
struct GenerationEvent
{
  bool isEnd = false;
  std::size_t index = 0; // of the token; at the end: the count of tokens
  std::string token;
};

/** \brief Reads an event; false when it is malformed. */
bool ParseGenerationEvent(const std::string& data, GenerationEvent& event);

} // namespace wg
