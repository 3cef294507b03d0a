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

/** \brief Periods and limits of the gossip between entry boxes. */
struct GossipTiming
{
  absl::Duration period = absl::Milliseconds(250);
  absl::Duration suspectAfter = absl::Milliseconds(1500); // without heartbeat
  absl::Duration removeAfter = absl::Minutes(10);         // without heartbeat
  std::size_t fanout = 3;       // messages per period, for any cluster size
  std::size_t maxMembers = 16;  // per message
  std::size_t maxBytes = 24000; // per message, which must fit a datagram
  int maxDemands = 400;         // per box; the largest demands are kept
};

/** \brief Newest known state of another entry box. */
struct KnownMember
{
  wire::Member member;
  Elapsed lastHeartbeat; // time at which its newest heartbeat was received
};

/** \brief One entry box's view of all entry boxes. */
struct Membership
{
  GossipTiming timing;
  wire::Member self;
  std::map<std::string, KnownMember> others; // by name of the box
  std::vector<std::string> seeds;            // addresses from settings
};

/** \brief A gossip message and the address to send it to. */
struct GossipMessage
{
  std::string address;
  wire::Gossip gossip;
};

/** \brief Sets the demands of this box.
 *
 * Keeps the largest ones by running and waiting requests if there are more
 * than `maxDemands`.
 */
void SetOwnDemands(Membership& membership, std::vector<wire::Demand> demands);

/** \brief Increments this box's heartbeat and returns the messages to send.
 *
 * To be called once per period. Also removes the members whose newest
 * heartbeat is older than `removeAfter`.
 * \param random source of the random choice of targets
 */
std::vector<GossipMessage> NextGossip(Membership& membership, Elapsed now,
                                      absl::BitGenRef random);

/** \brief Merges a received message into the view.
 *
 * Of two states of a box the one with the higher incarnation wins, then the
 * one with the higher heartbeat number. So the state from before a restart
 * never replaces a newer one.
 */
void MergeGossip(Membership& membership, const wire::Gossip& gossip,
                 Elapsed now);

/** \brief Returns whether a member's newest heartbeat was received within
 * `suspectAfter`.
 */
bool IsReachable(const Membership& membership, const KnownMember& member,
                 Elapsed now);

/** \brief Returns the other boxes that are reachable and not leaving. */
std::vector<const KnownMember*> ReachableMembers(const Membership& membership,
                                                 Elapsed now);

} // namespace wg
