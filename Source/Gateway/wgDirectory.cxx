// SPDX-License-Identifier: Apache-2.0
#include "wgDirectory.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/match.h"

#include "wgHttpMessage.h"

namespace wg {
namespace {

using Registration = wire::Registration;

/** Longer than an endpoint that fell over is down. */
constexpr absl::Duration BrittleMemory = absl::Seconds(10);

constexpr absl::Duration FirstAvoidance = absl::Milliseconds(250);
constexpr absl::Duration LongestAvoidance = absl::Seconds(4);
constexpr absl::Duration EndedMemory = absl::Minutes(3);
/** As long as a question is likely to be asked again while it is silent. */
constexpr absl::Duration SilenceMemory = absl::Seconds(1);

/** A start never changes its service. A control box that has not heard of it
 * can't know that what it is told under its name is another writer's.
 */
bool IsForeign(const Registration& news, const DirectoryEndpoint& known)
{
  return news.state() != Registration::GONE && !known.service.empty() &&
         news.service() != known.service;
}

bool Supersedes(const Registration& news, const DirectoryEndpoint& known)
{
  if (IsForeign(news, known)) {
    return false;
  }
  if (known.state == Registration::GONE) {
    return false;
  }
  if (news.state() == Registration::GONE) {
    return true;
  }
  const bool silentSince =
    news.state() == Registration::SILENT && news.sequence() == known.sequence;
  return news.sequence() > known.sequence || silentSince;
}

/** All known starts of a name. */
std::vector<DirectoryEndpoint*> StartsOf(Directory& directory,
                                         const std::string& name)
{
  std::vector<DirectoryEndpoint*> starts;
  auto it = directory.endpoints.lower_bound(name);
  for (; it != directory.endpoints.end() && absl::StartsWith(it->first, name);
       ++it) {
    if (it->second.start.name == name) {
      starts.push_back(&it->second);
    }
  }
  return starts;
}

bool Overtakes(const DirectoryEndpoint& later,
               const DirectoryEndpoint& earlier)
{
  return later.start.bornMs > earlier.start.bornMs &&
         later.state != Registration::SILENT;
}

void JudgeStarts(Directory& directory, const std::string& name)
{
  const auto starts = StartsOf(directory, name);
  for (DirectoryEndpoint* start : starts) {
    start->overtaken = std::any_of(starts.begin(), starts.end(),
                                   [start](const DirectoryEndpoint* other) {
                                     return Overtakes(*other, *start);
                                   });
    IndexEndpoint(directory.index, *start);
  }
}

/** It was not told which start has ended: those that were known by then. A box
 * that has just started hears of old ends after what serves now.
 */
void EndStarts(Directory& directory, const Registration& news, Elapsed now)
{
  const Elapsed ended = now - absl::Milliseconds(news.ended_ago_ms());
  for (DirectoryEndpoint* start : StartsOf(directory, news.endpoint())) {
    if (start->state != Registration::GONE && start->known <= ended) {
      start->state = Registration::GONE;
      start->changed = now;
    }
  }
}

/** A start never changes its version: if it seems to, its identity stands for
 * two starts. Control boxes of older builds tell none.
 */
void NoteVersion(DirectoryEndpoint& known, const std::string& version)
{
  if (version.empty()) {
    return;
  }
  known.isVersionUnsure |= !known.version.empty() && known.version != version;
  known.version = known.isVersionUnsure ? "" : version;
}

bool TakeNews(DirectoryEndpoint& known, const Registration& news, bool isNew,
              Elapsed now)
{
  const bool changed = isNew || known.state != news.state();
  known.state = news.state();
  if (changed) {
    known.changed = now;
  }
  if (news.state() == Registration::GONE) {
    if (isNew) {
      known.service = news.service();
      known.version = news.version();
      known.changed = now - absl::Milliseconds(news.ended_ago_ms());
    }
    return changed;
  }
  NoteVersion(known, news.version());
  known.service = news.service();
  known.address = news.address();
  known.hall = news.hall();
  known.slots = std::max(1, static_cast<int>(news.slots()));
  known.coldUntilHeard =
    known.coldUntilHeard && news.sequence() <= known.sequence;
  known.sequence = news.sequence();
  known.warmFrom = now + absl::Milliseconds(news.warmup_ms());
  return changed;
}

} // namespace

bool MergeRegistration(Directory& directory, const Registration& news,
                       Elapsed now)
{
  const EndpointStart start = StartOf(news);
  if (!IsFieldValue(start.name) || !IsFieldValue(news.address())) {
    return false; // requests to it name both
  }
  const std::string id = IdentityOf(start);
  auto [found, isNew] = directory.endpoints.try_emplace(id);
  DirectoryEndpoint& known = found->second;
  if (!isNew && !Supersedes(news, known)) {
    return false;
  }
  known.id = id;
  known.start = start;
  known.known = isNew ? now : known.known;
  const bool changed = TakeNews(known, news, isNew, now);
  if (isNew && !known.hall.empty()) {
    NoteHall(directory.reach, known.hall);
  }
  if (news.state() == Registration::GONE && start.bornMs == 0) {
    EndStarts(directory, news, now);
  }
  JudgeStarts(directory, start.name);
  return changed;
}

void NoteReplaced(Directory& directory, absl::string_view id, Elapsed now)
{
  if (DirectoryEndpoint* endpoint = FindEndpoint(directory, id)) {
    endpoint->state = Registration::SILENT;
    endpoint->changed = now;
  }
}

void ForgetEnded(Directory& directory, Elapsed now)
{
  directory.forgetSteps += directory.endpoints.size();
  for (auto it = directory.endpoints.begin();
       it != directory.endpoints.end();) {
    auto current = it++;
    DirectoryEndpoint& endpoint = current->second;
    ForgetLeaving(endpoint.terms, now);
    const bool ended = endpoint.state == Registration::GONE ||
                       endpoint.state == Registration::SILENT;
    if (ended && endpoint.running == 0 &&
        now - endpoint.changed > EndedMemory) {
      const std::string name = endpoint.start.name;
      RemoveFromIndex(directory.index, current->first);
      directory.endpoints.erase(current);
      JudgeStarts(directory, name);
    }
  }
}

void ForgetEndedIfDue(Directory& directory, Elapsed now)
{
  if (now - directory.forgotten < EndedCheckPeriod) {
    return;
  }
  directory.forgotten = now;
  ForgetEnded(directory, now);
}

std::map<std::string, int> CountByHall(const Directory& directory,
                                       absl::string_view service)
{
  std::map<std::string, int> counts;
  auto halls = directory.index.byHall.find(service);
  if (halls != directory.index.byHall.end()) {
    for (const auto& [hall, endpoints] : halls->second) {
      counts[hall] = static_cast<int>(endpoints.size());
    }
  }
  return counts;
}

bool HasSuccessor(const Directory& directory,
                  const DirectoryEndpoint& endpoint, Elapsed since)
{
  const auto found = directory.index.byAddress.find(endpoint.address);
  return found != directory.index.byAddress.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& pair) {
                       const DirectoryEndpoint& other = *pair.second;
                       return other.id != endpoint.id &&
                              other.known >= since && IsCurrent(other);
                     });
}

std::vector<std::string> MergeHallOrders(Directory& directory,
                                         const HallOrders& news, Elapsed now)
{
  std::vector<std::string> changed;
  if (news.newest <= directory.halls.newest) {
    return changed;
  }
  for (const auto& [hall, order] : news.halls) {
    if (order.number > directory.halls.newest) {
      changed.push_back(hall);
    }
  }
  directory.halls = news;
  directory.hallsHeard = now;
  for (auto& [id, endpoint] : directory.endpoints) {
    const bool isBack = !IsEvacuated(directory.halls, endpoint.hall) &&
                        std::find(changed.begin(), changed.end(),
                                  endpoint.hall) != changed.end();
    endpoint.coldUntilHeard |= isBack;
  }
  return changed;
}

std::vector<std::string> MergeRollouts(Directory& directory,
                                       const VersionRollouts& news,
                                       Elapsed now)
{
  std::vector<std::string> changed;
  if (news.newest <= directory.rollouts.newest) {
    return changed;
  }
  for (const auto& [service, rollout] : news.services) {
    const VersionRollout& known =
      FindVersionRollout(directory.rollouts, service);
    const bool isOther =
      known.number != rollout.number || known.state != rollout.state;
    if (isOther) {
      directory.rolloutsHeard[service] = now;
    }
    if (isOther || known.permille != rollout.permille) {
      changed.push_back(service);
    }
  }
  directory.rollouts = news;
  return changed;
}

bool IsRetired(const Directory& directory, const DirectoryEndpoint& endpoint)
{
  if (directory.rollouts.services.empty()) {
    return false;
  }
  const VersionRollout& rollout =
    FindVersionRollout(directory.rollouts, endpoint.service);
  const bool isTarget = endpoint.version == rollout.version;
  if (rollout.state == wire::VersionRollout::ROLLED_BACK) {
    return isTarget;
  }
  const auto heard = directory.rolloutsHeard.find(endpoint.service);
  return rollout.state == wire::VersionRollout::COMPLETED && !isTarget &&
         heard != directory.rolloutsHeard.end() &&
         endpoint.known <= heard->second;
}

std::vector<DirectoryEndpoint*> OfWantedVersion(
  const Directory& directory, absl::string_view service,
  std::vector<DirectoryEndpoint*> endpoints, bool wantsVersion)
{
  const VersionRollout& rollout =
    FindVersionRollout(directory.rollouts, service);
  if (!IsInProgress(rollout)) {
    return endpoints;
  }
  std::vector<DirectoryEndpoint*> wanted;
  std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(wanted),
               [&rollout, wantsVersion](const DirectoryEndpoint* endpoint) {
                 return (endpoint->version == rollout.version) == wantsVersion;
               });
  return wanted.empty() ? endpoints : wanted;
}

bool IsCurrent(const DirectoryEndpoint& endpoint)
{
  return endpoint.state == Registration::READY && !endpoint.overtaken;
}

bool TakesNewWork(const Directory& directory,
                  const DirectoryEndpoint& endpoint)
{
  return IsCurrent(endpoint) && !endpoint.terms.isLeaving &&
         !IsEvacuated(directory.halls, endpoint.hall) &&
         !IsRetired(directory, endpoint);
}

bool MaySendNow(const Directory& directory, const DirectoryEndpoint& endpoint,
                Elapsed now)
{
  return TakesNewWork(directory, endpoint) &&
         !IsBackingOff(endpoint.terms, now);
}

bool IsEvacuatedWhole(const Directory& directory, absl::string_view service)
{
  if (directory.halls.halls.empty()) {
    return false;
  }
  const EndpointsById* endpoints = FindService(directory.index, service);
  if (endpoints == nullptr) {
    return false;
  }
  bool isEvacuated = false;
  for (const auto& [id, endpoint] : *endpoints) {
    if (!IsCurrent(*endpoint)) {
      continue;
    }
    if (!IsEvacuated(directory.halls, endpoint->hall)) {
      return false;
    }
    isEvacuated = true;
  }
  return isEvacuated;
}

bool IsCold(const DirectoryEndpoint& endpoint, Elapsed now)
{
  return endpoint.coldUntilHeard || now < endpoint.warmFrom;
}

bool IsLimited(const DirectoryEndpoint& endpoint)
{
  return endpoint.terms.limits.perSecond.has_value();
}

bool IsBrittle(const Directory& directory, const DirectoryEndpoint& endpoint,
               Elapsed now)
{
  if (endpoint.terms.limitReported > Elapsed()) {
    return endpoint.terms.limits.refusalsPerSecond.has_value();
  }
  auto heard = directory.brittleHeard.find(endpoint.service);
  return heard != directory.brittleHeard.end() &&
         now < heard->second + BrittleMemory;
}

bool NeedsPermit(const Directory& directory, const DirectoryEndpoint& endpoint,
                 Elapsed now)
{
  return IsLimited(endpoint) || IsBrittle(directory, endpoint, now);
}

absl::Duration TimeUntilAccepted(const Directory& directory,
                                 absl::string_view service, Elapsed now,
                                 const VersionBound& bound)
{
  Elapsed soonest = absl::InfiniteDuration();
  const EndpointsById* endpoints = FindService(directory.index, service);
  if (endpoints == nullptr) {
    return absl::ZeroDuration();
  }
  for (const auto& [id, endpoint] : *endpoints) {
    if (IsWithinBound(bound, *endpoint) &&
        TakesNewWork(directory, *endpoint)) {
      soonest = std::min(soonest, std::max(endpoint->deniedUntil,
                                           endpoint->terms.backoffUntil));
    }
  }
  return soonest == absl::InfiniteDuration()
           ? absl::ZeroDuration()
           : std::max(soonest - now, absl::ZeroDuration());
}

bool IsOver(const Directory& directory, const std::string& id)
{
  auto found = directory.endpoints.find(id);
  return found != directory.endpoints.end() && found->second.overtaken;
}

std::vector<DirectoryEndpoint*> ServingEndpoints(Directory& directory,
                                                 absl::string_view service)
{
  return ServingEndpoints(directory, service, "");
}

std::vector<DirectoryEndpoint*> ServingEndpoints(Directory& directory,
                                                 absl::string_view service,
                                                 absl::string_view hall)
{
  std::vector<DirectoryEndpoint*> serving;
  const EndpointsById* endpoints = FindInHall(directory.index, service, hall);
  if (endpoints == nullptr) {
    return serving;
  }
  serving.reserve(endpoints->size());
  for (const auto& [id, endpoint] : *endpoints) {
    if (TakesNewWork(directory, *endpoint)) {
      serving.push_back(endpoint);
    }
  }
  return serving;
}

bool IsSound(const Directory& directory, const DirectoryEndpoint& endpoint,
             Elapsed now, Sender sender)
{
  const bool maySend = sender == Sender::ThisBox
                         ? MaySendNow(directory, endpoint, now)
                         : TakesNewWork(directory, endpoint);
  return maySend && endpoint.avoidUntil <= now &&
         !IsCutOff(directory.reach, endpoint.hall);
}

bool IsWithinBound(const VersionBound& bound,
                   const DirectoryEndpoint& endpoint)
{
  return !bound || (!bound->empty() && endpoint.version == *bound);
}

bool IsAnySound(const Directory& directory, absl::string_view service,
                Elapsed now, Sender sender, const VersionBound& bound)
{
  const EndpointsById* endpoints = FindService(directory.index, service);
  return endpoints != nullptr &&
         std::any_of(endpoints->begin(), endpoints->end(),
                     [&](const auto& pair) {
                       return IsWithinBound(bound, *pair.second) &&
                              IsSound(directory, *pair.second, now, sender);
                     });
}

std::vector<DirectoryEndpoint*> SoundEndpoints(Directory& directory,
                                               absl::string_view service,
                                               Elapsed now, Sender sender,
                                               absl::string_view hall,
                                               const VersionBound& bound)
{
  std::vector<DirectoryEndpoint*> open =
    ServingEndpoints(directory, service, hall);
  open.erase(std::remove_if(open.begin(), open.end(),
                            [&](const DirectoryEndpoint* endpoint) {
                              const bool maySend =
                                sender == Sender::AnyBox ||
                                MaySendNow(directory, *endpoint, now);
                              return !maySend ||
                                     !IsWithinBound(bound, *endpoint);
                            }),
             open.end());
  std::vector<DirectoryEndpoint*> sound;
  sound.reserve(open.size());
  std::copy_if(open.begin(), open.end(), std::back_inserter(sound),
               [&](const DirectoryEndpoint* endpoint) {
                 return IsSound(directory, *endpoint, now, sender);
               });
  const bool useAll =
    sound.empty() &&
    (hall.empty() || !IsAnySound(directory, service, now, sender, bound));
  return useAll ? open : sound;
}

std::vector<StreamOrigin> PossibleOrigins(
  const Directory& directory, absl::Span<const std::string> services,
  Elapsed since)
{
  std::vector<StreamOrigin> possible = PossibleOrigins(directory, since);
  possible.erase(std::remove_if(possible.begin(), possible.end(),
                                [services](const StreamOrigin& origin) {
                                  return !origin.service.empty() &&
                                         std::find(
                                           services.begin(), services.end(),
                                           origin.service) == services.end();
                                }),
                 possible.end());
  return possible;
}

std::vector<StreamOrigin> PossibleOrigins(const Directory& directory,
                                          Elapsed since)
{
  std::vector<StreamOrigin> possible;
  for (const auto& [id, endpoint] : directory.endpoints) {
    const bool isOver =
      endpoint.state == Registration::GONE && endpoint.changed < since;
    const StreamOrigin origin{ endpoint.service, endpoint.version };
    if (!isOver && std::find(possible.begin(), possible.end(), origin) ==
                     possible.end()) {
      possible.push_back(origin);
    }
  }
  return possible;
}

DirectoryEndpoint* FindEndpoint(Directory& directory, absl::string_view id)
{
  auto found = directory.endpoints.find(std::string(id));
  return found == directory.endpoints.end() ? nullptr : &found->second;
}

const DirectoryEndpoint* FindByAddress(const Directory& directory,
                                       absl::string_view address)
{
  const auto found = directory.index.byAddress.find(address);
  if (found == directory.index.byAddress.end()) {
    return nullptr;
  }
  const DirectoryEndpoint* newest = nullptr;
  for (const auto& [id, endpoint] : found->second) {
    if (newest == nullptr || (!IsCurrent(*newest) && IsCurrent(*endpoint))) {
      newest = endpoint;
    }
  }
  return newest;
}

void NoteAttempt(DirectoryEndpoint& endpoint, bool failed, Elapsed now)
{
  NoteOutcome(endpoint.failures, failed, now);
  if (!failed) {
    endpoint.failuresInRow = 0;
    endpoint.avoidUntil = absl::ZeroDuration();
    return;
  }
  const int doublings = std::min(endpoint.failuresInRow, 5);
  const absl::Duration avoidance =
    std::min(FirstAvoidance * (1 << doublings), LongestAvoidance);
  ++endpoint.failuresInRow;
  endpoint.avoidUntil = now + avoidance;
}

void NoteRefusal(DirectoryEndpoint& endpoint, Elapsed now)
{
  if (endpoint.failuresInRow == 0 && IsBackingOff(endpoint.terms, now)) {
    ++endpoint.failuresInRow;
    return;
  }
  NoteAttempt(endpoint, true, now);
}

void NoteLifeSign(DirectoryEndpoint& endpoint, bool hasAnswered, Elapsed now)
{
  endpoint.silentUntil = hasAnswered ? Elapsed() : now + SilenceMemory;
}

} // namespace wg
