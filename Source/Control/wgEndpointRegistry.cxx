// SPDX-License-Identifier: Apache-2.0
#include "wgEndpointRegistry.h"

#include <algorithm>
#include <vector>

namespace wg {
namespace {

using Registration = wire::Registration;

/** Some 10 kB, 8 ms of a link of 10 Mbit/s: a box that starts asks all control
 * boxes for all endpoints, and what ends in time need not be sent again.
 */
constexpr std::size_t MaxRegistrationsInReply = 100;

/** Thirty times the endpoints of the largest site known, at 1 kB each
 * (reckoned from the bounds of their fields): whoever makes names up must not
 * take a control box's memory.
 */
constexpr std::size_t MaxEndpoints = 10000;

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
         left.slots() == right.slots() &&
         (left.warmup_ms() > 0) == (right.warmup_ms() > 0);
}

void Publish(EndpointRegistry& registry, Registration& registration)
{
  registration.set_revision(++registry.revision);
}

} // namespace

HeartbeatTaken TakeHeartbeat(EndpointRegistry& registry,
                             const Registration& heartbeat, Elapsed now)
{
  const std::string id = IdentityOf(StartOf(heartbeat));
  const bool isNew = registry.endpoints.count(id) == 0;
  if (isNew && registry.endpoints.size() >= MaxEndpoints) {
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
  const bool isNews = isNew || IsAfterGap(known, heartbeat) ||
                      !SaysTheSame(known.registration, heartbeat);
  const std::uint64_t revision = known.registration.revision();
  known.registration = heartbeat;
  known.registration.set_revision(revision);
  known.heard = now;
  known.tellNext = false;
  if (isNews) {
    Publish(registry, known.registration);
  }
  return isNews ? HeartbeatTaken::News : HeartbeatTaken::Known;
}

bool TakeLeave(EndpointRegistry& registry, const EndpointStart& start,
               Elapsed now)
{
  const std::string id = IdentityOf(start);
  const bool isFull = registry.endpoints.size() >= MaxEndpoints;
  if (isFull && registry.endpoints.count(id) == 0) {
    return false;
  }
  registry.endpoints[id].registration.set_endpoint(start.name);
  registry.endpoints[id].registration.set_born_ms(start.bornMs);
  bool isNews = false;
  for (auto& [known, endpoint] : registry.endpoints) {
    Registration& registration = endpoint.registration;
    const bool ends =
      registration.endpoint() == start.name &&
      (start.bornMs == 0 || registration.born_ms() == start.bornMs);
    if (ends && registration.state() != Registration::GONE) {
      registration.set_state(Registration::GONE);
      endpoint.heard = now;
      Publish(registry, registration);
      isNews = true;
    }
  }
  return isNews;
}

void NoteHallOrder(EndpointRegistry& registry, absl::string_view hall,
                   bool evacuated)
{
  for (auto& [id, endpoint] : registry.endpoints) {
    Registration& registration = endpoint.registration;
    const bool serves = registration.state() == Registration::READY ||
                        registration.state() == Registration::LEAVING;
    if (registration.hall() != hall || !serves) {
      continue;
    }
    if (!evacuated) {
      registration.set_warmup_ms(
        std::max(registration.warmup_ms(), AssumedWarmupMs));
    }
    endpoint.tellNext = true;
    Publish(registry, registration);
  }
}

wire::RememberedEndpoints RememberEndpoints(const EndpointRegistry& registry)
{
  wire::RememberedEndpoints remembered;
  for (const auto& [id, endpoint] : registry.endpoints) {
    *remembered.add_endpoints() = endpoint.registration;
  }
  return remembered;
}

void RecallEndpoints(EndpointRegistry& registry,
                     const wire::RememberedEndpoints& remembered, Elapsed now)
{
  for (const Registration& registration : remembered.endpoints()) {
    RegisteredEndpoint& known =
      registry.endpoints[IdentityOf(StartOf(registration))];
    const bool isGone = registration.state() == Registration::GONE;
    known.registration = registration;
    known.heard = isGone ? now - registry.timing.forgetAfter / 2 : now;
    known.tellNext = true;
    Publish(registry, known.registration);
  }
}

bool TickRegistry(EndpointRegistry& registry, Elapsed now)
{
  bool isNews = false;
  for (auto it = registry.endpoints.begin(); it != registry.endpoints.end();) {
    auto current = it++;
    RegisteredEndpoint& known = current->second;
    const absl::Duration silence = now - known.heard;
    const bool ended = known.registration.state() == Registration::GONE ||
                       known.registration.state() == Registration::SILENT;
    if (ended && silence > registry.timing.forgetAfter) {
      registry.endpoints.erase(current);
    } else if (!ended && silence > registry.timing.silentAfter) {
      known.registration.set_state(Registration::SILENT);
      Publish(registry, known.registration);
      isNews = true;
    }
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
  std::vector<const RegisteredEndpoint*> news;
  for (const auto& [id, endpoint] : registry.endpoints) {
    if (endpoint.registration.revision() > have) {
      news.push_back(&endpoint);
    }
  }
  std::sort(
    news.begin(), news.end(),
    [](const RegisteredEndpoint* left, const RegisteredEndpoint* right) {
      return left->registration.revision() < right->registration.revision();
    });
  const bool isAll = news.size() <= MaxRegistrationsInReply;
  news.resize(std::min(news.size(), MaxRegistrationsInReply));
  for (const RegisteredEndpoint* endpoint : news) {
    Registration& told = *reply.add_registrations();
    told = endpoint->registration;
    if (told.state() == Registration::GONE) {
      told.set_ended_ago_ms(absl::ToInt64Milliseconds(now - endpoint->heard));
    }
  }
  reply.set_registrations_revision(
    isAll ? registry.revision : news.back()->registration.revision());
}

} // namespace wg
