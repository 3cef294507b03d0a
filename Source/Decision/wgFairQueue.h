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

/** \brief A stage of a request that waits for a slot of its endpoint group. */
struct WaitingStage
{
  std::uint64_t ticket = 0;
  std::string account;
  double weight = 1.0;
  int priority = 0;
  Elapsed deadline;
  /** Latest start that meets the deadline, estimated when enqueued. */
  Elapsed latestStart;
  /** Expected service time of the stages that follow this one. */
  double laterStagesSeconds = 0.0;
  Elapsed enqueued;
  double expectedCost = 0.0; // expected service time, in seconds
  std::size_t bytes = 0;
};

/** \brief Limits on the waiting stages of one queue. */
struct QueueLimits
{
  std::size_t count = 10000;
  std::size_t bytes = 64U << 20U;
};

/** \brief Position of a stage within its account: by deadline moved forward
 * by priority, then by ticket.
 */
struct WaitingKey
{
  Elapsed orderTime;
  std::uint64_t ticket = 0;

  bool operator<(const WaitingKey& other) const
  {
    return orderTime != other.orderTime ? orderTime < other.orderTime
                                        : ticket < other.ticket;
  }
};

/** \brief The waiting stages and the fair-queueing state of one account. */
struct AccountQueue
{
  absl::btree_map<WaitingKey, WaitingStage> waiting;
  double startTag = 0.0; // virtual time at which its next stage starts
  double weight = 1.0;
  int running = 0; // stages popped and not yet settled
};

/** \brief Position of an account among those with waiting stages. */
struct StartTagKey
{
  double startTag = 0.0;
  std::string account;

  bool operator<(const StartTagKey& other) const
  {
    return startTag != other.startTag ? startTag < other.startTag
                                      : account < other.account;
  }
};

/** \brief Waiting stages of one endpoint group. Accounts are served by
 * start-time fair queueing, by weight and expected cost; the stages of one
 * account by deadline and priority. Modified only by the functions below.
 * Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
 */
struct FairQueue
{
  QueueLimits limits;
  absl::flat_hash_map<std::string, AccountQueue> accounts;
  std::set<StartTagKey> backlogged; // accounts with waiting stages
  double virtualTime = 0.0;
  std::size_t count = 0;
  std::size_t bytes = 0;
};

/** \brief Returns whether an account may start one more stage.
 * \param running stages of the account popped from this queue, not yet settled
 */
using MayStart = std::function<bool(const std::string& account, int running)>;

/** \brief Enqueues a stage.
 * \return Reason::None, or the limit that the stage would exceed: QueueFull or
 * QueueBytes
 */
Reason Push(FairQueue& queue, WaitingStage stage);

/** \brief Removes the next stage in fair order and counts it as running.
 * \param mayStart accounts for which it returns false are skipped
 * \return nullopt if no stage waits whose account may start one
 */
std::optional<WaitingStage> PopNext(FairQueue& queue,
                                    const MayStart& mayStart);

/** \brief Removes a waiting stage that will not run.
 * \return false if no such stage waits
 */
bool Remove(FairQueue& queue, const std::string& account,
            std::uint64_t ticket);

/** \brief Removes and returns all stages that can no longer meet their
 * deadlines.
 * \param stageSeconds current estimate of the service time of one stage
 */
std::vector<WaitingStage> ExtractInfeasible(FairQueue& queue, Elapsed now,
                                            double stageSeconds);

/** \brief Records the end of a running stage and charges its account the
 * difference between actual and expected cost, both in seconds.
 */
void Settle(FairQueue& queue, const std::string& account, double expectedCost,
            double actualCost);

/** \brief Returns the number of waiting stages of an account. */
std::size_t CountWaiting(const FairQueue& queue, const std::string& account);

} // namespace wg
