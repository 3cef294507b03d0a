// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/system/error_code.hpp>

#include "absl/strings/string_view.h"

#include "wgAnswerHead.h"
#include "wgElapsed.h"
#include "wgHttpMessage.h"

namespace wg {

namespace detail {
class HttpClientConnection;
}

/** \brief How a call ended. */
enum class HttpCallEnd
{
  Complete,     // whole by its length, its last chunk, or having no body
  EndedByClose, // no length and no chunks: only the connection's orderly end,
                // and no error of what was sent over it
  NotConnected, // refused; no byte was sent
  Unreached,    // no answer to the attempt to connect; no byte was sent
  Cut,          // broken off, or no sound answer; it may have been carried out
  Refused       // the handler refused the answer's head
};

/** \brief Whether an answer came to an end that its endpoint may have meant.
 */
inline bool IsAnswered(HttpCallEnd end)
{
  return end == HttpCallEnd::Complete || end == HttpCallEnd::EndedByClose;
}

/** \brief What is told of a call while it goes on. */
struct HttpCallHandler
{
  /** \brief The answer's head; false ends the call as Refused. */
  std::function<bool(const HttpHead&, BodyFraming)> onHead;
  std::function<void(absl::string_view)> onBody;
  /** \brief Before onEnd(Cut): the answer is not sound. May be empty. */
  std::function<void(const UnsoundAnswer&)> onUnsound;
  /** \brief Once, and last; not after Cancel. */
  std::function<void(HttpCallEnd)> onEnd;
};

/** \brief What came of a new connection that was tried. */
enum class ConnectResult
{
  Connected,
  Refused, // a box answered, and nothing listens there
  NoAnswer
};

ConnectResult ConnectResultOf(boost::system::error_code error);

/** \brief How a call is to be made. */
struct HttpCallOptions
{
  absl::Duration connectTimeout = absl::Milliseconds(200);
  /** A kept connection is used only if it has rested no longer. */
  absl::Duration maxRest = absl::Seconds(4);
  bool answerHasBody = true; // false for HEAD
};

/** \class HttpCall
 * \brief One request to an endpoint. To let go of it ends it.
 */
class HttpCall
{
public:
  ~HttpCall();
  /** \brief Ends the call by closing its connection; no handler runs any
   * more.
   */
  void Cancel();

private:
  friend class HttpClient;
  std::shared_ptr<detail::HttpClientConnection> connection_;
};

/** \class HttpClient
 * \brief Calls endpoints, one request at a time on a connection, and keeps
 * connections that may be used again.
 */
class HttpClient
{
public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** \brief Calls `address` (IP:port) with a request's bytes. */
  std::unique_ptr<HttpCall> Start(const std::string& address,
                                  std::string request,
                                  const HttpCallOptions& options,
                                  HttpCallHandler handler);

  using ConnectObserver =
    std::function<void(const std::string& address, ConnectResult result)>;
  /** \brief Is told what comes of each new connection. */
  void OnConnect(ConnectObserver observer)
  {
    connectObserver_ = std::move(observer);
  }

  using UnsoundObserver =
    std::function<void(const std::string& address, const UnsoundAnswer&)>;
  /** \brief Is told of each answer that is not sound. */
  void OnUnsound(UnsoundObserver observer)
  {
    unsoundObserver_ = std::move(observer);
  }

  /** \brief Open connections to an address, in use or at rest. */
  std::size_t OpenConnections(const std::string& address) const;

  /** \brief Whether a kept connection would be used. */
  bool HasResting(const std::string& address, absl::Duration maxRest) const;

  /** \brief Closes the connections at rest to an address. */
  void Forget(const std::string& address);

private:
  friend class detail::HttpClientConnection;
  using Connection = detail::HttpClientConnection;
  std::shared_ptr<Connection> TakeResting(const std::string& address,
                                          absl::Duration maxRest);
  void PutResting(const std::shared_ptr<Connection>& connection);
  void RemoveResting(const Connection& connection);
  void NoteConnect(const std::string& address, ConnectResult result);
  void NoteUnsound(const std::string& address, const UnsoundAnswer& answer);
  void NoteOpened(const std::string& address);
  void NoteClosed(const std::string& address);

  EventLoop& loop_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> resting_;
  std::map<std::string, std::size_t> open_;
  ConnectObserver connectObserver_;
  UnsoundObserver unsoundObserver_;
};

} // namespace wg
