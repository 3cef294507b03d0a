// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/match.h"

namespace wg::test {

/** \class RawCaller
 * \brief A caller that writes and reads bytes as it likes.
 */
class RawCaller
{
public:
  explicit RawCaller(int port)
    : socket_(loop_)
  {
    socket_.connect({ boost::asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(port) });
  }
  void Send(const std::string& bytes)
  {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }
  /** Reads until the text has come, or the connection ends. */
  std::string ReadUntil(const std::string& text)
  {
    while (!end_ && !absl::StrContains(got_, text)) {
      char bytes[4096];
      const std::size_t n =
        socket_.read_some(boost::asio::buffer(bytes), end_);
      got_.append(bytes, n);
    }
    return got_;
  }
  std::string ReadAll() { return ReadUntil("\x01never\x01"); }
  void Close() { socket_.close(); }
  /** How the connection ended; no error: it has not. */
  boost::system::error_code End() const { return end_; }

private:
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
  std::string got_;
  boost::system::error_code end_;
};

} // namespace wg::test
