// SPDX-License-Identifier: Apache-2.0
#include "wgSocketAddress.h"

#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wg {

Outcome<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
  absl::string_view text)
{
  constexpr int maxPort = 65535;
  const std::size_t colon = text.rfind(':');
  int port = 0;
  boost::system::error_code error;
  boost::asio::ip::address address;
  const bool split = colon != absl::string_view::npos &&
                     absl::SimpleAtoi(text.substr(colon + 1), &port);
  if (split) {
    address =
      boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  }
  if (!split || error || port < 1 || port > maxPort) {
    return Error{ absl::StrCat("\"", text,
                               "\" is no IP number and port; write it as "
                               "127.0.0.1:7001.") };
  }
  return boost::asio::ip::tcp::endpoint(address,
                                        static_cast<std::uint16_t>(port));
}

} // namespace wg
