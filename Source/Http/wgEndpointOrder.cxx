// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointOrder.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "wgHttpFetch.h"
#include "wgJson.h"

namespace wg {
namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

} // namespace

Outcome<Done> SendOrder(const EndpointAddress& address,
                        const EndpointOrder& order, absl::Duration timeout)
{
  const nlohmann::json body{ { "fence", order.fence },
                             { order.what, order.name } };
  constexpr int http11 = 11;
  HttpRequest request(boost::beast::http::verb::post, "/v1/orders", http11);
  request.set(boost::beast::http::field::content_type, "application/json");
  request.body() = PrintJson(body);
  const Outcome<HttpResponse> result =
    Fetch(absl::StrCat(address.host, ":", address.port), std::move(request),
          { timeout });
  const std::string place =
    absl::StrCat("The endpoint at ", address.host, ":", address.port);
  if (!Succeeded(result)) {
    return Error{ absl::StrCat(place, " gave no answer (", Message(result),
                               "); the order may have been taken. Give it "
                               "again.") };
  }
  const unsigned status = Value(result).result_int();
  if (status == StatusConflict) {
    return Error{ absl::StrCat(place, " refused fence ", order.fence,
                               ": it has taken a later order.") };
  }
  if (status != StatusOk) {
    return Error{ absl::StrCat(place, " answered with status ", status,
                               "; look at its log.") };
  }
  return Done{};
}

} // namespace wg
