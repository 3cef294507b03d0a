// SPDX-License-Identifier: Apache-2.0
#include "wgRepair.h"

#include <algorithm>

namespace wg {
namespace {

constexpr absl::Duration JoinRequestLifetime = absl::Seconds(5);

bool IsResponsive(const Replica& leader, std::uint64_t id, Elapsed now)
{
  if (id == leader.self.id()) {
    return true;
  }
  auto found = leader.peers.find(id);
  return found != leader.peers.end() &&
         now - found->second.ackedSendTime < leader.timing.maxElection;
}

/** Returns whether a replica may yet prove responsive: one that this leader
 * has not sent to for long has had no time to answer.
 */
bool MayBeResponsive(const Replica& leader, std::uint64_t id, Elapsed now)
{
  auto found = leader.peers.find(id);
  return found != leader.peers.end() &&
         now - std::max(found->second.ackedSendTime,
                        found->second.trackedSince) <
           leader.timing.maxElection;
}

bool IsCaughtUp(const Replica& leader, std::uint64_t id, Elapsed now)
{
  auto found = leader.peers.find(id);
  return found != leader.peers.end() && IsResponsive(leader, id, now) &&
         found->second.match >= leader.commit;
}

/** Returns whether a majority of these voters is responsive and caught up. */
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

/** A voter added while another is unresponsive raises the quorum without
 * tolerating a further loss; the unresponsive one must be replaced first.
 */
bool AreVotersResponsive(const Replica& leader, Elapsed now)
{
  return std::all_of(leader.voters.voters().begin(),
                     leader.voters.voters().end(),
                     [&leader, now](const wire::Voter& voter) {
                       return IsResponsive(leader, voter.id(), now);
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

/** Returns the replica that has been unresponsive longest, or null if none has
 * for `minDuration`.
 */
const wire::Voter* FindUnresponsiveOf(
  const Replica& leader,
  const google::protobuf::RepeatedPtrField<wire::Voter>& replicas,
  absl::Duration minDuration, Elapsed now)
{
  const wire::Voter* unresponsive = nullptr;
  Elapsed earliest = now - minDuration;
  for (const wire::Voter& replica : replicas) {
    auto peer = leader.peers.find(replica.id());
    if (replica.id() == leader.self.id() || peer == leader.peers.end()) {
      continue;
    }
    const Elapsed lastContact =
      std::max(peer->second.ackedSendTime, peer->second.trackedSince);
    if (lastContact <= earliest) {
      earliest = lastContact;
      unresponsive = &replica;
    }
  }
  return unresponsive;
}

const wire::Voter* FindUnresponsive(const Replica& leader,
                                    absl::Duration minDuration, Elapsed now)
{
  return FindUnresponsiveOf(leader, leader.voters.voters(), minDuration, now);
}

/** Returns the older replica on the joiner's box. Its disk is lost, so it can
 * be removed before the new one becomes a voter.
 */
const wire::Voter* FindOlderOnBox(const Replica& leader,
                                  const wire::Voter& joiner)
{
  const wire::Voter* onBox = FindOnBox(leader.voters.voters(), joiner.box());
  return onBox == nullptr || onBox->id() == joiner.id() ? nullptr : onBox;
}

const wire::Voter* FindStopping(const Replica& leader,
                                const RepairRules& rules)
{
  const auto& voters = leader.voters.voters();
  const auto found = std::find_if(
    voters.begin(), voters.end(), [&rules](const wire::Voter& voter) {
      return rules.stopping.count(voter.id()) > 0;
    });
  return found == voters.end() ? nullptr : &*found;
}

/** Returns the voter that a box without one may replace, or null: the one that
 * an operator declared lost, one that is about to end, or one unresponsive for
 * standbyAfter. It may still be running, and stays until the other is a voter.
 */
const wire::Voter* FindReplaceable(const Replica& leader,
                                   const std::string& standby,
                                   const RepairRules& rules, Elapsed now)
{
  const auto& voters = leader.voters.voters();
  const wire::Voter* lost = FindOnBox(voters, rules.replacement.lost);
  if (lost != nullptr && rules.replacement.standby == standby) {
    return lost;
  }
  if (standby == rules.replacement.lost) {
    return nullptr;
  }
  const wire::Voter* stopping = FindStopping(leader, rules);
  return stopping != nullptr
           ? stopping
           : FindUnresponsive(leader, rules.standbyAfter, now);
}

/** Of the replicas of one box only the one with the newest request can be
 * running: a lost disk leaves behind a replica with an older request.
 */
bool HasNewestRequestOfBox(absl::Span<const JoiningReplica> joining,
                           const JoiningReplica& joiner)
{
  return std::none_of(joining.begin(), joining.end(),
                      [&joiner](const JoiningReplica& other) {
                        return other.who.box() == joiner.who.box() &&
                               other.lastRequest > joiner.lastRequest;
                      });
}

/** Adds a joiner as a learner, in place of an older learner of its box. */
std::optional<wire::VoterSet> StepAddLearner(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  const RepairRules& rules, Elapsed now)
{
  for (const JoiningReplica& joiner : joining) {
    const std::uint64_t id = joiner.who.id();
    const bool isNew = !IsVoter(leader.voters, id) &&
                       !IsLearner(leader.voters, id) &&
                       rules.stopping.count(id) == 0 &&
                       now - joiner.lastRequest < JoinRequestLifetime &&
                       HasNewestRequestOfBox(joining, joiner);
    const bool hasPlace =
      static_cast<std::size_t>(leader.voters.voters_size()) < rules.wanted ||
      (rules.standbysLearn && joiner.who.box() != rules.replacement.lost) ||
      FindOlderOnBox(leader, joiner.who) != nullptr ||
      FindReplaceable(leader, joiner.who.box(), rules, now) != nullptr;
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

/** Returns whether a learner may become a voter beside all current ones. */
bool MayAddVoter(const Replica& leader, const wire::Voter& learner,
                 const RepairRules& rules, Elapsed now)
{
  const auto count = static_cast<std::size_t>(leader.voters.voters_size());
  const bool replaces =
    FindReplaceable(leader, learner.box(), rules, now) != nullptr;
  return count < rules.wanted ? replaces || AreVotersResponsive(leader, now)
                              : replaces && count == rules.wanted;
}

/** Makes a caught-up learner a voter, or first removes the older replica of
 * its box.
 */
std::optional<wire::VoterSet> StepPromote(const Replica& leader,
                                          const RepairRules& rules,
                                          Elapsed now)
{
  for (const wire::Voter& learner : leader.voters.learners()) {
    const bool isReady = IsCaughtUp(leader, learner.id(), now) &&
                         rules.stopping.count(learner.id()) == 0;
    if (!isReady) {
      continue;
    }
    wire::VoterSet next = leader.voters;
    if (const wire::Voter* older = FindOlderOnBox(leader, learner)) {
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

/** Without this, the leader would send to each replaced box forever. */
std::optional<wire::VoterSet> StepRemoveLearner(const Replica& leader,
                                                const RepairRules& rules,
                                                Elapsed now)
{
  const wire::Voter* unresponsive =
    rules.standbysLearn ? FindUnresponsiveOf(leader, leader.voters.learners(),
                                             rules.standbyAfter, now)
                        : nullptr;
  if (unresponsive == nullptr) {
    return std::nullopt;
  }
  wire::VoterSet next = leader.voters;
  RemoveId(*next.mutable_learners(), unresponsive->id());
  return next;
}

/** Removes an excess voter: one declared lost, about to end or unresponsive,
 * else the newest. Only one that is about to end removes itself.
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
    excess = FindStopping(leader, rules);
  }
  if (excess == nullptr) {
    excess = FindUnresponsive(leader, rules.standbyAfter, now);
  }
  wire::VoterSet next = leader.voters;
  if (excess == nullptr) {
    const wire::Voter& newest = voters[voters.size() - 1];
    excess = newest.id() == leader.self.id() ? &voters[0] : &newest;
    // A leader that has just been elected may not know yet who is to end.
    if (rules.standbysLearn) {
      *next.add_learners() = *excess;
    }
  }
  RemoveId(*next.mutable_voters(), excess->id());
  return HasWorkingMajority(leader, next, now) ? std::optional(next)
                                               : std::nullopt;
}

} // namespace

bool ShouldRequestJoin(const Replica& replica)
{
  return !IsVoter(replica.voters, replica.self.id()) || replica.leader == 0;
}

bool IsHandingOver(const Replica& leader, std::uint64_t id,
                   const RepairRules& rules, Elapsed now)
{
  const wire::VoterSet& voters = leader.voters;
  if (!IsVoter(voters, id)) {
    return leader.votersIndex > leader.commit;
  }
  const bool hasStandby =
    std::any_of(voters.learners().begin(), voters.learners().end(),
                [&](const wire::Voter& learner) {
                  return rules.stopping.count(learner.id()) == 0 &&
                         MayBeResponsive(leader, learner.id(), now);
                });
  const bool isReplaced =
    static_cast<std::size_t>(voters.voters_size()) > rules.wanted;
  return hasStandby || isReplaced;
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
