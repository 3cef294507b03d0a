// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include "wgConfig.h"
#include "wgPeer.pb.h"
#include "wgRollout.h"

namespace wg {

/** \brief What a leader may do for the roll-outs, and until when. */
struct RolloutDuty
{
  std::shared_ptr<const Config> config; // null: this box does not lead
  OrderAuthority right;
};

/** \class RolloutRunner
 * \brief Carries roll-outs out while this control box leads.
 *
 * It asks the endpoints, lets NextRolloutStep decide, and proposes changes or
 * gives orders. It keeps nothing that a next leader would need: all that is
 * in the configuration, or is seen at the endpoints.
 */
class RolloutRunner
{
public:
  using Answer = std::function<void(const wire::ChangeResult&)>;
  using Propose = std::function<void(wire::Change, Answer)>;

  explicit RolloutRunner(Propose propose);
  ~RolloutRunner();
  RolloutRunner(const RolloutRunner&) = delete;
  RolloutRunner& operator=(const RolloutRunner&) = delete;

  void SetDuty(RolloutDuty duty);
  /** \brief A row for each roll-out, as last seen; none when not leading. */
  nlohmann::json Describe();

private:
  void Run();
  bool IsWanted() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool IsStopping();
  void Pause(absl::Duration time);
  void Advance(const RolloutDuty& duty);
  void Take(const RolloutConfig& rollout, const RolloutStep& step,
            const Config& config);
  void GiveOrder(const RolloutConfig& rollout, const EndpointConfig& endpoint);
  wire::ChangeResult ProposeAndWait(wire::Change change);
  RolloutDuty Duty();

  Propose propose_;
  std::map<std::string, RolloutProgress> watches_; // by group
  std::map<std::string, RolloutState> logged_;     // by group
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  RolloutDuty duty_ ABSL_GUARDED_BY(mutex_);
  nlohmann::json rows_ ABSL_GUARDED_BY(mutex_) = nlohmann::json::array();
  std::thread thread_;
};

} // namespace wg
