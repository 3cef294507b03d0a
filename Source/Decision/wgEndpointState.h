// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgEstimate.h"

namespace wg {

/** \brief What an endpoint says of itself, as late as it says it. */
struct LoadReport
{
  int running = 0;
  int waiting = 0;
  int ownRunning = 0; // ours at the moment of the report
  Elapsed at = -absl::InfiniteDuration();
};

enum class HealthState
{
  Healthy,
  Ejected,
  Probing // one stage at a time, until enough of them end well
};

/** \brief Failures and slowness, as seen by this entry. */
struct EndpointHealth
{
  HealthState state = HealthState::Healthy;
  double failureShare = 0.0;
  int samples = 0;
  int failuresInRow = 0;
  int unreachedInRow = 0;
  int probesPassed = 0;
  int ejections = 0; // in a row, for the backoff
  Elapsed ejectedUntil;
};

/** \brief How many stages this entry lets run at an endpoint. */
struct AdaptiveLimit
{
  double value = 1.0;
  double best = 0.0; // shortest mean service time seen, seconds
};

/** \brief What an entry knows of one endpoint. */
struct EndpointState
{
  std::string name;
  std::string hall;
  double distanceSeconds = 0.0; // there and back from this entry's hall
  std::string address;          // IP number
  int port = 0;
  int slots = 1;
  bool drained = false;       // by an operator
  bool evacuated = false;     // its hall, by an operator
  bool listedLeaving = false; // by the platform's list
  bool saysLeaving = false;   // by its own word
  bool saysReady = true;      // false while it loads what it was ordered to
  bool removed = false;       // no longer configured
  int running = 0;            // ours
  int silentWatches = 0;      // in a row: it did not say its load when asked
  std::uint64_t compared = 0; // when a choice last came by it
  int share = 0;   // of its slots, this box's while the group is contended
  int skipped = 0; // choices in a row that took another
  LoadReport report;
  TimeEstimate service;
  EndpointHealth health;
  AdaptiveLimit limit;
};

/** \brief How an attempt at an endpoint ended. */
enum class AttemptEnd
{
  Answered,
  Failed,    // answered with an error, or broke off
  Unreached, // no connection came to be
  OutOfTime, // broken off at the deadline
  Cancelled  // by us: says nothing of the endpoint
};

/** \brief Whether any source says that it is leaving. */
bool IsLeaving(const EndpointState& endpoint);

/** \brief Whether new work may be sent there at all. */
bool TakesNewWork(const EndpointState& endpoint);

/** \brief Which of an endpoint's slots may be used. */
enum class PlaceRule
{
  Any,   // all that its limit allows
  Shared // those that are this box's
};

/** \brief Whether one more stage may be sent there now. */
bool HasPlace(const EndpointState& endpoint, PlaceRule rule);

/** \brief Takes the end of an attempt into limit, estimate and health.
 * \return true when the endpoint's health state changed
 */
bool NoteAttemptEnd(absl::Span<EndpointState> group, std::size_t index,
                    AttemptEnd end, double seconds, Elapsed now);

/** \brief Takes in whether it said its load when asked. */
void NoteWatch(EndpointState& endpoint, bool answered);

/** \brief Lets ejected endpoints whose time is over be probed. */
void StartProbes(absl::Span<EndpointState> group, Elapsed now);

} // namespace wg
