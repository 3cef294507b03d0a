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
         now - found->second.acknowledgedSend < leader.timing.maxElection;
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

const wire::Voter* FindOlderOnBox(const wire::VoterSet& voters,
                                  const wire::Voter& newer)
{
  for (const wire::Voter& voter : voters.voters()) {
    if (voter.box() == newer.box() && voter.id() != newer.id()) {
      return &voter;
    }
  }
  return nullptr;
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
  std::size_t wanted, Elapsed now)
{
  for (const JoiningReplica& joiner : joining) {
    const std::uint64_t id = joiner.who.id();
    const bool isNew = !IsVoter(leader.voters, id) &&
                       !IsLearner(leader.voters, id) &&
                       now - joiner.lastAsked < JoinMemory &&
                       AskedLastOfItsBox(joining, joiner);
    const bool hasPlace =
      static_cast<std::size_t>(leader.voters.voters_size()) < wanted ||
      FindOlderOnBox(leader.voters, joiner.who) != nullptr;
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

/** Gives a learner that has caught up its vote, or first makes its place. */
std::optional<wire::VoterSet> StepPromote(const Replica& leader,
                                          std::size_t wanted, Elapsed now)
{
  for (const wire::Voter& learner : leader.voters.learners()) {
    if (!IsCaughtUp(leader, learner.id(), now)) {
      continue;
    }
    wire::VoterSet next = leader.voters;
    const wire::Voter* older = FindOlderOnBox(leader.voters, learner);
    if (older != nullptr) {
      RemoveId(*next.mutable_voters(), older->id());
    } else if (static_cast<std::size_t>(next.voters_size()) < wanted &&
               AllVotersAnswer(leader, now)) {
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

} // namespace

std::optional<wire::VoterSet> NextRepairStep(
  const Replica& leader, absl::Span<const JoiningReplica> joining,
  std::size_t wanted, Elapsed now)
{
  const bool settled =
    leader.role == ReplicaRole::Leader && leader.votersIndex <= leader.commit;
  if (!settled) {
    return std::nullopt;
  }
  if (auto step = StepAddLearner(leader, joining, wanted, now)) {
    return step;
  }
  return StepPromote(leader, wanted, now);
}

} // namespace wg
