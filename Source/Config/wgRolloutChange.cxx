// SPDX-License-Identifier: Apache-2.0
#include "wgRolloutChange.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace wg {
namespace {

RolloutConfig* FindMutable(Config& config, const std::string& group)
{
  auto found =
    std::find_if(config.rollouts.begin(), config.rollouts.end(),
                 [&group](const RolloutConfig& r) { return r.name == group; });
  return found == config.rollouts.end() ? nullptr : &*found;
}

EndpointConfig* FindMutableEndpoint(Config& config, const std::string& name)
{
  auto found =
    std::find_if(config.endpoints.begin(), config.endpoints.end(),
                 [&name](const EndpointConfig& e) { return e.name == name; });
  return found == config.endpoints.end() ? nullptr : &*found;
}

Error NoRollout(const std::string& group)
{
  return Error{ absl::StrCat("There is no roll-out of the group \"", group,
                             "\"; \"show rollouts\" lists them.") };
}

void Begin(RolloutConfig& rollout, EndpointConfig& endpoint)
{
  rollout.current = endpoint.name;
  rollout.keepDrained = endpoint.drained;
  endpoint.drained = true;
}

void End(RolloutConfig& rollout, EndpointConfig& endpoint)
{
  endpoint.drained = rollout.keepDrained;
  rollout.current.clear();
  rollout.keepDrained = false;
}

} // namespace

Outcome<Config> ApplyStartRollout(Config config,
                                  const wire::StartRollout& start)
{
  if (FindGroup(config, start.group()) == nullptr) {
    return Error{ absl::StrCat("There is no group \"", start.group(),
                               "\"; \"show groups\" lists them.") };
  }
  RolloutConfig* rollout = FindMutable(config, start.group());
  if (rollout == nullptr) {
    rollout = &config.rollouts.emplace_back();
    rollout->name = start.group();
  }
  rollout->version = start.version();
  rollout->minReady =
    static_cast<int>(std::min<std::uint32_t>(start.min_ready(), INT32_MAX));
  return config;
}

Outcome<Config> ApplyStepRollout(Config config, const wire::StepRollout& step)
{
  RolloutConfig* rollout = FindMutable(config, step.group());
  EndpointConfig* endpoint = FindMutableEndpoint(config, step.endpoint());
  if (rollout == nullptr || endpoint == nullptr) {
    return NoRollout(step.group());
  }
  const bool begins = step.kind() == wire::StepRollout::BEGIN;
  const std::string expected = begins ? std::string() : step.endpoint();
  if (rollout->current != expected) {
    return Error{ absl::StrCat("The roll-out of the group \"", step.group(),
                               "\" is at \"", rollout->current,
                               "\"; the step is not its next.") };
  }
  if (begins) {
    Begin(*rollout, *endpoint);
  } else {
    End(*rollout, *endpoint);
  }
  return config;
}

Outcome<Config> ApplyStopRollout(Config config, const wire::StopRollout& stop)
{
  RolloutConfig* rollout = FindMutable(config, stop.group());
  if (rollout == nullptr) {
    return NoRollout(stop.group());
  }
  EndpointConfig* current = FindMutableEndpoint(config, rollout->current);
  if (current != nullptr) {
    End(*rollout, *current);
  }
  config.rollouts.erase(config.rollouts.begin() +
                        (rollout - config.rollouts.data()));
  return config;
}

void NoteDrained(Config& config, EndpointConfig& endpoint)
{
  RolloutConfig* rollout = FindMutable(config, endpoint.group);
  if (rollout != nullptr && rollout->current == endpoint.name) {
    rollout->keepDrained = endpoint.drained;
    endpoint.drained = true;
  }
}

void KeepRollouts(const Config& present, Config& next)
{
  next.rollouts = present.rollouts;
  for (RolloutConfig& rollout : next.rollouts) {
    EndpointConfig* current = FindMutableEndpoint(next, rollout.current);
    if (current == nullptr || current->group != rollout.name) {
      rollout.current.clear(); // the file has removed it
      rollout.keepDrained = false;
      continue;
    }
    NoteDrained(next, *current);
  }
}

} // namespace wg
