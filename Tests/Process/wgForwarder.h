// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstdint>
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
  /** \brief Passes requests on and no answers. */
  void CutAnswers() { answersCut_ = true; }
  /** \brief Holds all that passes for so long. */
  void Delay(int ms) { delayMs_ = ms; }
  /** \brief Resets the connections that are open now. */
  void Reset() { reset_ = true; }
  void Mend()
  {
    cut_ = false;
    answersCut_ = false;
    delayMs_ = 0;
  }
  /** \brief Bytes passed on so far, both ways. */
  std::uint64_t Passed() const { return passed_; }

private:
  void Run();

  int listenPort_;
  int targetPort_;
  FileDescriptor listening_;
  std::atomic<bool> cut_{ false };
  std::atomic<bool> answersCut_{ false };
  std::atomic<bool> reset_{ false };
  std::atomic<int> delayMs_{ 0 };
  std::atomic<std::uint64_t> passed_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace wg::test
