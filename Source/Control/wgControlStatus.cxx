// SPDX-License-Identifier: Apache-2.0
#include "wgControlStatus.h"

#include "absl/strings/str_cat.h"

#include "wgConfigText.h"

namespace wg {
namespace {

nlohmann::json DescribeVoters(
  const google::protobuf::RepeatedPtrField<wire::Voter>& voters)
{
  nlohmann::json list = nlohmann::json::array();
  for (const wire::Voter& voter : voters) {
    list.push_back({ { "id", absl::StrCat(absl::Hex(voter.id())) },
                     { "box", voter.box() },
                     { "address", voter.address() } });
  }
  return list;
}

} // namespace

absl::string_view Name(ReplicaRole role)
{
  switch (role) {
    case ReplicaRole::Leader:
      return "leader";
    case ReplicaRole::Candidate:
    case ReplicaRole::PreCandidate:
      return "candidate";
    case ReplicaRole::Follower:
      break;
  }
  return "follower";
}

nlohmann::json DescribeReplica(const Replica& replica, Elapsed now)
{
  return { { "replica", std::string(Name(replica.role)) },
           { "id", absl::StrCat(absl::Hex(replica.self.id())) },
           { "cluster", replica.cluster },
           { "term", replica.hard.term() },
           { "last_index", replica.log.LastIndex() },
           { "commit", replica.commit },
           { "sent_again_bytes", RetransmittedBytes(replica) },
           { "lease", HoldsLease(replica, now) },
           { "voters", DescribeVoters(replica.voters.voters()) },
           { "learners", DescribeVoters(replica.voters.learners()) } };
}

nlohmann::json DescribeBoxes(const std::map<std::string, FollowerBox>& boxes,
                             Elapsed now)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [box, follower] : boxes) {
    if (follower.isControl) {
      continue;
    }
    rows.push_back(
      { { "box", box },
        { "hall", follower.hall },
        { "revision", follower.revision },
        { "age_ms", absl::ToInt64Milliseconds(now - follower.heard) } });
  }
  return rows;
}

nlohmann::json DescribeHalls(const HallOrders& orders)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [hall, order] : orders.halls) {
    rows.push_back({ { "hall", hall },
                     { "evacuated", order.evacuated },
                     { "number", order.number } });
  }
  return rows;
}

std::string PrintPublicConfig(Config config)
{
  for (AccountConfig& account : config.accounts) {
    account.key = account.key.empty() ? "" : "(hidden)";
  }
  return PrintConfig(config);
}

} // namespace wg
