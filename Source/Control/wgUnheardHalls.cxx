// SPDX-License-Identifier: Apache-2.0
#include "wgUnheardHalls.h"

#include <utility>

namespace wg {

bool NoteContacts(UnheardHalls& unheard,
                  absl::Span<const ControlContact> contacts,
                  absl::string_view own)
{
  std::set<std::string> silent;
  std::set<std::string> heard;
  for (const ControlContact& contact : contacts) {
    if (!contact.hall.empty() && contact.hall != own) {
      (contact.isHeard ? heard : silent).insert(contact.hall);
    }
  }
  for (const std::string& hall : heard) {
    silent.erase(hall);
  }
  if (silent == unheard.halls) {
    return false;
  }
  unheard.halls = std::move(silent);
  ++unheard.revision;
  return true;
}

void AddUnheardHalls(const UnheardHalls& unheard,
                     const wire::FollowRequest& request,
                     wire::FollowReply& reply)
{
  reply.set_unheard_halls_revision(unheard.revision);
  if (!HasUnheardNews(unheard, request)) {
    return;
  }
  for (const std::string& hall : unheard.halls) {
    reply.add_unheard_halls(hall);
  }
}

} // namespace wg
