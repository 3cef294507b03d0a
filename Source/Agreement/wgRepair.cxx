// SPDX-License-Identifier: Apache-2.0
#include "wgRepair.h"

#include <algorithm>

namespace wg {
namespace {

constexpr absl::Duration JoinMemory = absl::Seconds(5);

bool Answers(const Replica& leader, std::uint64_t id, Elapsed now)
{
  if (id == leader.self.id()) {
    return true;
  }
  auto found = leader.peers.find(id);
  return found != leader.peers.end() &&
         now - found->second.ackedSendTime < leader.timing.maxElection;
}

bool IsCaughtUp(const Replica& leader, std::uint64_t id, Elapsed now)
{
  auto found = leader.peers.find(id);
  return found != leader.peers.end() && Answers(leader, id, now) &&
         found->second.match >= leader.commit;
}

/** Whether the voters that answer are a majority, each of them caught up. */
bool HasWorkingMajority(const Replica& leader, const wire::VoterSet& voters,
                        Elapsed now)
{
  const auto working =
    std::count_if(voters.voters().begin(), voters.voters().end(),
                  [&leader, now](const wire::Voter& voter) {
                    return voter.id() == leader.self.id() ||
                           IsCaughtUp(leader, voter.id(), now);
                  });
  return working > voters.voters_size() / 2;
}

/** To grow while a voter is silent would raise the quorum and leave no more
 * room for a loss; the silent one is to be replaced first.
 */
bool AllVotersAnswer(const Replica& leader, Elapsed now)
{
  return std::all_of(leader.voters.voters().begin(),
                     leader.voters.voters().end(),
                     [&leader, now](const wire::Voter& voter) {
                       return Answers(leader, voter.id(), now);
                     });
}

void RemoveId(google::protobuf::RepeatedPtrField<wire::Voter>& voters,
              std::uint64_t id)
{
  voters.erase(
    std::remove_if(voters.begin(), voters.end(),
                   [id](const wire::Voter& v) { return v.id() == id; }),
    voters.end());
}

const wire::Voter* FindOnBox(
  const google::protobuf::RepeatedPtrField<wire::Voter>& voters,
  const std::string& box)
{
  auto found =
    std::find_if(voters.begin(), voters.end(),
                 [&box](const wire::Voter& v) { return v.box() == box; });
  return found == voters.end() ? nullptr : &*found;
}

/** Of these, the one that has been silent longest, if that is long enough. */
const wire::Voter* FindSilentOf(
  const Replica& leader,
  const google::protobuf::RepeatedPtrField<wire::Voter>& replicas,
  absl::Duration least, Elapsed now)
{
  const wire::Voter* silent = nullptr;
  Elapsed earliest = now - least;
  for (const wire::Voter& replica : replicas) {
    auto peer = leader.peers.find(replica.id());
    if (replica.id() == leader.self.id() || peer == leader.peers.end()) {
      continue;
    }
    const Elapsed heard =
      std::max(peer->second.ackedSendTime, peer->second.trackedSince);
    if (heard <= earliest) {
      earliest = heard;
      silent = &replica;
    }
  }
  return silent;
}

const wire::Voter* FindSilent(const Replica& leader, absl::Duration least,
                              Elapsed now)
{
  return FindSilentOf(leader, leader.voters.voters(), least, now);
}

/** The older replica of the joiner's own box: its disk is lost, so that it can
 * be taken out before the new one gets its vote.
 */
const wire::Voter* FindOlder(const Replica& leader, const wire::Voter& joiner)
{
  const wire::Voter* onBox = FindOnBox(leader.voters.voters(), joiner.box());
  return onBox == nullptr || onBox->id() == joiner.id() ? nullptr : onBox;
}

/** The voter that gives way to a box without one: the one that an operator
 * gave up, or one that has long been silent. It may yet live, and stays until
 * the other has its vote. Null if none.
 */
const wire::Voter* FindGivenUp(const Replica& leader, const std::string& spare,
                               const RepairRules& rules, Elapsed now)
{
  const auto& voters = leader.voters.voters();
  const wire::Voter* lost = FindOnBox(voters, rules.replacement.lost);
  if (lost != nullptr && rules.replacement.spare == spare) {
    return lost;
  }
  return spare == rules.replacement.lost
           ? nullptr
           : FindSilent(leader, rules.spareAfter, now);
}

/** Of the replicas of one box only the one that asked last can be alive: a
 * lost disk leaves another behind that asked before.
 */
bool AskedLastOfItsBox(absl::Span<const JoiningReplica> joining,
                       const JoiningReplica& joiner)
{
  return std::none_of(joining.begin(), joining.end(),
                      [&joiner](const JoiningReplica& other) {
                        return other.who.box() == joiner.who.box() &&
                               other.lastAsked > joiner.lastAsked;
                      });
}

/** Adds who asks as a learner, in place of an older learner of its box. */
std::optional<wire::VoterSet> StepAddLearner(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  const RepairRules& rules, Elapsed now)
{
  for (const JoiningReplica& joiner : joining) {
    const std::uint64_t id = joiner.who.id();
    const bool isNew = !IsVoter(leader.voters, id) &&
                       !IsLearner(leader.voters, id) &&
                       now - joiner.lastAsked < JoinMemory &&
                       AskedLastOfItsBox(joining, joiner);
    const bool hasPlace =
      static_cast<std::size_t>(leader.voters.voters_size()) < rules.wanted ||
      (rules.spareLearns && joiner.who.box() != rules.replacement.lost) ||
      FindOlder(leader, joiner.who) != nullptr ||
      FindGivenUp(leader, joiner.who.box(), rules, now) != nullptr;
    if (!isNew || !hasPlace) {
      continue;
    }
    wire::VoterSet next = leader.voters;
    auto& learners = *next.mutable_learners();
    learners.erase(std::remove_if(learners.begin(), learners.end(),
                                  [&joiner](const wire::Voter& v) {
                                    return v.box() == joiner.who.box();
                                  }),
                   learners.end());
    *learners.Add() = joiner.who;
    return next;
  }
  return std::nullopt;
}

/** Whether a learner may get a vote besides all that have one. */
bool MayAddVoter(const Replica& leader, const wire::Voter& learner,
                 const RepairRules& rules, Elapsed now)
{
  const auto count = static_cast<std::size_t>(leader.voters.voters_size());
  const bool replaces =
    FindGivenUp(leader, learner.box(), rules, now) != nullptr;
  return count < rules.wanted ? replaces || AllVotersAnswer(leader, now)
                              : replaces && count == rules.wanted;
}

/** Gives a learner that has caught up its vote, or first takes the older
 * replica of its box out.
 */
std::optional<wire::VoterSet> StepPromote(const Replica& leader,
                                          const RepairRules& rules,
                                          Elapsed now)
{
  for (const wire::Voter& learner : leader.voters.learners()) {
    if (!IsCaughtUp(leader, learner.id(), now)) {
      continue;
    }
    wire::VoterSet next = leader.voters;
    if (const wire::Voter* older = FindOlder(leader, learner)) {
      RemoveId(*next.mutable_voters(), older->id());
    } else if (MayAddVoter(leader, learner, rules, now)) {
      *next.add_voters() = learner;
      RemoveId(*next.mutable_learners(), learner.id());
    } else {
      continue;
    }
    if (HasWorkingMajority(leader, next, now)) {
      return next;
    }
  }
  return std::nullopt;
}

/** Without this, each box that was replaced would be sent to forever. */
std::optional<wire::VoterSet> StepRemoveLearner(const Replica& leader,
                                                const RepairRules& rules,
                                                Elapsed now)
{
  const wire::Voter* silent =
    rules.spareLearns
      ? FindSilentOf(leader, leader.voters.learners(), rules.spareAfter, now)
      : nullptr;
  if (silent == nullptr) {
    return std::nullopt;
  }
  wire::VoterSet next = leader.voters;
  RemoveId(*next.mutable_learners(), silent->id());
  return next;
}

/** Takes one voter too many out: the one that was given up, else the newest.
 */
std::optional<wire::VoterSet> StepRemoveExcess(const Replica& leader,
                                               const RepairRules& rules,
                                               Elapsed now)
{
  const auto& voters = leader.voters.voters();
  if (static_cast<std::size_t>(voters.size()) <= rules.wanted) {
    return std::nullopt;
  }
  const wire::Voter* excess = FindOnBox(voters, rules.replacement.lost);
  if (excess == nullptr || excess->id() == leader.self.id()) {
    excess = FindSilent(leader, rules.spareAfter, now);
  }
  if (excess == nullptr) {
    const wire::Voter& newest = voters[voters.size() - 1];
    excess = newest.id() == leader.self.id() ? &voters[0] : &newest;
  }
  wire::VoterSet next = leader.voters;
  RemoveId(*next.mutable_voters(), excess->id());
  return HasWorkingMajority(leader, next, now) ? std::optional(next)
                                               : std::nullopt;
}

} // namespace

bool ShouldAskToJoin(const Replica& replica)
{
  return !IsVoter(replica.voters, replica.self.id()) || replica.leader == 0;
}

std::optional<wire::VoterSet> NextRepairStep(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  const RepairRules& rules, Elapsed now)
{
  const bool settled =
    leader.role == ReplicaRole::Leader && leader.votersIndex <= leader.commit;
  if (!settled) {
    return std::nullopt;
  }
  if (auto step = StepRemoveExcess(leader, rules, now)) {
    return step;
  }
  if (auto step = StepAddLearner(leader, joining, rules, now)) {
    return step;
  }
  if (auto step = StepPromote(leader, rules, now)) {
    return step;
  }
  return StepRemoveLearner(leader, rules, now);
}

} // namespace wg
