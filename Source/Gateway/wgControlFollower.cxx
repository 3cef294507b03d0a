// SPDX-License-Identifier: Apache-2.0
#include "wgControlFollower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace wg {
namespace {

/** A link that was cut is noticed within the wait and the margin. */
constexpr absl::Duration FollowWait = absl::Milliseconds(1000);
constexpr absl::Duration ReplyMargin = absl::Milliseconds(500);
constexpr absl::Duration HeardWithin = absl::Seconds(4);
constexpr absl::Duration ForgetAfter = absl::Minutes(1);
constexpr auto FirstPause = std::chrono::milliseconds(100);
constexpr int MostDoublings = 3;

} // namespace

ControlFollower::ControlFollower(EventLoop& loop, PeerClient& peers,
                                 FollowerIdentity self, DecisionLog& log,
                                 FollowHandler handler)
  : loop_(loop)
  , peers_(peers)
  , self_(std::move(self))
  , log_(log)
  , handler_(std::move(handler))
{
}

void ControlFollower::AddControls(const std::vector<std::string>& addresses)
{
  for (const std::string& address : addresses) {
    auto [found, isNew] = links_.try_emplace(address);
    if (!isNew) {
      continue;
    }
    found->second.address = address;
    found->second.known = ElapsedNow();
    found->second.pause = std::make_unique<boost::asio::steady_timer>(loop_);
    Call(address);
  }
}

bool ControlFollower::HearsAny(Elapsed now) const
{
  return std::any_of(links_.begin(), links_.end(), [now](const auto& pair) {
    return now - pair.second.heard < HeardWithin;
  });
}

/** One box sends documents whole; the others are asked for what it lacks. */
bool ControlFollower::IsPrimary(const Link& link) const
{
  const Elapsed now = ElapsedNow();
  for (const auto& [address, other] : links_) {
    if (now - other.heard < HeardWithin) {
      return address == link.address;
    }
  }
  return true;
}

void ControlFollower::Call(const std::string& address)
{
  const Link& link = links_[address];
  wire::FollowRequest request;
  request.set_box(self_.box);
  request.set_hall(self_.hall);
  request.set_address(self_.address);
  request.set_wants_registry(true);
  request.set_wait_ms(absl::ToInt64Milliseconds(FollowWait));
  request.set_have_document(held_);
  request.set_want_document(held_ == 0 || link.wantsDocument ||
                            IsPrimary(link));
  request.set_registry(link.registry);
  request.set_have_registrations(link.registrations);
  request.set_have_followers(link.followers);
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
  Call(address);
}

void ControlFollower::OnFailure(Link& link, const std::string& why)
{
  const Elapsed now = ElapsedNow();
  if (std::exchange(link.reached, false)) {
    log_.Write(LogWeight::Notable, "control_lost",
               { { "control", link.address }, { "why", why } });
    TellMembers();
  }
  if (link.document > held_) {
    log_.Write(LogWeight::Notable, "document_not_received",
               { { "control", link.address },
                 { "number", link.document },
                 { "held", held_ },
                 { "why", why } });
  }
  const Elapsed lastKnown = std::max(link.heard, link.known);
  if (now - lastKnown > ForgetAfter && links_.size() > 3) {
    links_.erase(link.address);
    return;
  }
  // A box without a document refuses everything: it asks on.
  const int most = held_ == 0 ? 0 : MostDoublings;
  const int doublings = std::min(link.failures++, most);
  link.pause->expires_after(FirstPause * (1 << doublings));
  link.pause->async_wait(
    [this, address = link.address](boost::system::error_code error) {
      if (!error && links_.count(address) > 0) {
        Call(address);
      }
    });
}

void ControlFollower::TakeReply(Link& link, const wire::FollowReply& reply)
{
  link.heard = ElapsedNow();
  link.failures = 0;
  const bool regained = !std::exchange(link.reached, true);
  if (regained) {
    log_.Write(LogWeight::Notable, "control_regained",
               { { "control", link.address } });
  }
  const bool sameMembers = link.registry == reply.registry() &&
                           link.followers == reply.followers_revision();
  link.registry = reply.registry();
  link.registrations = reply.registrations_revision();
  link.followers = reply.followers_revision();
  for (const wire::Registration& registration : reply.registrations()) {
    handler_.onRegistration(registration);
  }
  if (reply.registrations_size() > 0) {
    handler_.onRegistrationsEnd();
  }
  if (!sameMembers) {
    link.members.clear();
    for (const wire::Follower& follower : reply.followers()) {
      link.members.push_back(
        { follower.box(), follower.hall(), follower.address(), {} });
    }
  }
  if (!sameMembers || regained) {
    TellMembers();
  }
  TakeDocument(link, reply);
  AddControls({ reply.controls().begin(), reply.controls().end() });
}

void ControlFollower::TakeDocument(Link& link, const wire::FollowReply& reply)
{
  link.wantsDocument = false;
  link.document = reply.document_number();
  if (reply.document_number() <= held_) {
    return;
  }
  if (reply.document().empty()) {
    link.wantsDocument = true; // the next call asks for it
    return;
  }
  handler_.onDocument(reply.document_number(), reply.document());
}

/** Those that a control box which answers takes to be alive. */
void ControlFollower::TellMembers()
{
  const Elapsed now = ElapsedNow();
  std::map<std::string, GatewayMember> members;
  for (const auto& [address, link] : links_) {
    if (!link.reached || now - link.heard > HeardWithin) {
      continue;
    }
    for (const GatewayMember& member : link.members) {
      if (member.box != self_.box) {
        members[member.box] = member;
      }
    }
  }
  std::vector<GatewayMember> list;
  list.reserve(members.size());
  for (auto& [box, member] : members) {
    list.push_back(std::move(member));
  }
  handler_.onMembers(std::move(list));
}

} // namespace wg
