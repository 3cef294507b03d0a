// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <thread>

#include "wgSocket.h"

namespace wg::test {

/** \class Forwarder
 * \brief A wire on loopback that a test can cut silently and mend.
 *
 * While cut it takes connections and passes nothing on, and lets those that
 * are open hang, as a link that drops every packet does.
 */
class Forwarder
{
public:
  /** \brief Throws when it can't listen. */
  Forwarder(int listenPort, int targetPort);
  ~Forwarder();
  void Cut() { cut_ = true; }
  void Mend() { cut_ = false; }

private:
  void Run();

  int listenPort_;
  int targetPort_;
  FileDescriptor listening_;
  std::atomic<bool> cut_{ false };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace wg::test
