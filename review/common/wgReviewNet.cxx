// SPDX-License-Identifier: Apache-2.0
#include "wgReviewNet.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wg::review {
namespace {

constexpr int Backlog = 256;
constexpr std::size_t ReadChunk = 16384;

sockaddr_in AddressOf(const std::string& ip, int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool IsSameName(const std::string& a, const std::string& b)
{
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) {
                      return std::tolower(static_cast<unsigned char>(x)) ==
                             std::tolower(static_cast<unsigned char>(y));
                    });
}

std::string Trim(const std::string& text)
{
  const std::size_t first = text.find_first_not_of(" \t");
  const std::size_t last = text.find_last_not_of(" \t");
  return first == std::string::npos ? ""
                                    : text.substr(first, last - first + 1);
}

} // namespace

long NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

Socket& Socket::operator=(Socket&& other) noexcept
{
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Socket::Close()
{
  if (fd_ >= 0) {
    ::close(fd_);
    fd_ = -1;
  }
}

void Socket::Shutdown() const
{
  if (fd_ >= 0) {
    ::shutdown(fd_, SHUT_RDWR);
  }
}

Socket Listen(const std::string& ip, int port)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  const bool listens =
    ::bind(socket.Get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof address) == 0 &&
    ::listen(socket.Get(), Backlog) == 0;
  return listens ? std::move(socket) : Socket();
}

Socket Connect(const std::string& ip, int port, int limitMs)
{
  Socket socket(
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = AddressOf(ip, port);
  const int begun = ::connect(
    socket.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (begun != 0 && errno != EINPROGRESS) {
    return {};
  }
  pollfd ready{ socket.Get(), POLLOUT, 0 };
  int error = 0;
  socklen_t length = sizeof error;
  const bool connected =
    ::poll(&ready, 1, limitMs) == 1 &&
    getsockopt(socket.Get(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
    error == 0;
  if (!connected) {
    return {};
  }
  fcntl(socket.Get(), F_SETFL, 0); // blocking from now on
  const int on = 1;
  setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

Socket AcceptFrom(const Socket& listener)
{
  constexpr int waitMs = 100;
  pollfd ready{ listener.Get(), POLLIN, 0 };
  if (::poll(&ready, 1, waitMs) != 1) {
    return {};
  }
  Socket socket(::accept4(listener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
  const int on = 1;
  setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

bool SendAll(const Socket& socket, const std::string& bytes)
{
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent = ::send(socket.Get(), bytes.data() + done,
                                bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

std::string Message::Field(const std::string& name) const
{
  const auto found =
    std::find_if(fields.begin(), fields.end(), [&name](const auto& field) {
      return IsSameName(field.first, name);
    });
  return found == fields.end() ? "" : found->second;
}

int Message::Status() const
{
  const std::size_t space = startLine.find(' ');
  return space == std::string::npos
           ? 0
           : static_cast<int>(
               std::strtol(startLine.c_str() + space, nullptr, 10));
}

std::pair<std::string, std::string> Message::Target() const
{
  const std::size_t first = startLine.find(' ');
  const std::size_t second = startLine.find(' ', first + 1);
  return { startLine.substr(0, first),
           startLine.substr(first + 1, second - first - 1) };
}

bool MessageReader::Fill(const Socket& socket, long untilMs)
{
  isLate_ = false;
  const long left = untilMs - NowMs();
  pollfd ready{ socket.Get(), POLLIN, 0 };
  if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
    isLate_ = true;
    return false;
  }
  std::string bytes(ReadChunk, '\0');
  const ssize_t got = ::recv(socket.Get(), bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  buffer_.append(bytes, 0, static_cast<std::size_t>(got));
  return true;
}

ReadEnd MessageReader::ReadLine(const Socket& socket, std::string& line,
                                long untilMs)
{
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(socket, untilMs)) {
      return isLate_ ? ReadEnd::Late
                     : (buffer_.empty() ? ReadEnd::Closed : ReadEnd::Cut);
    }
    end = buffer_.find("\r\n");
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return ReadEnd::Whole;
}

ReadEnd MessageReader::ReadBytes(const Socket& socket, std::size_t count,
                                 std::string& bytes, long untilMs)
{
  while (buffer_.size() < count) {
    if (!Fill(socket, untilMs)) {
      return isLate_ ? ReadEnd::Late : ReadEnd::Cut;
    }
  }
  bytes += buffer_.substr(0, count);
  buffer_.erase(0, count);
  return ReadEnd::Whole;
}

ReadEnd MessageReader::ReadChunks(const Socket& socket, std::string& body,
                                  long untilMs)
{
  constexpr int hex = 16;
  for (;;) {
    std::string line;
    ReadEnd end = ReadLine(socket, line, untilMs);
    if (end != ReadEnd::Whole) {
      return end == ReadEnd::Closed ? ReadEnd::Cut : end;
    }
    const std::size_t size = std::strtoul(line.c_str(), nullptr, hex);
    end = ReadBytes(socket, size, body, untilMs);
    std::string after;
    if (end == ReadEnd::Whole) {
      end = ReadLine(socket, after, untilMs);
    }
    if (end != ReadEnd::Whole) {
      return end == ReadEnd::Closed ? ReadEnd::Cut : end;
    }
    if (size == 0) {
      return ReadEnd::Whole;
    }
  }
}

ReadEnd MessageReader::Read(const Socket& socket, Message& message,
                            long untilMs)
{
  message = {};
  ReadEnd end = ReadLine(socket, message.startLine, untilMs);
  if (end != ReadEnd::Whole) {
    return end;
  }
  for (;;) {
    std::string line;
    end = ReadLine(socket, line, untilMs);
    if (end != ReadEnd::Whole) {
      return end == ReadEnd::Closed ? ReadEnd::Cut : end;
    }
    if (line.empty()) {
      break;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return ReadEnd::Cut;
    }
    message.fields.emplace_back(line.substr(0, colon),
                                Trim(line.substr(colon + 1)));
  }
  if (IsSameName(message.Field("Transfer-Encoding"), "chunked")) {
    return ReadChunks(socket, message.body, untilMs);
  }
  const std::size_t length =
    std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  return ReadBytes(socket, length, message.body, untilMs);
}

Message CallOnce(const std::string& ip, int port, const std::string& request,
                 int limitMs)
{
  const long until = NowMs() + limitMs;
  const Socket socket = Connect(ip, port, limitMs);
  Message answer;
  MessageReader reader;
  if (!socket.IsOpen() || !SendAll(socket, request) ||
      reader.Read(socket, answer, until) != ReadEnd::Whole) {
    return {};
  }
  return answer;
}

} // namespace wg::review
