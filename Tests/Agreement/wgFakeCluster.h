// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "wgRepair.h"
#include "wgReplica.h"

namespace wg::test {

/** \brief Synced contents of a replica's disk. */
struct FakeDisk
{
  std::uint64_t id = 0;
  std::string cluster;
  wire::HardState hard;
  ReplicaLog log;
  wire::Snapshot snapshot;
};

/** \brief A box: a persistent disk and a process that may crash. */
struct FakeBox
{
  std::string name;
  FakeDisk disk;
  Replica process;
  std::uint64_t chain = 0; // hash of all entries that the process has applied
  bool up = false;
  bool removed = false; // permanently
  absl::Duration upSince;
  /** It was told to end, and is killed then. */
  std::optional<absl::Duration> stopUntil;
  bool isReplaced = false; // it does not come back from its stop
  bool hadVote = false;    // when it was told
  /** Replicas that say that they are about to end, and when they last did. */
  std::map<std::uint64_t, absl::Duration> stopping;
  double clockRate = 1.0;
};

/** \brief Number of events of each kind in a schedule. */
struct ScheduleCounts
{
  int acknowledged = 0;
  int crashes = 0;
  int wipes = 0;
  int removed = 0;
  int voterChanges = 0;
  int snapshots = 0;
  int elections = 0;
  int plannedEnds = 0;
  int handedOver = 0; // of these, votes
  int calmEnds = 0;   // of these, nothing else happened meanwhile
};

/** \class FakeCluster
 * \brief Runs replicas through one seeded schedule of crashes, restarts, cut
 * links, delayed, duplicated and reordered messages, lost disks and voter
 * changes, and checks the invariants after every step.
 */
class FakeCluster
{
public:
  /** \brief Creates a cluster with the target number of voters. The standbys
   * join as learners for one seed in four, or always if boxes end as planned.
   */
  FakeCluster(std::uint64_t seed, std::size_t voters, std::size_t standbys,
              bool plansEnds = false);
  /** \brief Returns the first violated invariant, or an empty text. */
  std::string Run(int steps);
  const ScheduleCounts& Counts() const { return counts_; }

private:
  struct Committed
  {
    std::uint64_t term = 0;
    std::string bytes;
    std::uint64_t chain = 0;
  };

  Elapsed Now(const FakeBox& box) const;
  void Start(FakeBox& box);
  void Crash(FakeBox& box);
  void Wipe(FakeBox& box);
  void RemoveBox(FakeBox& box);
  bool HasStandby() const;
  std::vector<wire::VoterSet> PossibleVoterSets() const;
  bool MayReplaceLostVoter(const FakeBox& box,
                           const wire::VoterSet& voters) const;
  bool MayWipe(const FakeBox& box) const;
  bool SurvivesLossOf(const wire::VoterSet& voters, std::uint64_t id) const;
  void Step();
  void DeliverOne();
  void Deliver(const wire::AgreementMessage& message);
  void Propose();
  void TickAll();
  void RequestToJoin(FakeBox& box);
  RepairRules MakeRules(FakeBox& leader) const;
  void PlanEnd(FakeBox& box);
  void ContinueEnds();
  bool MayEnd(FakeBox& box);
  void EndAsPlanned(FakeBox& box);
  void CheckOneLossIsBorne(const FakeBox& ended);
  bool IsCalm() const;
  bool IsWhole(const FakeBox& box) const;
  bool HasCaughtUpStandby() const;
  bool AnyLost(const wire::VoterSet& voters) const;
  void ExecuteActions(FakeBox& box);
  void WriteToDisk(FakeBox& box, const ReplicaActions& actions);
  void Apply(FakeBox& box);
  void NoteCommitted(FakeBox& box, const wire::LogEntry& entry);
  void CheckAll();
  bool HaveVotersApplied(std::uint64_t index) const;
  bool Converge();
  std::string Describe() const;
  FakeBox* BoxOf(std::uint64_t id);
  bool Chance(double probability);
  void Fail(const std::string& what);

  std::mt19937_64 random_;
  std::vector<FakeBox> boxes_;
  std::size_t wanted_ = 0;
  bool spareLearns_ = false; // see RepairRules
  bool plansEnds_ = false;
  /** Of planned ends alone, so that other schedules of a seed stay the same.
   */
  std::mt19937_64 planned_;
  std::string calmEnd_;      // box that ends while nothing else happens
  absl::Duration disturbed_; // when a box or a link last went or came
  std::vector<wire::AgreementMessage> network_;
  std::set<std::pair<std::string, std::string>> cutLinks_;
  std::map<std::uint64_t, Committed> committed_;
  wire::VoterSet committedVoters_;
  std::uint64_t committedVotersIndex_ = 0;
  std::map<std::uint64_t, std::uint64_t> leaderOfTerm_;
  std::map<std::uint64_t, JoiningReplica> joining_;
  std::set<std::uint64_t> lostIdentities_;
  absl::Duration time_;
  absl::Duration lastWipe_ = -absl::InfiniteDuration();
  std::uint64_t nextIdentity_ = 1;
  std::uint64_t nextPayload_ = 1;
  ScheduleCounts counts_;
  std::string failure_;
};

} // namespace wg::test
