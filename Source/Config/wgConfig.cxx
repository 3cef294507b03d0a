// SPDX-License-Identifier: Apache-2.0
#include "wgConfig.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr int MaxPort = 65535;
constexpr std::size_t MaxVersionBytes = 100;
constexpr int MaxSlots = 100000;
constexpr double MaxLinkMs = 10000.0;
constexpr double MsPerSecond = 1000.0;
constexpr int MaxDeadlineMs = 24 * 3600 * 1000;

template <class Items>
auto* FindNamed(const Items& items, absl::string_view name)
{
  auto found =
    std::find_if(items.begin(), items.end(),
                 [name](const auto& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

/** Names are unique, not empty and made of letters that need no quoting. */
template <class Items>
Outcome<Done> CheckNames(absl::string_view what, const Items& items)
{
  absl::flat_hash_set<std::string> seen;
  for (const auto& item : items) {
    const bool plain =
      !item.name.empty() &&
      std::all_of(item.name.begin(), item.name.end(), [](char c) {
        return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
      });
    if (!plain) {
      return Error{ absl::StrCat("The ", what, " name \"", item.name,
                                 "\" is not made of letters, digits, '-', "
                                 "'_' and '.'; rename it.") };
    }
    if (!seen.insert(item.name).second) {
      return Error{ absl::StrCat("The ", what, " \"", item.name,
                                 "\" is there twice; remove one.") };
    }
  }
  return Done{};
}

bool IsIpNumber(const std::string& address)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, address.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, address.c_str(), bytes.data()) == 1;
}

Outcome<Done> CheckEndpoint(const Config& config, const EndpointConfig& e)
{
  const std::string subject = absl::StrCat("The endpoint \"", e.name, "\" ");
  if (FindGroup(config, e.group) == nullptr) {
    return Error{ absl::StrCat(subject, "names the group \"", e.group,
                               "\", which does not exist; add the group.") };
  }
  if (FindNamed(config.halls, e.hall) == nullptr) {
    return Error{ absl::StrCat(subject, "names the hall \"", e.hall,
                               "\", which does not exist; add the hall.") };
  }
  if (!IsIpNumber(e.address)) {
    return Error{ absl::StrCat(subject, "has the address \"", e.address,
                               "\"; give an IP number.") };
  }
  if (e.port < 1 || e.port > MaxPort) {
    return Error{ absl::StrCat(subject, "has the port ", e.port,
                               "; give one from 1 to ", MaxPort, ".") };
  }
  if (e.slots < 1 || e.slots > MaxSlots) {
    return Error{ absl::StrCat(subject, "has ", e.slots,
                               " slots; give from 1 to ", MaxSlots, ".") };
  }
  return Done{};
}

Outcome<Done> CheckLink(const Config& config, const LinkConfig& link)
{
  const bool areTwo =
    link.between.size() == 2 && link.between[0] != link.between[1];
  if (!areTwo) {
    return Error{ "A link must be between two halls; name both." };
  }
  for (const std::string& hall : link.between) {
    if (FindNamed(config.halls, hall) == nullptr) {
      return Error{ absl::StrCat("A link names the hall \"", hall,
                                 "\", which does not exist; add the hall.") };
    }
  }
  if (!(link.oneWayMs >= 0.0 && link.oneWayMs <= MaxLinkMs)) {
    return Error{ absl::StrCat(
      "The link between \"", link.between[0], "\" and \"", link.between[1],
      "\" needs one_way_ms from 0 to ", MaxLinkMs, ".") };
  }
  return Done{};
}

Outcome<Done> CheckBox(const Config& config, const BoxConfig& box)
{
  if (FindNamed(config.halls, box.hall) == nullptr) {
    return Error{ absl::StrCat("The box \"", box.name, "\" names the hall \"",
                               box.hall,
                               "\", which does not exist; add the hall.") };
  }
  return Done{};
}

/** The first error of a check of each item. */
template <class Items, class Check>
Outcome<Done> CheckEach(const Items& items, Check check)
{
  for (const auto& item : items) {
    if (auto outcome = check(item); !Succeeded(outcome)) {
      return outcome;
    }
  }
  return Done{};
}

Outcome<Done> CheckPipeline(const Config& config, const PipelineConfig& p)
{
  const std::string subject = absl::StrCat("The pipeline \"", p.name, "\" ");
  if (p.stages.empty()) {
    return Error{ absl::StrCat(subject, "has no stage; add one.") };
  }
  for (const auto& stage : p.stages) {
    if (FindGroup(config, stage) == nullptr) {
      return Error{ absl::StrCat(subject, "has the stage \"", stage,
                                 "\", which is no group; add the group.") };
    }
  }
  if (p.deadlineMs < 1 || p.deadlineMs > MaxDeadlineMs) {
    return Error{ absl::StrCat(subject, "has deadline_ms ", p.deadlineMs,
                               "; give from 1 to ", MaxDeadlineMs, ".") };
  }
  return Done{};
}

Outcome<Done> CheckRollout(const Config& config, const RolloutConfig& r)
{
  const std::string subject =
    absl::StrCat("The roll-out of the group \"", r.name, "\" ");
  const auto endpoints =
    std::count_if(config.endpoints.begin(), config.endpoints.end(),
                  [&r](const auto& e) { return e.group == r.name; });
  if (endpoints == 0) {
    return Error{ absl::StrCat(subject, "has no endpoint to update; stop the "
                                        "roll-out first.") };
  }
  if (r.version.empty() || r.version.size() > MaxVersionBytes) {
    return Error{ absl::StrCat(subject, "needs a version of 1 to ",
                               MaxVersionBytes, " bytes.") };
  }
  if (r.minReady < 0 || r.minReady >= endpoints) {
    return Error{ absl::StrCat(subject, "is to keep ", r.minReady, " of ",
                               endpoints, " endpoints ready; give from 0 to ",
                               endpoints - 1, ".") };
  }
  const EndpointConfig* current = FindEndpoint(config, r.current);
  const bool sound =
    r.current.empty() || (current != nullptr && current->group == r.name);
  if (!sound) {
    return Error{ absl::StrCat(subject, "updates \"", r.current,
                               "\", which is none of its endpoints.") };
  }
  return Done{};
}

Outcome<Done> CheckAccount(const AccountConfig& a)
{
  const bool sound = a.weight > 0 && a.weight <= 1e6 && a.topPriority >= 0 &&
                     a.topPriority <= 9 && a.ratePerSecond >= 0 &&
                     a.concurrency >= 0;
  if (!sound) {
    return Error{ absl::StrCat(
      "The account \"", a.name,
      "\" needs a weight above 0 and up to 1000000, a top_priority from 0 "
      "to 9, and a rate and concurrency of 0 (no limit) or more.") };
  }
  return Done{};
}

} // namespace

absl::string_view Name(StageKind kind)
{
  constexpr std::array<absl::string_view, 5> names = { "encode", "retrieve",
                                                       "rerank", "generate",
                                                       "service" };
  return names[static_cast<std::size_t>(kind)];
}

const GroupConfig* FindGroup(const Config& config, absl::string_view name)
{
  return FindNamed(config.groups, name);
}

const EndpointConfig* FindEndpoint(const Config& config,
                                   absl::string_view name)
{
  return FindNamed(config.endpoints, name);
}

const PipelineConfig* FindPipeline(const Config& config,
                                   absl::string_view name)
{
  return FindNamed(config.pipelines, name);
}

const AccountConfig* FindAccount(const Config& config, absl::string_view name)
{
  return FindNamed(config.accounts, name);
}

double RoundTripSeconds(const Config& config, absl::string_view hall,
                        absl::string_view other)
{
  if (hall == other) {
    return 0.0;
  }
  for (const LinkConfig& link : config.links) {
    const bool joins = (link.between[0] == hall && link.between[1] == other) ||
                       (link.between[1] == hall && link.between[0] == other);
    if (joins) {
      return 2.0 * link.oneWayMs / MsPerSecond;
    }
  }
  return 2.0 * LinkConfig{}.oneWayMs / MsPerSecond;
}

const RolloutConfig* FindRollout(const Config& config, absl::string_view group)
{
  return FindNamed(config.rollouts, group);
}

bool IsRepeatable(const Config& config, const PipelineConfig& pipeline)
{
  if (!pipeline.repeatable) {
    return false;
  }
  return std::all_of(pipeline.stages.begin(), pipeline.stages.end(),
                     [&config](const std::string& stage) {
                       return FindGroup(config, stage)->repeatable;
                     });
}

Outcome<Done> CheckConfig(const Config& config)
{
  const std::array<Outcome<Done>, 7> names = {
    CheckNames("hall", config.halls),
    CheckNames("box", config.boxes),
    CheckNames("group", config.groups),
    CheckNames("endpoint", config.endpoints),
    CheckNames("pipeline", config.pipelines),
    CheckNames("account", config.accounts),
    CheckNames("roll-out's group", config.rollouts)
  };
  for (const auto& outcome : names) {
    if (!Succeeded(outcome)) {
      return outcome;
    }
  }
  const auto with = [&config](auto check) {
    return [&config, check](const auto& item) { return check(config, item); };
  };
  const std::array<Outcome<Done>, 6> parts = {
    CheckEach(config.links, with(CheckLink)),
    CheckEach(config.boxes, with(CheckBox)),
    CheckEach(config.endpoints, with(CheckEndpoint)),
    CheckEach(config.pipelines, with(CheckPipeline)),
    CheckEach(config.rollouts, with(CheckRollout)),
    CheckEach(config.accounts, CheckAccount)
  };
  for (const auto& outcome : parts) {
    if (!Succeeded(outcome)) {
      return outcome;
    }
  }
  return Done{};
}

} // namespace wg
