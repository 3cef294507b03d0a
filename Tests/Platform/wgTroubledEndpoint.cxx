// SPDX-License-Identifier: Apache-2.0
#include "wgTroubledEndpoint.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

constexpr const char* RequestField = "X-Weirgate-Attempt-Id";
/** Of the faults that a draw can give, the first is none. */
constexpr int Faults = 6;
constexpr int MostPauseMs = 20;
/** Of a shorter request nothing may be unread, and a close is orderly. */
constexpr std::int64_t LeastUnreadBytes = 1 << 20;

std::string Fields(const std::string& request, const std::string& endpoint)
{
  return absl::StrCat(RequestField, ": ", request,
                      "\r\nX-Weirgate-Server-Seal: ", endpoint, "\r\n");
}

} // namespace

TroubledEndpoint::TroubledEndpoint(std::string id, std::uint64_t seed)
  : id_(id)
  , random_(seed)
  , endpoint_(
      std::move(id), [this](const auto& request) { return Answer(request); },
      [this](const auto& head) { return AnswerEarly(head); })
{
}

std::map<std::string, int> TroubledEndpoint::RunsByRequest()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

TroubledEndpoint::Fault TroubledEndpoint::DrawFault()
{
  const int drawn =
    std::uniform_int_distribution<int>(0, 2 * Faults - 1)(random_);
  return inTrouble_ && drawn < Faults ? static_cast<Fault>(drawn)
                                      : Fault::None;
}

std::optional<ScriptedAnswer> TroubledEndpoint::AnswerEarly(
  const HttpRequest& head)
{
  const std::string request(FieldOf(head, RequestField));
  const std::lock_guard<std::mutex> lock(mutex_);
  const Fault fault = faults_[request] = DrawFault();
  if (fault != Fault::EarlyCut) {
    return std::nullopt;
  }
  ++runs_[request];
  ScriptedAnswer answer = MakeBroken(fault, request);
  const bool isLong = NumberOf(head, "Content-Length", 0) > LeastUnreadBytes;
  if (isLong && answer.pause > absl::Milliseconds(MostPauseMs / 2)) {
    answer.close = AnswerClose::CloseUnread;
  }
  return answer;
}

ScriptedAnswer TroubledEndpoint::Answer(const HttpRequest& request)
{
  const std::string name(FieldOf(request, RequestField));
  const std::lock_guard<std::mutex> lock(mutex_);
  ++runs_[name];
  const Fault fault = faults_[name];
  if (fault != Fault::None) {
    return MakeBroken(fault, name);
  }
  const std::string body = absl::StrCat(name, "|", request.body());
  return { absl::StrCat("HTTP/1.1 200 OK\r\n", Fields(name, id_),
                        "Content-Length: ", body.size(), "\r\n\r\n", body) };
}

ScriptedAnswer TroubledEndpoint::MakeBroken(Fault fault, const std::string& id)
{
  ++broken_;
  const auto draw = [this](int most) {
    return std::uniform_int_distribution<int>(0, most)(random_);
  };
  const std::string fields = Fields(id, id_);
  const std::string body = absl::StrCat(id, "|part");
  const std::string length =
    absl::StrCat("Content-Length: ", body.size(), "\r\n");
  const std::string statuses[] = { "000", "099", "101", "600", "999" };
  const std::string codings[] = { "gzip", "chunked, gzip", "xchunked" };
  const std::string lines[] = { "X Bad: 1", "X\x01: 1", "X-Bad : 1", "none" };
  switch (fault) {
    case Fault::Status:
      return { absl::StrCat("HTTP/1.1 ", statuses[draw(4)], " Odd\r\n", fields,
                            length, "\r\n", body),
               draw(1) == 0 ? AnswerClose::KeepOpen : AnswerClose::Finish };
    case Fault::Coding:
      return { absl::StrCat("HTTP/1.1 200 OK\r\n", fields,
                            "Transfer-Encoding: ", codings[draw(2)],
                            "\r\n\r\n", body),
               AnswerClose::Finish };
    case Fault::Head:
      return { absl::StrCat("HTTP/1.1 200 OK\r\n", lines[draw(3)], "\r\n",
                            fields, length, "\r\n", body) };
    default:
      return { absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "\r\n", body),
               AnswerClose::Reset, absl::Milliseconds(draw(MostPauseMs)) };
  }
}

} // namespace wg::test
