// SPDX-License-Identifier: Apache-2.0
#include "wgStageClient.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/container/flat_hash_map.h"

namespace wg {
namespace {

constexpr int MaxTries = 3;
/** A silent box that nobody tells of is forgotten. */
constexpr absl::Duration ForgetAfter = absl::Seconds(30);
constexpr absl::Duration ReplyMargin = absl::Milliseconds(300);
/** A coordinator that owes an answer and was not heard for so long is asked
 * whether it lives. With the period and the time-out below, work is with
 * another box 0.68 s after its coordinator fell silent.
 */
constexpr absl::Duration AskAfter = absl::Milliseconds(250);
constexpr absl::Duration AskTimeout = absl::Milliseconds(300);
constexpr auto WatchPeriod = std::chrono::milliseconds(125);
/** While one box of a hall is silent, work goes to others only once one of
 * them has answered; one that is asked does within AskTimeout.
 */
constexpr absl::Duration HallSilence = absl::Seconds(1);
/** Longer than control boxes take to tell it. */
constexpr absl::Duration NoPathMemory = absl::Milliseconds(1500);
constexpr auto ReleaseGatherTime = std::chrono::milliseconds(15);
constexpr absl::Duration BacklogMemory = absl::Seconds(1);
/** A pool in another hall is taken where work waits shorter by more. */
constexpr absl::Duration ElsewhereGain = absl::Milliseconds(250);

StagePoolKey PoolOf(const wire::StageWork& work)
{
  return { work.service(), work.pool_hall() };
}

} // namespace

StageClient::StageClient(EventLoop& loop, PeerClient& peers,
                         StageCoordinator& own, const Directory& directory,
                         GatewayMember self, GatewayMetrics& metrics)
  : loop_(loop)
  , peers_(peers)
  , own_(own)
  , directory_(directory)
  , self_(std::move(self))
  , metrics_(metrics)
  , nextWork_(
      static_cast<std::uint64_t>(absl::ToInt64Microseconds(ElapsedNow())))
  , releaseTimer_(loop)
  , watchTimer_(loop)
{
  membersChanged_ = ElapsedNow();
  own_.OnInputsFetched(
    [this](const StagePoolKey& pool, absl::Span<const std::string> handles) {
      Release(pool, handles);
    });
}

void StageClient::NoteMembersChanged()
{
  membersChanged_ = ElapsedNow();
  if (onMembersChanged_) {
    onMembersChanged_();
  }
}

GatewayMember* StageClient::Find(const std::string& box)
{
  auto found =
    std::find_if(members_.begin(), members_.end(),
                 [&box](const GatewayMember& m) { return m.box == box; });
  return found == members_.end() ? nullptr : &*found;
}

void StageClient::SetMembers(std::vector<GatewayMember> members)
{
  const Elapsed now = ElapsedNow();
  bool isChanged = false;
  absl::flat_hash_map<std::string, std::size_t> places;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    places[members_[i].box] = i;
  }
  for (GatewayMember& member : members) {
    member.told = now;
    const auto [place, isNew] =
      places.try_emplace(member.box, members_.size());
    if (isNew) {
      isChanged = true;
      members_.push_back(std::move(member));
      continue;
    }
    GatewayMember& known = members_[place->second];
    member.suspect = known.suspect && known.address == member.address;
    member.asked = known.asked;
    member.heard = known.heard;
    member.noPathUntil = known.noPathUntil;
    isChanged |= known.noPath != member.noPath;
    isChanged |= known.suspect && !member.suspect;
    isChanged |= known.cpuMilli != member.cpuMilli; // may move coordinators
    known = std::move(member);
  }
  if (isChanged) {
    NoteMembersChanged();
  }
  ArmWatch();
}

StagePoolKey StageClient::PlaceWork(const std::string& service,
                                    const std::string& hall) const
{
  StagePoolKey best = ChoosePool(directory_, service, hall);
  absl::Duration least = Waiting(best);
  if (least <= ElsewhereGain) {
    return best;
  }
  least -= ElsewhereGain;
  for (StagePoolKey& pool : PoolsOf(directory_, service)) {
    const absl::Duration wait = Waiting(pool);
    if (wait < least) {
      least = wait;
      best = std::move(pool);
    }
  }
  return best;
}

const GatewayMember* StageClient::CoordinatorOf(const StagePoolKey& pool) const
{
  const GatewayMember& chosen =
    ChooseCoordinator(self_, members_, pool, SilentHalls(), ElapsedNow());
  return &chosen == &self_ ? nullptr : &chosen;
}

std::uint64_t StageClient::Submit(wire::StageWork work, Done done)
{
  const std::uint64_t number = nextWork_++;
  work.set_box(self_.box);
  work.set_work(number);
  OpenWork& open = works_[number];
  open.until = ElapsedNow() + absl::Milliseconds(work.left_ms());
  open.work = std::move(work);
  open.done = std::move(done);
  Send(number);
  return number;
}

void StageClient::Send(std::uint64_t number)
{
  OpenWork& open = works_[number];
  ++open.tries;
  open.sent = ElapsedNow();
  const GatewayMember* member = open.tries - open.sentBack > MaxTries
                                  ? nullptr
                                  : CoordinatorOf(PoolOf(open.work));
  if (member == nullptr) {
    open.coordinator = self_.box;
    open.address.clear();
    // Not at once: the work may be settled while it is taken.
    boost::asio::post(loop_, [this, number, tries = open.tries] {
      auto found = works_.find(number);
      if (found == works_.end() || found->second.tries != tries) {
        return;
      }
      const wire::StageWork& work = found->second.work;
      own_.Submit(work, [this, number, pool = PoolOf(work)](
                          const auto& reply) { Finish(number, pool, reply); });
    });
    return;
  }
  open.coordinator = member->box;
  open.address = member->address;
  SendToPeer(number, open);
}

void StageClient::SendToPeer(std::uint64_t number, const OpenWork& open)
{
  metrics_.Count("stage_works_sent");
  ArmWatch();
  peers_.Call(open.address, "/stage", open.work.SerializeAsString(),
              absl::Milliseconds(open.work.left_ms()) + ReplyMargin,
              [this, number, tries = open.tries,
               pool = PoolOf(open.work)](Outcome<std::string> reply) {
                boost::asio::post(loop_, [this, number, tries, pool,
                                          reply = std::move(reply)] {
                  OnReply(number, tries, pool, reply);
                });
              });
}

void StageClient::OnReply(std::uint64_t number, int tries,
                          const StagePoolKey& pool,
                          const Outcome<std::string>& reply)
{
  wire::StageReply results;
  const bool parsed =
    Succeeded(reply) && results.ParseFromString(Value(reply));
  auto found = works_.find(number);
  if (found == works_.end() || found->second.tries != tries) {
    GiveUp(pool, results);
    return;
  }
  OpenWork& open = found->second;
  if (parsed && results.no_path()) {
    NoteNoPath(open.coordinator);
    ++open.sentBack;
    Move({ number });
    return;
  }
  const bool sound =
    parsed && results.results_size() == open.work.items_size();
  if (sound) {
    NoteHeard(open.coordinator);
    Finish(number, pool, results);
    return;
  }
  Suspect(open.coordinator);
}

void StageClient::Finish(std::uint64_t number, const StagePoolKey& pool,
                         const wire::StageReply& reply)
{
  auto node = works_.extract(number);
  if (node.empty()) {
    GiveUp(pool, reply);
    return;
  }
  const OpenWork& open = node.mapped();
  NoteWaiting(PoolOf(open.work), absl::Milliseconds(reply.waiting_ms()));
  open.done(reply);
}

/** Results that came too late for their request. */
void StageClient::GiveUp(const StagePoolKey& pool,
                         const wire::StageReply& reply)
{
  std::vector<std::string> made;
  for (const wire::StageItemResult& result : reply.results()) {
    if (result.state() == wire::StageItemResult::DONE) {
      made.push_back(result.handle());
    }
  }
  Release(pool, made);
}

void StageClient::Release(const StagePoolKey& pool,
                          absl::Span<const std::string> handles)
{
  if (handles.empty()) {
    return;
  }
  std::vector<std::string>& pending = released_[pool];
  pending.insert(pending.end(), handles.begin(), handles.end());
  if (std::exchange(releaseArmed_, true)) {
    return;
  }
  releaseTimer_.expires_after(ReleaseGatherTime);
  releaseTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      FlushReleases();
    }
  });
}

void StageClient::FlushReleases()
{
  releaseArmed_ = false;
  for (auto& [pool, handles] : std::exchange(released_, {})) {
    const GatewayMember* coordinator = CoordinatorOf(pool);
    if (coordinator == nullptr) {
      own_.Release(handles);
      continue;
    }
    wire::ReleaseResults release;
    for (const std::string& handle : handles) {
      release.add_handles(handle);
    }
    peers_.Call(coordinator->address, "/release", release.SerializeAsString(),
                AskTimeout, [](const Outcome<std::string>&) {});
  }
}

std::set<std::string> StageClient::SilentHalls() const
{
  const Elapsed now = ElapsedNow();
  std::set<std::string> halls;
  for (const auto& [hall, until] : silentUntil_) {
    if (now < until) {
      halls.insert(hall);
    }
  }
  for (const auto& [hall, evidence] : directory_.reach.halls) {
    if (IsCutOff(directory_.reach, hall) && hall != self_.hall) {
      halls.insert(hall);
    }
  }
  return halls;
}

void StageClient::NoteNoPath(const std::string& box)
{
  metrics_.Count("coordinators_without_path");
  if (GatewayMember* member = Find(box)) {
    const Elapsed now = ElapsedNow();
    const bool isNew = !HasNoPath(*member, now);
    member->heard = now;
    member->noPathUntil = now + NoPathMemory;
    if (isNew) {
      NoteMembersChanged();
    }
  }
}

void StageClient::SetHasPath(bool hasPath)
{
  self_.noPath = !hasPath;
  NoteMembersChanged();
  if (hasPath) {
    return;
  }
  std::vector<std::uint64_t> moved;
  for (const auto& [number, open] : works_) {
    const bool isOwn = open.address.empty();
    if (isOwn && CoordinatorOf(PoolOf(open.work)) != nullptr &&
        own_.TakeBack(self_.box, number)) {
      moved.push_back(number);
    }
  }
  Move(moved);
}

/** Its whole hall may be cut off. Without asking, the next in order could be
 * of the same hall, and the one after it: each of them took a second.
 */
void StageClient::NoteSilent(const GatewayMember& member)
{
  if (member.hall == self_.hall) {
    return;
  }
  silentUntil_[member.hall] = ElapsedNow() + HallSilence;
  for (GatewayMember& other : members_) {
    if (other.hall == member.hall && !other.suspect && !other.asked) {
      Ask(other);
      return;
    }
  }
}

void StageClient::NoteHeard(const std::string& box)
{
  if (GatewayMember* member = Find(box)) {
    member->heard = ElapsedNow();
    silentUntil_.erase(member->hall);
    if (std::exchange(member->suspect, false)) {
      NoteMembersChanged();
    }
  }
}

/** Its works are sent to the next in order. */
void StageClient::Suspect(const std::string& box)
{
  if (GatewayMember* member = Find(box)) {
    const bool isNew = !std::exchange(member->suspect, true);
    NoteSilent(*member);
    if (isNew) {
      NoteMembersChanged();
    }
  }
  ArmWatch();
  metrics_.Count("coordinators_suspected");
  std::vector<std::uint64_t> moved;
  for (const auto& [number, open] : works_) {
    if (open.coordinator == box && !open.address.empty()) {
      moved.push_back(number);
    }
  }
  Move(moved);
}

/** To whoever makes the calls of their pools now. */
void StageClient::Move(absl::Span<const std::uint64_t> works)
{
  const Elapsed now = ElapsedNow();
  for (const std::uint64_t number : works) {
    OpenWork& open = works_[number];
    open.work.set_due_ms(open.work.due_ms() -
                         absl::ToInt64Milliseconds(now - open.sent));
    open.work.set_left_ms(absl::ToInt64Milliseconds(open.until - now));
    open.work.set_admit_ms(0); // it may have been admitted
    Send(number);
  }
}

void StageClient::NoteHallCut(const std::string& hall)
{
  if (hall == self_.hall) {
    return; // two endpoints beside this box are down
  }
  std::vector<std::uint64_t> moved;
  std::vector<std::uint64_t> gone;
  for (const auto& [number, open] : works_) {
    const GatewayMember* member =
      open.address.empty() ? nullptr : Find(open.coordinator);
    if (open.work.pool_hall() == hall) {
      gone.push_back(number);
    } else if (member != nullptr && member->hall == hall) {
      moved.push_back(number);
    }
  }
  Move(moved);
  for (const std::uint64_t number : gone) {
    EndAsGone(number);
  }
}

/** Whoever asked for the work places it anew. */
void StageClient::EndAsGone(std::uint64_t number)
{
  auto found = works_.find(number);
  if (found == works_.end()) {
    return;
  }
  wire::StageReply reply;
  for (int i = 0; i < found->second.work.items_size(); ++i) {
    reply.add_results()->set_state(wire::StageItemResult::INPUT_GONE);
  }
  metrics_.Count("stage_works_in_cut_halls");
  const Done done = found->second.done;
  Cancel(number);
  done(reply);
}

void StageClient::ArmWatch()
{
  if (std::exchange(watchArmed_, true)) {
    return;
  }
  watchTimer_.expires_after(WatchPeriod);
  watchTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      watchArmed_ = false;
      Watch();
    }
  });
}

void StageClient::Watch()
{
  const Elapsed now = ElapsedNow();
  bool goesOn = false;
  for (const auto& [number, open] : works_) {
    const bool remote = !open.address.empty();
    goesOn |= remote;
    GatewayMember* member = remote ? Find(open.coordinator) : nullptr;
    if (member != nullptr &&
        now - std::max(open.sent, member->heard) > AskAfter) {
      Ask(*member);
    }
  }
  AskSuspects();
  goesOn |= std::any_of(members_.begin(), members_.end(),
                        [](const GatewayMember& m) { return m.suspect; });
  if (goesOn) {
    ArmWatch();
  }
}

void StageClient::AskSuspects()
{
  const Elapsed now = ElapsedNow();
  members_.erase(std::remove_if(members_.begin(), members_.end(),
                                [now](const GatewayMember& member) {
                                  return member.suspect &&
                                         now - member.told > ForgetAfter;
                                }),
                 members_.end());
  for (GatewayMember& member : members_) {
    if (member.suspect) {
      Ask(member);
    }
  }
}

void StageClient::Doubt(const std::string& box)
{
  if (GatewayMember* member = Find(box)) {
    Ask(*member);
  }
}

void StageClient::Ask(GatewayMember& member)
{
  if (std::exchange(member.asked, true)) {
    return;
  }
  peers_.Call(
    member.address, "/alive", "", AskTimeout,
    [this, box = member.box](const Outcome<std::string>& reply) {
      const bool alive = Succeeded(reply) && Value(reply) == AliveReply;
      boost::asio::post(loop_, [this, box, alive] { OnAlive(box, alive); });
    });
}

void StageClient::OnAlive(const std::string& box, bool alive)
{
  GatewayMember* member = Find(box);
  if (member == nullptr) {
    return;
  }
  member->asked = false;
  if (alive) {
    NoteHeard(box);
  } else if (!member->suspect) {
    Suspect(box);
  }
}

void StageClient::Cancel(std::uint64_t work)
{
  auto node = works_.extract(work);
  if (node.empty()) {
    return;
  }
  const OpenWork& open = node.mapped();
  if (open.address.empty()) {
    own_.Cancel(self_.box, work);
    return;
  }
  wire::CancelWork cancel;
  cancel.set_box(self_.box);
  cancel.set_work(work);
  peers_.Call(open.address, "/cancel", cancel.SerializeAsString(), AskTimeout,
              [](const Outcome<std::string>&) {});
}

void StageClient::NoteWaiting(const StagePoolKey& pool, absl::Duration waiting)
{
  backlogs_[pool] = { waiting, ElapsedNow() };
}

absl::Duration StageClient::Waiting(const StagePoolKey& pool) const
{
  auto found = backlogs_.find(pool);
  const bool fresh = found != backlogs_.end() &&
                     ElapsedNow() - found->second.told < BacklogMemory;
  return fresh ? found->second.waiting : absl::ZeroDuration();
}

} // namespace wg
