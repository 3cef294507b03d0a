// SPDX-License-Identifier: Apache-2.0
// A control box's part for endpoints that register.
#include "wgControlNode.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {
namespace {

/** A disk that takes nothing for longer keeps no endpoint from its work. */
constexpr absl::Duration MaxHoldTime = absl::Seconds(2);

} // namespace

HeartbeatTaken ControlNode::Register(const wire::Registration& heartbeat)
{
  const Elapsed now = ElapsedNow();
  const std::string id = IdentityOf(StartOf(heartbeat));
  const auto known = registry_.endpoints.find(id);
  const auto held = held_.find(id);
  if (known != registry_.endpoints.end() &&
      known->second.registration.service() != heartbeat.service()) {
    return TakeSound(heartbeat); // it changes nothing
  }
  if (held != held_.end() &&
      held->second.heartbeat.service() != heartbeat.service()) {
    return HeartbeatTaken::Foreign;
  }
  if (!NoteServing(versions_, heartbeat.service(), heartbeat.version(), now)) {
    return HeartbeatTaken::TooMany;
  }
  const bool isWritten =
    IsWritten(versions_, heartbeat.service(), heartbeat.version());
  if (held == held_.end() && isWritten) {
    return TakeSound(heartbeat);
  }
  if (held == held_.end()) {
    if (held_.size() >= MostEndpoints) {
      return HeartbeatTaken::TooMany;
    }
    held_.emplace(id, HeldHeartbeat{ heartbeat, now });
  } else if (heartbeat.sequence() > held->second.heartbeat.sequence()) {
    held->second.heartbeat = heartbeat;
  }
  return HeartbeatTaken::Known;
}

HeartbeatTaken ControlNode::TakeSound(const wire::Registration& heartbeat)
{
  const Elapsed now = ElapsedNow();
  const HeartbeatTaken taken = TakeHeartbeat(registry_, heartbeat, now);
  const bool isSound =
    taken == HeartbeatTaken::News || taken == HeartbeatTaken::Known;
  if (isSound) {
    NoteBeatAfterEnd(beatsAfterEnd_, crashes_, heartbeat, now);
  }
  return taken;
}

/** Boxes are told of an endpoint once a restart would not forget its version.
 */
void ControlNode::ReleaseHeartbeats()
{
  versions_.written =
    std::max(versions_.written, endpointFile_->WrittenVersions());
  const Elapsed now = ElapsedNow();
  for (auto it = held_.begin(); it != held_.end();) {
    auto current = it++;
    const HeldHeartbeat& held = current->second;
    const wire::Registration& heartbeat = held.heartbeat;
    const bool isWritten =
      IsWritten(versions_, heartbeat.service(), heartbeat.version());
    if (!isWritten && now - held.since < MaxHoldTime) {
      continue;
    }
    if (!isWritten) {
      NoteToldUnwritten(versions_);
      LogChange("endpoints",
                absl::StrCat("boxes are told of version ", heartbeat.version(),
                             " of ", heartbeat.service(),
                             ", which the disk has not taken"));
    }
    TakeSound(heartbeat);
    held_.erase(current);
  }
}

void ControlNode::Unregister(const EndpointStart& start, KeptAnswer answer)
{
  for (auto it = held_.begin(); it != held_.end();) {
    auto current = it++;
    const EndpointStart other = StartOf(current->second.heartbeat);
    const bool ends = other.name == start.name &&
                      (start.bornMs == 0 || start.bornMs == other.bornMs);
    if (ends) {
      held_.erase(current);
    }
  }
  const Elapsed now = ElapsedNow();
  TakeLeave(registry_, start, now);
  std::uint64_t revision = 0;
  for (const wire::Registration& ended : EndedStarts(registry_, start)) {
    revision = std::max(revision, KeepEnd(ended, true));
  }
  endWaiters_.push_back({ revision, now + KeepEndTimeout, std::move(answer) });
  Wake();
}

/** Endpoints that are silent may serve on. */
void ControlNode::NoteVersions()
{
  const Elapsed now = ElapsedNow();
  if (now < nextVersions_) {
    return;
  }
  nextVersions_ = now + VersionsPeriod;
  for (const auto& [id, endpoint] : registry_.endpoints) {
    const wire::Registration& registration = endpoint.registration;
    if (registration.state() != wire::Registration::GONE) {
      NoteServing(versions_, registration.service(), registration.version(),
                  now);
    }
  }
  ExpireVersions(versions_, now);
}

} // namespace wg
