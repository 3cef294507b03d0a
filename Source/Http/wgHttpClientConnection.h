// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/dynamic_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "wgElapsed.h"
#include "wgHttpClient.h"
#include "wgLoopTimer.h"

namespace wg {
namespace detail {

/** \class HttpClientConnection
 * \brief A connection to an endpoint, in a call or at rest.
 *
 * At rest it is still read from, so that its end, or bytes that belong to no
 * call, are noticed before it is used again.
 */
class HttpClientConnection
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  HttpClientConnection(HttpClient& client, EventLoop& loop,
                       std::string address);
  ~HttpClientConnection();

  void Begin(std::string request, const HttpCallOptions& options,
             HttpCallHandler handler);
  /** \brief Ends a call without telling its handler. */
  void Cancel();
  void Close();
  /** \brief The client is gone; nothing of it may be used any more. */
  void Detach() { client_ = nullptr; }

  const std::string& Address() const { return address_; }
  Elapsed RestingSince() const { return restingSince_; }
  Elapsed RestsUntil() const { return restsUntil_; }

private:
  /** Unlike a string body this reserves no room for the length in a head. */
  using Body =
    boost::beast::http::basic_dynamic_body<boost::beast::flat_buffer>;
  using Parser = boost::beast::http::response_parser<Body>;

  void Connect(absl::Duration timeout);
  void NoteConnect(ConnectResult result);
  void OnConnected(boost::system::error_code error);
  void Send();
  void OnSent(boost::system::error_code error);
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void StartParser();
  void ParseInput();
  bool TellHead();
  void TellBody();
  void OnInputEnd(boost::system::error_code error);
  void EndByClose();
  void CompleteCall();
  void EndUnsound(const UnsoundAnswer& answer);
  void EndCall(HttpCallEnd end);

  HttpClient* client_;
  EventLoop& loop_;
  std::string address_;
  boost::asio::ip::tcp::socket socket_;
  LoopTimer connectTimer_;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  HttpCallHandler handler_;
  std::string request_;
  Elapsed restingSince_;
  Elapsed restsUntil_;
  bool answerHasBody_ = true;
  bool inCall_ = false;
  bool connected_ = false;
  bool isReading_ = false;
  bool requestSent_ = false;
  boost::system::error_code sendError_;
  bool headTold_ = false;
  int interimHeads_ = 0; // of this call
  bool closed_ = false;
};

} // namespace detail
} // namespace wg
