// SPDX-License-Identifier: Apache-2.0
#include "wgSocket.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr int ListenBacklog = 256;
constexpr int MaxPort = 65535;

/** A resolved numeric address that frees itself. */
struct ResolvedAddress
{
  addrinfo* info = nullptr;
  ~ResolvedAddress()
  {
    if (info != nullptr) {
      freeaddrinfo(info);
    }
  }
};

bool Resolve(const SocketAddress& address, int type, ResolvedAddress& result)
{
  addrinfo hints{};
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = type;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  const std::string port = absl::StrCat(address.port);
  return getaddrinfo(address.host.c_str(), port.c_str(), &hints,
                     &result.info) == 0;
}

Error SystemError(absl::string_view what, const SocketAddress& address)
{
  return Error{ absl::StrCat("Cannot ", what, " ", address.host, ":",
                             address.port, ": ", std::strerror(errno),
                             "; check that the address is this box's own and "
                             "that nothing else uses the port.") };
}

Outcome<FileDescriptor> OpenSocket(const SocketAddress& address, int type,
                                   ResolvedAddress& resolved)
{
  if (!Resolve(address, type, resolved)) {
    return Error{ absl::StrCat("\"", address.host, ":", address.port,
                               "\" is no IP number and port; correct it.") };
  }
  FileDescriptor socket(::socket(resolved.info->ai_family,
                                 type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.IsOpen()) {
    return SystemError("open a socket for", address);
  }
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  return socket;
}

} // namespace

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
  : fd_(std::exchange(other.fd_, -1))
{
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept
{
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

FileDescriptor::~FileDescriptor()
{
  Close();
}

void FileDescriptor::Close()
{
  if (fd_ >= 0) {
    ::close(fd_);
    fd_ = -1;
  }
}

Outcome<SocketAddress> ParseSocketAddress(absl::string_view text)
{
  const std::size_t colon = text.rfind(':');
  SocketAddress address;
  const bool split = colon != absl::string_view::npos &&
                     absl::SimpleAtoi(text.substr(colon + 1), &address.port) &&
                     address.port >= 0 && address.port <= MaxPort;
  if (split) {
    absl::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    address.host = std::string(host);
    ResolvedAddress resolved;
    if (Resolve(address, SOCK_STREAM, resolved)) {
      return address;
    }
  }
  return Error{ absl::StrCat("\"", text,
                             "\" is no address; write an IP number and a "
                             "port, such as 127.0.0.1:7001.") };
}

Outcome<FileDescriptor> ListenTcp(const SocketAddress& address)
{
  ResolvedAddress resolved;
  Outcome<FileDescriptor> opened = OpenSocket(address, SOCK_STREAM, resolved);
  if (!Succeeded(opened)) {
    return opened;
  }
  const int fd = Value(opened).Get();
  if (bind(fd, resolved.info->ai_addr, resolved.info->ai_addrlen) != 0 ||
      listen(fd, ListenBacklog) != 0) {
    return SystemError("listen on", address);
  }
  return opened;
}

Outcome<FileDescriptor> StartConnectTcp(const SocketAddress& address)
{
  ResolvedAddress resolved;
  Outcome<FileDescriptor> opened = OpenSocket(address, SOCK_STREAM, resolved);
  if (!Succeeded(opened)) {
    return opened;
  }
  const int fd = Value(opened).Get();
  const int rc =
    connect(fd, resolved.info->ai_addr, resolved.info->ai_addrlen);
  if (rc != 0 && errno != EINPROGRESS) {
    return SystemError("connect to", address);
  }
  return opened;
}

Outcome<FileDescriptor> BindUdp(const SocketAddress& address)
{
  ResolvedAddress resolved;
  Outcome<FileDescriptor> opened = OpenSocket(address, SOCK_DGRAM, resolved);
  if (!Succeeded(opened)) {
    return opened;
  }
  if (bind(Value(opened).Get(), resolved.info->ai_addr,
           resolved.info->ai_addrlen) != 0) {
    return SystemError("bind", address);
  }
  return opened;
}

void SendUdp(const FileDescriptor& socket, const SocketAddress& to,
             absl::string_view bytes)
{
  ResolvedAddress resolved;
  if (Resolve(to, SOCK_DGRAM, resolved)) {
    sendto(socket.Get(), bytes.data(), bytes.size(), 0, resolved.info->ai_addr,
           resolved.info->ai_addrlen);
  }
}

WakeUp::WakeUp()
  : event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

void WakeUp::Signal()
{
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(event_.Get(), &one, sizeof one);
}

void WakeUp::Clear()
{
  std::uint64_t count = 0;
  [[maybe_unused]] const auto got = read(event_.Get(), &count, sizeof count);
}

} // namespace wg
