// SPDX-License-Identifier: Apache-2.0
// A control box's part for gateways, endpoints and operators' documents.
#include "wgControlNode.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "wgChangeAnswer.h"
#include "wgControlChoice.h"
#include "wgLink.h"
#include "wgLog.h"

namespace wg {
namespace {

constexpr absl::Duration JoinerMemory = absl::Seconds(10);
/** How often the list of control boxes is made anew. */
constexpr absl::Duration ControlsPeriod = absl::Milliseconds(100);
constexpr absl::Duration ForwardTimeout = absl::Milliseconds(900);
/** Replicas that run answer a leader within its heartbeats of 50 ms; the rest
 * is for links that lose packets. Operators wait for some seconds.
 */
constexpr absl::Duration UnheardAfter = absl::Seconds(2);

} // namespace

void ControlNode::OnFollow(FollowWaiter waiter)
{
  const wire::FollowRequest& request = waiter.request;
  if (!request.control_address().empty()) {
    controlHalls_[request.control_address()] = request.hall();
  }
  TakeEvidence(conductor_, state_.rollouts, request.version_evidence());
  TakeFollow(followers_, std::move(waiter), Followed(), ElapsedNow());
}

ControlGauges ControlNode::Gauges() const
{
  ControlGauges gauges;
  gauges.endpoints = registry_.endpoints.size();
  gauges.followers = followers_.boxes.size();
  gauges.documentNumber = state_.document.number();
  gauges.leads = replica_.role == ReplicaRole::Leader;
  gauges.hallOrders = state_.halls.newest;
  gauges.hallsEvacuated = static_cast<std::size_t>(
    std::count_if(state_.halls.halls.begin(), state_.halls.halls.end(),
                  [](const auto& pair) { return pair.second.evacuated; }));
  gauges.unsoundShares = followers_.unsoundShares;
  gauges.controlsExchanged = exchange_->Reached();
  gauges.endsWaiting = endWaiters_.size();
  return gauges;
}

FollowedState ControlNode::Followed() const
{
  return { &state_,
           &registry_,
           &crashes_,
           toldControls_,
           ElapsedNow() - leaderHeard_,
           toldHalls_,
           controlsDigest_ };
}

/** Where there are many, they tell each other what boxes tell them. */
void ControlNode::NoteControls()
{
  const Elapsed now = ElapsedNow();
  if (now < nextControls_) {
    return;
  }
  nextControls_ = now + ControlsPeriod;
  toldControls_ = KnownControls();
  toldHalls_.clear();
  for (const std::string& address : toldControls_) {
    toldHalls_.push_back(controlHalls_[address]);
  }
  controlsDigest_ = absl::HashOf(toldControls_, toldHalls_) | 1U;
  if (toldControls_.size() > MaxFollowedByAll) {
    exchange_->Follow(toldControls_);
    NoteUnheardHalls();
  }
}

void ControlNode::NoteUnheardHalls()
{
  std::vector<ControlContact> contacts;
  for (const auto& [address, isHeard] : exchange_->Answering()) {
    contacts.push_back({ controlHalls_[address], isHeard });
  }
  if (NoteContacts(followers_.unheard, contacts, settings_.hall)) {
    LogChange("exchange",
              absl::StrCat("halls without an answer: ",
                           absl::StrJoin(followers_.unheard.halls, ", ")));
  }
}

void ControlNode::StartExchange()
{
  ExchangeHandler handler;
  handler.onReply = [this](const std::string& control,
                           const wire::FollowReply& news) {
    OnExchanged(control, news);
  };
  handler.fill = [this](wire::FollowRequest& request) {
    AddEvidence(conductor_, request);
  };
  handler.onLost = [this](const std::string& control) {
    DropListed(followers_, control, ElapsedNow());
  };
  exchange_ = std::make_unique<RegistryExchange>(
    loop_, *client_, settings_.box, settings_.hall, settings_.advertise,
    std::move(handler));
  controlHalls_[settings_.advertise] = settings_.hall;
}

void ControlNode::OnExchanged(const std::string& control,
                              const wire::FollowReply& news)
{
  const Elapsed now = ElapsedNow();
  for (const wire::Registration& told : news.registrations()) {
    TakeTold(registry_, told, now);
    if (told.state() != wire::Registration::GONE) {
      NoteServing(versions_, told.service(), told.version(), now);
    }
  }
  TakeListed(followers_, control, news, now);
  for (const wire::Crash& crash : news.crashes()) {
    MergeCrash(crashes_, crash, now);
  }
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
    if (now - joiner.lastRequest < JoinerMemory) {
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
  SendToLeader(
    change, ForwardTimeout + TransferTime(change.publish().content().size()),
    answer);
}

/** What the order is based on is read first: a copy of it that was held up on
 * its way to the leader must not undo a later one.
 */
void ControlNode::OrderHall(const std::string& hall, bool evacuate,
                            const PublishAnswer& answer)
{
  ReadAtLeader([this, hall, evacuate,
                answer](const wire::DocumentReply& newest) {
    wire::ChangeResult result;
    if (!newest.sure() || !newest.knows_hall_orders()) {
      result.set_verdict(wire::ChangeResult::UNAVAILABLE);
      result.set_message(
        newest.sure() ? "The leader runs an older program; send the order "
                        "again once it is updated."
                      : "No leader can be reached now; send the order again.");
      answer(result);
      return;
    }
    const HallOrder known =
      FindHallOrder(FromWire(newest.hall_orders()), hall);
    if (known.evacuated == evacuate) {
      result.set_verdict(wire::ChangeResult::ACCEPTED);
      answer(result);
      return;
    }
    wire::Change change;
    change.set_author(settings_.box);
    change.mutable_order_hall()->set_hall(hall);
    change.mutable_order_hall()->set_evacuate(evacuate);
    change.mutable_order_hall()->set_seen(known.number);
    SendToLeader(change, ForwardTimeout, answer);
  });
}

/** As for halls: an order is based on the one that was read. */
void ControlNode::OrderVersion(const std::string& service,
                               const std::string& version,
                               absl::Duration duration,
                               const PublishAnswer& answer)
{
  ReadAtLeader([this, service, version, duration,
                answer](const wire::DocumentReply& newest) {
    wire::ChangeResult result;
    if (!newest.sure() || !newest.knows_rollouts()) {
      result.set_verdict(wire::ChangeResult::UNAVAILABLE);
      result.set_message("No leader that knows roll-outs can be reached now; "
                         "send the order again.");
      answer(result);
      return;
    }
    const VersionRollouts rollouts = FromWire(newest.rollouts());
    wire::Change change;
    change.set_author(settings_.box);
    change.mutable_order_version()->set_service(service);
    change.mutable_order_version()->set_version(version);
    change.mutable_order_version()->set_duration_ms(
      absl::ToInt64Milliseconds(duration));
    change.mutable_order_version()->set_seen(
      FindVersionRollout(rollouts, service).number);
    SendToLeader(change, ForwardTimeout, answer);
  });
}

void ControlNode::ReadRollout(const std::string& service,
                              const RolloutAnswer& answer)
{
  ReadAtLeader([service, answer](const wire::DocumentReply& newest) {
    const VersionRollouts rollouts = FromWire(newest.rollouts());
    answer(newest.sure() && newest.knows_rollouts(),
           FindVersionRollout(rollouts, service));
  });
}

/** All control boxes watch the orders in progress; the leader decides. */
void ControlNode::MoveRollouts()
{
  const Elapsed now = ElapsedNow();
  const std::vector<wire::MoveVersion> moves =
    NextMoves(conductor_, state_.rollouts, now);
  if (replica_.role != ReplicaRole::Leader || writeFailed_) {
    return;
  }
  for (const wire::MoveVersion& move : moves) {
    const VersionRollout& rollout =
      FindVersionRollout(state_.rollouts, move.service());
    if (move.state() != rollout.state || move.permille() != rollout.permille) {
      const std::string& faults = conductor_.watches[move.service()].faults;
      LogChange("roll-out",
                absl::StrCat(move.service(), " to ", rollout.version, ": ",
                             NameOf(move.state()), ", ", move.permille(),
                             " of 1000 requests, ", move.elapsed_ms(),
                             " ms after the order", faults.empty() ? "" : "; ",
                             faults));
    }
    wire::Change change;
    change.set_author(settings_.box);
    *change.mutable_move_version() = move;
    Propose(replica_, change.SerializeAsString(), now);
  }
}

/** Those that vote, or will: with one that skipped a change their states would
 * differ. One that was not heard of since this box leads is down, and what it
 * runs once it is back is not known; a leader that waited for it could take no
 * order while a box is lost.
 */
bool ControlNode::IsAppliedByAll(ChangeLevel level) const
{
  const auto isApplied = [&](const wire::Voter& voter) {
    if (voter.id() == replica_.self.id()) {
      return settings_.changeLevel >= level;
    }
    const auto told = levels_.find(voter.id());
    return told == levels_.end()
             ? ElapsedNow() - leadSince_ > UnheardAfter
             : told->second >= static_cast<std::uint32_t>(level);
  };
  const auto& voters = replica_.voters.voters();
  const auto& learners = replica_.voters.learners();
  return level == ChangeLevel::First ||
         (std::all_of(voters.begin(), voters.end(), isApplied) &&
          std::all_of(learners.begin(), learners.end(), isApplied));
}

/** After orders were applied, or came with a snapshot. */
void ControlNode::NoteHallOrders()
{
  if (state_.halls.newest == notedHalls_.newest) {
    return;
  }
  for (const auto& [hall, order] : state_.halls.halls) {
    if (order.number <= notedHalls_.newest) {
      continue;
    }
    LogChange("hall",
              absl::StrCat(hall,
                           order.evacuated ? " gets no new work, order "
                                           : " may get work again, order ",
                           order.number));
    NoteHallOrder(registry_, hall, order.evacuated);
  }
  notedHalls_ = state_.halls;
}

/** To the leader, if that is another box. */
void ControlNode::SendToLeader(const wire::Change& change,
                               absl::Duration timeout,
                               const PublishAnswer& answer)
{
  auto respond = [answer](const std::string& bytes) {
    wire::ChangeResult result;
    result.ParseFromString(bytes);
    answer(result);
  };
  const std::string leader = LeaderAddress();
  const bool forward = replica_.role != ReplicaRole::Leader &&
                       !leader.empty() && leader != settings_.advertise;
  if (!forward) {
    Post(ChangeRequest{ change, respond });
    return;
  }
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
    reply.set_knows_hall_orders(true);
    *reply.mutable_hall_orders() = ToWire(state_.halls);
    reply.set_knows_rollouts(true);
    *reply.mutable_rollouts() = ToWire(state_.rollouts);
  }
  return reply;
}

void ControlNode::ReadDocument(const ReadAnswer& answer)
{
  ReadAtLeader([this, answer](const wire::DocumentReply& newest) {
    answer(ReadConfirmed(newest));
  });
}

/** What the leader holds, without the document's content. */
void ControlNode::ReadAtLeader(const ReadAnswer& answer)
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
                  boost::asio::post(loop_,
                                    [answer, newest] { answer(newest); });
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
