// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wgPeer.pb.h"
#include "wgPoolForecast.h"
#include "wgStagePool.h"

namespace wg {

/** \brief Names a reservation: the box that asked, and its number there. */
using ReservationKey = std::pair<std::string, std::uint64_t>;

/** \brief Capacity of a pool that was granted to work that has not come. */
struct Reservation
{
  PendingWork work;
  Elapsed expires;
  std::string account;
};

/** \brief What boxes have asked of a pool, and what it did lately. */
struct StageReservations
{
  std::map<ReservationKey, Reservation> held;
  RankDemand demand;
  BusyRate busy;
  ScheduledRetries promised;
  Elapsed serversSynced; // when its endpoints were last compared
};

/** \brief What the pool has to do: pieces that wait and reserved work. */
std::vector<PendingWork> PendingOf(const StagePool& pool,
                                   const StageReservations& reservations,
                                   Elapsed now);

/** \brief Whether a request for capacity can be meant: pieces that a stage may
 * have, and times within an hour.
 */
bool IsSound(const wire::StageReserve& ask);

/** \brief Grants capacity if the work would start in time behind what goes
 * before it, or, where that is asked, behind all that is in time by its
 * deadline. A second request for the same one replaces the first.
 * \param ask a sound one
 */
wire::StageReserveAnswer Reserve(const StagePool& pool,
                                 StageReservations& reservations,
                                 const wire::StageReserve& ask, Elapsed now);

/** \brief Drops reservations whose work did not come: its box is gone, or has
 * asked another one.
 * \return how many
 */
std::size_t DropExpired(StageReservations& reservations, Elapsed now);

} // namespace wg
