// SPDX-License-Identifier: Apache-2.0
#include "wgConnectionLimiter.h"

#include <utility>

namespace wg {
namespace {

constexpr absl::Duration LagPeriod = absl::Milliseconds(20);

} // namespace

ConnectionLimiter::ConnectionLimiter(EventLoop& loop, GatewayMetrics& metrics,
                                     DecisionLog& log)
  : metrics_(metrics)
  , log_(log)
  , timer_(loop)
{
}

bool ConnectionLimiter::TryTake()
{
  const Elapsed now = ElapsedNow();
  const bool isTaken = TryTakeConnection(intake_, now);
  if (!isTaken) {
    ++closed_;
    metrics_.Count("connections_closed_unread");
  }
  if (IsSurge(intake_, now)) {
    ArmTimer();
  }
  return isTaken;
}

/** How late the loop is matters in a surge only. */
void ConnectionLimiter::ArmTimer()
{
  if (std::exchange(isTimerArmed_, true)) {
    return;
  }
  timerDue_ = ElapsedNow() + LagPeriod;
  timer_.expires_after(absl::ToChronoNanoseconds(LagPeriod));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      OnTimer();
    }
  });
}

void ConnectionLimiter::OnTimer()
{
  isTimerArmed_ = false;
  const Elapsed now = ElapsedNow();
  const bool wasLimited = intake_.isLimited;
  NoteLag(intake_, now - timerDue_, now);
  if (intake_.isLimited != wasLimited) {
    NoteChange();
  }
  if (IsSurge(intake_, now)) {
    ArmTimer();
  }
}

void ConnectionLimiter::NoteChange()
{
  const bool isLimited = intake_.isLimited;
  log_.Write(LogWeight::Notable,
             isLimited ? "connections_limited" : "connections_unlimited",
             { { "usual_per_second", intake_.usual },
               { "per_second", intake_.rate },
               { "closed_unread", std::exchange(closed_, 0) } });
  if (isLimited) {
    metrics_.Count("connections_limited");
  }
}

} // namespace wg
