// SPDX-License-Identifier: Apache-2.0
#include "wgRolloutFleet.h"

#include <algorithm>

#include "absl/strings/str_format.h"

namespace wg::test {
namespace {

constexpr double TickSeconds = 0.2;

struct Engine
{
  ReplicaView view;
  double idleAt = 0.0;
  double loadedAt = -1.0; // below 0: not loading
};

/** \class Fleet
 * \brief The engines, the state of the roll-out and the clock.
 */
class Fleet
{
public:
  explicit Fleet(const FleetSettings& settings)
    : settings_(settings)
  {
    rollout_ = { "llm", "v2", settings.minReady, "", false };
    for (int i = 0; i < settings.replicas; ++i) {
      Engine engine;
      engine.view = {
        absl::StrFormat("llm-%02d", i), false, true, true, false, "v1", 0
      };
      engine.view.drained = i >= settings.replicas - settings.notServing;
      engines_.push_back(engine);
    }
    servingAtFirst_ = CountServing(Views());
    minServing_ = servingAtFirst_;
  }

  FleetResult Run(FleetPolicy policy)
  {
    while (now_ < settings_.limitSeconds && !IsDone()) {
      Decide(policy);
      now_ += TickSeconds;
      for (Engine& engine : engines_) {
        Progress(engine);
      }
      minServing_ = std::min(minServing_, CountServing(Views()));
    }
    const int lost = std::max(0, servingAtFirst_ - CountServing(Views()));
    return { IsDone(), now_, minServing_, lost };
  }

private:
  std::vector<ReplicaView> Views() const
  {
    std::vector<ReplicaView> views;
    for (const Engine& engine : engines_) {
      views.push_back(engine.view);
    }
    return views;
  }

  bool IsDone() const
  {
    return rollout_.current.empty() && loading_.empty() &&
           CountUpdated(rollout_, Views()) == settings_.replicas;
  }

  void Progress(Engine& engine)
  {
    engine.view.busy = engine.view.drained && now_ >= engine.idleAt ? 0 : 1;
    const bool loaded = engine.loadedAt >= 0.0 && now_ >= engine.loadedAt;
    if (loaded && !settings_.loadFails) {
      engine.view.version = rollout_.version;
      engine.view.ready = true;
      engine.loadedAt = -1.0;
    }
  }

  Engine& Find(const std::string& name)
  {
    return *std::find_if(
      engines_.begin(), engines_.end(),
      [&name](const Engine& engine) { return engine.view.name == name; });
  }

  void Drain(Engine& engine)
  {
    engine.idleAt = engine.view.drained ? now_ : now_ + settings_.drainSeconds;
    engine.view.drained = true;
  }

  void Load(Engine& engine)
  {
    engine.view.ready = false;
    engine.loadedAt = now_ + settings_.loadSeconds;
  }

  void Decide(FleetPolicy policy)
  {
    if (policy == FleetPolicy::Batches) {
      DecideBatch();
      return;
    }
    std::vector<ReplicaView> views = Views();
    if (policy == FleetPolicy::ByName && rollout_.current.empty()) {
      KeepFirstToUpdate(views);
    }
    const RolloutStep step =
      NextRolloutStep(rollout_, views, watch_, {}, absl::Seconds(now_));
    if (step.move == RolloutMove::Begin) {
      rollout_.current = step.endpoint;
      Drain(Find(step.endpoint));
    } else if (step.move == RolloutMove::Order) {
      Load(Find(step.endpoint));
    } else if (step.move == RolloutMove::End) {
      Find(step.endpoint).view.drained = false;
      rollout_.current.clear();
    }
  }

  /** Presents all but the first engine to update as updated. */
  void KeepFirstToUpdate(std::vector<ReplicaView>& views) const
  {
    bool first = true;
    for (ReplicaView& view : views) {
      const bool isOutdated = view.version != rollout_.version;
      if (isOutdated && !first) {
        view.version = rollout_.version;
      }
      first = first && !isOutdated;
    }
  }

  /** Updates a batch at once and waits until all of it is ready. */
  void DecideBatch()
  {
    const bool allReady = std::all_of(
      loading_.begin(), loading_.end(), [this](const std::string& name) {
        const ReplicaView& view = Find(name).view;
        return view.ready && view.version == rollout_.version;
      });
    if (allReady) {
      for (const std::string& name : loading_) {
        Find(name).view.drained = false;
      }
      loading_.clear();
      StartBatch();
    }
    for (const std::string& name : loading_) {
      Engine& engine = Find(name);
      const bool starts = engine.view.ready && engine.view.busy == 0 &&
                          engine.view.version != rollout_.version;
      if (starts) {
        Load(engine);
      }
    }
  }

  void StartBatch()
  {
    for (Engine& engine : engines_) {
      const bool isNext = engine.view.version != rollout_.version &&
                          static_cast<int>(loading_.size()) < settings_.batch;
      if (isNext) {
        loading_.push_back(engine.view.name);
        Drain(engine);
      }
    }
  }

  FleetSettings settings_;
  RolloutConfig rollout_;
  RolloutProgress watch_;
  std::vector<Engine> engines_;
  std::vector<std::string> loading_; // engines of the batch
  double now_ = 0.0;
  int servingAtFirst_ = 0;
  int minServing_ = 0;
};

} // namespace

FleetResult RunFleet(FleetPolicy policy, const FleetSettings& settings)
{
  return Fleet(settings).Run(policy);
}

} // namespace wg::test
