// SPDX-License-Identifier: Apache-2.0
#include "wgHttpFetch.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

#include "wgHttpClient.h"
#include "wgRunLoop.h"

namespace wg {
namespace {

absl::string_view DescribeEnd(HttpCallEnd end)
{
  return end == HttpCallEnd::NotConnected || end == HttpCallEnd::Unreached
           ? "can't be connected to"
           : "cut its answer off";
}

} // namespace

Outcome<HttpResponse> Fetch(const std::string& address, HttpRequest request,
                            const FetchLimits& limits)
{
  EventLoop loop;
  HttpClient client(loop);
  HttpResponse response;
  std::optional<HttpCallEnd> ended;
  bool isTooLong = false;
  std::optional<UnsoundAnswer> unsound;
  HttpCallHandler handler;
  handler.onHead = [&response](const HttpHead& head, BodyFraming) {
    response.base() = head;
    return true;
  };
  handler.onBody = [&](absl::string_view bytes) {
    isTooLong |= response.body().size() + bytes.size() > limits.bodyBytes;
    if (isTooLong) {
      loop.stop();
      return;
    }
    response.body().append(bytes.data(), bytes.size());
  };
  handler.onUnsound = [&unsound](const UnsoundAnswer& answer) {
    unsound = answer;
  };
  handler.onEnd = [&](HttpCallEnd end) {
    ended = end;
    loop.stop();
  };
  if (!SetField(request, "Host", address)) {
    return Error{ "The address is no IP:port" };
  }
  request.set(boost::beast::http::field::connection, "close");
  HttpCallOptions options;
  options.connectTimeout = limits.timeout;
  const auto call = client.Start(address, PrintRequest(std::move(request)),
                                 options, std::move(handler));
  RunCallLoop(loop, limits.timeout);
  if (isTooLong) {
    return Error{ absl::StrCat(address, " sent more than ", limits.bodyBytes,
                               " bytes") };
  }
  if (!ended) {
    return Error{ absl::StrCat(address, " gave no whole answer within ",
                               absl::FormatDuration(limits.timeout)) };
  }
  if (unsound) {
    return Error{ absl::StrCat(address, " sent an answer that is not sound: ",
                               NameOf(unsound->fault), " ", unsound->detail) };
  }
  if (!IsAnswered(*ended)) {
    return Error{ absl::StrCat(address, " ", DescribeEnd(*ended)) };
  }
  return response;
}

} // namespace wg
