// SPDX-License-Identifier: Apache-2.0
// How an entry comes by the configuration, and tells it to its neighbours.
#include "wgEntryNode.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include "wgChange.h"
#include "wgCompression.h"
#include "wgConfigText.h"
#include "wgLog.h"

namespace wg {
namespace {

constexpr absl::Duration FollowWait = absl::Seconds(2);
/** Beyond the wait, how late an answer may come. */
constexpr absl::Duration FollowGrace = absl::Seconds(1);
constexpr absl::Duration FollowRetry = absl::Milliseconds(200);
constexpr absl::Duration MaxReplicaAge = absl::Seconds(1);
constexpr std::size_t MaxConfigBytes = 64U << 20U;
/** The longest that a box which stops answering midway can hold up. */
constexpr absl::Duration MaxFetchTime = absl::Minutes(1);

} // namespace

/** One round of asking for a newer configuration: the first replica that
 * hears its leader is waited on.
 */
void EntryNode::FollowConfig()
{
  const bool upToDate =
    std::any_of(settings_.controls.begin(), settings_.controls.end(),
                [this](const std::string& control) {
                  return ending_ || FollowFrom(control, FollowWait);
                });
  // A replica that is cut off may know less than a neighbour does.
  for (const std::string& neighbour : NewerNeighbours()) {
    FollowFrom(neighbour, absl::ZeroDuration());
  }
  if (!upToDate) {
    absl::SleepFor(FollowRetry);
  }
}

/** The entries in reach that have a newer configuration in force. */
std::vector<std::string> EntryNode::NewerNeighbours()
{
  absl::MutexLock lock(&board_.members.mutex);
  const Membership& membership = board_.members.membership;
  std::vector<std::string> neighbours;
  for (const KnownMember* known : ReachableMembers(membership, ElapsedNow())) {
    const bool newer = known->member.revision() > membership.self.revision();
    if (newer) {
      neighbours.push_back(known->member.address());
    }
  }
  return neighbours;
}

/** Asks one box whether there is a newer configuration, and for that one.
 * \return whether the box answers and is up to date
 */
bool EntryNode::FollowFrom(const std::string& address, absl::Duration wait)
{
  const std::shared_ptr<const Config> present = CurrentConfig(board_);
  wire::FollowRequest request;
  request.set_box(settings_.box);
  request.set_hall(settings_.hall);
  request.set_have_revision(present == nullptr ? 0 : present->revision);
  request.set_wait_ms(absl::ToInt64Milliseconds(wait));
  request.set_knows_hall_orders(true);
  request.set_have_hall_orders(NewestHallOrder(board_));
  const auto news = AskFollowed(address, request, wait + FollowGrace);
  if (news && news->has_hall_orders()) {
    PutHallOrders(board_, FromWire(news->hall_orders()));
  }
  if (!news || !news->known()) {
    return false;
  }
  const bool current =
    news->age_ms() < absl::ToInt64Milliseconds(MaxReplicaAge);
  if (news->revision() > request.have_revision()) {
    return FetchConfig(address, request, present) && current;
  }
  if (current) {
    ConfirmConfig(board_);
  }
  return current;
}

std::optional<wire::FollowReply> EntryNode::AskFollowed(
  const std::string& address, const wire::FollowRequest& request,
  absl::Duration timeout)
{
  const Outcome<std::string> bytes = client_->CallAndWait(
    address, "/follow", request.SerializeAsString(), timeout);
  wire::FollowReply reply;
  if (!Succeeded(bytes) || !reply.ParseFromString(Value(bytes))) {
    return std::nullopt;
  }
  return reply;
}

/** Takes a newer configuration from a box that has just answered. What it
 * takes is not known before: a call that ends too soon doubles the next one's
 * time, so that any link gets it through in the end.
 */
bool EntryNode::FetchConfig(const std::string& address,
                            wire::FollowRequest request,
                            const std::shared_ptr<const Config>& present)
{
  request.set_wants_config(true);
  request.set_wait_ms(0);
  const auto reply = AskFollowed(address, request, fetchTime_);
  wire::FollowReply news;
  const Outcome<std::string> unpacked =
    reply ? Decompress(reply->packed(), MaxConfigBytes)
          : Outcome<std::string>(Error{ "There was no answer." });
  if (!Succeeded(unpacked) || !news.ParseFromString(Value(unpacked))) {
    LogChange("configuration",
              absl::StrCat("not received from ", address, " within ",
                           absl::FormatDuration(fetchTime_)));
    fetchTime_ = std::min(2 * fetchTime_, MaxFetchTime);
    return false;
  }
  fetchTime_ = FollowGrace;
  if (!news.toml().empty()) {
    Outcome<Config> config = ReadConfig(news.toml());
    if (Succeeded(config)) {
      Value(config).revision = reply->revision();
      PutInForce(board_, std::move(Value(config)));
    }
    return Succeeded(config);
  }
  if (present == nullptr) {
    return false; // changes need what they change
  }
  Config config = *present;
  for (const wire::Change& change : news.changes()) {
    Outcome<Config> next = ApplyConfigChange(config, change);
    if (!Succeeded(next)) {
      return false;
    }
    config = std::move(Value(next));
  }
  PutInForce(board_, std::move(config));
  return true;
}

std::string EntryNode::AnswerFollow(const std::string& body)
{
  wire::FollowRequest request;
  wire::FollowReply reply;
  const std::shared_ptr<const Config> config = CurrentConfig(board_);
  if (request.ParseFromString(body) && config != nullptr) {
    reply.set_known(true);
    reply.set_revision(config->revision);
    if (config->revision > request.have_revision() && request.wants_config()) {
      wire::FollowReply text;
      text.set_toml(PrintConfig(*config));
      reply.set_packed(Compress(text.SerializeAsString()));
    }
  }
  return reply.SerializeAsString();
}

} // namespace wg
