// SPDX-License-Identifier: Apache-2.0
#include "wgFakeCluster.h"

#include <algorithm>
#include <functional>

#include "absl/random/distributions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wg::test {
namespace {

constexpr std::size_t MaxMessagesInNetwork = 400;
/** Minimum time between two losses, so that the leader detects the first. */
constexpr absl::Duration LossGap = absl::Seconds(1);
/** A voter unresponsive for this long is replaced by a standby. */
constexpr absl::Duration StandbyAfter = absl::Milliseconds(1500);
// Crashes continue meanwhile, and a standby needs a stable leader.
constexpr int ConvergeRounds = 12000;
constexpr std::uint64_t CompactAfter = 8;
/** A box that was told to end is killed after this. */
constexpr absl::Duration GraceTime = absl::Seconds(2);
constexpr int CalmDeliveries = 40;
/** A standby that has run undisturbed for so long has caught up. */
constexpr absl::Duration CatchUpTime = absl::Milliseconds(300);
/** One that has not said for longer that it ends has ended. */
constexpr absl::Duration StoppingMemory = absl::Seconds(1);

std::uint64_t Chain(std::uint64_t before, const std::string& bytes)
{
  return before * 1099511628211ULL + std::hash<std::string>()(bytes);
}

} // namespace

FakeCluster::FakeCluster(std::uint64_t seed, std::size_t voters,
                         std::size_t standbys, bool plansEnds)
  : wanted_(voters)
  , spareLearns_(plansEnds || seed % 4 == 3)
  , plansEnds_(plansEnds)
{
  // Not absl::BitGen, whose sequence differs between processes.
  random_.seed(seed);
  planned_.seed(seed);
  boxes_.resize(voters + standbys);
  for (std::size_t i = 0; i < boxes_.size(); ++i) {
    FakeBox& box = boxes_[i];
    box.name = absl::StrCat("box-", i);
    box.disk.id = nextIdentity_++;
    box.clockRate = absl::Uniform(random_, 0.95, 1.05);
    Start(box);
  }
  boxes_[0].process.cluster = "c";
  boxes_[0].disk.cluster = "c";
  BootstrapCluster(boxes_[0].process, Now(boxes_[0]));
  WriteToDisk(boxes_[0], ExtractActions(boxes_[0].process));
  OnSynced(boxes_[0].process);
}

bool FakeCluster::Chance(double probability)
{
  return absl::Bernoulli(random_, probability);
}

void FakeCluster::Fail(const std::string& what)
{
  if (failure_.empty()) {
    failure_ = what;
  }
}

Elapsed FakeCluster::Now(const FakeBox& box) const
{
  return time_ * box.clockRate;
}

FakeBox* FakeCluster::BoxOf(std::uint64_t id)
{
  for (FakeBox& box : boxes_) {
    if (box.up && box.disk.id == id) {
      return &box;
    }
  }
  return nullptr;
}

void FakeCluster::Start(FakeBox& box)
{
  Replica replica;
  replica.self.set_id(box.disk.id);
  replica.self.set_box(box.name);
  replica.cluster = box.disk.cluster;
  // With small messages, a leader can crash between sending an entry of an
  // older term and one of its own.
  replica.timing.maxEntriesInMessage = absl::Uniform(random_, 1, 5);
  replica.hard = box.disk.hard;
  replica.log = box.disk.log;
  replica.snapshot = box.disk.snapshot;
  box.process = std::move(replica);
  box.chain = 0;
  if (!box.disk.snapshot.state().empty() &&
      !absl::SimpleAtoi(box.disk.snapshot.state(), &box.chain)) {
    Fail("a snapshot's state can't be read");
  }
  StartReplica(box.process, Now(box), random_);
  box.up = true;
  box.upSince = time_;
  disturbed_ = time_;
}

void FakeCluster::Crash(FakeBox& box)
{
  box.up = false;
  box.stopUntil.reset();
  box.stopping.clear();
  disturbed_ = time_;
  ++counts_.crashes;
}

void FakeCluster::Wipe(FakeBox& box)
{
  Crash(box);
  lastWipe_ = time_;
  lostIdentities_.insert(box.disk.id);
  box.disk = FakeDisk{};
  box.disk.id = nextIdentity_++;
  ++counts_.wipes;
}

/** Removes a box permanently; a standby is to replace it. */
void FakeCluster::RemoveBox(FakeBox& box)
{
  Crash(box);
  lastWipe_ = time_;
  lostIdentities_.insert(box.disk.id);
  box.removed = true;
  ++counts_.removed;
}

bool FakeCluster::HasStandby() const
{
  const auto left =
    std::count_if(boxes_.begin(), boxes_.end(),
                  [](const FakeBox& box) { return !box.removed; });
  return static_cast<std::size_t>(left) > wanted_;
}

bool FakeCluster::SurvivesLossOf(const wire::VoterSet& voters,
                                 std::uint64_t id) const
{
  int left = 0;
  for (const wire::Voter& voter : voters.voters()) {
    const bool lost = voter.id() == id || lostIdentities_.count(voter.id());
    left += lost ? 0 : 1;
  }
  return left > voters.voters_size() / 2;
}

/** Returns the committed voter set and all later ones in any log. */
std::vector<wire::VoterSet> FakeCluster::PossibleVoterSets() const
{
  std::vector<wire::VoterSet> sets = { committedVoters_ };
  for (const FakeBox& box : boxes_) {
    for (const ReplicaLog* log : { &box.disk.log, &box.process.log }) {
      std::uint64_t i = std::max(log->FirstIndex(), committedVotersIndex_);
      for (; i <= log->LastIndex(); ++i) {
        const wire::LogEntry& entry = log->At(i);
        if (entry.kind() == wire::LogEntry::VOTERS) {
          sets.push_back(entry.voters());
        }
      }
    }
  }
  return sets;
}

/** A standby that replaces a lost voter counts as that voter: losing it before
 * the repair ends is a second loss.
 */
bool FakeCluster::MayReplaceLostVoter(const FakeBox& box,
                                      const wire::VoterSet& voters) const
{
  return boxes_.size() > wanted_ && AnyLost(voters) &&
         !IsVoter(voters, box.disk.id);
}

bool FakeCluster::AnyLost(const wire::VoterSet& voters) const
{
  return std::any_of(
    voters.voters().begin(), voters.voters().end(),
    [this](const wire::Voter& v) { return lostIdentities_.count(v.id()); });
}

/** A disk may be lost only if a majority survives in every possible voter set.
 */
bool FakeCluster::MayWipe(const FakeBox& box) const
{
  // A single voter that adds a second one needs both from then on.
  const bool isSingle = committedVoters_.voters_size() < 2;
  const bool soonAfterLoss = time_ - lastWipe_ < LossGap;
  if (isSingle || soonAfterLoss) {
    return false;
  }
  const std::vector<wire::VoterSet> sets = PossibleVoterSets();
  return std::all_of(sets.begin(), sets.end(),
                     [this, &box](const wire::VoterSet& voters) {
                       return SurvivesLossOf(voters, box.disk.id) &&
                              !MayReplaceLostVoter(box, voters);
                     });
}

std::string FakeCluster::Run(int steps)
{
  for (int i = 0; i < steps && failure_.empty(); ++i) {
    Step();
    CheckAll();
  }
  if (failure_.empty() && !Converge()) {
    Fail(absl::StrCat("after all faults ended the cluster did not "
                      "converge:",
                      Describe()));
  }
  return failure_;
}

std::string FakeCluster::Describe() const
{
  std::string out;
  for (const FakeBox& box : boxes_) {
    const Replica& r = box.process;
    absl::StrAppend(&out, "\n  ", box.name,
                    box.removed ? " removed" : (box.up ? "" : " down"), " id ",
                    box.disk.id, " role ", static_cast<int>(r.role), " term ",
                    r.hard.term(), " commit ", r.commit, " log ",
                    r.log.FirstIndex(), "..", r.log.LastIndex());
    absl::StrAppend(&out, " voters");
    for (const wire::Voter& voter : r.voters.voters()) {
      absl::StrAppend(&out, " ", voter.id());
    }
    absl::StrAppend(&out, " learners");
    for (const wire::Voter& voter : r.voters.learners()) {
      absl::StrAppend(&out, " ", voter.id());
    }
  }
  return out;
}

void FakeCluster::Step()
{
  time_ += absl::Microseconds(absl::Uniform(random_, 100, 12000));
  FakeBox& box = boxes_[absl::Uniform<std::size_t>(random_, 0, boxes_.size())];
  FakeBox& other =
    boxes_[absl::Uniform<std::size_t>(random_, 0, boxes_.size())];
  if (Chance(0.35)) {
    TickAll();
  }
  const int deliveries = absl::Uniform(random_, 0, 6);
  for (int i = 0; i < deliveries; ++i) {
    DeliverOne();
  }
  if (IsCalm()) { // the network is no worse than the rest
    for (int i = 0; i < CalmDeliveries; ++i) {
      DeliverOne();
    }
  }
  if (Chance(0.2)) {
    Propose();
  }
  if (plansEnds_) {
    PlanEnd(boxes_[absl::Uniform<std::size_t>(planned_, 0, boxes_.size())]);
  }
  if (Chance(0.012) && box.up && !IsCalm()) {
    Crash(box);
  }
  if (Chance(0.05) && !box.up && !box.removed) {
    Start(box);
  }
  if (Chance(0.006) && !box.removed && MayWipe(box) && !IsCalm()) {
    Wipe(box);
  }
  if (Chance(0.006) && !box.removed && HasStandby() && MayWipe(box) &&
      !IsCalm()) {
    RemoveBox(box);
  }
  if (Chance(0.015) && !IsCalm()) {
    cutLinks_.insert({ box.name, other.name });
    disturbed_ = time_;
  }
  if (Chance(0.03)) {
    cutLinks_.clear();
  }
}

bool FakeCluster::IsCalm() const
{
  return !calmEnd_.empty();
}

/** One without a vote that the leader knows to follow it closely. */
bool FakeCluster::HasCaughtUpStandby() const
{
  const auto leader =
    std::find_if(boxes_.begin(), boxes_.end(), [](const FakeBox& box) {
      return box.up && box.process.role == ReplicaRole::Leader;
    });
  if (leader == boxes_.end()) {
    return false;
  }
  const Replica& r = leader->process;
  return std::any_of(boxes_.begin(), boxes_.end(), [&](const FakeBox& box) {
    const auto peer = r.peers.find(box.disk.id);
    return box.up && !box.stopUntil && time_ - box.upSince > CatchUpTime &&
           IsLearner(r.voters, box.disk.id) && peer != r.peers.end() &&
           Now(*leader) - peer->second.ackedSendTime < r.timing.minElection;
  });
}

/** Nothing is wrong, and the box has a vote that a standby can take. */
bool FakeCluster::IsWhole(const FakeBox& box) const
{
  const bool allUp =
    std::all_of(boxes_.begin(), boxes_.end(), [](const FakeBox& other) {
      return other.removed || (other.up && !other.stopUntil);
    });
  return allUp && cutLinks_.empty() && time_ - disturbed_ > CatchUpTime &&
         HasCaughtUpStandby() && !AnyLost(committedVoters_) &&
         static_cast<std::size_t>(committedVoters_.voters_size()) == wanted_ &&
         IsVoter(committedVoters_, box.disk.id);
}

/** Some boxes end for good, others come back; some while nothing else goes
 * wrong.
 */
void FakeCluster::PlanEnd(FakeBox& box)
{
  const bool isWhole = IsWhole(box);
  const bool isDue = absl::Bernoulli(planned_, isWhole ? 0.2 : 0.02);
  const bool isReplaced = absl::Bernoulli(planned_, 0.5);
  const bool isCalm = absl::Bernoulli(planned_, 0.7);
  const bool mayPlan = isDue && box.up && !box.stopUntil && !IsCalm() &&
                       !box.process.cluster.empty();
  const bool mayReplace = HasStandby() && MayWipe(box);
  if (!mayPlan || (isReplaced && !mayReplace)) {
    return;
  }
  box.stopUntil = time_ + GraceTime;
  box.isReplaced = isReplaced;
  box.hadVote = IsVoter(committedVoters_, box.disk.id);
  if (isReplaced && isCalm && isWhole) {
    calmEnd_ = box.name;
  }
}

/** As ControlNode does: it tells the leader until that has nothing to wait
 * for.
 */
bool FakeCluster::MayEnd(FakeBox& box)
{
  const std::uint64_t id = box.disk.id;
  for (FakeBox& leader : boxes_) {
    const bool isTold = leader.up &&
                        leader.process.role == ReplicaRole::Leader &&
                        cutLinks_.count({ box.name, leader.name }) == 0 &&
                        cutLinks_.count({ leader.name, box.name }) == 0 &&
                        (&leader == &box || absl::Bernoulli(planned_, 0.5));
    if (!isTold) {
      continue;
    }
    leader.stopping[id] = time_;
    return !IsHandingOver(leader.process, id, MakeRules(leader), Now(leader));
  }
  return !IsVoter(box.process.voters, id) &&
         !IsLearner(box.process.voters, id) &&
         box.process.votersIndex <= box.process.commit;
}

void FakeCluster::ContinueEnds()
{
  for (FakeBox& box : boxes_) {
    if (!box.up || !box.stopUntil) {
      continue;
    }
    if (MayEnd(box)) {
      EndAsPlanned(box);
    } else if (time_ >= *box.stopUntil) {
      if (box.name == calmEnd_) {
        Fail(absl::StrCat(box.name,
                          " did not hand its vote over in time:", Describe()));
      }
      EndAsPlanned(box);
    }
  }
}

/** A box that has handed its vote over may go for good at any time; another
 * one as if its disk was lost.
 */
void FakeCluster::EndAsPlanned(FakeBox& box)
{
  const bool wasCalm = box.name == calmEnd_;
  const std::vector<wire::VoterSet> sets = PossibleVoterSets();
  const bool mayVote = std::any_of(sets.begin(), sets.end(),
                                   [&box](const wire::VoterSet& voters) {
                                     return IsVoter(voters, box.disk.id);
                                   });
  const bool hasHandedOver = box.hadVote && !mayVote;
  const bool isReplaced = box.isReplaced && HasStandby() &&
                          (hasHandedOver || wasCalm || MayWipe(box));
  calmEnd_ = wasCalm ? "" : calmEnd_;
  ++counts_.plannedEnds;
  counts_.calmEnds += wasCalm ? 1 : 0;
  counts_.handedOver += hasHandedOver ? 1 : 0;
  Crash(box);
  if (!isReplaced) {
    return;
  }
  box.removed = true;
  lostIdentities_.insert(box.disk.id);
  lastWipe_ = mayVote ? time_ : lastWipe_;
  if (wasCalm) {
    CheckOneLossIsBorne(box);
  }
}

/** A box that has been replaced no longer counts: then any other disk may be
 * lost.
 */
void FakeCluster::CheckOneLossIsBorne(const FakeBox& ended)
{
  for (const wire::Voter& voter : committedVoters_.voters()) {
    if (!SurvivesLossOf(committedVoters_, voter.id())) {
      Fail(absl::StrCat("the loss of replica ", voter.id(),
                        " ends the quorum, after ", ended.name,
                        " was replaced:", Describe()));
    }
  }
  const auto at =
    absl::Uniform<int>(planned_, 0, committedVoters_.voters_size());
  FakeBox* lost = BoxOf(committedVoters_.voters(at).id());
  if (lost != nullptr && failure_.empty() && absl::Bernoulli(planned_, 0.5)) {
    Wipe(*lost);
  }
}

RepairRules FakeCluster::MakeRules(FakeBox& leader) const
{
  RepairRules rules;
  rules.wanted = wanted_;
  rules.standbyAfter = StandbyAfter;
  rules.standbysLearn = spareLearns_;
  for (const auto& [id, heard] : leader.stopping) {
    if (time_ - heard < StoppingMemory) {
      rules.stopping.insert(id);
    }
  }
  return rules;
}

void FakeCluster::TickAll()
{
  for (FakeBox& box : boxes_) {
    if (!box.up) {
      continue;
    }
    if (ShouldRequestJoin(box.process) && !box.stopUntil) {
      RequestToJoin(box);
    }
    if (box.process.cluster.empty()) {
      continue;
    }
    OnTick(box.process, Now(box), random_);
    if (box.process.role == ReplicaRole::Leader) {
      std::vector<JoiningReplica> joining;
      for (auto& [id, joiner] : joining_) {
        joining.push_back({ joiner.who, joiner.lastRequest * box.clockRate });
      }
      const auto step =
        NextRepairStep(box.process, joining, MakeRules(box), Now(box));
      if (step && ProposeVoters(box.process, *step, Now(box))) {
        ++counts_.voterChanges;
      }
    }
    ExecuteActions(box);
  }
  ContinueEnds();
}

void FakeCluster::RequestToJoin(FakeBox& box)
{
  if (box.process.cluster.empty()) {
    box.process.cluster = "c";
    box.disk.cluster = "c";
  }
  joining_[box.disk.id] = { box.process.self, time_ };
  for (FakeBox& other : boxes_) {
    other.stopping.erase(box.disk.id);
  }
}

void FakeCluster::DeliverOne()
{
  if (network_.empty()) {
    return;
  }
  const auto at = absl::Uniform<std::size_t>(random_, 0, network_.size());
  const wire::AgreementMessage message = network_[at];
  if (!Chance(0.1)) { // else it is delivered again later
    network_[at] = network_.back();
    network_.pop_back();
  }
  if (!Chance(0.03)) {
    Deliver(message);
    return;
  }
  FakeBox* from = BoxOf(message.from());
  if (from != nullptr && Chance(0.5)) { // a broken connection is reported
    OnDeliveryFailed(from->process, message.to(), message.sent_us());
    ExecuteActions(*from);
  }
}

void FakeCluster::Deliver(const wire::AgreementMessage& message)
{
  FakeBox* to = BoxOf(message.to());
  FakeBox* from = BoxOf(message.from());
  const bool cut =
    to == nullptr ||
    (from != nullptr && (cutLinks_.count({ from->name, to->name }) != 0 ||
                         cutLinks_.count({ to->name, from->name }) != 0));
  if (cut) {
    return;
  }
  OnMessage(to->process, message, Now(*to), random_);
  ExecuteActions(*to);
}

void FakeCluster::Propose()
{
  for (FakeBox& box : boxes_) {
    if (!box.up) {
      continue;
    }
    const std::string payload = absl::StrCat("p", nextPayload_++);
    if (wg::Propose(box.process, payload, Now(box))) {
      ExecuteActions(box);
    }
  }
}

void FakeCluster::WriteToDisk(FakeBox& box, const ReplicaActions& actions)
{
  const Replica& replica = box.process;
  if (actions.install) {
    box.disk.snapshot = replica.snapshot;
    box.disk.log = replica.log;
  }
  if (actions.truncateFrom) {
    box.disk.log.TruncateFrom(*actions.truncateFrom);
  }
  for (const wire::LogEntry& entry : actions.append) {
    if (entry.index() == box.disk.log.LastIndex() + 1) {
      box.disk.log.Append(entry);
    }
  }
  if (actions.saveHardState || actions.install) {
    box.disk.hard = replica.hard;
  }
}

/** Executes the actions as ControlNode does, with a crash at any point. */
void FakeCluster::ExecuteActions(FakeBox& box)
{
  ReplicaActions actions = ExtractActions(box.process);
  for (const OutgoingMessage& outgoing : actions.messages) {
    if (!outgoing.afterSync) {
      network_.push_back(outgoing.message);
    }
  }
  if (actions.NeedsSync() && Chance(0.01) && !IsCalm()) {
    if (Chance(0.5) && !actions.install && !actions.append.empty()) {
      // A torn write: only the first entries reached the disk.
      actions.append.resize(
        absl::Uniform<std::size_t>(random_, 0, actions.append.size()));
      actions.saveHardState = false;
      WriteToDisk(box, actions);
    }
    Crash(box);
    return;
  }
  if (actions.install &&
      !absl::SimpleAtoi(actions.install->state(), &box.chain)) {
    Fail("an installed state can't be read");
  }
  WriteToDisk(box, actions);
  if (Chance(0.003) && !IsCalm()) {
    Crash(box);
    return;
  }
  OnSynced(box.process);
  for (const OutgoingMessage& outgoing : actions.messages) {
    if (outgoing.afterSync) {
      network_.push_back(outgoing.message);
    }
  }
  while (network_.size() > MaxMessagesInNetwork) {
    network_.erase(network_.begin());
  }
  Apply(box);
}

void FakeCluster::Apply(FakeBox& box)
{
  Replica& replica = box.process;
  while (const wire::LogEntry* entry = NextCommitted(replica)) {
    box.chain = Chain(box.chain, entry->change());
    NoteCommitted(box, *entry);
    MarkApplied(replica, entry->index());
  }
  const bool due = replica.applied >= replica.snapshot.index() + CompactAfter;
  if (due && Chance(0.3)) {
    Compact(replica, absl::StrCat(box.chain), 3);
    box.disk.snapshot = replica.snapshot;
    box.disk.log = replica.log;
    box.disk.hard = replica.hard;
    ++counts_.snapshots;
  }
}

void FakeCluster::NoteCommitted(FakeBox& box, const wire::LogEntry& entry)
{
  const std::string bytes = entry.SerializeAsString();
  auto [known, isNew] = committed_.try_emplace(
    entry.index(), Committed{ entry.term(), bytes, box.chain });
  if (isNew && entry.kind() == wire::LogEntry::VOTERS) {
    committedVoters_ = entry.voters();
    committedVotersIndex_ = entry.index();
  }
  if (known->second.bytes != bytes || known->second.chain != box.chain) {
    Fail(absl::StrCat("two replicas committed different entries at index ",
                      entry.index()));
  }
  const bool acknowledges = isNew && box.process.role == ReplicaRole::Leader &&
                            entry.term() == box.process.hard.term();
  if (!acknowledges) {
    return;
  }
  ++counts_.acknowledged;
  for (const FakeBox& other : boxes_) {
    const bool stale =
      other.up && &other != &box && HoldsLease(other.process, Now(other));
    if (stale) {
      Fail(absl::StrCat("index ", entry.index(), " was acknowledged while ",
                        other.name, " could serve reads without it"));
    }
  }
}

void FakeCluster::CheckAll()
{
  for (const FakeBox& box : boxes_) {
    if (!box.up || box.process.role != ReplicaRole::Leader) {
      continue;
    }
    auto [known, isNew] =
      leaderOfTerm_.try_emplace(box.process.hard.term(), box.disk.id);
    counts_.elections += isNew ? 1 : 0;
    if (known->second != box.disk.id) {
      Fail(absl::StrCat("two leaders in term ", box.process.hard.term()));
    }
  }
}

/** Returns whether the target number of voters is running and all of them have
 * applied `index`.
 */
bool FakeCluster::HaveVotersApplied(std::uint64_t index) const
{
  std::size_t have = 0;
  for (const FakeBox& box : boxes_) {
    const bool votes = box.up && IsVoter(committedVoters_, box.disk.id);
    have += votes && box.process.applied >= index ? 1 : 0;
  }
  return have == wanted_;
}

/** Ends all faults and waits until all voters have applied a new entry. */
bool FakeCluster::Converge()
{
  cutLinks_.clear();
  calmEnd_.clear();
  for (FakeBox& box : boxes_) {
    box.stopUntil.reset();
  }
  const std::uint64_t before =
    committed_.empty() ? 0 : committed_.rbegin()->first;
  for (int round = 0; round < ConvergeRounds && failure_.empty(); ++round) {
    time_ += absl::Milliseconds(10);
    for (FakeBox& box : boxes_) {
      if (!box.up && !box.removed) {
        Start(box);
      }
    }
    TickAll();
    std::vector<wire::AgreementMessage> all = std::move(network_);
    network_.clear();
    for (const wire::AgreementMessage& message : all) {
      Deliver(message);
    }
    if (round % 20 == 0) {
      Propose();
    }
    CheckAll();
    if (HaveVotersApplied(before + 2)) {
      return true;
    }
  }
  return !failure_.empty();
}

} // namespace wg::test
