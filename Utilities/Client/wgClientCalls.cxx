// SPDX-License-Identifier: Apache-2.0
#include "wgClientCalls.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgLink.h"

namespace wg {
namespace {

constexpr absl::Duration OneCall = absl::Seconds(1);
constexpr absl::Duration PauseBetweenRounds = absl::Milliseconds(100);

using Result = wire::ChangeResult;

} // namespace

std::vector<nlohmann::json> FetchStatuses(PeerClient& client,
                                          const ClientSettings& settings)
{
  std::vector<nlohmann::json> statuses;
  for (const std::string& server : settings.servers) {
    const auto bytes = client.CallAndWait(server, "/status", "", OneCall);
    wire::StatusReply reply;
    if (!Succeeded(bytes) || !reply.ParseFromString(Value(bytes))) {
      continue;
    }
    nlohmann::json status =
      nlohmann::json::parse(reply.json(), nullptr, false);
    if (status.is_object()) {
      statuses.push_back(std::move(status));
    }
  }
  return statuses;
}

wire::ChangeResult SendChange(PeerClient& client,
                              const ClientSettings& settings,
                              const wire::Change& change)
{
  Result last;
  last.set_verdict(Result::UNAVAILABLE);
  last.set_message("No control box gave an answer; give its address with "
                   "--servers.");
  const absl::Time end = absl::Now() + settings.timeout;
  std::vector<std::string> order = settings.servers;
  const std::string body = change.SerializeAsString();
  const absl::Duration oneCall = OneCall + TransferTime(body.size());
  while (absl::Now() < end && !order.empty()) {
    for (std::size_t i = 0; i < order.size(); ++i) {
      const auto bytes =
        client.CallAndWait(order[i], "/change", body, oneCall);
      Result answer;
      const bool answered = Succeeded(bytes) &&
                            answer.ParseFromString(Value(bytes)) &&
                            answer.verdict() != Result::UNSPECIFIED;
      if (!answered) {
        continue;
      }
      if (answer.verdict() == Result::ACCEPTED ||
          answer.verdict() == Result::REJECTED) {
        return answer;
      }
      last = answer;
      if (!answer.leader().empty() && answer.leader() != order[i]) {
        order.insert(order.begin(), answer.leader());
        break;
      }
    }
    absl::SleepFor(PauseBetweenRounds);
  }
  return last;
}

wire::ChangeResult SendFound(PeerClient& client,
                             const ClientSettings& settings)
{
  Result result;
  result.set_verdict(Result::UNAVAILABLE);
  result.set_message("The first server gave no answer.");
  const auto bytes = client.CallAndWait(settings.servers.front(), "/found", "",
                                        settings.timeout);
  if (Succeeded(bytes)) {
    result.ParseFromString(Value(bytes));
  }
  return result;
}

} // namespace wg
