// SPDX-License-Identifier: Apache-2.0
// HTTP/1.1 over plain sockets, for clients and servers of the cases: no more
// of it than the pages need, and every byte under the case's control.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace wgcase {

/** Milliseconds since the case began. */
long NowMs();
void SleepMs(long ms);

/** \brief A request or an answer; names of headers are in lower case. */
struct Message
{
  std::string start; // its first line
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Method() const;
  std::string Path() const;
  int Status() const;
};

/** \class Connection
 * \brief A connected socket with what was read from it and not used yet.
 */
class Connection
{
public:
  explicit Connection(int socket)
    : socket_(socket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** \brief Nothing if it ended, or time was over, before a whole message. */
  std::optional<Message> ReadMessage(long untilMs);
  /** \brief Hands on the lines of an answer's body as they come.
   * \param isWhole whether its last chunk came
   * \param retryAfter what its head says, in seconds
   * \return its status; 0: there was no head
   */
  int ReadStream(long untilMs,
                 const std::function<void(const std::string&)>& take,
                 bool& isWhole, double& retryAfter);
  bool Write(const std::string& bytes);
  void Shutdown();
  /** \brief Held by who writes, where several threads do. */
  std::mutex writing;

private:
  bool ReadMore(long untilMs);
  bool ReadBody(Message& message, long untilMs);
  bool ReadChunks(Message& message, long untilMs);
  std::optional<Message> ReadHead(long untilMs);
  bool ReadChunk(std::string& chunk, long untilMs);

  int socket_;
  std::string input_;
};

/** \brief Nothing if no connection came up in time. */
std::shared_ptr<Connection> Connect(const std::string& address, long untilMs);

/** \brief One request on a connection of its own. */
std::optional<Message> Call(const std::string& address,
                            const std::string& request, long untilMs);

/** \brief The bytes of a request; its length is added. */
std::string PrintRequest(const std::string& method, const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body);
/** \brief The bytes of an answer; its length is added. */
std::string PrintAnswer(int status,
                        const std::map<std::string, std::string>& headers,
                        const std::string& body);

/** \class Listener
 * \brief Serves each connection in a thread of its own.
 */
class Listener
{
public:
  using Serve = std::function<void(const std::shared_ptr<Connection>&)>;

  Listener(const std::string& ip, Serve serve);
  ~Listener();
  const std::string& Address() const { return address_; }

private:
  void Accept();

  std::string address_;
  int socket_ = -1;
  Serve serve_;
  std::atomic<bool> ending_{ false };
  std::mutex mutex_;
  std::list<std::weak_ptr<Connection>> open_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

} // namespace wgcase
