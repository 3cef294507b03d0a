// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief The periods and bounds of the gossip between entry boxes. */
struct GossipTiming
{
  absl::Duration period = absl::Milliseconds(250);
  absl::Duration suspectAfter = absl::Milliseconds(1500);
  absl::Duration forgetAfter = absl::Minutes(10);
  std::size_t fanout = 3;       // messages a period, whatever the size
  std::size_t maxMembers = 16;  // members in one message
  std::size_t maxBytes = 24000; // of one message: it must fit a datagram
  int maxDemands = 400;         // that one box tells, the largest first
};

/** \brief What is known of one entry box, and since when. */
struct KnownMember
{
  wire::Member member;
  Elapsed heard; // when its newest beat reached us
};

/** \brief One entry box's view of all of them. */
struct Membership
{
  GossipTiming timing;
  wire::Member self;
  std::map<std::string, KnownMember> others; // by box
  std::vector<std::string> seeds;            // addresses from the settings
};

/** \brief A message, and the address that it goes to. */
struct GossipMessage
{
  std::string address;
  wire::Gossip gossip;
};

/** \brief Sets what our own box asks for, the largest demands if there are
 * too many to tell.
 */
void SetOwnDemands(Membership& membership, std::vector<wire::Demand> demands);

/** \brief Counts one more beat of our own and says what to send. */
std::vector<GossipMessage> NextGossip(Membership& membership, Elapsed now,
                                      absl::BitGenRef random);

/** \brief Takes a message in. Of two facts the one with the higher
 * incarnation wins, then the one with the later beat; so a box that was
 * restarted is never taken for its former self.
 */
void MergeGossip(Membership& membership, const wire::Gossip& gossip,
                 Elapsed now);

/** \brief Whether a member's beats still come. */
bool IsAlive(const Membership& membership, const KnownMember& member,
             Elapsed now);

/** \brief The other boxes whose beats come and that are not leaving. */
std::vector<const KnownMember*> AliveMembers(const Membership& membership,
                                             Elapsed now);

} // namespace wg
