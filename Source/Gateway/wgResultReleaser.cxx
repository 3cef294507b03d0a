// SPDX-License-Identifier: Apache-2.0
#include "wgResultReleaser.h"

#include <chrono>
#include <utility>

namespace wg {
namespace {

namespace http = boost::beast::http;

/** Results that are given up within this time go in one call. */
constexpr auto GatherTime = std::chrono::milliseconds(10);
/** It needs no work: what is not answered by then is left to the lifetime. */
constexpr absl::Duration AnswerTimeout = absl::Seconds(5);
/** The answer is its status. */
constexpr std::size_t MaxAnswerBytes = 64U << 10U;

} // namespace

ResultReleaser::ResultReleaser(EventLoop& loop, HttpClient& client,
                               Directory& directory, const Dialect& dialect,
                               TermsTracker& terms, GatewayMetrics& metrics)
  : loop_(loop)
  , client_(client)
  , startCall_(DirectCalls(client, directory))
  , directory_(directory)
  , dialect_(dialect)
  , terms_(terms)
  , metrics_(metrics)
  , timer_(loop)
{
}

void ResultReleaser::Release(absl::Span<const std::string> handles)
{
  for (const std::string& handle : handles) {
    pending_[dialect_.addressOfResult(handle)].push_back(handle);
  }
  if (pending_.empty() || std::exchange(armed_, true)) {
    return;
  }
  timer_.expires_after(GatherTime);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Flush();
    }
  });
}

void ResultReleaser::Flush()
{
  armed_ = false;
  for (auto& [address, handles] : std::exchange(pending_, {})) {
    Send(address, handles);
  }
}

/** What is lost here is given up by the endpoint after the results' lifetime.
 */
void ResultReleaser::Send(const std::string& address,
                          const std::vector<std::string>& handles)
{
  const DirectoryEndpoint* maker = FindByAddress(directory_, address);
  const bool isClosed =
    maker != nullptr &&
    (IsLimited(*maker) || IsBackingOff(maker->terms, ElapsedNow()));
  if (isClosed) { // work needs what its limit allows
    metrics_.Count("releases_left_out");
    return;
  }
  HttpRequest request = dialect_.makeRelease(handles);
  request.set(boost::beast::http::field::host, address);
  std::string makerId;
  if (maker != nullptr) {
    request.set(dialect_.fields.endpoint, maker->start.name);
    makerId = maker->id;
  }
  const std::uint64_t number = nextCall_++;
  Call& call = calls_[number];
  call.maker = makerId;
  HttpCallHandler handler;
  handler.onHead = [this, number, makerId](const HttpHead& head, BodyFraming) {
    calls_[number].status = head.result_int();
    if (head.result() != http::status::misdirected_request) {
      // Such an answer may leave out what answers to work say.
      terms_.Heard(makerId, head, Elapsed());
    }
    return true;
  };
  handler.onBody = [this, number](absl::string_view bytes) {
    OnBody(number, bytes.size());
  };
  handler.onEnd = [this, number, handles](HttpCallEnd end) {
    // Until the end: this handler is part of the call.
    const auto node = calls_.extract(number);
    const bool gone =
      IsAnswered(end) &&
      node.mapped().status == static_cast<unsigned>(http::status::ok);
    if (gone && confirmed_) {
      confirmed_(handles);
    }
  };
  call.timer = std::make_unique<LoopTimer>(
    loop_, absl::ToChronoMilliseconds(AnswerTimeout));
  call.timer->async_wait([this, number](boost::system::error_code error) {
    if (!error) {
      OnLate(number);
    }
  });
  std::string text = PrintRequest(std::move(request));
  call.http = maker != nullptr
                ? startCall_(*maker, std::move(text), std::move(handler)).http
                : client_.Start(RouteTo(directory_.routes, address),
                                std::move(text), {}, std::move(handler));
}

void ResultReleaser::OnBody(std::uint64_t number, std::size_t bytes)
{
  Call& call = calls_[number];
  call.answerBytes += bytes;
  if (call.answerBytes > MaxAnswerBytes) {
    metrics_.Count("release_answers_too_long");
    NoteTrouble(call);
    calls_.erase(number);
  }
}

void ResultReleaser::OnLate(std::uint64_t number)
{
  const auto node = calls_.extract(number);
  if (node.empty()) {
    return;
  }
  metrics_.Count("releases_late");
  if (node.mapped().status != 0) { // it began to answer
    NoteTrouble(node.mapped());
  }
}

void ResultReleaser::NoteTrouble(const Call& call)
{
  if (DirectoryEndpoint* maker = FindEndpoint(directory_, call.maker)) {
    NoteAttempt(*maker, true, ElapsedNow());
  }
}

} // namespace wg
