// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "wgConnectionIntake.h"
#include "wgDecisionLog.h"
#include "wgGatewayMetrics.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"

namespace wg {

/** \class ConnectionLimiter
 * \brief Decides which new connections of callers a process takes, by how late
 * its event loop is. Used on one loop.
 */
class ConnectionLimiter
{
public:
  ConnectionLimiter(EventLoop& loop, GatewayMetrics& metrics,
                    DecisionLog& log);

  /** \brief Counts a new connection.
   * \return whether it is taken; else it is to be closed unread
   */
  bool TryTake();

private:
  void ArmTimer();
  void OnTimer();
  void NoteChange();

  GatewayMetrics& metrics_;
  DecisionLog& log_;
  ConnectionIntake intake_;
  LoopTimer timer_;
  Elapsed timerDue_;
  bool isTimerArmed_ = false;
  std::uint64_t closed_ = 0; // since connections are limited
};

} // namespace wg
