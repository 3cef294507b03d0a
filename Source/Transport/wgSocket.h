// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "absl/strings/string_view.h"

#include "wgOutcome.h"

namespace wg {

/** \class FileDescriptor
 * \brief Owns one descriptor and closes it.
 */
class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd)
    : fd_(fd)
  {
  }
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor();
  int Get() const { return fd_; }
  bool IsOpen() const { return fd_ >= 0; }
  void Close();

private:
  int fd_ = -1;
};

/** \brief An IP number and a port, as in 127.0.0.1:7001 or [::1]:7001. */
struct SocketAddress
{
  std::string host;
  int port = 0;
};

Outcome<SocketAddress> ParseSocketAddress(absl::string_view text);

/** \brief A listening, non-blocking TCP socket. */
Outcome<FileDescriptor> ListenTcp(const SocketAddress& address);

/** \brief A non-blocking TCP socket whose connection is under way. */
Outcome<FileDescriptor> StartConnectTcp(const SocketAddress& address);

/** \brief A bound, non-blocking UDP socket. */
Outcome<FileDescriptor> BindUdp(const SocketAddress& address);

/** \brief Sends one datagram; a loss here is like a loss on the way. */
void SendUdp(const FileDescriptor& socket, const SocketAddress& to,
             absl::string_view bytes);

/** \class WakeUp
 * \brief Wakes a poll loop from another thread.
 */
class WakeUp
{
public:
  WakeUp();
  int Get() const { return event_.Get(); }
  void Signal();
  void Clear();

private:
  FileDescriptor event_;
};

} // namespace wg
