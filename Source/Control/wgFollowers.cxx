// SPDX-License-Identifier: Apache-2.0
#include "wgFollowers.h"

#include <algorithm>
#include <set>
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
/** Boxes that no longer ask are looked for at this period. */
constexpr absl::Duration TickPeriod = absl::Milliseconds(100);
/** Answers are spread only where a round of them takes longer than this. */
constexpr absl::Duration LeastGap = absl::Milliseconds(15);
/** Who lists the boxes that follow this control box itself. */
const std::string OwnTeller; // NOLINT(cert-err58-cpp)

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
  if (IsValidCpuShare(told)) {
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

bool HasRolloutNews(const wire::FollowRequest& request,
                    const FollowedState& state)
{
  return request.knows_rollouts() &&
         state.service->rollouts.newest > request.have_rollouts();
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

bool IsControl(const wire::FollowRequest& request)
{
  return !request.control_address().empty();
}

const BoxList& ListFor(const Followers& followers,
                       const wire::FollowRequest& request)
{
  return IsControl(request) ? followers.own : followers.all;
}

bool HasRegistrations(const EndpointRegistry& registry,
                      const wire::FollowRequest& request)
{
  const RegistryIndex::ByRevision& revisions =
    IsControl(request) ? registry.index.own : registry.index.all;
  return !revisions.empty() &&
         revisions.rbegin()->first > request.have_registrations();
}

bool HasNews(const Followers& followers, const FollowWaiter& waiter,
             const FollowedState& state)
{
  const wire::FollowRequest& request = waiter.request;
  if (state.service->config.revision > request.have_revision()) {
    return true;
  }
  if (HasHallNews(request, state) || HasRolloutNews(request, state) ||
      HasUnheardNews(followers.unheard, request)) {
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
         HasRegistrations(registry, request) ||
         request.have_followers() != ListFor(followers, request).revision;
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

/** \return whether that is all of them */
bool AddFollowers(const Followers& followers, const FollowWaiter& waiter,
                  const FollowedState& state, wire::FollowReply& reply)
{
  const wire::FollowRequest& request = waiter.request;
  const BoxList& list = ListFor(followers, request);
  const bool isKnown = request.registry() == state.registry->incarnation;
  if (request.takes_follower_changes()) {
    return AddChangedBoxes(list, isKnown ? request.have_followers() : 0,
                           reply);
  }
  if (isKnown && request.have_followers() == list.revision) {
    reply.set_followers_revision(list.revision);
  } else {
    AddBoxes(list, reply);
  }
  return true;
}

void AddControls(const wire::FollowRequest& request,
                 const FollowedState& state, wire::FollowReply& reply)
{
  reply.set_controls_digest(state.controlsDigest);
  const bool isKnown = state.controlsDigest != 0 &&
                       request.have_controls() == state.controlsDigest;
  if (isKnown) {
    return;
  }
  for (const std::string& control : state.controls) {
    reply.add_controls(control);
  }
  for (const std::string& hall : state.controlHalls) {
    reply.add_control_halls(hall);
  }
}

/** \return whether the reply tells all that there is */
bool AddRegistry(const Followers& followers, const FollowWaiter& waiter,
                 const FollowedState& state, Elapsed now,
                 wire::FollowReply& reply)
{
  const wire::FollowRequest& request = waiter.request;
  reply.set_document_number(state.service->document.number());
  RegistrationsSince(*state.registry, request, now, reply);
  if (!request.knows_hall_orders()) {
    HideEvacuated(state.service->halls, reply);
  }
  const bool isAllRegistrations =
    reply.registrations_revision() == state.registry->revision;
  const bool isAllFollowers = AddFollowers(followers, waiter, state, reply);
  AddControls(request, state, reply);
  return isAllRegistrations && isAllFollowers;
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

bool Answer(Followers& followers, const FollowWaiter& waiter,
            const FollowedState& state, Elapsed now)
{
  const bool hasNews =
    now >= waiter.notBefore && HasNews(followers, waiter, state);
  if (!hasNews && now < waiter.until) {
    return false;
  }
  FollowerBox& box = followers.boxes[waiter.request.box()];
  box.toldNews = hasNews ? now : box.toldNews;
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
  if (HasRolloutNews(waiter.request, state)) {
    *reply.mutable_rollouts() = ToWire(state.service->rollouts);
  }
  AddUnheardHalls(followers.unheard, waiter.request, reply);
  if (waiter.request.wants_registry()) {
    box.isOwed = !AddRegistry(followers, waiter, state, now, reply);
  }
  if (waiter.request.wants_crashes()) {
    AddCrashes(waiter, state, now, reply);
  }
  waiter.respond(reply.SerializeAsString());
  return true;
}

} // namespace

absl::Duration AnswerGap(const Followers& followers)
{
  const absl::Duration round =
    AnswerTime * static_cast<std::int64_t>(followers.live);
  return round > LeastGap ? round : absl::ZeroDuration();
}

void TakeListed(Followers& followers, const std::string& control,
                const wire::FollowReply& reply, Elapsed now)
{
  std::set<std::string> listed;
  for (const wire::Follower& box : reply.followers()) {
    listed.insert(box.box());
    if (box.gone()) {
      UnlistBox(followers.all, control, box.box(), now);
    } else {
      ListBox(followers.all, control, box, now);
    }
  }
  const bool isWhole =
    !reply.followers_are_changes() && reply.followers_size() > 0;
  if (!isWhole) {
    return;
  }
  for (const auto& [name, entry] : followers.all.boxes) {
    if (listed.count(name) == 0) {
      UnlistBox(followers.all, control, name, now);
    }
  }
}

void DropListed(Followers& followers, const std::string& control, Elapsed now)
{
  UnlistAll(followers.all, control, now);
}

void TakeFollow(Followers& followers, FollowWaiter waiter,
                const FollowedState& state, Elapsed now)
{
  const wire::FollowRequest& request = waiter.request;
  const absl::Duration wait = std::min(
    absl::Milliseconds(std::max<std::int64_t>(request.wait_ms(), 0)), MaxWait);
  waiter.until = now + wait;
  FollowerBox& box = followers.boxes[request.box()];
  box.hall = request.hall();
  box.revision = request.have_revision();
  box.heard = now;
  box.address = request.address();
  box.liveUntil = waiter.until + LateAfter;
  box.isControl = IsControl(request);
  box.cpuMilli = TakeShare(followers, box.cpuMilli, request.cpu_milli());
  if (request.wants_registry() && !box.address.empty()) {
    wire::Follower listed;
    listed.set_box(request.box());
    listed.set_hall(box.hall);
    listed.set_address(box.address);
    listed.set_cpu_milli(box.cpuMilli);
    listed.set_no_path(request.no_path());
    ListBox(followers.own, OwnTeller, listed, now);
    ListBox(followers.all, OwnTeller, listed, now);
  }
  waiter.notBefore = box.isOwed ? now : box.toldNews + AnswerGap(followers);
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
  if (now - followers.ticked < TickPeriod) {
    return;
  }
  followers.ticked = now;
  followers.live = 0;
  for (auto it = followers.boxes.begin(); it != followers.boxes.end();) {
    auto current = it++;
    FollowerBox& box = current->second;
    followers.live += IsLive(box, now) ? 1 : 0;
    const bool expired = box.liveUntil != absl::ZeroDuration() &&
                         !box.address.empty() && !IsLive(box, now);
    if (expired) {
      box.address.clear();
      UnlistBox(followers.own, OwnTeller, current->first, now);
      UnlistBox(followers.all, OwnTeller, current->first, now);
    }
    if (now - box.heard > ForgetAfter) {
      followers.boxes.erase(current);
    }
  }
  ForgetGone(followers.own, ForgetAfter, now);
  ForgetGone(followers.all, ForgetAfter, now);
}

} // namespace wg
