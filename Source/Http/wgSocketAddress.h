// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

/** \brief Reads IP:port, as in 127.0.0.1:7001. */
Outcome<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
  absl::string_view text);

} // namespace wg
