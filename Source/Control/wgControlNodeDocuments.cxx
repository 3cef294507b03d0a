// SPDX-License-Identifier: Apache-2.0
// A control box's part for gateways, endpoints and operators' documents.
#include "wgControlNode.h"

#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "wgChangeAnswer.h"
#include "wgLink.h"

namespace wg {
namespace {

constexpr absl::Duration JoinerMemory = absl::Seconds(10);
constexpr absl::Duration ForwardTimeout = absl::Milliseconds(900);

} // namespace

void ControlNode::OnFollow(FollowWaiter waiter)
{
  TakeFollow(followers_, std::move(waiter), Followed(), ElapsedNow());
}

ControlGauges ControlNode::Gauges() const
{
  ControlGauges gauges;
  gauges.endpoints = registry_.endpoints.size();
  gauges.followers = followers_.boxes.size();
  gauges.documentNumber = state_.document.number();
  gauges.leads = replica_.role == ReplicaRole::Leader;
  return gauges;
}

FollowedState ControlNode::Followed() const
{
  return { &state_, &registry_, &crashes_, KnownControls(),
           ElapsedNow() - leaderHeard_ };
}

/** Voters, learners, and those that ask to join, without any twice. */
std::vector<std::string> ControlNode::KnownControls() const
{
  std::set<std::string> known(settings_.controls.begin(),
                              settings_.controls.end());
  known.insert(settings_.advertise);
  for (const auto* list :
       { &replica_.voters.voters(), &replica_.voters.learners() }) {
    for (const wire::Voter& voter : *list) {
      known.insert(voter.address());
    }
  }
  const Elapsed now = ElapsedNow();
  for (const auto& [id, joiner] : joining_) {
    if (now - joiner.lastAsked < JoinerMemory) {
      known.insert(joiner.who.address());
    }
  }
  return { known.begin(), known.end() };
}

/** Until the first document there must be as many voters as are wanted: a
 * cluster that has just been founded would lose it with a single disk.
 */
bool ControlNode::IsWholeAtFirst() const
{
  return state_.document.number() > 0 ||
         static_cast<std::size_t>(replica_.voters.voters_size()) >=
           settings_.wantedVoters;
}

void ControlNode::Publish(wire::PublishDocument document,
                          const PublishAnswer& answer)
{
  if (document.number() <= state_.document.number()) {
    wire::ChangeResult held;
    held.set_verdict(wire::ChangeResult::ACCEPTED);
    answer(held);
    return;
  }
  wire::Change change;
  change.set_author(settings_.box);
  *change.mutable_publish() = std::move(document);
  auto respond = [answer](const std::string& bytes) {
    wire::ChangeResult result;
    result.ParseFromString(bytes);
    answer(result);
  };
  const std::string leader = LeaderAddress();
  const bool forward = replica_.role != ReplicaRole::Leader &&
                       !leader.empty() && leader != settings_.advertise;
  if (!forward) {
    Post(ChangeRequest{ std::move(change), respond });
    return;
  }
  const absl::Duration timeout =
    ForwardTimeout + TransferTime(change.publish().content().size());
  client_->Call(
    leader, "/change", change.SerializeAsString(), timeout,
    [this, respond](const Outcome<std::string>& reply) {
      const std::string bytes =
        Succeeded(reply) ? Value(reply)
                         : PrintChangeResult(wire::ChangeResult::UNAVAILABLE,
                                             Message(reply), "");
      boost::asio::post(loop_, [respond, bytes] { respond(bytes); });
    });
}

wire::DocumentReply ControlNode::ReadOwn() const
{
  wire::DocumentReply reply;
  const bool applied = replica_.applied >= replica_.commit;
  if (applied && HoldsLease(replica_, ElapsedNow())) {
    reply.set_sure(true);
    reply.set_number(state_.document.number());
    reply.set_content(state_.document.content());
  }
  return reply;
}

void ControlNode::ReadDocument(const ReadAnswer& answer)
{
  const std::string leader = LeaderAddress();
  const bool own = replica_.role == ReplicaRole::Leader || leader.empty() ||
                   leader == settings_.advertise;
  if (own) {
    answer(ReadOwn());
    return;
  }
  client_->Call(leader, "/document", "", ForwardTimeout,
                [this, answer](const Outcome<std::string>& reply) {
                  wire::DocumentReply newest;
                  const bool sound =
                    Succeeded(reply) && newest.ParseFromString(Value(reply));
                  if (!sound) {
                    newest.Clear();
                  }
                  boost::asio::post(loop_, [this, answer, newest] {
                    answer(ReadConfirmed(newest));
                  });
                });
}

/** The own document, where the leader tells that it is the newest: sent whole
 * over a poor link a large one would not come within a call.
 */
wire::DocumentReply ControlNode::ReadConfirmed(
  const wire::DocumentReply& newest) const
{
  wire::DocumentReply reply;
  if (newest.sure() && newest.number() == state_.document.number()) {
    reply = newest;
    reply.set_content(state_.document.content());
  }
  return reply;
}

HeartbeatTaken ControlNode::Register(const wire::Registration& heartbeat)
{
  const HeartbeatTaken taken =
    TakeHeartbeat(registry_, heartbeat, ElapsedNow());
  const bool isSound =
    taken == HeartbeatTaken::News || taken == HeartbeatTaken::Known;
  const bool showsLife =
    isSound && NoteBeatAfterEnd(beatsAfterEnd_, crashes_, heartbeat);
  if (taken == HeartbeatTaken::News || showsLife) {
    AnswerFollowers(followers_, Followed(), ElapsedNow());
  }
  return taken;
}

void ControlNode::Unregister(const EndpointStart& start)
{
  if (TakeLeave(registry_, start, ElapsedNow())) {
    AnswerFollowers(followers_, Followed(), ElapsedNow());
  }
}

void ControlNode::AddControls(std::vector<std::string> addresses)
{
  boost::asio::post(loop_, [this, addresses = std::move(addresses)] {
    auto& known = settings_.controls;
    for (const std::string& address : addresses) {
      if (std::find(known.begin(), known.end(), address) == known.end()) {
        known.push_back(address);
      }
    }
  });
}

} // namespace wg
