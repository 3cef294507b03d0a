// SPDX-License-Identifier: Apache-2.0
#include "wgBoxList.h"

#include <vector>

namespace wg {
namespace {

/** Some 9 kB, 7 ms of a link of 10 Mbit/s. */
constexpr int MostBoxesInReply = 200;

bool SaysTheSame(const wire::Follower& left, const wire::Follower& right)
{
  return left.hall() == right.hall() && left.address() == right.address() &&
         left.cpu_milli() == right.cpu_milli() &&
         left.no_path() == right.no_path() && left.gone() == right.gone();
}

void SetBox(BoxList& list, const std::string& name, BoxList::Entry& entry,
            const wire::Follower& box, Elapsed now)
{
  const bool isSame = entry.revision > 0 && SaysTheSame(entry.box, box);
  if (isSame) {
    return;
  }
  list.byRevision.erase(entry.revision);
  entry.box = box;
  entry.revision = ++list.revision;
  entry.changed = now;
  list.byRevision[entry.revision] = name;
}

void Unlist(BoxList& list, const std::string& teller, const std::string& name,
            BoxList::Entry& entry, Elapsed now)
{
  if (entry.tellers.erase(teller) == 0 || !entry.tellers.empty()) {
    return;
  }
  wire::Follower gone = entry.box;
  gone.set_gone(true);
  SetBox(list, name, entry, gone, now);
}

} // namespace

void ListBox(BoxList& list, const std::string& teller,
             const wire::Follower& told, Elapsed now)
{
  BoxList::Entry& entry = list.boxes[told.box()];
  entry.tellers.insert(teller);
  SetBox(list, told.box(), entry, told, now);
}

void UnlistBox(BoxList& list, const std::string& teller,
               const std::string& box, Elapsed now)
{
  auto found = list.boxes.find(box);
  if (found != list.boxes.end()) {
    Unlist(list, teller, box, found->second, now);
  }
}

void UnlistAll(BoxList& list, const std::string& teller, Elapsed now)
{
  for (auto& [name, entry] : list.boxes) {
    Unlist(list, teller, name, entry, now);
  }
}

void ForgetGone(BoxList& list, absl::Duration after, Elapsed now)
{
  for (auto it = list.boxes.begin(); it != list.boxes.end();) {
    auto current = it++;
    const BoxList::Entry& entry = current->second;
    if (entry.box.gone() && now - entry.changed > after) {
      list.byRevision.erase(entry.revision);
      list.boxes.erase(current);
    }
  }
}

void AddBoxes(const BoxList& list, wire::FollowReply& reply)
{
  reply.set_followers_revision(list.revision);
  for (const auto& [name, entry] : list.boxes) {
    if (!entry.box.gone()) {
      *reply.add_followers() = entry.box;
    }
  }
}

bool AddChangedBoxes(const BoxList& list, std::uint64_t after,
                     wire::FollowReply& reply)
{
  reply.set_followers_are_changes(true);
  reply.set_followers_revision(list.revision);
  auto next = list.byRevision.upper_bound(after);
  for (; next != list.byRevision.end(); ++next) {
    if (reply.followers_size() == MostBoxesInReply) {
      return false;
    }
    const BoxList::Entry& entry = list.boxes.at(next->second);
    reply.set_followers_revision(next->first);
    if (after > 0 || !entry.box.gone()) {
      *reply.add_followers() = entry.box;
    }
  }
  reply.set_followers_revision(list.revision);
  return true;
}

} // namespace wg
