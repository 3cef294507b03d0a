// SPDX-License-Identifier: Apache-2.0
#include "wgHttpFetch.h"

#include <utility>

#include "wgHttpClient.h"

namespace wg {

std::optional<HttpResponse> Fetch(const std::string& address,
                                  HttpRequest request,
                                  const FetchLimits& limits)
{
  EventLoop loop;
  HttpClient client(loop);
  HttpResponse response;
  bool isWhole = false;
  HttpCallHandler handler;
  handler.onHead = [&response](const HttpHead& head, BodyFraming) {
    response.base() = head;
    return true;
  };
  handler.onBody = [&](absl::string_view bytes) {
    if (response.body().size() + bytes.size() > limits.bodyBytes) {
      loop.stop();
      return;
    }
    response.body().append(bytes.data(), bytes.size());
  };
  handler.onEnd = [&](HttpCallEnd end) {
    isWhole = IsAnswered(end);
    loop.stop();
  };
  request.set(boost::beast::http::field::host, address);
  HttpCallOptions options;
  options.connectTimeout = limits.timeout;
  const auto call = client.Start(address, PrintRequest(std::move(request)),
                                 options, std::move(handler));
  loop.run_for(absl::ToChronoNanoseconds(limits.timeout));
  if (!isWhole) {
    return std::nullopt;
  }
  return response;
}

} // namespace wg
