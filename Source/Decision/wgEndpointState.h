// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgEstimate.h"

namespace wg {

/** \brief The load that an endpoint last reported in answer to a poll. */
struct LoadReport
{
  int running = 0;
  int waiting = 0;
  int ownRunning = 0; // stages of this entry there when the report arrived
  Elapsed at = -absl::InfiniteDuration();
};

enum class HealthState
{
  Healthy,
  Ejected,
  Probing // one stage at a time, until enough of them succeed
};

/** \brief The health of an endpoint, as measured by this entry. */
struct EndpointHealth
{
  HealthState state = HealthState::Healthy;
  double failureRate = 0.0; // moving average
  int samples = 0;
  int failuresInRow = 0;
  int unreachedInRow = 0;
  int probesPassed = 0;
  int ejections = 0; // in a row, for the backoff
  Elapsed ejectedUntil;
};

/** \brief The limit on the stages that this entry runs at an endpoint at once.
 */
struct AdaptiveLimit
{
  double value = 1.0;
  double best = 0.0; // shortest mean service time so far, seconds
};

/** \brief The state of one endpoint, as known to an entry. */
struct EndpointState
{
  std::string name;
  std::string hall;
  double distanceSeconds = 0.0; // round trip from this entry's hall
  std::string address;          // IP address
  int port = 0;
  int slots = 1;
  bool drained = false;        // by an operator
  bool evacuated = false;      // its hall, by an operator
  bool listedLeaving = false;  // by the platform's list
  bool reportsLeaving = false; // by its own report
  bool reportsReady = true;    // by its own report; false while it loads
  bool removed = false;        // no longer configured
  int running = 0;             // stages of this entry
  int unansweredPolls = 0;     // load polls in a row without an answer
  std::uint64_t compared = 0;  // number of the choice that last compared it
  int share = 0;   // this box's slots there while the group is contended
  int skipped = 0; // comparisons in a row that chose another endpoint
  LoadReport report;
  TimeEstimate service;
  EndpointHealth health;
  AdaptiveLimit limit;
};

/** \brief How an attempt at an endpoint ended. */
enum class AttemptEnd
{
  Answered,
  Failed,    // an error as answer, or a broken connection
  Unreached, // no connection
  OutOfTime, // cancelled at the deadline
  Cancelled  // by this entry: no evidence about the endpoint
};

/** \brief Returns whether the endpoint is leaving according to any source. */
bool IsLeaving(const EndpointState& endpoint);

/** \brief Returns whether new work may be sent there, limits aside. */
bool TakesNewWork(const EndpointState& endpoint);

/** \brief Which of an endpoint's slots may be used. */
enum class SlotRule
{
  Any,   // all within its adaptive limit
  Shared // of these, only the share of this box
};

/** \brief Returns whether one more stage may be sent there now. */
bool IsSlotFree(const EndpointState& endpoint, SlotRule rule);

/** \brief Updates limit, estimate and health at the end of an attempt.
 * \return whether the endpoint's health state changed
 */
bool NoteAttemptEnd(absl::Span<EndpointState> group, std::size_t index,
                    AttemptEnd end, double seconds, Elapsed now);

/** \brief Notes whether the endpoint answered a load poll. */
void NoteLoadPoll(EndpointState& endpoint, bool answered);

/** \brief Starts probing endpoints whose ejection has expired. */
void StartProbes(absl::Span<EndpointState> group, Elapsed now);

} // namespace wg
