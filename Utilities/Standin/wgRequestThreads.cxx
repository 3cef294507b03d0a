// SPDX-License-Identifier: Apache-2.0
#include "wgRequestThreads.h"

#include <utility>

namespace wg {

RequestThreads::RequestThreads(std::size_t most)
  : most_(most)
{
}

void RequestThreads::enqueue(std::function<void()> task)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  tasks_.push_back(std::move(task));
  if (idle_ < tasks_.size() && threads_.size() < most_) {
    threads_.emplace_back([this] { Run(); });
  }
  wake_.notify_one();
}

/** What waits is run first, as by the library's own pool. */
void RequestThreads::shutdown()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void RequestThreads::Run()
{
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return isStopping_ || !tasks_.empty(); });
    --idle_;
    if (tasks_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace wg
