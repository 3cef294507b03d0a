// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include "wgElapsed.h"
#include "wgReason.h"

namespace wg {

/** \brief One stage of one request, waiting for a place at its group. */
struct WaitingStage
{
  std::uint64_t ticket = 0;
  std::string account;
  double weight = 1.0;
  int priority = 0;
  Elapsed deadline;
  Elapsed latestStart; // after it the deadline can no longer be met, as far
                       // as was known when it was queued
  /** Seconds that the stages after this one will take. */
  double laterSeconds = 0.0;
  Elapsed enqueued;
  double expectedCost = 0.0; // endpoint seconds
  std::size_t bytes = 0;
};

/** \brief Bounds of a queue. */
struct QueueLimits
{
  std::size_t count = 10000;
  std::size_t bytes = 64U << 20U;
};

/** \brief Position within an account: urgency, then arrival. */
struct WaitingKey
{
  Elapsed urgency;
  std::uint64_t ticket = 0;

  bool operator<(const WaitingKey& other) const
  {
    return urgency != other.urgency ? urgency < other.urgency
                                    : ticket < other.ticket;
  }
};

/** \brief The waiting stages of one account, and its place in the turn. */
struct AccountQueue
{
  absl::btree_map<WaitingKey, WaitingStage> waiting;
  double startTag = 0.0; // virtual time at which its next stage starts
  double weight = 1.0;
  int running = 0;
};

/** \brief An account's position in the turn. */
struct TurnKey
{
  double startTag = 0.0;
  std::string account;

  bool operator<(const TurnKey& other) const
  {
    return startTag != other.startTag ? startTag < other.startTag
                                      : account < other.account;
  }
};

/** \brief Waiting stages in start-time fair order between accounts, by
 * weight and expected cost, and by deadline within an account. Changed only
 * by the functions below. Source: Goyal, Vin and Cheng, "Start-time Fair
 * Queueing", 1996.
 */
struct FairQueue
{
  QueueLimits limits;
  absl::flat_hash_map<std::string, AccountQueue> accounts;
  std::set<TurnKey> turn; // accounts that wait
  double virtualTime = 0.0;
  std::size_t count = 0;
  std::size_t bytes = 0;
};

/** \brief Whether an account may start one more stage here. */
using MayStart = std::function<bool(const std::string& account, int running)>;

/** \brief Adds a stage; the reason when the queue's bounds forbid it. */
Reason Push(FairQueue& queue, WaitingStage stage);

/** \brief Takes the stage whose turn it is, and counts it as running. */
std::optional<WaitingStage> PopNext(FairQueue& queue,
                                    const MayStart& mayStart);

/** \brief Takes a stage out that will not run. */
bool Remove(FairQueue& queue, const std::string& account,
            std::uint64_t ticket);

/** \brief Takes out all that can no longer be done in time.
 * \param stageSeconds how long a stage of this queue is now known to take
 */
std::vector<WaitingStage> TakeHopeless(FairQueue& queue, Elapsed now,
                                       double stageSeconds);

/** \brief Ends a running stage and settles what it really cost. */
void Settle(FairQueue& queue, const std::string& account, double expectedCost,
            double actualCost);

std::size_t CountWaiting(const FairQueue& queue, const std::string& account);

} // namespace wg
