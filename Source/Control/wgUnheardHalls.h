// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "wgPeer.pb.h"

namespace wg {

/** \brief Another control box, as this one last called it. */
struct ControlContact
{
  std::string hall; // empty: not known
  bool isHeard = false;
};

/** \brief Halls whose control boxes have all stopped answering this one.
 *
 * The load: a thousand boxes with a third of a request a second each. A box
 * that learns by connections of its own that a hall is cut off makes too few
 * of them to know it before the cut is over; control boxes call each other
 * all the time.
 */
struct UnheardHalls
{
  std::set<std::string> halls;
  std::uint64_t revision = 0;
};

/** \param own the hall of this control box, which is never among them
 * \return whether they changed
 */
bool NoteContacts(UnheardHalls& unheard,
                  absl::Span<const ControlContact> contacts,
                  absl::string_view own);

inline bool HasUnheardNews(const UnheardHalls& unheard,
                           const wire::FollowRequest& request)
{
  return request.takes_unheard_halls() &&
         request.have_unheard_halls() != unheard.revision;
}

/** \brief Adds them to a reply, if the follower does not have them. */
void AddUnheardHalls(const UnheardHalls& unheard,
                     const wire::FollowRequest& request,
                     wire::FollowReply& reply);

} // namespace wg
