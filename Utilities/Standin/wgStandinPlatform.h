// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <thread>

#include <httplib.h>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wg {

/** \class StandinPlatform
 * \brief The platform's list of live and leaving boxes, set by a test.
 */
class StandinPlatform
{
public:
  explicit StandinPlatform(int port);
  ~StandinPlatform();
  bool Start();

private:
  int port_;
  httplib::Server server_;
  std::thread thread_;
  absl::Mutex mutex_;
  std::string list_ ABSL_GUARDED_BY(mutex_) = "[]";
};

} // namespace wg
