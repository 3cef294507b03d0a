// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointOrder.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "wgJson.h"

namespace wg {
namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

} // namespace

Outcome<Done> SendOrder(const EndpointAddress& address,
                        const EndpointOrder& order, absl::Duration timeout)
{
  httplib::Client client(address.host, address.port);
  const auto microseconds = absl::ToInt64Microseconds(timeout);
  client.set_connection_timeout(microseconds / 1000000,
                                microseconds % 1000000);
  client.set_read_timeout(microseconds / 1000000, microseconds % 1000000);
  const nlohmann::json body{ { "fence", order.fence },
                             { order.what, order.name } };
  const httplib::Result result =
    client.Post("/v1/orders", PrintJson(body), "application/json");
  const std::string place =
    absl::StrCat("The endpoint at ", address.host, ":", address.port);
  if (!result) {
    return Error{ absl::StrCat(place, " gave no answer; the order may have "
                                      "been taken. Give it again.") };
  }
  if (result->status == StatusConflict) {
    return Error{ absl::StrCat(place, " refused fence ", order.fence,
                               ": it has taken a later order.") };
  }
  if (result->status != StatusOk) {
    return Error{ absl::StrCat(place, " answered with status ", result->status,
                               "; look at its log.") };
  }
  return Done{};
}

} // namespace wg
