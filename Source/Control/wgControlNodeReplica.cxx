// SPDX-License-Identifier: Apache-2.0
// The replica's part of a control box: joining, messages, what is committed.
#include "wgControlNode.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "wgChangeAnswer.h"
#include "wgControlChoice.h"
#include "wgLog.h"

namespace wg {
namespace {

constexpr absl::Duration CallTimeout = absl::Seconds(2);
constexpr absl::Duration JoinPeriod = absl::Milliseconds(500);
/** A box that stops says so several times a second. One that has not for
 * longer has ended, and may have started again.
 */
constexpr absl::Duration StoppingMemory = absl::Seconds(1);
constexpr absl::Duration ResendLinePeriod = absl::Seconds(1);
constexpr std::uint64_t RetainedEntries = 500;
/** What the retained entries, and those since the last snapshot, may take. */
constexpr std::uint64_t MaxRetainedBytes = 4U << 20U;
constexpr std::uint64_t MaxBytesSinceSnapshot = 8U << 20U;

/** As many of the last entries as fit the bounds. */
std::uint64_t EntriesToRetain(const Replica& replica)
{
  std::uint64_t entries = 0;
  std::uint64_t bytes = 0;
  std::uint64_t index = replica.applied;
  while (entries < RetainedEntries && replica.log.Has(index)) {
    bytes += replica.log.At(index).change().size();
    if (bytes > MaxRetainedBytes) {
      break;
    }
    ++entries;
    --index;
  }
  return entries;
}

} // namespace

void ControlNode::OnJoin(JoinCall& call)
{
  wire::JoinReply reply;
  reply.set_cluster(replica_.cluster);
  reply.set_leader(LeaderAddress());
  const std::uint64_t id = call.request.who().id();
  reply.set_member(IsVoter(replica_.voters, id) ||
                   IsLearner(replica_.voters, id));
  joining_[id] = { call.request.who(), ElapsedNow() };
  stoppingReplicas_.erase(id); // it has started again
  call.respond(reply.SerializeAsString());
}

/** Takes the cluster's name from the first box that has one. */
void ControlNode::OnJoinAnswer(const JoinAnswer& answer)
{
  if (!replica_.cluster.empty() || answer.reply.cluster().empty()) {
    return;
  }
  replica_.cluster = answer.reply.cluster();
  if (auto saved = store_->SaveIdentity(replica_); !Succeeded(saved)) {
    replica_.cluster.clear();
    LogChange("storage", Message(saved));
    return;
  }
  LogChange("cluster", "joining as a replica without a vote");
}

/** Asks the other control boxes to be taken in. */
void ControlNode::AskToJoin()
{
  const Elapsed now = ElapsedNow();
  if (now < nextJoinAsk_) {
    return;
  }
  nextJoinAsk_ = now + JoinPeriod;
  wire::JoinRequest request;
  *request.mutable_who() = replica_.self;
  request.set_cluster(replica_.cluster);
  for (const std::string& address : KnownControls()) {
    if (address == settings_.advertise) {
      continue;
    }
    client_->Call(address, "/join", request.SerializeAsString(), CallTimeout,
                  [this](Outcome<std::string> reply) {
                    JoinAnswer answer;
                    if (Succeeded(reply) &&
                        answer.reply.ParseFromString(Value(reply))) {
                      Post(std::move(answer));
                    }
                  });
  }
}

void ControlNode::TickReplica()
{
  if (ShouldRequestJoin(replica_) && !stopDone_) {
    AskToJoin();
  }
  if (replica_.cluster.empty() || writeFailed_) {
    return;
  }
  OnTick(replica_, ElapsedNow(), random_);
  StartRepairStep();
}

RepairRules ControlNode::MakeRepairRules()
{
  RepairRules rules;
  rules.wanted = settings_.wantedVoters;
  rules.standbyAfter = settings_.standbyAfter;
  rules.replacement = { state_.replacement.lost(),
                        state_.replacement.spare() };
  // A spare that holds the log can take a vote at once.
  rules.standbysLearn = true;
  const Elapsed now = ElapsedNow();
  for (auto it = stoppingReplicas_.begin(); it != stoppingReplicas_.end();) {
    auto current = it++;
    if (now - current->second > StoppingMemory) {
      stoppingReplicas_.erase(current);
    } else {
      rules.stopping.insert(current->first);
    }
  }
  return rules;
}

void ControlNode::StartRepairStep()
{
  if (replica_.role != ReplicaRole::Leader) {
    return;
  }
  std::vector<JoiningReplica> joining;
  for (const auto& [id, joiner] : joining_) {
    joining.push_back(joiner);
  }
  const Elapsed now = ElapsedNow();
  const RepairRules rules = MakeRepairRules();
  const auto step = NextRepairStep(replica_, joining, rules, now);
  if (step && ProposeVoters(replica_, *step, now)) {
    LogChange("voters",
              absl::StrCat(step->voters_size(), " voters, ",
                           step->learners_size(), " without a vote"));
  }
}

/** Writes, syncs and sends, in the order that ReplicaActions states. */
void ControlNode::CarryOutActions()
{
  if (!writeFailed_) {
    pending_ = ExtractActions(replica_);
  }
  SendMessages(false);
  if (!WritePending()) {
    return;
  }
  if (pending_.install) {
    InstallState();
  }
  SendMessages(true);
  pending_ = {};
  OnSynced(replica_);
}

bool ControlNode::WritePending()
{
  if (!pending_.NeedsSync()) {
    return true;
  }
  Outcome<Done> written = store_->Write(replica_, pending_);
  const bool failed = !Succeeded(written);
  if (failed != writeFailed_) {
    LogChange("storage", failed ? Message(written) : "writes again");
  }
  writeFailed_ = failed;
  if (failed) {
    FailWaiters();
  }
  return !failed;
}

void ControlNode::SendMessages(bool afterSync)
{
  struct Batch
  {
    wire::AgreementBatch messages;
    absl::Duration timeout = CallTimeout;
    NotDeliveredMail bulk; // if it does not arrive
  };
  std::map<std::string, Batch> batches;
  for (OutgoingMessage& outgoing : pending_.messages) {
    if (outgoing.afterSync != afterSync) {
      continue;
    }
    const std::string address = AddressOf(outgoing.message.to());
    if (address.empty()) {
      continue;
    }
    outgoing.message.set_from_address(settings_.advertise);
    outgoing.message.set_knows(
      static_cast<std::uint32_t>(settings_.changeLevel));
    Batch& batch = batches[address];
    batch.timeout = std::max(batch.timeout, outgoing.minTimeout);
    if (outgoing.minTimeout > absl::ZeroDuration()) {
      batch.bulk = { outgoing.message.to(), outgoing.message.sent_us() };
    }
    *batch.messages.add_messages() = std::move(outgoing.message);
  }
  for (const auto& [address, batch] : batches) {
    client_->Call(
      address, "/agreement", batch.messages.SerializeAsString(), batch.timeout,
      [this, bulk = batch.bulk](const Outcome<std::string>& reply) {
        if (!Succeeded(reply) && bulk.to != 0) {
          Post(bulk);
        }
      });
  }
  if (!afterSync) {
    auto& messages = pending_.messages;
    messages.erase(std::remove_if(messages.begin(), messages.end(),
                                  [](const OutgoingMessage& outgoing) {
                                    return !outgoing.afterSync;
                                  }),
                   messages.end());
  }
}

/** From the voter set, or where the replica was last heard from; empty when
 * neither is known.
 */
std::string ControlNode::AddressOf(std::uint64_t id) const
{
  if (id == replica_.self.id()) {
    return settings_.advertise;
  }
  for (const auto* list :
       { &replica_.voters.voters(), &replica_.voters.learners() }) {
    for (const wire::Voter& voter : *list) {
      if (voter.id() == id) {
        return voter.address();
      }
    }
  }
  auto found = addresses_.find(id);
  return found == addresses_.end() ? std::string() : found->second;
}

void ControlNode::InstallState()
{
  Outcome<ServiceState> loaded = LoadState(replica_.snapshot.state());
  if (Succeeded(loaded)) {
    state_ = std::move(Value(loaded));
  } else {
    LogChange("snapshot", Message(loaded));
  }
}

void ControlNode::ApplyCommitted()
{
  if (replica_.applied < replica_.snapshot.index()) {
    replica_.applied = replica_.snapshot.index();
  }
  while (const wire::LogEntry* entry = NextCommitted(replica_)) {
    wire::ChangeResult result;
    if (entry->kind() == wire::LogEntry::CHANGE) {
      wire::Change change;
      if (change.ParseFromString(entry->change())) {
        result = ApplyChange(state_, change);
      }
    }
    auto waiter = waiters_.extract(entry->index());
    if (!waiter.empty()) {
      const bool same = waiter.mapped().term == entry->term();
      waiter.mapped().respond(
        same ? result.SerializeAsString()
             : PrintChangeResult(
                 wire::ChangeResult::UNAVAILABLE,
                 "Another leader took over; the change was not made.",
                 LeaderAddress()));
    }
    bytesSinceSnapshot_ += entry->change().size();
    MarkApplied(replica_, entry->index());
  }
  if (replica_.role != ReplicaRole::Leader && !waiters_.empty()) {
    FailWaiters();
  }
}

void ControlNode::FailWaiters()
{
  for (auto& [index, waiter] : waiters_) {
    waiter.respond(PrintChangeResult(
      wire::ChangeResult::UNAVAILABLE,
      "No quorum answered; the change may yet be made. Send it again with "
      "the same id.",
      LeaderAddress()));
  }
  waiters_.clear();
}

void ControlNode::CompactIfDue()
{
  // A snapshot writes the whole state: the larger that is, the rarer.
  const std::uint64_t after =
    std::max<std::uint64_t>(settings_.compactAfter, state_.claims.size() / 2);
  const bool due = replica_.applied >= replica_.snapshot.index() + after ||
                   bytesSinceSnapshot_ > MaxBytesSinceSnapshot;
  if (!due || writeFailed_) {
    return;
  }
  bytesSinceSnapshot_ = 0;
  Compact(replica_, SaveState(state_), EntriesToRetain(replica_));
  if (auto saved = store_->SaveSnapshot(replica_); !Succeeded(saved)) {
    LogChange("storage", Message(saved));
  }
}

std::string ControlNode::LeaderAddress() const
{
  return replica_.leader == 0 ? std::string() : AddressOf(replica_.leader);
}

/** Entries that are sent again show a slow link or a slow box. */
void ControlNode::NoteResends()
{
  const Elapsed now = ElapsedNow();
  const std::uint64_t bytes = RetransmittedBytes(replica_);
  if (bytes == loggedSentAgain_ || now < nextResendLine_) {
    return;
  }
  nextResendLine_ = now + ResendLinePeriod;
  if (bytes > loggedSentAgain_) {
    LogChange("replica", absl::StrCat("sent ", bytes - loggedSentAgain_,
                                      " bytes of entries again, to ",
                                      replica_.peers.size(), " replicas"));
  }
  loggedSentAgain_ = bytes;
}

void ControlNode::NoteRole()
{
  const Elapsed now = ElapsedNow();
  const bool hears = replica_.role == ReplicaRole::Leader
                       ? HoldsLease(replica_, now)
                       : replica_.leader != 0;
  if (hears) {
    leaderHeard_ = now;
  }
  if (replica_.role == loggedRole_) {
    return;
  }
  const bool changedLead =
    replica_.role == ReplicaRole::Leader || loggedRole_ == ReplicaRole::Leader;
  loggedRole_ = replica_.role;
  if (!changedLead) {
    return;
  }
  clockAtLead_ = state_.clockMs;
  leadSince_ = now;
  LogChange("replica", absl::StrCat(Name(replica_.role), " in term ",
                                    replica_.hard.term()));
}

} // namespace wg
