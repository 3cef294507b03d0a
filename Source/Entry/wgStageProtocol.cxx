// SPDX-License-Identifier: Apache-2.0
#include "wgStageProtocol.h"

#include "wgJson.h"

namespace wg {
namespace {

constexpr std::size_t MaxEventBytes = 1U << 20U;
constexpr absl::string_view DataPrefix = "data: ";

using Json = nlohmann::json;

std::string MakePrompt(const Json& document)
{
  std::string prompt = TextOr(document, "input", "");
  if (document.contains("ranked") && document["ranked"].is_array()) {
    for (const Json& text : document["ranked"]) {
      prompt += "\n" + (text.is_string() ? text.get<std::string>() : "");
    }
  }
  return prompt;
}

Json GenerateBody(const Json& document, int maxTokens, std::size_t resumeFrom)
{
  return { { "prompt", MakePrompt(document) },
           { "max_tokens", maxTokens },
           { "stream", true },
           { "resume_from", resumeFrom } };
}

bool TakeEncode(const Json& answer, Json& document)
{
  const bool sound = answer.contains("data") && answer["data"].is_array() &&
                     !answer["data"].empty() &&
                     answer["data"][0].contains("embedding");
  if (sound) {
    document["embedding"] = answer["data"][0]["embedding"];
  }
  return sound;
}

bool TakeRetrieve(const Json& answer, Json& document)
{
  const bool sound =
    answer.contains("documents") && answer["documents"].is_array();
  if (sound) {
    document["documents"] = answer["documents"];
  }
  return sound;
}

bool TakeRerank(const Json& answer, Json& document)
{
  if (!answer.contains("results") || !answer["results"].is_array()) {
    return false;
  }
  const Json documents = document.value("documents", Json::array());
  Json ranked = Json::array();
  for (const Json& result : answer["results"]) {
    const bool sound = result.contains("index") &&
                       result["index"].is_number_unsigned() &&
                       result["index"].get<std::size_t>() < documents.size();
    if (!sound) {
      return false;
    }
    ranked.push_back(documents[result["index"].get<std::size_t>()]);
  }
  document["ranked"] = std::move(ranked);
  return true;
}

bool TakeService(const std::string& group, const Json& answer, Json& document)
{
  if (!answer.is_object()) {
    return false;
  }
  document["services"][group] = answer;
  return true;
}

} // namespace

std::string StagePath(StageKind kind)
{
  switch (kind) {
    case StageKind::Encode:
      return "/v1/embeddings";
    case StageKind::Retrieve:
      return "/v1/retrieve";
    case StageKind::Rerank:
      return "/v1/rerank";
    case StageKind::Generate:
      return "/v1/completions";
    case StageKind::Service:
      break;
  }
  return "/v1/call";
}

std::string StageBody(StageKind kind, const Json& document, int maxTokens,
                      std::size_t resumeFrom)
{
  const Json input = document.value("input", Json());
  Json body;
  switch (kind) {
    case StageKind::Encode:
      body = { { "input", input } };
      break;
    case StageKind::Retrieve:
      body = { { "query", input },
               { "embedding", document.value("embedding", Json()) } };
      break;
    case StageKind::Rerank:
      body = { { "query", input },
               { "documents", document.value("documents", Json::array()) } };
      break;
    case StageKind::Generate:
      body = GenerateBody(document, maxTokens, resumeFrom);
      break;
    case StageKind::Service:
      body = { { "input", input }, { "text", TextOr(document, "text", "") } };
      break;
  }
  return PrintJson(body);
}

bool TakeStageAnswer(StageKind kind, const std::string& group,
                     const std::string& body, Json& document)
{
  const Json answer = Json::parse(body, nullptr, false);
  if (answer.is_discarded() || !answer.is_object()) {
    return false;
  }
  switch (kind) {
    case StageKind::Encode:
      return TakeEncode(answer, document);
    case StageKind::Retrieve:
      return TakeRetrieve(answer, document);
    case StageKind::Rerank:
      return TakeRerank(answer, document);
    case StageKind::Service:
      return TakeService(group, answer, document);
    case StageKind::Generate:
      break;
  }
  return false; // a generation is streamed
}

bool EventReader::Take(absl::string_view bytes, const OnData& onData)
{
  pending_.append(bytes.data(), bytes.size());
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = pending_.find("\n\n", start);
    if (end == std::string::npos) {
      break;
    }
    const std::string event = pending_.substr(start, end - start);
    start = end + 2;
    const bool isData = event.compare(0, DataPrefix.size(), DataPrefix.data(),
                                      DataPrefix.size()) == 0;
    if (isData && !onData(event.substr(DataPrefix.size()))) {
      return false;
    }
  }
  pending_.erase(0, start);
  return pending_.size() <= MaxEventBytes;
}

bool ParseGenerationEvent(const std::string& data, GenerationEvent& event)
{
  const Json json = Json::parse(data, nullptr, false);
  const bool sound = json.is_object() && json.contains("index") &&
                     json["index"].is_number_unsigned();
  if (!sound) {
    return false;
  }
  event.index = json["index"].get<std::size_t>();
  event.isEnd = TextOr(json, "finish_reason", "") == "stop";
  if (json.contains("token") && json["token"].is_string()) {
    event.token = json["token"].get<std::string>();
  }
  return true;
}

} // namespace wg
