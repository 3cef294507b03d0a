// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace wg {

/** \class RequestThreads
 * \brief Threads of an HTTP server, each started when the others are busy.
 *
 * The library's own pool starts all at once; on AArch64 the thread sanitizer
 * ends a process of more than 512 threads.
 */
class RequestThreads : public httplib::TaskQueue
{
public:
  explicit RequestThreads(std::size_t most);

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  void enqueue(std::function<void()> task) override;
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  void shutdown() override;

private:
  void Run();

  const std::size_t most_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool isStopping_ = false;
};

} // namespace wg
