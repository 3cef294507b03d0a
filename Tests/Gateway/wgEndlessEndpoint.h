// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "absl/time/time.h"

#include "wgHttpMessage.h"

namespace wg::test {

/** \brief Bytes that don't end before the caller closes. */
struct EndlessBytes
{
  std::string begin;
  std::string unit;     // again and again after it; empty: nothing more
  absl::Duration pause; // before each unit; none: as fast as the link bears
};

/** \class EndlessEndpoint
 * \brief An endpoint that answers each request with bytes that don't end, on
 * a thread of its own.
 */
class EndlessEndpoint
{
public:
  /** \brief Runs on the endpoint's thread. */
  using Script = std::function<EndlessBytes(const HttpRequest& request)>;

  explicit EndlessEndpoint(Script script);
  ~EndlessEndpoint();
  EndlessEndpoint(const EndlessEndpoint&) = delete;
  EndlessEndpoint& operator=(const EndlessEndpoint&) = delete;

  std::string Address() const;
  /** \brief Requests so far. */
  int Asked() const { return asked_; }
  /** \brief Connections with an answer that its caller has not closed. */
  int Open() const { return open_; }

private:
  struct Connection;

  void Accept();
  void ReadRequest(const std::shared_ptr<Connection>& connection);
  void Write(const std::shared_ptr<Connection>& connection,
             const std::string& bytes);
  void WriteUnit(const std::shared_ptr<Connection>& connection);

  Script script_;
  std::atomic<int> asked_{ 0 };
  std::atomic<int> open_{ 0 };
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

} // namespace wg::test
