// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wgChecker.h"

namespace wg::test {

/** \class Callers
 * \brief Sends requests from several threads and gathers what came back.
 */
class Callers
{
public:
  using Send = std::function<CallerRecord(int number)>;
  Callers(int threads, Send send);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  std::vector<CallerRecord> Stop();
  int Count() const { return next_; }

private:
  void Work();

  Send send_;
  std::atomic<int> next_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<CallerRecord> records_;
  std::vector<std::thread> threads_;
};

/** \brief A text that no other number has. */
std::string Input(int number);

/** \brief How many were answered in full. */
int CountOk(const std::vector<CallerRecord>& records);

} // namespace wg::test
