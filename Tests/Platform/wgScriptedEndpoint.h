// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "absl/time/time.h"

#include "wgHttpMessage.h"

namespace wg::test {

/** \brief What an endpoint does after the bytes of an answer. */
enum class AnswerClose
{
  KeepOpen,
  Finish,      // an orderly end of the connection (FIN)
  Reset,       // RST, with SO_LINGER 0
  CloseUnread, // close() while bytes of the request are unread
  Drain        // FIN; the rest of the request is read and dropped
};

struct ScriptedAnswer
{
  std::string bytes;
  AnswerClose close = AnswerClose::KeepOpen;
  absl::Duration pause =
    absl::ZeroDuration(); // between the bytes and the close
};

/** \class ScriptedEndpoint
 * \brief An endpoint that answers each request with the bytes that a script
 * gives, sound or not.
 */
class ScriptedEndpoint
{
public:
  /** \brief Runs on the thread of the request's connection. */
  using Script = std::function<ScriptedAnswer(const HttpRequest& request)>;

  /** Nothing: the request is read whole, and the script answers it. */
  using EarlyScript =
    std::function<std::optional<ScriptedAnswer>(const HttpRequest& head)>;

  /** \param early answers a request whose body it has not read */
  ScriptedEndpoint(std::string id, Script script, EarlyScript early = {});
  ~ScriptedEndpoint();

  std::string Address() const;
  /** \brief Registers with a control box; whether it was acknowledged. */
  bool Register(int apiPort, const std::string& service);

private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Connection
  {
    Socket socket;
    std::thread thread;
    bool hasEnded = false;
  };

  void Accept();
  void JoinEnded();
  void Serve(Socket& socket);
  /** \return whether the connection goes on */
  bool Send(Socket& socket, const ScriptedAnswer& answer);

  std::string id_;
  Script script_;
  EarlyScript early_;
  int sequence_ = 0;
  std::atomic<bool> ending_{ false };
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread acceptThread_;
};

} // namespace wg::test
