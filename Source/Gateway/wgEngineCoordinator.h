// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "wgDecisionLog.h"
#include "wgDirectory.h"
#include "wgEnginePool.h"
#include "wgGatewayMetrics.h"
#include "wgPeer.pb.h"
#include "wgRouteTable.h"
#include "wgSendPermits.h"
#include "wgStagePoolKey.h"

namespace wg {

/** \class EngineCoordinator
 * \brief Chooses engines for the prompts of all boxes that have chosen this
 * one: it alone sees what all of them have sent.
 */
class EngineCoordinator
{
public:
  /** \param isRestarted whether engines may hold what this box sent before it
   * was started
   */
  EngineCoordinator(Directory& directory, SendPermits& permits,
                    bool isRestarted, GatewayMetrics& metrics,
                    DecisionLog& log);

  /** \return an answer without endpoint when there is none to choose */
  wire::EngineAnswer Place(const wire::EngineAsk& ask);

  void End(const wire::EngineReadEnd& end);

  void SetTable(std::shared_ptr<const RouteTable> table)
  {
    table_ = std::move(table);
  }
  /** \param bounds without the rate, which each service has for itself */
  void SetColdBounds(const ColdBounds& bounds) { coldBounds_ = bounds; }

  /** \brief What boxes have sent before this one was asked. */
  void Learn(const StagePoolKey& key, const wire::EnginePrompts& prompts);

  /** \brief What this box knows of a pool's engines, not all if it is much. */
  void AddKnown(const StagePoolKey& key, wire::EnginePrompts& prompts) const;

  /** \brief Is called when this box begins to choose for a pool: others know
   * what it has missed.
   */
  void OnBegin(std::function<void(const StagePoolKey&)> begin)
  {
    begin_ = std::move(begin);
  }

private:
  void LogJudgement(const StagePoolKey& key, const EngineJudgement& judged);
  ColdBounds ColdBoundsOf(const std::string& service) const;
  absl::Duration LeaveOutLimited(std::vector<DirectoryEndpoint*>& engines,
                                 const StagePoolKey& pool);

  Directory& directory_;
  SendPermits& permits_;
  Elapsed guessUntil_;
  GatewayMetrics& metrics_;
  DecisionLog& log_;
  EngineSpeed speed_;
  std::function<void(const StagePoolKey&)> begin_;
  std::map<StagePoolKey, EnginePool> pools_;
  std::shared_ptr<const RouteTable> table_;
  ColdBounds coldBounds_;
};

} // namespace wg
