// SPDX-License-Identifier: Apache-2.0
#include "wgRegistryExchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "wgLog.h"

namespace wg {
namespace {

/** A hall that is cut off is noticed within the wait and the margin. */
constexpr absl::Duration Wait = absl::Milliseconds(500);
constexpr absl::Duration ReplyMargin = absl::Milliseconds(300);
/** Three calls that were lost. */
constexpr absl::Duration LostAfter = absl::Seconds(3);
constexpr absl::Duration FirstPause = absl::Milliseconds(100);
constexpr int MostDoublings = 4;
constexpr std::uint64_t Everything = std::numeric_limits<std::uint64_t>::max();

} // namespace

RegistryExchange::RegistryExchange(boost::asio::io_context& loop,
                                   PeerClient& peers, std::string box,
                                   std::string hall, std::string address,
                                   ExchangeHandler handler)
  : loop_(loop)
  , peers_(peers)
  , box_(std::move(box))
  , hall_(std::move(hall))
  , address_(std::move(address))
  , handler_(std::move(handler))
{
}

void RegistryExchange::Follow(absl::Span<const std::string> controls)
{
  for (const std::string& address : controls) {
    if (address == address_) {
      continue;
    }
    auto [found, isNew] = links_.try_emplace(address);
    if (!isNew) {
      continue;
    }
    found->second.pause = std::make_unique<LoopTimer>(loop_);
    Call(address);
  }
}

std::size_t RegistryExchange::Reached() const
{
  return static_cast<std::size_t>(
    std::count_if(links_.begin(), links_.end(),
                  [](const auto& pair) { return !pair.second.isLost; }));
}

std::map<std::string, bool> RegistryExchange::Answering() const
{
  std::map<std::string, bool> answering;
  for (const auto& [address, link] : links_) {
    if (link.registry != 0) {
      answering[address] = link.failures == 0;
    }
  }
  return answering;
}

void RegistryExchange::Call(const std::string& address)
{
  const Link& link = links_[address];
  wire::FollowRequest request;
  request.set_box(box_);
  request.set_hall(hall_);
  request.set_control_address(address_);
  request.set_wants_registry(true);
  request.set_wait_ms(absl::ToInt64Milliseconds(Wait));
  request.set_registry(link.registry);
  request.set_have_registrations(link.registrations);
  request.set_have_followers(link.followers);
  request.set_takes_follower_changes(true);
  request.set_wants_crashes(true);
  request.set_have_crashes(link.crashes);
  // The replicated state comes by the log.
  request.set_have_revision(Everything);
  request.set_have_document(Everything);
  request.set_knows_hall_orders(true);
  request.set_have_hall_orders(Everything);
  handler_.fill(request);
  peers_.Call(address, "/follow", request.SerializeAsString(),
              Wait + ReplyMargin, [this, address](Outcome<std::string> reply) {
                boost::asio::post(loop_,
                                  [this, address, reply = std::move(reply)] {
                                    OnReply(address, reply);
                                  });
              });
}

void RegistryExchange::OnReply(const std::string& address,
                               const Outcome<std::string>& reply)
{
  Link& link = links_[address];
  wire::FollowReply news;
  const bool isSound = Succeeded(reply) &&
                       news.ParseFromString(Value(reply)) &&
                       news.registry() != 0;
  if (!isSound) {
    OnFailure(address, link);
    return;
  }
  link.heard = ElapsedNow();
  link.failures = 0;
  if (std::exchange(link.isLost, false)) {
    LogChange("exchange", absl::StrCat("control box ", address, " is heard"));
  }
  const bool isRestarted =
    link.registry != 0 && link.registry != news.registry();
  if (isRestarted) {
    handler_.onLost(address);
  }
  link.registry = news.registry();
  link.registrations = news.registrations_revision();
  link.followers = news.followers_revision();
  link.crashes = news.crashes_revision();
  handler_.onReply(address, news);
  Call(address);
}

void RegistryExchange::OnFailure(const std::string& address, Link& link)
{
  const bool isLost = ElapsedNow() - link.heard > LostAfter;
  if (isLost && !std::exchange(link.isLost, true)) {
    LogChange("exchange", absl::StrCat("control box ", address, " is lost"));
    link.followers = 0; // they are listed anew
    handler_.onLost(address);
  }
  const int doublings = std::min(link.failures++, MostDoublings);
  link.pause->expires_after(
    absl::ToChronoMilliseconds(FirstPause * (1 << doublings)));
  link.pause->async_wait([this, address](boost::system::error_code error) {
    if (!error) {
      Call(address);
    }
  });
}

} // namespace wg
