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

bool TakeHeartbeat(EndpointRegistry& registry, const Registration& heartbeat,
                   Elapsed now)
{
  auto [found, isNew] = registry.endpoints.try_emplace(heartbeat.endpoint());
  RegisteredEndpoint& known = found->second;
  const bool overtaken =
    !isNew && (known.registration.state() == Registration::GONE ||
               heartbeat.sequence() <= known.registration.sequence());
  if (overtaken) {
    return false;
  }
  const bool isNews = isNew || !SaysTheSame(known.registration, heartbeat);
  const std::uint64_t revision = known.registration.revision();
  known.registration = heartbeat;
  known.registration.set_revision(revision);
  known.heard = now;
  if (isNews) {
    Publish(registry, known.registration);
  }
  return isNews;
}

bool TakeLeave(EndpointRegistry& registry, absl::string_view endpoint,
               Elapsed now)
{
  RegisteredEndpoint& known = registry.endpoints[std::string(endpoint)];
  if (known.registration.state() == Registration::GONE) {
    return false;
  }
  known.registration.set_endpoint(std::string(endpoint));
  known.registration.set_state(Registration::GONE);
  known.heard = now;
  Publish(registry, known.registration);
  return true;
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
                        const wire::FollowRequest& request,
                        wire::FollowReply& reply)
{
  reply.set_registry(registry.incarnation);
  const bool known = request.registry() == registry.incarnation;
  const std::uint64_t have = known ? request.have_registrations() : 0;
  std::vector<const Registration*> news;
  for (const auto& [id, endpoint] : registry.endpoints) {
    if (endpoint.registration.revision() > have) {
      news.push_back(&endpoint.registration);
    }
  }
  std::sort(news.begin(), news.end(),
            [](const Registration* left, const Registration* right) {
              return left->revision() < right->revision();
            });
  const bool isAll = news.size() <= MaxRegistrationsInReply;
  news.resize(std::min(news.size(), MaxRegistrationsInReply));
  for (const Registration* registration : news) {
    *reply.add_registrations() = *registration;
  }
  reply.set_registrations_revision(isAll ? registry.revision
                                         : news.back()->revision());
}

} // namespace wg
