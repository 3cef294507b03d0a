// SPDX-License-Identifier: Apache-2.0
#include "wgStandinCache.h"

#include <algorithm>
#include <functional>

#include "absl/strings/str_format.h"

namespace wg {
namespace {

constexpr std::size_t MaxHeld = 256;
constexpr std::size_t MaxEvents = 1000;
constexpr std::size_t PrefixBytes = 64;
/** Each so many-th event is lost on its way. */
constexpr std::uint64_t LostEvery = 5;

} // namespace

std::string StandinCache::HandleOf(const std::string& prompt)
{
  return absl::StrFormat(
    "%016x", std::hash<std::string>()(prompt.substr(0, PrefixBytes)));
}

bool StandinCache::Use(const std::string& prompt, absl::Time now)
{
  const std::string handle = HandleOf(prompt);
  const bool held = Holds(handle);
  Insert(handle, now);
  return held;
}

bool StandinCache::Holds(const std::string& handle) const
{
  return std::find(held_.begin(), held_.end(), handle) != held_.end();
}

void StandinCache::Insert(const std::string& handle, absl::Time now)
{
  const auto found = std::find(held_.begin(), held_.end(), handle);
  if (found != held_.end()) {
    held_.splice(held_.begin(), held_, found);
    return;
  }
  held_.push_front(handle);
  Note(handle, true, now);
  if (held_.size() > MaxHeld) {
    Note(held_.back(), false, now);
    held_.pop_back();
  }
}

void StandinCache::Note(const std::string& handle, bool stored, absl::Time now)
{
  events_.push_back({ ++lastEvent_, handle, stored, now });
  if (events_.size() > MaxEvents) {
    events_.pop_front();
  }
}

nlohmann::json StandinCache::EventsAfter(std::uint64_t number,
                                         absl::Time now) const
{
  nlohmann::json told = nlohmann::json::array();
  for (const CacheEvent& event : events_) {
    const bool isTold = event.number > number && now - event.at >= eventLag_ &&
                        event.number % LostEvery != 0;
    if (isTold) {
      told.push_back({ { "number", event.number },
                       { "handle", event.handle },
                       { "kind", event.stored ? "stored" : "dropped" } });
    }
  }
  return told;
}

} // namespace wg
