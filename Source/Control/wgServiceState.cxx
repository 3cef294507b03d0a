// SPDX-License-Identifier: Apache-2.0
#include "wgServiceState.h"

#include <algorithm>
#include <optional>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include "wgChange.h"
#include "wgConfigText.h"

namespace wg {
namespace {

constexpr std::size_t MaxRemembered = 10000;
constexpr std::size_t MaxRecent = 1000;
/** One change may move the clock on by this much, whatever it says. */
constexpr std::int64_t MaxClockStepMs = 60000;

using Result = wire::ChangeResult;

Result Refused(std::uint64_t revision, std::string message)
{
  Result result;
  result.set_verdict(Result::REJECTED);
  result.set_revision(revision);
  result.set_message(std::move(message));
  return result;
}

Result Accepted(std::uint64_t revision)
{
  Result result;
  result.set_verdict(Result::ACCEPTED);
  result.set_revision(revision);
  return result;
}

std::optional<ChangeId> ParseChangeId(const std::string& text)
{
  const std::size_t dash = text.find('-');
  ChangeId id;
  id.text = text;
  const bool sound =
    dash != std::string::npos && dash + 1 < text.size() &&
    absl::SimpleAtoi(absl::string_view(text).substr(0, dash), &id.ms);
  return sound ? std::optional<ChangeId>(id) : std::nullopt;
}

/** Forgets the earliest ids, by the time in them, not by their arrival: an
 * author's wrong clock then harms no other's.
 */
void Remember(ServiceState& state, const ChangeId& id, const Result& result)
{
  state.remembered[id] = result;
  while (state.remembered.size() > MaxRemembered) {
    auto first = state.remembered.begin();
    state.forgottenMs = std::max(state.forgottenMs, first->first.ms);
    state.remembered.erase(first);
  }
}

Result ApplyRevised(ServiceState& state, const wire::Change& change)
{
  const std::uint64_t now = state.config.revision;
  if (change.base_revision() != 0 && change.base_revision() != now) {
    return Refused(now, absl::StrCat("The change was based on revision ",
                                     change.base_revision(), ", but revision ",
                                     now, " by ",
                                     state.recent.empty()
                                       ? std::string("another")
                                       : state.recent.back().change.author(),
                                     " came first; look at it and send the "
                                     "change again."));
  }
  Outcome<Config> next = ApplyConfigChange(state.config, change);
  if (!Succeeded(next)) {
    return Refused(now, Message(next));
  }
  state.config = std::move(Value(next));
  state.recent.push_back({ state.config.revision, change });
  if (state.recent.size() > MaxRecent) {
    state.recent.pop_front();
  }
  return Accepted(state.config.revision);
}

void ExpireClaims(ServiceState& state)
{
  const std::int64_t before = state.clockMs - ClaimMemoryMs;
  while (!state.claimAges.empty() && state.claimAges.begin()->first < before) {
    state.claims.erase(state.claimAges.begin()->second);
    state.claimAges.erase(state.claimAges.begin());
  }
}

Result ApplyTakeClaim(ServiceState& state, const wire::TakeClaim& take)
{
  const std::int64_t step = take.now_ms() - state.clockMs;
  state.clockMs += std::clamp<std::int64_t>(step, 0, MaxClockStepMs);
  ExpireClaims(state);
  const ClaimKey key{ take.account(), take.key() };
  auto [found, isNew] = state.claims.try_emplace(
    key, ClaimHolder{ take.request(), state.clockMs, false });
  if (isNew) {
    state.claimAges.emplace(state.clockMs, key);
    return Accepted(state.config.revision);
  }
  if (found->second.request == take.request()) {
    return Accepted(state.config.revision); // the same one, sent again
  }
  Result result =
    Refused(state.config.revision, absl::StrCat("The key was used by request ",
                                                found->second.request, "."));
  result.set_claim_ended(found->second.ended);
  return result;
}

Result ApplyEndClaim(ServiceState& state, const wire::EndClaim& end)
{
  const ClaimKey key{ end.account(), end.key() };
  auto found = state.claims.find(key);
  if (found == state.claims.end() || found->second.request != end.request()) {
    return Refused(state.config.revision,
                   "The request does not hold this key.");
  }
  if (end.not_run()) {
    state.claimAges.erase({ found->second.takenMs, key });
    state.claims.erase(found);
  } else {
    found->second.ended = true;
  }
  return Accepted(state.config.revision);
}

Result ApplyRaiseFence(ServiceState& state, const wire::RaiseFence& raise)
{
  if (FindEndpoint(state.config, raise.endpoint()) == nullptr) {
    return Refused(state.config.revision,
                   absl::StrCat("There is no endpoint \"", raise.endpoint(),
                                "\"; \"show endpoints\" lists them."));
  }
  Result result = Accepted(state.config.revision);
  result.set_fence(++state.fences[raise.endpoint()]);
  return result;
}

Result ApplyReplaceBox(ServiceState& state, const wire::ReplaceBox& replace)
{
  const bool sound = !replace.lost().empty() && !replace.spare().empty() &&
                     replace.lost() != replace.spare();
  if (!sound) {
    return Refused(state.config.revision,
                   "A lost box and another one to take its place must be "
                   "named.");
  }
  state.replacement = replace;
  return Accepted(state.config.revision);
}

/** Needs no id: the number alone orders documents, and to publish one again
 * changes nothing.
 */
Result ApplyPublish(ServiceState& state, const wire::PublishDocument& publish)
{
  if (publish.number() > state.document.number()) {
    state.document = publish;
  }
  return Accepted(state.config.revision);
}

/** Whether the configuration has the hall; one without halls knows none of
 * those whose endpoints register themselves.
 */
bool MayNameHall(const Config& config, const std::string& name)
{
  return config.halls.empty() ||
         std::any_of(
           config.halls.begin(), config.halls.end(),
           [&name](const HallConfig& hall) { return hall.name == name; });
}

/** Needs no id: it names the order that its author saw. */
Result ApplyOrderHall(ServiceState& state, const wire::OrderHall& order)
{
  if (!MayNameHall(state.config, order.hall())) {
    return Refused(state.config.revision,
                   absl::StrCat("There is no hall \"", order.hall(),
                                "\"; \"show config\" lists them."));
  }
  switch (ApplyHallOrder(state.halls, order)) {
    case HallOrderResult::Holds:
      return Accepted(state.config.revision);
    case HallOrderResult::Superseded:
      return Refused(state.config.revision,
                     absl::StrCat("Another order on hall ", order.hall(),
                                  " came first; look at it and send this one "
                                  "again."));
    case HallOrderResult::Refused:
      break;
  }
  return Refused(state.config.revision,
                 "The order names no hall, or there are too many halls.");
}

/** Needs no id: it names the order that its author saw. */
Result ApplyOrderVersion(ServiceState& state, const wire::OrderVersion& order)
{
  const std::uint64_t revision = state.config.revision;
  switch (ApplyVersionOrder(state.rollouts, order)) {
    case VersionOrderResult::Applied:
      return Accepted(revision);
    case VersionOrderResult::InProgress: {
      Result result = Refused(
        revision, absl::StrCat("A roll-out of service ", order.service(),
                               " is in progress; wait until it has ended."));
      result.set_under_way(true);
      return result;
    }
    case VersionOrderResult::Superseded:
      return Refused(
        revision, absl::StrCat("Another roll-out of service ", order.service(),
                               " came first; look at it and send this one "
                               "again."));
    case VersionOrderResult::Refused:
      break;
  }
  return Refused(revision, "The order names no service, version or duration, "
                           "or there are too many services.");
}

Result ApplyMoveVersion(ServiceState& state, const wire::MoveVersion& move)
{
  ApplyVersionMove(state.rollouts, move);
  return Accepted(state.config.revision);
}

/** What changes the state but not the configuration, or nothing. */
std::optional<Result> ApplyUnrevised(ServiceState& state,
                                     const wire::Change& change)
{
  if (change.has_raise_fence()) {
    return ApplyRaiseFence(state, change.raise_fence());
  }
  if (change.has_replace_box()) {
    return ApplyReplaceBox(state, change.replace_box());
  }
  return std::nullopt;
}

/** Changes by operators: each id runs once and gets one answer. */
Result ApplyOnce(ServiceState& state, const wire::Change& change)
{
  const std::optional<ChangeId> id = ParseChangeId(change.id());
  if (!id) {
    return Refused(state.config.revision,
                   "The change has no id of the form <ms>-<text>.");
  }
  auto found = state.remembered.find(*id);
  if (found != state.remembered.end()) {
    return found->second;
  }
  if (id->ms <= state.forgottenMs) {
    return Refused(state.config.revision,
                   "The change's id is older than what is remembered, so it "
                   "may have run; look at the state and make it anew.");
  }
  const std::optional<Result> unrevised = ApplyUnrevised(state, change);
  Result result = unrevised ? *unrevised : ApplyRevised(state, change);
  Remember(state, *id, result);
  return result;
}

} // namespace

ChangeLevel LevelOf(const wire::Change& change)
{
  if (change.has_order_version() || change.has_move_version()) {
    return ChangeLevel::VersionRollouts;
  }
  return change.has_order_hall() ? ChangeLevel::HallOrders
                                 : ChangeLevel::First;
}

std::string MakeChangeId()
{
  absl::BitGen random;
  return absl::StrFormat("%d-%016x", absl::ToUnixMillis(absl::Now()),
                         absl::Uniform<std::uint64_t>(random));
}

wire::ChangeResult ApplyChange(ServiceState& state, const wire::Change& change)
{
  if (change.has_take_claim()) {
    return ApplyTakeClaim(state, change.take_claim());
  }
  if (change.has_end_claim()) {
    return ApplyEndClaim(state, change.end_claim());
  }
  if (change.has_publish()) {
    return ApplyPublish(state, change.publish());
  }
  if (change.has_order_hall()) {
    return ApplyOrderHall(state, change.order_hall());
  }
  if (change.has_order_version()) {
    return ApplyOrderVersion(state, change.order_version());
  }
  if (change.has_move_version()) {
    return ApplyMoveVersion(state, change.move_version());
  }
  return ApplyOnce(state, change);
}

bool ChangesSince(const ServiceState& state, std::uint64_t revision,
                  wire::FollowReply& reply)
{
  const bool reachable = revision != 0 && !state.recent.empty() &&
                         state.recent.front().revision <= revision + 1;
  if (!reachable) {
    return false;
  }
  for (const RevisedChange& revised : state.recent) {
    if (revised.revision > revision) {
      *reply.add_changes() = revised.change;
    }
  }
  return true;
}

std::string SaveState(const ServiceState& state)
{
  wire::StateImage image;
  image.set_toml(PrintConfig(state.config));
  image.set_revision(state.config.revision);
  image.set_clock_ms(state.clockMs);
  image.set_forgotten_ms(state.forgottenMs);
  for (const auto& [id, result] : state.remembered) {
    wire::RememberedChange& out = *image.add_remembered();
    out.set_id_ms(id.ms);
    out.set_id(id.text);
    *out.mutable_result() = result;
  }
  for (const RevisedChange& revised : state.recent) {
    wire::RevisedChange& out = *image.add_recent();
    out.set_revision(revised.revision);
    *out.mutable_change() = revised.change;
  }
  for (const auto& [key, holder] : state.claims) {
    wire::Claim& out = *image.add_claims();
    out.set_account(key.account);
    out.set_key(key.key);
    out.set_request(holder.request);
    out.set_taken_ms(holder.takenMs);
    out.set_ended(holder.ended);
  }
  for (const auto& [endpoint, value] : state.fences) {
    wire::Fence& out = *image.add_fences();
    out.set_endpoint(endpoint);
    out.set_value(value);
  }
  *image.mutable_replacement() = state.replacement;
  *image.mutable_document() = state.document;
  *image.mutable_hall_orders() = ToWire(state.halls);
  *image.mutable_rollouts() = ToWire(state.rollouts);
  return image.SerializeAsString();
}

Outcome<ServiceState> LoadState(absl::string_view bytes)
{
  wire::StateImage image;
  if (!image.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Error{ "The snapshot's state can't be parsed." };
  }
  Outcome<Config> config = ReadConfig(image.toml());
  if (!Succeeded(config)) {
    return Error{ Message(config) };
  }
  ServiceState state;
  state.config = std::move(Value(config));
  state.config.revision = image.revision();
  state.clockMs = image.clock_ms();
  state.forgottenMs = image.forgotten_ms();
  for (const wire::RememberedChange& in : image.remembered()) {
    state.remembered[{ in.id_ms(), in.id() }] = in.result();
  }
  for (const wire::RevisedChange& in : image.recent()) {
    state.recent.push_back({ in.revision(), in.change() });
  }
  for (const wire::Claim& in : image.claims()) {
    const ClaimKey key{ in.account(), in.key() };
    state.claims[key] = { in.request(), in.taken_ms(), in.ended() };
    state.claimAges.emplace(in.taken_ms(), key);
  }
  for (const wire::Fence& in : image.fences()) {
    state.fences[in.endpoint()] = in.value();
  }
  state.replacement = image.replacement();
  state.document = image.document();
  state.halls = FromWire(image.hall_orders());
  state.rollouts = FromWire(image.rollouts());
  return state;
}

} // namespace wg
