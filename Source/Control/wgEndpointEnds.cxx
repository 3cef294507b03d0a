// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointEnds.h"

#include <algorithm>

#include "wgEndpointStart.h"

namespace wg {
namespace {

using Registration = wire::Registration;

/** What is known already says as much. */
bool Covers(const EndpointEnd& known, const Registration& news, bool isOwn)
{
  const bool isFurther = known.registration.state() != Registration::GONE &&
                         news.state() == Registration::GONE;
  return !isFurther && (known.isOwn || !isOwn);
}

Registration Describe(const EndpointEnd& end, Elapsed now)
{
  Registration told = end.registration;
  if (told.state() == Registration::GONE) {
    told.set_ended_ago_ms(absl::ToInt64Milliseconds(now - end.noted));
  }
  return told;
}

void DropOldest(EndpointEnds& ends)
{
  const auto oldest = ends.byRevision.begin();
  ends.ends.erase(oldest->second);
  ends.byRevision.erase(oldest);
}

} // namespace

std::uint64_t NoteEnd(EndpointEnds& ends, const Registration& registration,
                      bool isOwn, Elapsed now)
{
  const std::string id = IdentityOf(StartOf(registration));
  EndpointEnd& end = ends.ends[id];
  const bool isNew = end.revision == 0;
  if (!isNew && Covers(end, registration, isOwn)) {
    return end.revision;
  }
  const bool hasEnded =
    !isNew && end.registration.state() == Registration::GONE;
  if (!hasEnded) {
    end.registration = registration;
    end.registration.clear_revision();
    end.noted = now - absl::Milliseconds(std::max<std::int64_t>(
                        registration.ended_ago_ms(), 0));
  }
  end.isOwn |= isOwn;
  ends.byRevision.erase(end.revision);
  end.revision = ++ends.revision;
  ends.byRevision[end.revision] = id;
  if (ends.ends.size() > MostEnds) {
    DropOldest(ends);
  }
  return ends.revision;
}

wire::EndpointEnds NextEndsFor(const EndpointEnds& ends,
                               const std::string& address, Elapsed now,
                               std::uint64_t& upTo)
{
  wire::EndpointEnds message;
  const auto holder = ends.holders.find(address);
  upTo = holder == ends.holders.end() ? 0 : holder->second.held;
  for (auto it = ends.byRevision.upper_bound(upTo);
       it != ends.byRevision.end() && message.ends_size() < MaxEndsInMessage;
       ++it) {
    upTo = it->first;
    const auto end = ends.ends.find(it->second);
    if (end != ends.ends.end() && end->second.isOwn) {
      *message.add_ends() = Describe(end->second, now);
    }
  }
  return message;
}

bool IsHeldBy(const EndpointEnds& ends, std::uint64_t revision,
              std::size_t boxes)
{
  const auto others = static_cast<std::size_t>(std::count_if(
    ends.holders.begin(), ends.holders.end(),
    [revision](const auto& pair) { return pair.second.held >= revision; }));
  return others + (ends.synced >= revision ? 1 : 0) >= boxes;
}

wire::EndpointEnds DescribeEnds(const EndpointEnds& ends, Elapsed now)
{
  wire::EndpointEnds message;
  for (const auto& [id, end] : ends.ends) {
    *message.add_ends() = Describe(end, now);
  }
  return message;
}

void ExpireEnds(EndpointEnds& ends, Elapsed now)
{
  for (auto it = ends.ends.begin(); it != ends.ends.end();) {
    auto current = it++;
    if (now - current->second.noted > EndMemory) {
      ends.byRevision.erase(current->second.revision);
      ends.ends.erase(current);
    }
  }
}

} // namespace wg
