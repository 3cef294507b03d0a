// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wgDirectory.h"
#include "wgHttpClient.h"

namespace wg {

/** \brief A call of an endpoint, and the box that relays it; empty: none. */
struct EndpointCallStarted
{
  std::unique_ptr<HttpCall> http;
  std::string relay;
};

/** \brief Calls an endpoint, by whatever way this box reaches it. */
using StartEndpointCall = std::function<EndpointCallStarted(
  const DirectoryEndpoint& endpoint, std::string request,
  HttpCallHandler handler)>;

/** \brief Calls endpoints over connections of this box alone. */
inline StartEndpointCall DirectCalls(HttpClient& client,
                                     const Directory& directory)
{
  return [&client, &directory](const DirectoryEndpoint& endpoint,
                               std::string request, HttpCallHandler handler) {
    return EndpointCallStarted{ client.Start(
                                  RouteTo(directory.routes, endpoint.address),
                                  std::move(request), {}, std::move(handler)),
                                "" };
  };
}

} // namespace wg
