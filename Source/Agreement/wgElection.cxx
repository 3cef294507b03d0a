// SPDX-License-Identifier: Apache-2.0
#include "wgElection.h"

#include <utility>

#include "wgReplicaDetail.h"
#include "wgReplication.h"

namespace wg::detail {
namespace {

void RequestVotes(Replica& r, Kind::Kind kind, std::uint64_t term)
{
  for (const wire::Voter& voter : r.voters.voters()) {
    if (voter.id() == r.self.id()) {
      continue;
    }
    auto message = MakeMessage(r, kind, voter.id(), term);
    message.set_last_index(r.log.LastIndex());
    message.set_last_term(r.log.LastTerm());
    Send(r, std::move(message));
  }
}

/** A non-voter campaigns only if a candidate with an older log requested its
 * vote: otherwise neither of them could ever be elected.
 */
bool MayCampaign(const Replica& r)
{
  return IsVoter(r.voters, r.self.id()) ||
         (r.hasNewerLogThanCandidate && r.voters.voters_size() > 0);
}

std::set<std::uint64_t> OwnVote(const Replica& r)
{
  return IsVoter(r.voters, r.self.id())
           ? std::set<std::uint64_t>{ r.self.id() }
           : std::set<std::uint64_t>{};
}

void StartElection(Replica& r, Elapsed now)
{
  r.role = ReplicaRole::Candidate;
  r.hard.set_term(r.hard.term() + 1);
  r.hard.set_vote(r.self.id());
  r.actions.saveHardState = true;
  r.grants = OwnVote(r);
  if (r.grants.size() >= Quorum(r)) {
    BecomeLeader(r, now);
    return;
  }
  RequestVotes(r, Kind::VOTE, r.hard.term());
}

bool IsLogUpToDate(const Replica& r, const wire::AgreementMessage& m)
{
  if (m.last_term() != r.log.LastTerm()) {
    return m.last_term() > r.log.LastTerm();
  }
  return m.last_index() >= r.log.LastIndex();
}

} // namespace

void BecomeLeader(Replica& r, Elapsed now)
{
  r.role = ReplicaRole::Leader;
  r.leader = r.self.id();
  r.grants.clear();
  r.peers.clear();
  TrackPeers(r, now);
  wire::LogEntry noop;
  noop.set_kind(wire::LogEntry::NOOP);
  AppendOwn(r, std::move(noop));
  SendAppendToAll(r, now);
}

void StartPreVote(Replica& r, Elapsed now, absl::BitGenRef random)
{
  ResetElectionTimer(r, now, random);
  if (!MayCampaign(r)) {
    return;
  }
  r.role = ReplicaRole::PreCandidate;
  r.leader = 0;
  r.grants = OwnVote(r);
  if (r.grants.size() >= Quorum(r)) {
    StartElection(r, now);
    return;
  }
  RequestVotes(r, Kind::PRE_VOTE, r.hard.term() + 1);
}

void OnVoteRequest(Replica& r, const wire::AgreementMessage& m, Elapsed now,
                   absl::BitGenRef random)
{
  const bool isPreVote = m.kind() == Kind::PRE_VOTE;
  // Non-voters vote too: the candidate's log may hold the change that made
  // this replica a voter while its own log does not yet.
  const bool mayVote = now >= r.noVoteBefore && r.role != ReplicaRole::Leader;
  if (!mayVote) {
    if (isPreVote) {
      r.deferredPreVote = m;
    }
    return;
  }
  if (!isPreVote && m.term() > r.hard.term()) {
    BecomeFollower(r, m.term(), 0);
  }
  const bool freeToVote =
    isPreVote ? m.term() > r.hard.term()
              : m.term() == r.hard.term() &&
                  (r.hard.vote() == 0 || r.hard.vote() == m.from());
  const bool isUpToDate = IsLogUpToDate(r, m);
  const bool granted = freeToVote && isUpToDate;
  r.hasNewerLogThanCandidate = !isUpToDate;
  if (granted && !isPreVote) {
    r.hard.set_vote(m.from());
    r.actions.saveHardState = true;
    ResetElectionTimer(r, now, random);
  }
  auto reply =
    MakeMessage(r, isPreVote ? Kind::PRE_VOTE_REPLY : Kind::VOTE_REPLY,
                m.from(), granted ? m.term() : r.hard.term());
  reply.set_granted(granted);
  Send(r, std::move(reply));
}

void AnswerDeferredPreVote(Replica& r, Elapsed now, absl::BitGenRef random)
{
  if (!r.deferredPreVote || now < r.noVoteBefore) {
    return;
  }
  const wire::AgreementMessage message = *std::move(r.deferredPreVote);
  r.deferredPreVote.reset();
  if (r.role != ReplicaRole::Leader) {
    OnVoteRequest(r, message, now, random);
  }
}

void OnVoteReply(Replica& r, const wire::AgreementMessage& m, Elapsed now)
{
  const bool isPreVote = m.kind() == Kind::PRE_VOTE_REPLY;
  const ReplicaRole expected =
    isPreVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
  const std::uint64_t term = r.hard.term() + (isPreVote ? 1 : 0);
  const bool counts = r.role == expected && m.granted() && m.term() == term &&
                      IsVoter(r.voters, m.from());
  if (!counts) {
    return;
  }
  r.grants.insert(m.from());
  if (r.grants.size() < Quorum(r)) {
    return;
  }
  if (isPreVote) {
    StartElection(r, now);
  } else {
    BecomeLeader(r, now);
  }
}

} // namespace wg::detail
