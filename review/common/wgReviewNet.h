// SPDX-License-Identifier: Apache-2.0
// Sockets and HTTP messages for the cases of the review, without the code
// that they test.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace wg::review {

/** \brief Milliseconds of the steady clock. */
long NowMs();

/** \brief A socket that closes itself. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int fd)
    : fd_(fd)
  {
  }
  Socket(Socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1))
  {
  }
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  int Get() const { return fd_; }
  bool IsOpen() const { return fd_ >= 0; }
  void Close();
  /** \brief Ends reads and writes of other threads. */
  void Shutdown() const;

private:
  int fd_ = -1;
};

/** \brief Not open where the address is not free. */
Socket Listen(const std::string& ip, int port);
/** \brief Not open after a refusal or `limitMs`. */
Socket Connect(const std::string& ip, int port, int limitMs);
/** \brief Waits for a while for the next caller. */
Socket AcceptFrom(const Socket& listener);
bool SendAll(const Socket& socket, const std::string& bytes);

struct Message
{
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /** \brief The first value; empty: there is none. */
  std::string Field(const std::string& name) const;
  /** \brief Of an answer; 0: the line names none. */
  int Status() const;
  /** \brief Method and target of a request. */
  std::pair<std::string, std::string> Target() const;
};

enum class ReadEnd
{
  Whole,
  Closed, // before the first byte
  Cut,    // after it
  Late
};

/** \brief Reads messages with a length or in chunks, one after the other. */
class MessageReader
{
public:
  ReadEnd Read(const Socket& socket, Message& message, long untilMs);

private:
  bool Fill(const Socket& socket, long untilMs);
  ReadEnd ReadLine(const Socket& socket, std::string& line, long untilMs);
  ReadEnd ReadBytes(const Socket& socket, std::size_t count,
                    std::string& bytes, long untilMs);
  ReadEnd ReadChunks(const Socket& socket, std::string& body, long untilMs);

  std::string buffer_;
  bool isLate_ = false;
};

/** \brief One call over a connection of its own; status 0: no whole answer. */
Message CallOnce(const std::string& ip, int port, const std::string& request,
                 int limitMs);

} // namespace wg::review
