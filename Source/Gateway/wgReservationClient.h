// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wgGatewayMetrics.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"
#include "wgStageClient.h"
#include "wgStageCoordinator.h"

namespace wg {

/** \brief Capacity that was asked of a pool; number 0: none. */
struct AskedReservation
{
  StagePoolKey pool;
  std::uint64_t number = 0;
};

/** \class ReservationClient
 * \brief Asks the coordinators of stage pools for capacity, for the requests
 * of this box; on the loop.
 */
class ReservationClient
{
public:
  /** Runs on the loop, exactly once; in the order of what was asked, nothing
   * where a coordinator did not answer in time.
   */
  using Answered = std::function<void(
    const std::vector<std::optional<wire::StageReserveAnswer>>&)>;

  ReservationClient(EventLoop& loop, PeerClient& peers, StageClient& stages,
                    StageCoordinator& own, std::string box,
                    GatewayMetrics& metrics);

  /** \param asks all but who asks and the numbers; each has a pool
   * \return what was asked, in the same order
   */
  std::vector<AskedReservation> Ask(std::vector<wire::StageReserve> asks,
                                    Answered answered);

  /** \brief It will not be used. */
  void End(const AskedReservation& reservation);

private:
  struct Open;
  void AskOne(const wire::StageReserve& ask, std::size_t index,
              const std::shared_ptr<Open>& open);
  void Take(const StagePoolKey& pool, std::size_t index,
            const std::shared_ptr<Open>& open,
            std::optional<wire::StageReserveAnswer> answer);

  EventLoop& loop_;
  PeerClient& peers_;
  StageClient& stages_;
  StageCoordinator& own_;
  std::string box_;
  GatewayMetrics& metrics_;
  std::uint64_t next_;
};

} // namespace wg
