// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "absl/container/btree_map.h"

#include "wgElapsed.h"
#include "wgPeer.pb.h"

namespace wg {

/** \brief Boxes that take requests, by the revision of their last change, so
 * that who has an earlier revision is told of the changes alone.
 */
struct BoxList
{
  struct Entry
  {
    wire::Follower box; // gone ones are kept for a while
    std::uint64_t revision = 0;
    Elapsed changed;
    std::set<std::string> tellers; // who lists it
  };
  std::map<std::string, Entry> boxes; // by name
  absl::btree_map<std::uint64_t, std::string> byRevision;
  std::uint64_t revision = 0;
};

/** \brief The teller lists the box as it is told. */
void ListBox(BoxList& list, const std::string& teller,
             const wire::Follower& told, Elapsed now);

/** \brief The teller no longer lists the box; it is gone once nobody does. */
void UnlistBox(BoxList& list, const std::string& teller,
               const std::string& box, Elapsed now);

/** \brief The teller lists no box any more. */
void UnlistAll(BoxList& list, const std::string& teller, Elapsed now);

/** \brief Forgets boxes that have been gone for the time. */
void ForgetGone(BoxList& list, absl::Duration after, Elapsed now);

/** \brief Adds all boxes that live to a reply. */
void AddBoxes(const BoxList& list, wire::FollowReply& reply);

/** \brief Adds what changed after a revision, and sets the revision that the
 * reply leads to; 0 stands for a follower that knows nothing.
 * \return whether that is all of it
 */
bool AddChangedBoxes(const BoxList& list, std::uint64_t after,
                     wire::FollowReply& reply);

} // namespace wg
