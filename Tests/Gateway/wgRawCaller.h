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
      ReadSome();
    }
    return got_;
  }
  std::string ReadAll() { return ReadUntil("\x01never\x01"); }
  /** Reads one answer with a length, or what comes before the end. */
  std::string ReadAnswer()
  {
    const std::string field = "Content-Length: ";
    got_.clear();
    ReadUntil("\r\n\r\n");
    const std::size_t head = got_.find("\r\n\r\n");
    const std::size_t at = got_.find(field);
    if (head == std::string::npos || at > head) {
      return ReadAll();
    }
    const std::size_t length = std::stoul(got_.substr(at + field.size()));
    while (!end_ && got_.size() < head + 4 + length) {
      ReadSome();
    }
    return got_;
  }
  bool HasEnded() const { return static_cast<bool>(end_); }
  void Close() { socket_.close(); }
  /** How the connection ended; no error: it has not. */
  boost::system::error_code End() const { return end_; }

private:
  void ReadSome()
  {
    char bytes[4096];
    const std::size_t n = socket_.read_some(boost::asio::buffer(bytes), end_);
    got_.append(bytes, n);
  }

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
  std::string got_;
  boost::system::error_code end_;
};

} // namespace wg::test
