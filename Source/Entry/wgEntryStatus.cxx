// SPDX-License-Identifier: Apache-2.0
#include "wgEntryStatus.h"

#include <nlohmann/json.hpp>

#include "wgConfigText.h"
#include "wgJson.h"

namespace wg {
namespace {

using Json = nlohmann::json;

std::string Name(const EndpointState& endpoint)
{
  if (endpoint.removed) {
    return "removed";
  }
  if (endpoint.drained) {
    return "drained";
  }
  if (endpoint.evacuated) {
    return "evacuated";
  }
  if (IsLeaving(endpoint)) {
    return "leaving";
  }
  if (!endpoint.reportsReady) {
    return "loading";
  }
  switch (endpoint.health.state) {
    case HealthState::Ejected:
      return "ejected";
    case HealthState::Probing:
      return "probing";
    case HealthState::Healthy:
      break;
  }
  return "live";
}

Json DescribeEndpoints(GroupTable& table, Elapsed now)
{
  Json rows = Json::array();
  absl::MutexLock lock(&table.mutex);
  for (const auto& [name, group] : table.groups) {
    for (const EndpointState& endpoint : group.endpoints) {
      const bool reported = endpoint.report.at > -absl::InfiniteDuration();
      rows.push_back(
        { { "endpoint", endpoint.name },
          { "group", name },
          { "hall", endpoint.hall },
          { "state", Name(endpoint) },
          { "slots", endpoint.slots },
          { "limit", static_cast<int>(endpoint.limit.value) },
          { "running_here", endpoint.running },
          { "reported_running", endpoint.report.running },
          { "report_age_ms",
            reported ? absl::ToInt64Milliseconds(now - endpoint.report.at)
                     : -1 },
          { "mean_ms", endpoint.service.mean * 1000.0 } });
    }
  }
  return rows;
}

Json DescribeGroups(GroupTable& table)
{
  Json rows = Json::array();
  absl::MutexLock lock(&table.mutex);
  for (const auto& [name, group] : table.groups) {
    rows.push_back({ { "group", name },
                     { "waiting", group.queue.count },
                     { "waiting_bytes", group.queue.bytes },
                     { "places", CountSlots(group) },
                     { "mean_ms", group.service.mean * 1000.0 },
                     { "retry_tokens", group.retries.tokens } });
  }
  return rows;
}

Json DescribeCosts(AccountTable& table)
{
  Json rows = Json::array();
  absl::MutexLock lock(&table.mutex);
  for (const auto& [key, cost] : table.costs) {
    rows.push_back({ { "account", key.account },
                     { "pipeline", key.pipeline },
                     { "stage", key.stage },
                     { "tries", cost.tries },
                     { "retries", cost.retries },
                     { "tokens", cost.tokens },
                     { "useful_s", cost.usefulSeconds },
                     { "wasted_s", cost.wastedSeconds } });
  }
  return rows;
}

Json DescribeAccounts(const Config* config, AccountTable& table)
{
  Json rows = Json::array();
  if (config == nullptr) {
    return rows;
  }
  absl::MutexLock lock(&table.mutex);
  for (const AccountConfig& account : config->accounts) {
    auto use = table.uses.find(account.name);
    rows.push_back({ { "account", account.name },
                     { "weight", account.weight },
                     { "top_priority", account.topPriority },
                     { "rate_per_second", account.ratePerSecond },
                     { "concurrency", account.concurrency },
                     { "running_here",
                       use == table.uses.end() ? 0 : use->second.running } });
  }
  return rows;
}

Json DescribeMembers(MemberTable& table, const std::string& hall, Elapsed now)
{
  Json rows = Json::array();
  absl::MutexLock lock(&table.mutex);
  const Membership& membership = table.membership;
  rows.push_back({ { "box", membership.self.box() },
                   { "hall", hall },
                   { "state", membership.self.leaving() ? "leaving" : "live" },
                   { "revision", membership.self.revision() },
                   { "age_ms", 0 } });
  for (const auto& [box, known] : membership.others) {
    const bool alive = IsReachable(membership, known, now);
    rows.push_back(
      { { "box", box },
        { "hall", known.member.hall() },
        { "state", !alive                   ? "suspected"
                   : known.member.leaving() ? "leaving"
                                            : "live" },
        { "revision", known.member.revision() },
        { "age_ms", absl::ToInt64Milliseconds(now - known.lastHeartbeat) } });
  }
  return rows;
}

Json DescribeAttempts(const RequestRecord& record)
{
  Json rows = Json::array();
  for (const AttemptRecord& attempt : record.attempts) {
    Json compared = Json::array();
    for (const ComparedEndpoint& candidate : attempt.compared) {
      compared.push_back({ { "endpoint", candidate.endpoint },
                           { "finish_s", candidate.finishSeconds } });
    }
    rows.push_back({ { "stage", attempt.stage },
                     { "attempt", attempt.attempt },
                     { "group", attempt.group },
                     { "endpoint", attempt.endpoint },
                     { "wait_s", attempt.waitSeconds },
                     { "run_s", attempt.runSeconds },
                     { "end", attempt.end },
                     { "compared", compared } });
  }
  return rows;
}

Json DescribeRequest(const RequestRecord& record, Elapsed now)
{
  const Elapsed until = record.running ? now : record.ended;
  return { { "request", record.request },
           { "account", record.account },
           { "pipeline", record.pipeline },
           { "state", record.running ? "running" : "ended" },
           { "reason", std::string(Name(record.reason)) },
           { "age_ms", absl::ToInt64Milliseconds(now - record.arrived) },
           { "took_ms", absl::ToInt64Milliseconds(until - record.arrived) },
           { "attempts", DescribeAttempts(record) } };
}

Json DescribeRequests(RequestTable& table, Elapsed now)
{
  Json rows = Json::array();
  absl::MutexLock lock(&table.mutex);
  for (const auto& [id, record] : table.records.running) {
    rows.push_back(DescribeRequest(record, now));
  }
  for (const RequestRecord& record : table.records.ended) {
    rows.push_back(DescribeRequest(record, now));
  }
  return rows;
}

} // namespace

std::string DescribeEntry(Blackboard& board)
{
  const Elapsed now = ElapsedNow();
  const std::shared_ptr<const Config> config = CurrentConfig(board);
  absl::Duration age;
  {
    absl::MutexLock lock(&board.config.mutex);
    age = now - board.config.confirmed;
  }
  Json status{ { "role", "entry" },
               { "box", board.box },
               { "hall", board.hall },
               { "revision", config == nullptr ? 0 : config->revision },
               { "age_ms", absl::ToInt64Milliseconds(age) },
               { "stopping", board.stopping.load() },
               { "in_flight", board.inFlight.load() } };
  status["endpoints"] = DescribeEndpoints(board.groups, now);
  status["groups"] = DescribeGroups(board.groups);
  status["accounts"] = DescribeAccounts(config.get(), board.accounts);
  status["cost"] = DescribeCosts(board.accounts);
  status["boxes"] = DescribeMembers(board.members, board.hall, now);
  status["requests"] = DescribeRequests(board.requests, now);
  return PrintJson(status);
}

} // namespace wg
