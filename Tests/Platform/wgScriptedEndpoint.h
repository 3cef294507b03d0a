// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "wgHttpMessage.h"

namespace wg::test {

/** \brief What an endpoint does after the bytes of an answer. */
enum class AnswerClose
{
  KeepOpen,
  Finish, // an orderly end of the connection (FIN)
  Reset   // RST
};

struct ScriptedAnswer
{
  std::string bytes;
  AnswerClose close = AnswerClose::KeepOpen;
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

  ScriptedEndpoint(std::string id, Script script);
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

  std::string id_;
  Script script_;
  int sequence_ = 0;
  std::atomic<bool> ending_{ false };
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread acceptThread_;
};

} // namespace wg::test
