// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <future>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "wgHttpMessage.h"

namespace wg {

/** \class LoopThread
 * \brief A loop that runs on a thread of its own until it is destroyed.
 */
class LoopThread
{
public:
  LoopThread()
    : guard_(loop_.get_executor())
    , thread_([this] { loop_.run(); })
  {
  }
  ~LoopThread() { Join(); }
  /** \brief Ends the loop; what it served may be destroyed then. */
  void Join()
  {
    loop_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  EventLoop& Loop() { return loop_; }

  /** \brief Calls on the loop and waits for the result. */
  template <class Function>
  auto Do(Function function)
  {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(loop_, [&task] { task(); });
    return result.get();
  }

private:
  EventLoop loop_;
  boost::asio::executor_work_guard<EventLoop::executor_type> guard_;
  std::thread thread_;
};

} // namespace wg
