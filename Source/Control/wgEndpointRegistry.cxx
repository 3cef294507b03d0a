// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointRegistry.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/match.h"

namespace wg {
namespace {

using Registration = wire::Registration;

/** For so long an endpoint that may be cold and says nothing is taken to be;
 * longer than the 3 s that engines in use need, and than their heartbeats take
 * to come.
 */
constexpr std::int64_t AssumedWarmupMs = 10000;

/** Another control box was told between the two: when it no longer hears of
 * the endpoint, boxes that follow go by the newest heartbeat that they know.
 */
bool IsAfterGap(const RegisteredEndpoint& known, const Registration& heartbeat)
{
  return known.tellNext ||
         heartbeat.sequence() > known.registration.sequence() + 1;
}

bool SaysTheSame(const Registration& left, const Registration& right)
{
  return left.state() == right.state() && left.service() == right.service() &&
         left.address() == right.address() && left.hall() == right.hall() &&
         left.slots() == right.slots() && left.version() == right.version() &&
         (left.warmup_ms() > 0) == (right.warmup_ms() > 0);
}

bool IsEnded(const RegisteredEndpoint& endpoint)
{
  return endpoint.registration.state() == Registration::GONE ||
         endpoint.registration.state() == Registration::SILENT;
}

/** Only the control box that hears an endpoint knows whether it still drains.
 */
bool IsForgottenLater(const RegisteredEndpoint& endpoint)
{
  return IsEnded(endpoint) ||
         (!endpoint.isOwn &&
          endpoint.registration.state() == Registration::LEAVING);
}

void RemoveFromIndex(EndpointRegistry& registry, const std::string& id,
                     const RegisteredEndpoint& endpoint)
{
  RegistryIndex& index = registry.index;
  index.all.erase(endpoint.registration.revision());
  index.own.erase(endpoint.registration.revision());
  index.watched.erase({ endpoint.heard, id });
  index.ended.erase({ endpoint.heard, id });
}

void AddToIndex(EndpointRegistry& registry, const std::string& id,
                const RegisteredEndpoint& endpoint)
{
  RegistryIndex& index = registry.index;
  index.all[endpoint.registration.revision()] = &endpoint;
  if (endpoint.isOwn) {
    index.own[endpoint.registration.revision()] = &endpoint;
  }
  if (IsForgottenLater(endpoint)) {
    index.ended.insert({ endpoint.heard, id });
  } else if (endpoint.isOwn) {
    index.watched.insert({ endpoint.heard, id });
  }
}

/** Changes one that is listed; it is news where `isNews`. */
template <class Change>
void Update(EndpointRegistry& registry, const std::string& id,
            RegisteredEndpoint& endpoint, bool isNews, Change change)
{
  RemoveFromIndex(registry, id, endpoint);
  const std::uint64_t revision = endpoint.registration.revision();
  change();
  endpoint.registration.set_revision(isNews ? ++registry.revision : revision);
  AddToIndex(registry, id, endpoint);
}

void Erase(EndpointRegistry& registry, const std::string& id)
{
  auto found = registry.endpoints.find(id);
  RemoveFromIndex(registry, id, found->second);
  registry.endpoints.erase(found);
}

/** Where there is no room, the one that ended longest ago gives way. */
bool MakeRoom(EndpointRegistry& registry)
{
  if (registry.endpoints.size() < MostEndpoints) {
    return true;
  }
  if (registry.index.ended.empty()) {
    return false;
  }
  Erase(registry, std::string(registry.index.ended.begin()->second));
  return true;
}

/** All starts of a name, by identity; of a map or a constant one. */
template <class Endpoints>
auto StartsOf(Endpoints& endpoints, const std::string& name)
{
  std::vector<std::pair<std::string, decltype(&endpoints.begin()->second)>>
    starts;
  for (auto it = endpoints.lower_bound(name);
       it != endpoints.end() && absl::StartsWith(it->first, name); ++it) {
    if (it->second.registration.endpoint() == name) {
      starts.emplace_back(it->first, &it->second);
    }
  }
  return starts;
}

void EndOne(EndpointRegistry& registry, const std::string& id,
            RegisteredEndpoint& endpoint, bool isOwn, Elapsed ended)
{
  Update(registry, id, endpoint, true, [&] {
    endpoint.registration.set_state(Registration::GONE);
    endpoint.heard = ended;
    endpoint.isOwn = isOwn;
  });
}

/** Ends the named start, or all that were known by then where it was not told.
 */
bool EndStarts(EndpointRegistry& registry, const EndpointStart& start,
               bool isOwn, Elapsed ended)
{
  const std::string id = IdentityOf(start);
  if (registry.endpoints.count(id) == 0) {
    if (!MakeRoom(registry)) {
      return false;
    }
    RegisteredEndpoint& endpoint = registry.endpoints[id];
    endpoint.registration.set_endpoint(start.name);
    endpoint.registration.set_born_ms(start.bornMs);
    endpoint.known = ended;
  }
  bool isNews = false;
  for (auto& [known, endpoint] : StartsOf(registry.endpoints, start.name)) {
    const Registration& registration = endpoint->registration;
    const bool ends =
      (start.bornMs == 0 ? endpoint->known <= ended
                         : registration.born_ms() == start.bornMs) &&
      registration.state() != Registration::GONE;
    if (ends) {
      EndOne(registry, known, *endpoint, isOwn, ended);
      isNews = true;
    }
  }
  return isNews;
}

} // namespace

HeartbeatTaken TakeHeartbeat(EndpointRegistry& registry,
                             const Registration& heartbeat, Elapsed now)
{
  const std::string id = IdentityOf(StartOf(heartbeat));
  const bool isNew = registry.endpoints.count(id) == 0;
  if (isNew && !MakeRoom(registry)) {
    return HeartbeatTaken::TooMany;
  }
  RegisteredEndpoint& known = registry.endpoints[id];
  const bool overtaken =
    !isNew && (known.registration.state() == Registration::GONE ||
               heartbeat.sequence() <= known.registration.sequence());
  if (overtaken) {
    return HeartbeatTaken::Known;
  }
  if (!isNew && known.registration.service() != heartbeat.service()) {
    return HeartbeatTaken::Foreign;
  }
  // The other control boxes learn who watches it from now on.
  const bool isNews = isNew || !known.isOwn || IsAfterGap(known, heartbeat) ||
                      !SaysTheSame(known.registration, heartbeat);
  known.known = isNew ? now : known.known;
  Update(registry, id, known, isNews, [&] {
    known.registration = heartbeat;
    known.heard = now;
    known.tellNext = false;
    known.isOwn = true;
  });
  return isNews ? HeartbeatTaken::News : HeartbeatTaken::Known;
}

bool TakeLeave(EndpointRegistry& registry, const EndpointStart& start,
               Elapsed now)
{
  return EndStarts(registry, start, true, now);
}

std::vector<Registration> EndedStarts(const EndpointRegistry& registry,
                                      const EndpointStart& start)
{
  std::vector<Registration> ended;
  for (const auto& [id, endpoint] : StartsOf(registry.endpoints, start.name)) {
    const Registration& registration = endpoint->registration;
    const bool isNamed =
      start.bornMs == 0 || registration.born_ms() == start.bornMs;
    if (isNamed && registration.state() == Registration::GONE) {
      ended.push_back(registration);
    }
  }
  return ended;
}

bool TakeEnd(EndpointRegistry& registry, const Registration& told, Elapsed now)
{
  if (told.state() != Registration::GONE) {
    return TakeTold(registry, told, now);
  }
  return EndStarts(registry, StartOf(told), true,
                   now - absl::Milliseconds(told.ended_ago_ms()));
}

bool TakeTold(EndpointRegistry& registry, const Registration& told,
              Elapsed now)
{
  const EndpointStart start = StartOf(told);
  if (told.state() == Registration::GONE) {
    return EndStarts(registry, start, false,
                     now - absl::Milliseconds(told.ended_ago_ms()));
  }
  const std::string id = IdentityOf(start);
  auto found = registry.endpoints.find(id);
  if (found == registry.endpoints.end()) {
    if (!MakeRoom(registry)) {
      return false;
    }
    found = registry.endpoints.try_emplace(id).first;
    found->second.known = now;
  } else {
    const Registration& known = found->second.registration;
    const bool isSilence = told.state() == Registration::SILENT &&
                           known.state() != Registration::SILENT &&
                           told.sequence() == known.sequence();
    const bool isNewer = known.state() != Registration::GONE &&
                         known.service() == told.service() &&
                         (told.sequence() > known.sequence() || isSilence);
    if (!isNewer) {
      return false;
    }
  }
  RegisteredEndpoint& endpoint = found->second;
  Update(registry, id, endpoint, true, [&] {
    endpoint.registration = told;
    endpoint.heard = now;
    endpoint.isOwn = false;
  });
  return true;
}

void NoteHallOrder(EndpointRegistry& registry, absl::string_view hall,
                   bool evacuated)
{
  for (auto& entry : registry.endpoints) {
    RegisteredEndpoint& endpoint = entry.second;
    Registration& registration = endpoint.registration;
    const bool serves = registration.state() == Registration::READY ||
                        registration.state() == Registration::LEAVING;
    if (registration.hall() != hall || !serves) {
      continue;
    }
    Update(registry, entry.first, endpoint, true, [&] {
      if (!evacuated) {
        registration.set_warmup_ms(
          std::max(registration.warmup_ms(), AssumedWarmupMs));
      }
      endpoint.tellNext = true;
    });
  }
}

wire::RememberedEndpoints RememberEndpoints(const EndpointRegistry& registry)
{
  wire::RememberedEndpoints remembered;
  for (const auto& [revision, endpoint] : registry.index.own) {
    *remembered.add_endpoints() = endpoint->registration;
  }
  return remembered;
}

void RecallEndpoints(EndpointRegistry& registry,
                     const wire::RememberedEndpoints& remembered, Elapsed now)
{
  for (const Registration& registration : remembered.endpoints()) {
    if (!MakeRoom(registry)) {
      return;
    }
    const std::string id = IdentityOf(StartOf(registration));
    RegisteredEndpoint& known = registry.endpoints[id];
    known.known = now;
    const bool isGone = registration.state() == Registration::GONE;
    Update(registry, id, known, true, [&] {
      known.registration = registration;
      known.heard = isGone ? now - registry.timing.forgetAfter / 2 : now;
      known.tellNext = true;
      known.isOwn = true;
    });
  }
}

bool TickRegistry(EndpointRegistry& registry, Elapsed now)
{
  RegistryIndex& index = registry.index;
  bool isNews = false;
  while (!index.watched.empty() &&
         now - index.watched.begin()->first > registry.timing.silentAfter) {
    const std::string id = index.watched.begin()->second;
    RegisteredEndpoint& silent = registry.endpoints[id];
    Update(registry, id, silent, true,
           [&silent] { silent.registration.set_state(Registration::SILENT); });
    isNews = true;
  }
  while (!index.ended.empty() &&
         now - index.ended.begin()->first > registry.timing.forgetAfter) {
    Erase(registry, std::string(index.ended.begin()->second));
  }
  return isNews;
}

void RegistrationsSince(const EndpointRegistry& registry,
                        const wire::FollowRequest& request, Elapsed now,
                        wire::FollowReply& reply)
{
  reply.set_registry(registry.incarnation);
  const bool known = request.registry() == registry.incarnation;
  const std::uint64_t have = known ? request.have_registrations() : 0;
  const bool isControl = !request.control_address().empty();
  const RegistryIndex::ByRevision& revisions =
    isControl ? registry.index.own : registry.index.all;
  auto next = revisions.upper_bound(have);
  std::uint64_t last = registry.revision;
  for (; next != revisions.end(); ++next) {
    if (reply.registrations_size() == MaxRegistrationsInReply) {
      last = std::prev(next)->first;
      break;
    }
    const RegisteredEndpoint& endpoint = *next->second;
    Registration& told = *reply.add_registrations();
    told = endpoint.registration;
    if (told.state() == Registration::GONE) {
      told.set_ended_ago_ms(absl::ToInt64Milliseconds(now - endpoint.heard));
    }
  }
  reply.set_registrations_revision(last);
}

} // namespace wg
