// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "wgElapsed.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"
#include "wgOutcome.h"

namespace wg {

namespace detail {
class HttpServerConnection;
}

/** \class HttpExchange
 * \brief A caller's request and the answer to it, whole or as a stream.
 *
 * Once the caller has left, everything written is dropped.
 */
class HttpExchange
{
public:
  using Connection = detail::HttpServerConnection;

  HttpExchange(std::weak_ptr<Connection> connection, HttpRequest request);

  const HttpRequest& Request() const { return request_; }
  HttpRequest& Request() { return request_; }
  Elapsed Arrived() const { return arrived_; }

  /** \brief Called once if the caller leaves before the answer's end. */
  void OnCallerLeft(std::function<void()> handler);

  /** \brief Answers as a whole; a length is set where the framing is
   * explicit. One that is framed by the close ends the connection.
   */
  void Respond(HttpResponse response,
               BodyFraming framing = BodyFraming::Explicit);

  /** \brief Starts an answer in chunks, or one that its connection ends. */
  void StartStream(HttpHead head, BodyFraming framing = BodyFraming::Explicit);
  void WriteStream(absl::string_view bytes);
  /** \brief Ends a stream as complete. */
  void FinishStream();

  /** \brief Ends the connection so that the answer can't look complete. */
  void Abort();

  bool HasStarted() const { return started_; }
  bool IsOver() const { return over_; }

private:
  friend class detail::HttpServerConnection;
  void NoteCallerLeft();
  void Write(std::string bytes);
  void PrepareHead(HttpHead& head);
  bool KeepsConnection() const;

  std::weak_ptr<Connection> connection_;
  HttpRequest request_;
  Elapsed arrived_;
  std::function<void()> onCallerLeft_;
  bool started_ = false;
  bool over_ = false;
  BodyFraming framing_ = BodyFraming::Explicit;
};

/** \class HttpServer
 * \brief Reads requests on one address and hands each, whole, to a handler.
 */
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  /** \brief Whether a new connection is taken, else it is closed unread. */
  using TakesConnection = std::function<bool()>;

  HttpServer(EventLoop& loop, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Outcome<Done> Start(const std::string& host, int port);

  /** \brief Takes effect for what is read from now on. */
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }

  /** \brief Without it all are taken, up to HttpLimits::connections. */
  void SetTakesConnection(TakesConnection takes) { takes_ = std::move(takes); }

  /** \brief From now on each answer ends its connection, and connections at
   * rest end after `rest`.
   */
  void StartDraining(absl::Duration rest);

  std::size_t OpenConnections() const { return connections_.size(); }
  /** \brief Requests that are being read or answered. */
  std::size_t ActiveRequests() const;
  /** \brief Bytes of answers that wait for callers. */
  std::size_t OutputBytes() const { return outputBytes_; }
  /** \brief Requests that were refused for the bodies of others. */
  std::uint64_t RefusedBodies() const { return refusedBodies_; }
  int Port() const;

private:
  friend class detail::HttpServerConnection;
  void Accept();
  bool AcceptNext();
  void Sweep();
  void ArmSweep();

  EventLoop& loop_;
  Handler handler_;
  TakesConnection takes_;
  HttpLimits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LoopTimer sweepTimer_;
  /** A completion may be queued already when the server is destroyed. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool sweepArmed_ = false;
  std::size_t outputBytes_ = 0;  // that wait for callers
  std::size_t requestBytes_ = 0; // of bodies that are read or answered
  std::uint64_t refusedBodies_ = 0;
  bool draining_ = false;
  Elapsed restUntil_ = absl::InfiniteDuration();
  std::unordered_map<detail::HttpServerConnection*,
                     std::shared_ptr<detail::HttpServerConnection>>
    connections_;
};

} // namespace wg
