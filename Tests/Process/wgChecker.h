// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wg::test {

/** \brief What one caller sent and got. Nothing here comes from inside. */
struct CallerRecord
{
  std::string request; // as the answer named it; empty: none came
  std::string key;     // idempotency key, or empty
  std::string input;
  std::string expectedText; // the whole right answer's
  int status = 0;           // 0: no answer came
  std::string run;          // of a refusal or failure
  std::string text;         // of an answer
  bool needsRun = false;    // a whole answer needs a run that is counted
  std::string error{};      // what a refusal or failure says of itself
};

/** \brief How often an endpoint that counts ran a request. */
struct RunRecord
{
  std::string endpoint;
  std::string request;
  int runs = 0;
};

/** \brief What an operator was told, or a box was seen to have in force. */
struct RevisionSeen
{
  std::string box;
  std::uint64_t revision = 0;
};

/** \brief A change that was acknowledged, and what it must have left. */
struct AcknowledgedChange
{
  std::uint64_t revision = 0;
  double value = 0.0;
};

/** \brief All that was seen from outside in one run. */
struct Observations
{
  std::vector<CallerRecord> callers;
  std::vector<RunRecord> onceRuns;   // of services that may not be repeated
  std::vector<RunRecord> anyRuns;    // of every endpoint that counts
  std::vector<RevisionSeen> inForce; // in the order in which it was seen
  std::vector<AcknowledgedChange> acknowledged;
  std::map<std::uint64_t, double> valueAtRevision; // as read back at the end
  std::uint64_t finalRevision = 0;
};

/** \brief What was violated, a sentence each; empty when all held. */
std::vector<std::string> Check(const Observations& seen);

} // namespace wg::test
