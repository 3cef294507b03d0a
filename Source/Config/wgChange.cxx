// SPDX-License-Identifier: Apache-2.0
#include "wgChange.h"

#include <cmath>

#include "absl/strings/str_cat.h"

#include "wgConfigText.h"
#include "wgRolloutChange.h"

namespace wg {
namespace {

Outcome<Config> ApplySetAccount(Config config, const wire::SetAccount& set)
{
  for (AccountConfig& account : config.accounts) {
    if (account.name != set.account()) {
      continue;
    }
    if (set.field() == "weight") {
      account.weight = set.value();
    } else if (set.field() == "rate_per_second") {
      account.ratePerSecond = set.value();
    } else if (set.field() == "concurrency") {
      account.concurrency = static_cast<int>(std::lround(set.value()));
    } else if (set.field() == "top_priority") {
      account.topPriority = static_cast<int>(std::lround(set.value()));
    } else {
      return Error{ absl::StrCat(
        "An account has no field \"", set.field(),
        "\"; use weight, rate_per_second, concurrency or top_priority.") };
    }
    return config;
  }
  return Error{ absl::StrCat("There is no account \"", set.account(),
                             "\"; \"show accounts\" lists them.") };
}

Outcome<Config> ApplySetDrained(Config config, const wire::SetDrained& set)
{
  for (EndpointConfig& endpoint : config.endpoints) {
    if (endpoint.name == set.endpoint()) {
      endpoint.drained = set.drained();
      NoteDrained(config, endpoint);
      return config;
    }
  }
  return Error{ absl::StrCat("There is no endpoint \"", set.endpoint(),
                             "\"; \"show endpoints\" lists them.") };
}

/** A file neither starts, changes nor ends a roll-out. */
Outcome<Config> ApplyFile(const Config& config, const wire::ApplyConfig& apply)
{
  Outcome<Config> next = ReadConfig(apply.toml());
  if (Succeeded(next)) {
    KeepRollouts(config, Value(next));
  }
  return next;
}

Outcome<Config> ApplyBody(const Config& config, const wire::Change& change)
{
  switch (change.body_case()) {
    case wire::Change::kApply:
      return ApplyFile(config, change.apply());
    case wire::Change::kSetAccount:
      return ApplySetAccount(config, change.set_account());
    case wire::Change::kSetDrained:
      return ApplySetDrained(config, change.set_drained());
    case wire::Change::kStartRollout:
      return ApplyStartRollout(config, change.start_rollout());
    case wire::Change::kStepRollout:
      return ApplyStepRollout(config, change.step_rollout());
    case wire::Change::kStopRollout:
      return ApplyStopRollout(config, change.stop_rollout());
    default:
      return Error{ "The change is none of the configuration." };
  }
}

} // namespace

Outcome<Config> ApplyConfigChange(const Config& config,
                                  const wire::Change& change)
{
  Outcome<Config> next = ApplyBody(config, change);
  if (!Succeeded(next)) {
    return next;
  }
  if (auto checked = CheckConfig(Value(next)); !Succeeded(checked)) {
    return Error{ Message(checked) };
  }
  Value(next).revision = config.revision + 1;
  return next;
}

} // namespace wg
