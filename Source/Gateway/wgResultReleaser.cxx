// SPDX-License-Identifier: Apache-2.0
#include "wgResultReleaser.h"

#include <chrono>
#include <utility>

namespace wg {
namespace {

namespace http = boost::beast::http;

/** Results that are given up within this time go in one call. */
constexpr auto GatherTime = std::chrono::milliseconds(10);

} // namespace

ResultReleaser::ResultReleaser(EventLoop& loop, HttpClient& client,
                               Directory& directory, const Dialect& dialect,
                               TermsTracker& terms, GatewayMetrics& metrics)
  : client_(client)
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
  HttpCallHandler handler;
  auto status = std::make_shared<unsigned>(0);
  handler.onHead = [this, status, makerId](const HttpHead& head, BodyFraming) {
    *status = head.result_int();
    if (head.result() != http::status::misdirected_request) {
      // Such an answer may leave out what answers to work say.
      terms_.Heard(makerId, head, Elapsed());
    }
    return true;
  };
  handler.onBody = [](absl::string_view) {};
  handler.onEnd = [this, number, status, handles](HttpCallEnd end) {
    const bool gone =
      IsAnswered(end) && *status == static_cast<unsigned>(http::status::ok);
    // Until the end: this handler is part of the call.
    const auto call = calls_.extract(number);
    if (gone && confirmed_) {
      confirmed_(handles);
    }
  };
  calls_[number] =
    client_.Start(RouteTo(directory_.routes, address),
                  PrintRequest(std::move(request)), {}, std::move(handler));
}

} // namespace wg
