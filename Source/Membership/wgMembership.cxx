// SPDX-License-Identifier: Apache-2.0
#include "wgMembership.h"

#include <algorithm>
#include <set>

#include "absl/random/distributions.h"

namespace wg {
namespace {

/** Keeps `count` random items and drops the others. */
template <class Item>
void KeepRandom(std::vector<Item>& items, std::size_t count,
                absl::BitGenRef random)
{
  for (std::size_t i = 0; i < std::min(count, items.size()); ++i) {
    const auto other = absl::Uniform<std::size_t>(random, i, items.size());
    std::swap(items[i], items[other]);
  }
  items.resize(std::min(count, items.size()));
}

/** Returns whether `a` is a newer state than `b` of the same box. */
bool IsNewer(const wire::Member& a, const wire::Member& b)
{
  if (a.incarnation() != b.incarnation()) {
    return a.incarnation() > b.incarnation();
  }
  return a.beat() > b.beat();
}

void RemoveExpired(Membership& membership, Elapsed now)
{
  for (auto it = membership.others.begin(); it != membership.others.end();) {
    const bool expired =
      now - it->second.lastHeartbeat > membership.timing.removeAfter;
    it = expired ? membership.others.erase(it) : std::next(it);
  }
}

/** Returns a message with this box and the members with the most recently
 * received heartbeats, as many as fit.
 */
wire::Gossip MakeGossip(const Membership& membership)
{
  std::vector<const KnownMember*> byHeartbeat;
  for (const auto& [box, known] : membership.others) {
    byHeartbeat.push_back(&known);
  }
  std::sort(byHeartbeat.begin(), byHeartbeat.end(),
            [](const KnownMember* a, const KnownMember* b) {
              return a->lastHeartbeat > b->lastHeartbeat;
            });
  wire::Gossip gossip;
  *gossip.add_members() = membership.self;
  std::size_t bytes = membership.self.ByteSizeLong();
  for (const KnownMember* known : byHeartbeat) {
    const auto size = static_cast<std::size_t>(gossip.members_size());
    bytes += known->member.ByteSizeLong();
    const bool full = size >= membership.timing.maxMembers ||
                      bytes > membership.timing.maxBytes;
    if (full) {
      break;
    }
    *gossip.add_members() = known->member;
  }
  return gossip;
}

/** Returns the addresses of `fanout` random reachable boxes and of one random
 * seed that is not reachable, if any.
 */
std::vector<std::string> ChooseTargets(const Membership& membership,
                                       Elapsed now, absl::BitGenRef random)
{
  std::vector<std::string> targets;
  std::set<std::string> reachable;
  for (const auto& [box, member] : membership.others) {
    if (IsReachable(membership, member, now)) {
      targets.push_back(member.member.address());
      reachable.insert(member.member.address());
    }
  }
  KeepRandom(targets, membership.timing.fanout, random);
  // An unreachable seed may have been restarted, or its link restored.
  std::vector<std::string> unreachable;
  for (const std::string& seed : membership.seeds) {
    if (reachable.count(seed) == 0 && seed != membership.self.address()) {
      unreachable.push_back(seed);
    }
  }
  KeepRandom(unreachable, 1, random);
  targets.insert(targets.end(), unreachable.begin(), unreachable.end());
  return targets;
}

} // namespace

void SetOwnDemands(Membership& membership, std::vector<wire::Demand> demands)
{
  const auto maxCount = static_cast<std::size_t>(membership.timing.maxDemands);
  if (demands.size() > maxCount) {
    std::partial_sort(
      demands.begin(), demands.begin() + membership.timing.maxDemands,
      demands.end(), [](const wire::Demand& a, const wire::Demand& b) {
        return a.running() + a.waiting() > b.running() + b.waiting();
      });
    demands.resize(maxCount);
  }
  *membership.self.mutable_demands() = { demands.begin(), demands.end() };
}

std::vector<GossipMessage> NextGossip(Membership& membership, Elapsed now,
                                      absl::BitGenRef random)
{
  membership.self.set_beat(membership.self.beat() + 1);
  RemoveExpired(membership, now);
  const wire::Gossip gossip = MakeGossip(membership);
  std::vector<GossipMessage> messages;
  for (std::string& target : ChooseTargets(membership, now, random)) {
    messages.push_back({ std::move(target), gossip });
  }
  return messages;
}

void MergeGossip(Membership& membership, const wire::Gossip& gossip,
                 Elapsed now)
{
  for (const wire::Member& member : gossip.members()) {
    if (member.box() == membership.self.box() || member.box().empty()) {
      continue;
    }
    auto [known, isNew] =
      membership.others.try_emplace(member.box(), KnownMember{ member, now });
    if (!isNew && IsNewer(member, known->second.member)) {
      known->second = { member, now };
    }
  }
}

bool IsReachable(const Membership& membership, const KnownMember& member,
                 Elapsed now)
{
  return now - member.lastHeartbeat <= membership.timing.suspectAfter;
}

std::vector<const KnownMember*> ReachableMembers(const Membership& membership,
                                                 Elapsed now)
{
  std::vector<const KnownMember*> reachable;
  for (const auto& [box, known] : membership.others) {
    if (IsReachable(membership, known, now) && !known.member.leaving()) {
      reachable.push_back(&known);
    }
  }
  return reachable;
}

} // namespace wg
