// SPDX-License-Identifier: Apache-2.0
#include "wgFollowers.h"

#include <algorithm>
#include <utility>

#include "wgCompression.h"
#include "wgConfigText.h"
#include "wgCoordinatorChoice.h"

namespace wg {
namespace {

constexpr absl::Duration MaxWait = absl::Seconds(10);
constexpr std::size_t MaxWaiting = 10000;
/** Beyond its own wait, how late a box may ask again. */
constexpr absl::Duration LateAfter = absl::Milliseconds(1500);
constexpr absl::Duration ForgetAfter = absl::Minutes(10);

/** Some 20 kB, 16 ms of a link of 10 Mbit/s. */
constexpr std::size_t MaxCrashesInReply = 200;

bool IsLive(const FollowerBox& box, Elapsed now)
{
  return now < box.liveUntil;
}

/** A box that tells none, or what can't be one, keeps the share that it told
 * before.
 */
std::uint32_t TakeShare(Followers& followers, std::uint32_t known,
                        std::uint32_t told)
{
  if (IsSoundShare(told)) {
    return told;
  }
  followers.unsoundShares += told == 0 ? 0 : 1;
  return known;
}

bool HasHallNews(const wire::FollowRequest& request,
                 const FollowedState& state)
{
  return request.knows_hall_orders() &&
         state.service->halls.newest > request.have_hall_orders();
}

/** A gateway that knows no orders on halls leaves silent endpoints alone. Once
 * the hall is back it goes by the endpoint's next heartbeat, which is newer.
 */
void HideEvacuated(const HallOrders& halls, wire::FollowReply& reply)
{
  for (wire::Registration& told : *reply.mutable_registrations()) {
    const bool isHidden = told.state() != wire::Registration::GONE &&
                          IsEvacuated(halls, told.hall());
    if (isHidden) {
      told.set_state(wire::Registration::SILENT);
    }
  }
}

bool HasNews(const Followers& followers, const FollowWaiter& waiter,
             const FollowedState& state)
{
  const wire::FollowRequest& request = waiter.request;
  if (state.service->config.revision > request.have_revision()) {
    return true;
  }
  if (HasHallNews(request, state)) {
    return true;
  }
  if (!request.wants_registry()) {
    return false;
  }
  const EndpointRegistry& registry = *state.registry;
  const bool hasCrashes = request.wants_crashes() &&
                          request.have_crashes() != state.crashes->revision;
  if (hasCrashes) {
    return true;
  }
  return state.service->document.number() > request.have_document() ||
         request.registry() != registry.incarnation ||
         request.have_registrations() != registry.revision ||
         request.have_followers() != followers.revision;
}

void AddCrashes(const FollowWaiter& waiter, const FollowedState& state,
                Elapsed now, wire::FollowReply& reply)
{
  const wire::FollowRequest& request = waiter.request;
  const bool isKnown = request.registry() == state.registry->incarnation;
  const auto news =
    CrashesSince(*state.crashes, isKnown ? request.have_crashes() : 0,
                 MaxCrashesInReply, now);
  const bool isAll = news.size() < MaxCrashesInReply;
  reply.set_crashes_revision(isAll ? state.crashes->revision
                                   : news.back().revision());
  for (const wire::Crash& crash : news) {
    *reply.add_crashes() = crash;
  }
}

void AddRegistry(const Followers& followers, const FollowWaiter& waiter,
                 const FollowedState& state, Elapsed now,
                 wire::FollowReply& reply)
{
  const wire::FollowRequest& request = waiter.request;
  reply.set_document_number(state.service->document.number());
  RegistrationsSince(*state.registry, request, now, reply);
  if (!request.knows_hall_orders()) {
    HideEvacuated(state.service->halls, reply);
  }
  reply.set_followers_revision(followers.revision);
  const bool sameFollowers =
    request.registry() == state.registry->incarnation &&
    request.have_followers() == followers.revision;
  if (!sameFollowers) {
    for (const auto& [name, box] : followers.boxes) {
      if (box.address.empty() || !IsLive(box, now)) {
        continue;
      }
      wire::Follower& follower = *reply.add_followers();
      follower.set_box(name);
      follower.set_hall(box.hall);
      follower.set_address(box.address);
      follower.set_cpu_milli(box.cpuMilli);
    }
  }
  for (const std::string& control : state.controls) {
    reply.add_controls(control);
  }
}

/** What came after the revision that a follower has, or all. */
std::string PackConfig(const ServiceState& service,
                       const wire::FollowRequest& request)
{
  wire::FollowReply reply;
  if (!ChangesSince(service, request.have_revision(), reply)) {
    reply.set_toml(PrintConfig(service.config));
  }
  return Compress(reply.SerializeAsString());
}

bool Answer(const Followers& followers, const FollowWaiter& waiter,
            const FollowedState& state, Elapsed now)
{
  const bool waits = !HasNews(followers, waiter, state) && now < waiter.until;
  if (waits) {
    return false;
  }
  const Config& config = state.service->config;
  wire::FollowReply reply;
  reply.set_revision(config.revision);
  reply.set_known(config.revision > 0);
  reply.set_age_ms(absl::ToInt64Milliseconds(state.age));
  const bool newer = config.revision > waiter.request.have_revision();
  if (newer && waiter.request.wants_config()) {
    reply.set_packed(PackConfig(*state.service, waiter.request));
  }
  if (HasHallNews(waiter.request, state)) {
    *reply.mutable_hall_orders() = ToWire(state.service->halls);
  }
  if (waiter.request.wants_registry()) {
    AddRegistry(followers, waiter, state, now, reply);
  }
  if (waiter.request.wants_crashes()) {
    AddCrashes(waiter, state, now, reply);
  }
  waiter.respond(reply.SerializeAsString());
  return true;
}

} // namespace

void TakeFollow(Followers& followers, FollowWaiter waiter,
                const FollowedState& state, Elapsed now)
{
  const wire::FollowRequest& request = waiter.request;
  const absl::Duration wait = std::min(
    absl::Milliseconds(std::max<std::int64_t>(request.wait_ms(), 0)), MaxWait);
  waiter.until = now + wait;
  FollowerBox& box = followers.boxes[request.box()];
  const std::uint32_t share =
    TakeShare(followers, box.cpuMilli, request.cpu_milli());
  const bool isNew = !IsLive(box, now) || box.address != request.address() ||
                     box.cpuMilli != share;
  box = { request.hall(),    request.have_revision(),  now,
          request.address(), waiter.until + LateAfter, share };
  if (isNew && request.wants_registry()) {
    ++followers.revision;
  }
  const bool answered = Answer(followers, waiter, state, now);
  if (!answered && followers.waiting.size() < MaxWaiting) {
    followers.waiting.push_back(std::move(waiter));
  }
}

void AnswerFollowers(Followers& followers, const FollowedState& state,
                     Elapsed now)
{
  auto& waiting = followers.waiting;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [&](const FollowWaiter& waiter) {
                                 return Answer(followers, waiter, state, now);
                               }),
                waiting.end());
}

void TickFollowers(Followers& followers, Elapsed now)
{
  for (auto it = followers.boxes.begin(); it != followers.boxes.end();) {
    auto current = it++;
    FollowerBox& box = current->second;
    const bool expired = box.liveUntil != absl::ZeroDuration() &&
                         !box.address.empty() && !IsLive(box, now);
    if (expired) {
      box.address.clear();
      ++followers.revision;
    }
    if (now - box.heard > ForgetAfter) {
      followers.boxes.erase(current);
    }
  }
}

} // namespace wg
