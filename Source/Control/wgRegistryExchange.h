// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/types/span.h"

#include "wgElapsed.h"
#include "wgLoopTimer.h"
#include "wgOutcome.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"

namespace wg {

/** \brief What is told of the news of other control boxes. */
struct ExchangeHandler
{
  std::function<void(const std::string& control, const wire::FollowReply&)>
    onReply;
  /** Adds to a call what this box's followers have seen. */
  std::function<void(wire::FollowRequest&)> fill;
  /** It was not heard for LostAfter; what it listed may no longer hold. */
  std::function<void(const std::string& control)> onLost;
};

/** \class RegistryExchange
 * \brief Asks the other control boxes what they have heard themselves of
 * endpoints, boxes and crashes.
 *
 * Each word travels once from the control box that heard it to each other one,
 * so that boxes need to follow only a few of them. Nothing is passed on
 * further, and so nothing can go round.
 */
class RegistryExchange
{
public:
  RegistryExchange(boost::asio::io_context& loop, PeerClient& peers,
                   std::string box, std::string hall, std::string address,
                   ExchangeHandler handler);

  /** \brief Asks these as well; this box's own address is passed over. */
  void Follow(absl::Span<const std::string> controls);

  std::size_t Reached() const;

  /** \brief Whether the last call was answered, of those that ever did; by
   * address.
   */
  std::map<std::string, bool> Answering() const;

private:
  struct Link
  {
    std::uint64_t registry = 0;
    std::uint64_t registrations = 0;
    std::uint64_t followers = 0;
    std::uint64_t crashes = 0;
    Elapsed heard;
    bool isLost = true;
    int failures = 0;
    std::unique_ptr<LoopTimer> pause;
  };

  void Call(const std::string& address);
  void OnReply(const std::string& address, const Outcome<std::string>& reply);
  void OnFailure(const std::string& address, Link& link);

  boost::asio::io_context& loop_;
  PeerClient& peers_;
  std::string box_;
  std::string hall_;
  std::string address_;
  ExchangeHandler handler_;
  std::map<std::string, Link> links_; // by address
};

} // namespace wg
