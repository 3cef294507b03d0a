// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>

#include "wgOutcome.h"

namespace wg {

/** \brief Addresses under which this box reaches endpoints, where these are
 * not the ones that they register: by the registered address, both IP:port.
 */
struct EndpointRoutes
{
  std::map<std::string, std::string> via;
  std::map<std::string, std::string> registered; // the other way round
};

/** \brief The address to connect to for an endpoint that registered this one.
 */
const std::string& RouteTo(const EndpointRoutes& routes,
                           const std::string& address);

/** \brief The address that an endpoint registered which is reached at this
 * one.
 */
const std::string& RegisteredAt(const EndpointRoutes& routes,
                                const std::string& address);

/** \brief Reads a file with a line "REGISTERED REACHED" for each address. */
Outcome<EndpointRoutes> ReadEndpointRoutes(const std::string& path);

} // namespace wg
