// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

namespace httplib {
class Server;
}

namespace wg {

/** \brief Binds a server to an address that no other process uses, and lets
 * a burst of connections wait; the library's own bound of five drops them,
 * and a dropped one is tried again only a second later.
 */
bool BindForBursts(httplib::Server& server, const std::string& host, int port);

} // namespace wg
