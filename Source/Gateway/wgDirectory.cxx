// SPDX-License-Identifier: Apache-2.0
#include "wgDirectory.h"

#include <algorithm>
#include <cmath>

namespace wg {
namespace {

using Registration = wire::Registration;

constexpr absl::Duration FirstAvoidance = absl::Milliseconds(250);
constexpr absl::Duration LongestAvoidance = absl::Seconds(4);
constexpr absl::Duration EndedMemory = absl::Minutes(3);

bool Supersedes(const Registration& news, const DirectoryEndpoint& known)
{
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

} // namespace

bool MergeRegistration(Directory& directory, const Registration& news,
                       Elapsed now)
{
  auto [found, isNew] = directory.endpoints.try_emplace(news.endpoint());
  DirectoryEndpoint& known = found->second;
  if (!isNew && !Supersedes(news, known)) {
    return false;
  }
  const bool changed = isNew || known.state != news.state();
  known.id = news.endpoint();
  known.state = news.state();
  if (changed) {
    known.changed = now;
  }
  if (news.state() == Registration::GONE) {
    return changed;
  }
  known.service = news.service();
  known.address = news.address();
  known.hall = news.hall();
  known.slots = std::max(1, static_cast<int>(news.slots()));
  known.sequence = news.sequence();
  known.warmFrom = now + absl::Milliseconds(news.warmup_ms());
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
  for (auto it = directory.endpoints.begin();
       it != directory.endpoints.end();) {
    auto current = it++;
    const DirectoryEndpoint& endpoint = current->second;
    const bool ended = endpoint.state == Registration::GONE ||
                       endpoint.state == Registration::SILENT;
    if (ended && endpoint.running == 0 &&
        now - endpoint.changed > EndedMemory) {
      directory.endpoints.erase(current);
    }
  }
}

bool TakesNewWork(const DirectoryEndpoint& endpoint)
{
  return endpoint.state == Registration::READY;
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
  for (auto& [id, endpoint] : directory.endpoints) {
    const bool isThere = hall.empty() || endpoint.hall == hall;
    if (isThere && endpoint.service == service && TakesNewWork(endpoint)) {
      serving.push_back(&endpoint);
    }
  }
  return serving;
}

std::vector<DirectoryEndpoint*> SoundEndpoints(Directory& directory,
                                               absl::string_view service,
                                               Elapsed now)
{
  std::vector<DirectoryEndpoint*> serving =
    ServingEndpoints(directory, service);
  std::vector<DirectoryEndpoint*> sound;
  std::copy_if(serving.begin(), serving.end(), std::back_inserter(sound),
               [&directory, now](const DirectoryEndpoint* endpoint) {
                 return endpoint->avoidUntil <= now &&
                        !IsCutOff(directory.reach, endpoint->hall);
               });
  return sound.empty() ? serving : sound;
}

DirectoryEndpoint* FindEndpoint(Directory& directory, absl::string_view id)
{
  auto found = directory.endpoints.find(std::string(id));
  return found == directory.endpoints.end() ? nullptr : &found->second;
}

const DirectoryEndpoint* FindByAddress(const Directory& directory,
                                       absl::string_view address)
{
  const DirectoryEndpoint* newest = nullptr;
  for (const auto& [id, endpoint] : directory.endpoints) {
    const bool better = endpoint.address == address &&
                        (newest == nullptr ||
                         (!TakesNewWork(*newest) && TakesNewWork(endpoint)));
    if (better) {
      newest = &endpoint;
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

} // namespace wg
