// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include "wgOutcome.h"

namespace wg {

/** \brief What an endpoint group computes; decides the call's HTTP path. */
enum class StageKind
{
  Encode,
  Retrieve,
  Rerank,
  Generate,
  Service
};

/** \brief One site of boxes joined by a good link. */
struct HallConfig
{
  std::string name;
};

/** \brief How far two halls are from each other. */
struct LinkConfig
{
  std::string name;                 // may be empty
  std::vector<std::string> between; // two halls
  double oneWayMs = 0.5;
};

/** \brief One box that runs weirgate, so that a missing one is missed. */
struct BoxConfig
{
  std::string name;
  std::string hall;
};

/** \brief One place that runs stages: a model server or plain service. */
struct EndpointConfig
{
  std::string name;
  std::string group;
  std::string hall;
  std::string address; // IP number
  int port = 0;
  int slots = 1; // stages it runs at once
  bool checksFence = false;
  bool drained = false;
};

/** \brief A set of endpoints that can stand in for each other. */
struct GroupConfig
{
  std::string name;
  StageKind kind = StageKind::Service;
  bool repeatable = true;
  int expectedMs = 100; // until measured
};

/** \brief A named sequence of groups that a request passes through. */
struct PipelineConfig
{
  std::string name;
  std::vector<std::string> stages; // group names, in order
  int deadlineMs = 3000;
  bool repeatable = true;
};

/** \brief A client account with its share and its limits. */
struct AccountConfig
{
  std::string name;
  std::string key; // empty: none is asked for
  double weight = 1.0;
  int topPriority = 0;      // the highest priority it may ask for
  double ratePerSecond = 0; // 0: no limit
  int concurrency = 0;      // 0: no limit
};

/** \brief The version that a group is to run. Endpoints that run another are
 * updated one after the other.
 */
struct RolloutConfig
{
  std::string name; // the group's
  std::string version;
  int minReady = 0;         // endpoints that stay ready all the while
  std::string current;      // out of service to be updated; empty: none
  bool keepDrained = false; // an operator wants the current one drained
};

/** \brief All that the system serves; one value per revision. */
struct Config
{
  std::uint64_t revision = 0;
  std::vector<HallConfig> halls;
  std::vector<LinkConfig> links;
  std::vector<BoxConfig> boxes;
  std::vector<GroupConfig> groups;
  std::vector<EndpointConfig> endpoints;
  std::vector<PipelineConfig> pipelines;
  std::vector<AccountConfig> accounts;
  std::vector<RolloutConfig> rollouts;
};

absl::string_view Name(StageKind kind);

const GroupConfig* FindGroup(const Config& config, absl::string_view name);
const EndpointConfig* FindEndpoint(const Config& config,
                                   absl::string_view name);
const PipelineConfig* FindPipeline(const Config& config,
                                   absl::string_view name);
const AccountConfig* FindAccount(const Config& config, absl::string_view name);

/** \brief There and back between two halls, in seconds; where no link is
 * given, that of a link of 0.5 ms one way.
 */
double RoundTripSeconds(const Config& config, absl::string_view hall,
                        absl::string_view other);

/** \brief The roll-out of a group, or null. */
const RolloutConfig* FindRollout(const Config& config,
                                 absl::string_view group);

/** \brief Whether every stage of the pipeline may be run twice. */
bool IsRepeatable(const Config& config, const PipelineConfig& pipeline);

/** \brief Checks the whole for consistency; the error names the rule. */
Outcome<Done> CheckConfig(const Config& config);

} // namespace wg
