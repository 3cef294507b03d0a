// SPDX-License-Identifier: Apache-2.0
#include "wgFairQueue.h"

#include <algorithm>
#include <utility>

namespace wg {
namespace {

/** Each step of priority orders a stage as if its deadline were this much
 * earlier. The offset is bounded, so that stages of low priority do not
 * starve.
 */
constexpr absl::Duration PriorityDeadlineOffset = absl::Milliseconds(500);
constexpr double MinWeight = 1e-6;

WaitingKey KeyOf(const WaitingStage& stage)
{
  return { stage.deadline - stage.priority * PriorityDeadlineOffset,
           stage.ticket };
}

/** Must be called before the start tag or the waiting stages change, since the
 * start tag is part of the key.
 */
void RemoveBacklogged(FairQueue& queue, const std::string& account,
                      const AccountQueue& entry)
{
  queue.backlogged.erase({ entry.startTag, account });
}

void AddIfBacklogged(FairQueue& queue, const std::string& account,
                     const AccountQueue& entry)
{
  if (!entry.waiting.empty()) {
    queue.backlogged.insert({ entry.startTag, account });
  }
}

/** Removes an account without waiting and running stages. One whose start tag
 * is ahead of virtual time is kept: it has used more than its share, which
 * must still count when it returns.
 */
void RemoveIfIdle(FairQueue& queue, const std::string& account)
{
  auto found = queue.accounts.find(account);
  const bool idle =
    found != queue.accounts.end() && found->second.waiting.empty() &&
    found->second.running == 0 && found->second.startTag <= queue.virtualTime;
  if (idle) {
    queue.accounts.erase(found);
  }
}

bool IsInfeasible(const WaitingStage& stage, Elapsed now, double stageSeconds)
{
  const Elapsed done =
    now + absl::Seconds(stageSeconds + stage.laterStagesSeconds);
  return now > stage.latestStart || done > stage.deadline;
}

WaitingStage ExtractStage(
  FairQueue& queue, AccountQueue& entry,
  absl::btree_map<WaitingKey, WaitingStage>::iterator at)
{
  WaitingStage stage = std::move(at->second);
  entry.waiting.erase(at);
  --queue.count;
  queue.bytes -= stage.bytes;
  return stage;
}

} // namespace

Reason Push(FairQueue& queue, WaitingStage stage)
{
  if (queue.count + 1 > queue.limits.count) {
    return Reason::QueueFull;
  }
  if (queue.bytes + stage.bytes > queue.limits.bytes) {
    return Reason::QueueBytes;
  }
  const std::string account = stage.account;
  AccountQueue& entry = queue.accounts[account];
  RemoveBacklogged(queue, account, entry);
  entry.weight = std::max(stage.weight, MinWeight);
  if (entry.waiting.empty()) {
    entry.startTag = std::max(entry.startTag, queue.virtualTime);
  }
  ++queue.count;
  queue.bytes += stage.bytes;
  entry.waiting.emplace(KeyOf(stage), std::move(stage));
  AddIfBacklogged(queue, account, entry);
  return Reason::None;
}

std::optional<WaitingStage> PopNext(FairQueue& queue, const MayStart& mayStart)
{
  for (const StartTagKey& key : queue.backlogged) {
    AccountQueue& entry = queue.accounts[key.account];
    if (!mayStart(key.account, entry.running)) {
      continue;
    }
    const std::string account = key.account;
    queue.virtualTime = std::max(queue.virtualTime, entry.startTag);
    RemoveBacklogged(queue, account, entry);
    WaitingStage stage = ExtractStage(queue, entry, entry.waiting.begin());
    entry.startTag += stage.expectedCost / entry.weight;
    ++entry.running;
    AddIfBacklogged(queue, account, entry);
    return stage;
  }
  return std::nullopt;
}

bool Remove(FairQueue& queue, const std::string& account, std::uint64_t ticket)
{
  auto found = queue.accounts.find(account);
  if (found == queue.accounts.end()) {
    return false;
  }
  AccountQueue& entry = found->second;
  auto at = std::find_if(
    entry.waiting.begin(), entry.waiting.end(),
    [ticket](const auto& item) { return item.second.ticket == ticket; });
  if (at == entry.waiting.end()) {
    return false;
  }
  RemoveBacklogged(queue, account, entry);
  ExtractStage(queue, entry, at);
  AddIfBacklogged(queue, account, entry);
  RemoveIfIdle(queue, account);
  return true;
}

std::vector<WaitingStage> ExtractInfeasible(FairQueue& queue, Elapsed now,
                                            double stageSeconds)
{
  std::vector<WaitingStage> infeasible;
  std::vector<std::string> emptied;
  for (const StartTagKey& key : queue.backlogged) {
    AccountQueue& entry = queue.accounts[key.account];
    for (auto at = entry.waiting.begin(); at != entry.waiting.end();) {
      if (!IsInfeasible(at->second, now, stageSeconds)) {
        ++at;
        continue;
      }
      const WaitingKey position = at->first;
      infeasible.push_back(ExtractStage(queue, entry, at));
      at = entry.waiting.upper_bound(position);
    }
    if (entry.waiting.empty()) {
      emptied.push_back(key.account);
    }
  }
  for (const std::string& account : emptied) {
    RemoveBacklogged(queue, account, queue.accounts[account]);
    RemoveIfIdle(queue, account);
  }
  return infeasible;
}

void Settle(FairQueue& queue, const std::string& account, double expectedCost,
            double actualCost)
{
  auto found = queue.accounts.find(account);
  if (found == queue.accounts.end()) {
    return;
  }
  AccountQueue& entry = found->second;
  RemoveBacklogged(queue, account, entry);
  entry.startTag += (actualCost - expectedCost) / entry.weight;
  --entry.running;
  AddIfBacklogged(queue, account, entry);
  RemoveIfIdle(queue, account);
}

std::size_t CountWaiting(const FairQueue& queue, const std::string& account)
{
  auto found = queue.accounts.find(account);
  return found == queue.accounts.end() ? 0 : found->second.waiting.size();
}

} // namespace wg
