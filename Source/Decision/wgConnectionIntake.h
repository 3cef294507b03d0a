// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "absl/time/time.h"

#include "wgElapsed.h"

namespace wg {

/** \brief When and how new connections are limited. */
struct IntakeRules
{
  absl::Duration window =
    absl::Milliseconds(500); // connections are counted in
  /** Beyond this many times the usual rate, connections are a surge: boxes
   * that share the load evenly do not differ by as much.
   */
  double surge = 3.0;
  int fewestInSurge = 10; // in a window
  absl::Duration usualOver = absl::Seconds(30);
  /** Before, the usual rate of a process that has started is not known. */
  absl::Duration learnFor = absl::Seconds(5);
  /** A process that has used up its quota of a core stands still for up to
   * 100 ms at a time.
   */
  absl::Duration lagBound = absl::Milliseconds(150);
  absl::Duration step = absl::Milliseconds(100); // between changes of the rate
  double fastestDecrease = 0.3;                  // in a step
  double slowestDecrease = 0.7;
  double increase = 1.1;
};

/** \brief The new connections that a server takes.
 *
 * All are taken until most callers connect to this box and its event loop
 * falls behind. The rate is limited then, down to the usual one: a request
 * that is read must be served, and a caller whose connection is closed unread
 * tries another box at once.
 */
struct ConnectionIntake
{
  IntakeRules rules;
  Elapsed begun = absl::InfiniteDuration(); // with the first connection
  Elapsed windowStart;
  int inWindow = 0;
  int inFormerWindow = 0;
  double usual = 0.0; // connections a second outside surges
  bool isLimited = false;
  double rate = 0.0;   // connections a second, while limited
  double tokens = 0.0; // connections
  Elapsed filled;      // time of the last refill
  Elapsed stepped;     // time of the last change of the rate
};

/** \brief Whether far more connections come than usual. */
bool IsSurge(ConnectionIntake& intake, Elapsed now);

/** \brief Takes in how late the event loop has come to a timer. */
void NoteLag(ConnectionIntake& intake, absl::Duration lag, Elapsed now);

/** \brief Counts a new connection.
 * \return whether it is taken; else it is to be closed unread
 */
bool TryTakeConnection(ConnectionIntake& intake, Elapsed now);

} // namespace wg
