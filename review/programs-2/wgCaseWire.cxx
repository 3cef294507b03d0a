// SPDX-License-Identifier: Apache-2.0
#include "wgCaseWire.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wgcase {
namespace {

constexpr int Backlog = 256;
constexpr long AcceptPollMs = 100;
constexpr std::size_t ReadBytes = 16384;

std::string Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trim(const std::string& text)
{
  const auto first = text.find_first_not_of(" \t\r");
  const auto last = text.find_last_not_of(" \t\r");
  return first == std::string::npos ? ""
                                    : text.substr(first, last - first + 1);
}

sockaddr_in ParseAddress(const std::string& address)
{
  sockaddr_in parsed{};
  const auto colon = address.find(':');
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(
    std::strtol(address.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

bool Await(int socket, short events, long untilMs)
{
  for (;;) {
    const long left = untilMs - NowMs();
    if (left <= 0) {
      return false;
    }
    pollfd polled{ socket, events, 0 };
    const int ready = poll(&polled, 1, static_cast<int>(left));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

Message ParseHead(const std::string& head)
{
  Message message;
  std::size_t at = head.find("\r\n");
  message.start = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t next = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, next - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      message.headers[Lower(line.substr(0, colon))] =
        Trim(line.substr(colon + 1));
    }
    at = next;
  }
  return message;
}

} // namespace

long NowMs()
{
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point began = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               began)
    .count();
}

void SleepMs(long ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::Header(const std::string& name) const
{
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? "" : found->second;
}

std::string Message::Method() const
{
  return start.substr(0, start.find(' '));
}

std::string Message::Path() const
{
  const auto first = start.find(' ');
  return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

int Message::Status() const
{
  const auto first = start.find(' ');
  return first == std::string::npos
           ? 0
           : static_cast<int>(
               std::strtol(start.c_str() + first + 1, nullptr, 10));
}

Connection::~Connection()
{
  close(socket_);
}

void Connection::Shutdown()
{
  shutdown(socket_, SHUT_RDWR);
}

bool Connection::ReadMore(long untilMs)
{
  if (!Await(socket_, POLLIN, untilMs)) {
    return false;
  }
  std::array<char, ReadBytes> buffer{};
  const ssize_t got = recv(socket_, buffer.data(), buffer.size(), 0);
  if (got <= 0) {
    return false;
  }
  input_.append(buffer.data(), static_cast<std::size_t>(got));
  return true;
}

std::optional<Message> Connection::ReadHead(long untilMs)
{
  std::size_t end = std::string::npos;
  while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(untilMs)) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(input_.substr(0, end + 2));
  input_.erase(0, end + 4);
  return message;
}

std::optional<Message> Connection::ReadMessage(long untilMs)
{
  std::optional<Message> message = ReadHead(untilMs);
  if (!message) {
    return std::nullopt;
  }
  const bool isWhole = Lower(message->Header("transfer-encoding")) == "chunked"
                         ? ReadChunks(*message, untilMs)
                         : ReadBody(*message, untilMs);
  return isWhole ? message : std::nullopt;
}

int Connection::ReadStream(long untilMs,
                           const std::function<void(const std::string&)>& take,
                           bool& isWhole, double& retryAfter)
{
  const std::optional<Message> head = ReadHead(untilMs);
  if (!head) {
    return 0;
  }
  retryAfter = std::strtod(head->Header("retry-after").c_str(), nullptr);
  std::string text;
  std::string chunk;
  while (Lower(head->Header("transfer-encoding")) == "chunked" &&
         ReadChunk(chunk, untilMs)) {
    isWhole = chunk.empty();
    if (isWhole) {
      break;
    }
    text += chunk;
    for (std::size_t end = text.find('\n'); end != std::string::npos;
         end = text.find('\n')) {
      take(text.substr(0, end));
      text.erase(0, end + 1);
    }
  }
  return head->Status();
}

bool Connection::ReadBody(Message& message, long untilMs)
{
  const auto length = static_cast<std::size_t>(
    std::strtol(message.Header("content-length").c_str(), nullptr, 10));
  while (input_.size() < length) {
    if (!ReadMore(untilMs)) {
      return false;
    }
  }
  message.body = input_.substr(0, length);
  input_.erase(0, length);
  return true;
}

bool Connection::ReadChunk(std::string& chunk, long untilMs)
{
  std::size_t line = std::string::npos;
  while ((line = input_.find("\r\n")) == std::string::npos) {
    if (!ReadMore(untilMs)) {
      return false;
    }
  }
  constexpr int hex = 16;
  const auto length =
    static_cast<std::size_t>(std::strtol(input_.c_str(), nullptr, hex));
  while (input_.size() < line + 2 + length + 2) {
    if (!ReadMore(untilMs)) {
      return false;
    }
  }
  chunk = input_.substr(line + 2, length);
  input_.erase(0, line + 2 + length + 2);
  return true;
}

bool Connection::ReadChunks(Message& message, long untilMs)
{
  std::string chunk;
  while (ReadChunk(chunk, untilMs)) {
    if (chunk.empty()) {
      return true;
    }
    message.body += chunk;
  }
  return false;
}

bool Connection::Write(const std::string& bytes)
{
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t wrote =
      send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (wrote <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(wrote);
  }
  return true;
}

std::shared_ptr<Connection> Connect(const std::string& address, long untilMs)
{
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ParseAddress(address);
  const int flags = fcntl(opened, F_GETFL);
  fcntl(opened, F_SETFL, flags | O_NONBLOCK);
  auto connection = std::make_shared<Connection>(opened);
  const int rc =
    connect(opened, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  if (rc != 0 && (errno != EINPROGRESS || !Await(opened, POLLOUT, untilMs))) {
    return nullptr;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(opened, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    return nullptr;
  }
  fcntl(opened, F_SETFL, flags);
  const int yes = 1;
  setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return connection;
}

std::optional<Message> Call(const std::string& address,
                            const std::string& request, long untilMs)
{
  const auto connection = Connect(address, untilMs);
  if (connection == nullptr || !connection->Write(request)) {
    return std::nullopt;
  }
  return connection->ReadMessage(untilMs);
}

std::string PrintRequest(const std::string& method, const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body)
{
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string PrintAnswer(int status,
                        const std::map<std::string, std::string>& headers,
                        const std::string& body)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " -");
  text += "\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Listener::Listener(const std::string& ip, Serve serve)
  : serve_(std::move(serve))
{
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ParseAddress(ip + ":0");
  if (bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(socket_, Backlog) != 0) {
    std::abort(); // the case can't run
  }
  socklen_t length = sizeof(at);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &length);
  address_ = ip + ":" + std::to_string(ntohs(at.sin_port));
  acceptor_ = std::thread([this] { Accept(); });
}

Listener::~Listener()
{
  ending_ = true;
  acceptor_.join();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& weak : open_) {
      if (const auto connection = weak.lock()) {
        connection->Shutdown();
      }
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  close(socket_);
}

void Listener::Accept()
{
  while (!ending_) {
    if (!Await(socket_, POLLIN, NowMs() + AcceptPollMs)) {
      continue;
    }
    const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int yes = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    auto connection = std::make_shared<Connection>(accepted);
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.push_back(connection);
    threads_.emplace_back([this, connection] { serve_(connection); });
  }
}

} // namespace wgcase
