// SPDX-License-Identifier: Apache-2.0
#include "wgDecisionLog.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include "absl/time/clock.h"

#include "wgJson.h"

namespace wg {
namespace {

constexpr double RoutinePerSecond = 10.0;
constexpr double RoutineBurst = 40.0;
constexpr double NotablePerSecond = 30.0;
constexpr double NotableBurst = 200.0;
/** A pipe that is ready takes this much without blocking (PIPE_BUF). */
constexpr std::size_t MaxLineBytes = 4096;

bool WriteAtOnce(absl::string_view line)
{
  pollfd ready{ STDOUT_FILENO, POLLOUT, 0 };
  const bool takes = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  return takes && write(STDOUT_FILENO, line.data(), line.size()) ==
                    static_cast<ssize_t>(line.size());
}

} // namespace

DecisionLog::DecisionLog(std::string box, std::string role)
  : box_(std::move(box))
  , role_(std::move(role))
  , routine_{ RoutinePerSecond, RoutineBurst, RoutineBurst }
  , notable_{ NotablePerSecond, NotableBurst, NotableBurst }
  , filled_(ElapsedNow())
{
}

bool DecisionLog::Take(Bucket& bucket)
{
  if (bucket.tokens < 1.0) {
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

void DecisionLog::Write(LogWeight weight, absl::string_view event,
                        nlohmann::json fields)
{
  const Elapsed now = ElapsedNow();
  const double seconds = absl::ToDoubleSeconds(now - filled_);
  filled_ = now;
  for (Bucket* bucket : { &routine_, &notable_ }) {
    bucket->tokens =
      std::min(bucket->most, bucket->tokens + seconds * bucket->perSecond);
  }
  Bucket& bucket = weight == LogWeight::Routine ? routine_ : notable_;
  if (!Take(bucket)) {
    ++leftOut_;
    return;
  }
  fields["at_ms"] = absl::ToUnixMillis(absl::Now());
  fields["elapsed_ms"] = absl::ToInt64Milliseconds(now);
  fields["box"] = box_;
  fields["role"] = role_;
  fields["event"] = std::string(event);
  if (leftOut_ != toldLeftOut_) {
    fields["left_out"] = leftOut_ - toldLeftOut_;
  }
  const std::string line = PrintJson(fields) + "\n";
  if (line.size() > MaxLineBytes || !WriteAtOnce(line)) {
    ++leftOut_;
    return;
  }
  toldLeftOut_ = leftOut_;
}

} // namespace wg
