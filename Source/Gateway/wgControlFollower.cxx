// SPDX-License-Identifier: Apache-2.0
#include "wgControlFollower.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "wgControlChoice.h"
#include "wgLoopTimer.h"

namespace wg {
namespace {

/** A link that was cut is noticed within the wait and the margin. */
constexpr absl::Duration FollowWait = absl::Milliseconds(1000);
constexpr absl::Duration ReplyMargin = absl::Milliseconds(500);
constexpr absl::Duration HeardWithin = absl::Seconds(4);
constexpr absl::Duration ForgetAfter = absl::Minutes(1);
/** A box that is cut off or silent is left for another one. A chunk takes 52
 * ms on a link of 10 Mbit/s.
 */
constexpr absl::Duration ChunkTimeout = absl::Milliseconds(800);
constexpr absl::Duration FirstPause = absl::Milliseconds(100);
/** A box that starts has the whole list from one control box before the next
 * one sends it again: 1 MB takes a link of 10 Mbit/s 0.8 s.
 */
constexpr absl::Duration ListTime = absl::Milliseconds(800);
constexpr int MostDoublings = 3;
/** Lists of members are handed on at most so often: merging those of all
 * control boxes takes a box some microseconds a member.
 */
constexpr absl::Duration MembersPeriod = absl::Milliseconds(100);

} // namespace

ControlFollower::ControlFollower(EventLoop& loop, PeerClient& peers,
                                 FollowerIdentity self, DecisionLog& log,
                                 FollowHandler handler)
  : loop_(loop)
  , peers_(peers)
  , self_(std::move(self))
  , log_(log)
  , handler_(std::move(handler))
  , chunkPause_(loop)
  , membersTimer_(loop)
{
}

void ControlFollower::AddControls(const std::vector<std::string>& addresses,
                                  const std::vector<std::string>& halls)
{
  bool isChanged = false;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    auto [found, isNew] = links_.try_emplace(addresses[i]);
    Link& link = found->second;
    const std::string hall = i < halls.size() ? halls[i] : "";
    isChanged |= isNew || (!hall.empty() && hall != link.hall);
    link.hall = hall.empty() ? link.hall : hall;
    if (isNew) {
      link.address = addresses[i];
      link.known = ElapsedNow();
      link.pause = std::make_unique<LoopTimer>(loop_);
    }
  }
  if (isChanged) {
    Choose();
  }
}

std::size_t ControlFollower::Followed() const
{
  return static_cast<std::size_t>(
    std::count_if(links_.begin(), links_.end(), [](const auto& pair) {
      return pair.second.isChosen && pair.second.reached;
    }));
}

/** One that is no longer chosen is left after the call that is under way; one
 * that is not reached is asked on until it is.
 */
void ControlFollower::Choose()
{
  std::vector<ControlCandidate> candidates;
  std::vector<Link*> links;
  for (auto& [address, link] : links_) {
    candidates.push_back({ address, link.hall, link.reached });
    links.push_back(&link);
    link.isChosen = !link.reached;
  }
  const std::vector<std::size_t> chosen =
    ChooseControls(candidates, self_.box, self_.hall);
  const Elapsed now = ElapsedNow();
  const bool hasList =
    std::any_of(chosen.begin(), chosen.end(), [&links, now](std::size_t i) {
      return links[i]->isActive && links[i]->reached &&
             now - links[i]->followed > ListTime;
    });
  const bool isSpread = !hasList && candidates.size() > MaxFollowedByAll;
  absl::Duration wait = absl::ZeroDuration();
  for (const std::size_t i : chosen) {
    Link& link = *links[i];
    link.isChosen = true;
    if (std::exchange(link.isActive, true)) {
      continue;
    }
    link.followed = now;
    CallAfter(link, wait);
    wait += isSpread ? ListTime : absl::ZeroDuration();
  }
}

void ControlFollower::CallAfter(Link& link, absl::Duration wait)
{
  if (wait == absl::ZeroDuration()) {
    Call(link.address);
    return;
  }
  link.pause->expires_after(absl::ToChronoMilliseconds(wait));
  link.pause->async_wait(
    [this, address = link.address](boost::system::error_code error) {
      if (!error && links_.count(address) > 0) {
        Call(address);
      }
    });
}

bool ControlFollower::HearsAny(Elapsed now) const
{
  return std::any_of(links_.begin(), links_.end(), [now](const auto& pair) {
    return now - pair.second.heard < HeardWithin;
  });
}

std::vector<KnownControl> ControlFollower::Controls(
  Elapsed now, absl::Duration memory) const
{
  std::vector<KnownControl> controls;
  controls.reserve(links_.size());
  for (const auto& [address, link] : links_) {
    const bool isLost =
      !link.reached && now - std::max(link.heard, link.known) > memory;
    controls.push_back(
      { address, link.hall, link.reached, link.isChosen && !isLost });
  }
  return controls;
}

std::uint64_t ControlFollower::NewestDocument() const
{
  std::uint64_t newest = held_;
  for (const auto& [address, link] : links_) {
    newest = std::max(newest, link.document);
  }
  return newest;
}

void ControlFollower::Call(const std::string& address)
{
  const Link& link = links_[address];
  wire::FollowRequest request;
  request.set_box(self_.box);
  request.set_hall(self_.hall);
  request.set_address(self_.address);
  request.set_cpu_milli(self_.cpuMilli);
  request.set_wants_registry(true);
  request.set_wait_ms(absl::ToInt64Milliseconds(FollowWait));
  request.set_have_document(std::max(held_, link.document));
  request.set_registry(link.registry);
  request.set_have_registrations(link.registrations);
  request.set_have_followers(link.followers);
  request.set_wants_crashes(true);
  request.set_have_crashes(link.crashes);
  request.set_knows_hall_orders(true);
  request.set_have_hall_orders(hallOrders_);
  request.set_takes_follower_changes(true);
  request.set_have_controls(link.controls);
  request.set_knows_rollouts(true);
  request.set_have_rollouts(rollouts_);
  request.set_takes_unheard_halls(true);
  request.set_have_unheard_halls(link.unheardHalls);
  if (handler_.fill) {
    handler_.fill(request);
  }
  peers_.Call(
    address, "/follow", request.SerializeAsString(), FollowWait + ReplyMargin,
    [this, address](Outcome<std::string> reply) {
      boost::asio::post(loop_, [this, address, reply = std::move(reply)] {
        OnReply(address, reply);
      });
    });
}

void ControlFollower::OnReply(const std::string& address,
                              const Outcome<std::string>& reply)
{
  auto found = links_.find(address);
  if (found == links_.end()) {
    return;
  }
  Link& link = found->second;
  wire::FollowReply news;
  if (!Succeeded(reply)) {
    OnFailure(link, Message(reply));
    return;
  }
  if (!news.ParseFromString(Value(reply))) {
    OnFailure(link, "The reply can't be read.");
    return;
  }
  TakeReply(link, news);
  if (link.isChosen) {
    Call(address);
  } else {
    link.isActive = false;
  }
}

void ControlFollower::OnFailure(Link& link, const std::string& why)
{
  const Elapsed now = ElapsedNow();
  if (std::exchange(link.reached, false)) {
    log_.Write(LogWeight::Notable, "control_lost",
               { { "control", link.address }, { "why", why } });
    Choose();
    TellMembersSoon();
  }
  const Elapsed lastKnown = std::max(link.heard, link.known);
  if (now - lastKnown > ForgetAfter && links_.size() > 3) {
    links_.erase(link.address);
    return;
  }
  CallAfter(link, PauseAfter(link.failures++));
}

absl::Duration ControlFollower::PauseAfter(int failures) const
{
  // A box without a document refuses everything: it asks on.
  const int most = held_ == 0 ? 0 : MostDoublings;
  return FirstPause * (1 << std::min(failures, most));
}

void ControlFollower::TakeReply(Link& link, const wire::FollowReply& reply)
{
  link.heard = ElapsedNow();
  link.failures = 0;
  const bool regained = !std::exchange(link.reached, true);
  if (regained) {
    log_.Write(LogWeight::Notable, "control_regained",
               { { "control", link.address } });
    Choose();
  }
  const bool sameMembers = link.registry == reply.registry() &&
                           link.followers == reply.followers_revision();
  if (link.registry != reply.registry()) {
    link.members.clear();
  }
  link.registry = reply.registry();
  link.registrations = reply.registrations_revision();
  link.followers = reply.followers_revision();
  link.crashes = reply.crashes_revision();
  if (reply.hall_orders().newest() > hallOrders_) {
    hallOrders_ = reply.hall_orders().newest();
    handler_.onHallOrders(FromWire(reply.hall_orders()));
  }
  const bool hasRollouts =
    handler_.onRollouts && reply.rollouts().newest() > rollouts_;
  if (hasRollouts) {
    rollouts_ = reply.rollouts().newest();
    handler_.onRollouts(FromWire(reply.rollouts()));
  }
  link.unheardHalls = reply.unheard_halls_revision();
  if (handler_.onHallUnheard) {
    for (const std::string& hall : reply.unheard_halls()) {
      handler_.onHallUnheard(hall);
    }
  }
  for (const wire::Registration& registration : reply.registrations()) {
    handler_.onRegistration(registration);
  }
  if (reply.registrations_size() > 0) {
    handler_.onRegistrationsEnd();
  }
  if (!sameMembers) {
    TakeFollowers(link, reply);
  }
  if (!sameMembers || regained || HasPendingShares(shares_)) {
    TellMembersSoon();
  }
  handler_.onReply(link.address, reply);
  link.document = reply.document_number();
  AskChunk();
  link.controls = reply.controls_digest();
  AddControls({ reply.controls().begin(), reply.controls().end() },
              { reply.control_halls().begin(), reply.control_halls().end() });
}

void ControlFollower::TakeFollowers(Link& link, const wire::FollowReply& reply)
{
  if (!reply.followers_are_changes()) {
    link.members.clear();
  }
  for (const wire::Follower& follower : reply.followers()) {
    if (follower.gone()) {
      link.members.erase(follower.box());
      continue;
    }
    GatewayMember& member = link.members[follower.box()];
    member.box = follower.box();
    member.hall = follower.hall();
    member.address = follower.address();
    member.noPath = follower.no_path();
    if (IsValidCpuShare(follower.cpu_milli())) {
      member.cpuMilli = follower.cpu_milli();
    } else if (follower.cpu_milli() != 0 && handler_.onUnsoundShare) {
      handler_.onUnsoundShare();
    }
  }
}

/** Asks for the next chunk of a document that is newer than the one held,
 * unless one is being asked for.
 */
void ControlFollower::AskChunk()
{
  std::vector<DocumentOffer> offers;
  for (const auto& [address, link] : links_) {
    if (link.reached && link.isChosen) {
      offers.push_back({ address, link.document });
    }
  }
  const auto request =
    NextChunk(transfer_, offers, held_, self_.box, ElapsedNow());
  if (!request) {
    return;
  }
  const std::string source = transfer_.source;
  peers_.Call(source, "/document-chunk", request->SerializeAsString(),
              ChunkTimeout, [this, source](Outcome<std::string> reply) {
                boost::asio::post(loop_,
                                  [this, source, reply = std::move(reply)] {
                                    OnChunk(source, reply);
                                  });
              });
}

void ControlFollower::OnChunk(const std::string& source,
                              const Outcome<std::string>& reply)
{
  wire::DocumentChunk chunk;
  const Elapsed now = ElapsedNow();
  if (!Succeeded(reply)) {
    NoteChunkLost(transfer_, now);
    OnChunkFailure(source, Message(reply));
    return;
  }
  if (!chunk.ParseFromString(Value(reply))) {
    NoteChunkLost(transfer_, now);
    OnChunkFailure(source, "The reply can't be read.");
    return;
  }
  const ChunkOutcome outcome = TakeChunk(transfer_, chunk, held_, now);
  if (const Error* error = std::get_if<Error>(&outcome)) {
    OnChunkFailure(source, error->message);
    return;
  }
  if (const auto* whole = std::get_if<ReceivedDocument>(&outcome)) {
    OnWhole(*whole);
  }
  AskChunk();
}

void ControlFollower::OnChunkFailure(const std::string& source,
                                     const std::string& why)
{
  log_.Write(LogWeight::Notable, "document_chunk_lost",
             { { "control", source },
               { "number", transfer_.number },
               { "held", held_ },
               { "received", transfer_.received.size() },
               { "size", transfer_.size },
               { "why", why } });
  chunkPause_.expires_after(
    absl::ToChronoMilliseconds(PauseAfter(transfer_.failures - 1)));
  chunkPause_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      AskChunk();
    }
  });
}

void ControlFollower::OnWhole(const ReceivedDocument& document)
{
  held_ = document.number;
  const bool isRead = handler_.onDocument(document);
  log_.Write(
    LogWeight::Notable, "document_received",
    { { "number", document.number },
      { "bytes", document.content.size() },
      { "packed_bytes", transfer_.size },
      { "took_ms", absl::ToInt64Milliseconds(ElapsedNow() - transfer_.begun) },
      { "read", isRead } });
}

void ControlFollower::TellMembersSoon()
{
  if (std::exchange(membersPending_, true)) {
    return;
  }
  const absl::Duration wait = std::max(
    membersTold_ + MembersPeriod - ElapsedNow(), absl::ZeroDuration());
  if (wait == absl::ZeroDuration()) {
    TellMembers();
    return;
  }
  membersTimer_.expires_after(absl::ToChronoMilliseconds(wait));
  membersTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      TellMembers();
    }
  });
}

/** Those that a control box which answers takes to be alive. */
void ControlFollower::TellMembers()
{
  const Elapsed now = ElapsedNow();
  membersPending_ = false;
  membersTold_ = now;
  std::map<std::string, GatewayMember> members;
  for (const auto& [address, link] : links_) {
    if (!link.reached || now - link.heard > HeardWithin) {
      continue;
    }
    for (const auto& [box, member] : link.members) {
      if (box == self_.box) {
        continue;
      }
      // Lists of older versions tell no share. Of two shares the larger holds
      // until all lists tell the new one, so that the choice changes once.
      GatewayMember& merged = members[member.box];
      const std::uint32_t share = std::max(merged.cpuMilli, member.cpuMilli);
      const bool noPath = merged.noPath || member.noPath;
      merged = member;
      merged.noPath = noPath;
      merged.cpuMilli = share;
    }
  }
  ApplyPendingShares(shares_, now);
  std::vector<GatewayMember> list;
  list.reserve(members.size());
  for (auto& [box, member] : members) {
    member.cpuMilli = NoteShare(shares_, box, member.cpuMilli, now);
    list.push_back(std::move(member));
  }
  handler_.onMembers(std::move(list));
}

} // namespace wg
