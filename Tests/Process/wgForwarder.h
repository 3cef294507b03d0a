// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "wgSocket.h"

namespace wg::test {

/** \class LinkRate
 * \brief How much a link carries, shared by all connections over it. Safe to
 * share between threads.
 */
class LinkRate
{
public:
  explicit LinkRate(double bytesPerSecond);
  /** \brief As many bytes as may pass now, at most so many. */
  std::size_t Take(std::size_t most);
  /** \brief Of those taken, what did not pass. */
  void GiveBack(std::size_t bytes);

private:
  using Clock = std::chrono::steady_clock;
  std::mutex mutex_;
  double bytesPerSecond_;
  double allowed_ = 0.0;
  Clock::time_point filled_ = Clock::now();
};

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
  int Port() const { return listenPort_; }
  void Cut() { cut_ = true; }
  /** \brief What becomes of connections over a wire without a path. */
  enum class NoPath
  {
    Hang,   // no packet passes: new ones are not answered
    Reset,  // open ones are reset, new ones refused
    LiveOn, // open ones go on, new ones are refused
    None    // there is a path
  };
  /** \brief Takes the path away, or gives it back. */
  void SetPath(NoPath path) { path_ = path; }
  /** \brief Passes requests on and no answers. */
  void CutAnswers() { answersCut_ = true; }
  /** \brief Holds all that passes for so long. */
  void Delay(int ms) { delayMs_ = ms; }
  /** \brief Lets answers pass at this rate only; without one, at once. */
  void LimitAnswers(std::shared_ptr<LinkRate> rate);
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
  void TakePath(NoPath path);
  std::shared_ptr<LinkRate> AnswerRate();

  int listenPort_;
  int targetPort_;
  FileDescriptor listening_;
  std::atomic<NoPath> path_{ NoPath::None };
  std::vector<FileDescriptor> fillers_; // of the queue of new connections
  std::atomic<bool> cut_{ false };
  std::atomic<bool> answersCut_{ false };
  std::atomic<bool> reset_{ false };
  std::atomic<int> delayMs_{ 0 };
  std::atomic<std::uint64_t> passed_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::shared_ptr<LinkRate> answerRate_; // guarded by mutex_
  std::thread thread_;
};

} // namespace wg::test
