// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/random/random.h"

#include "wgConnectionProbe.h"
#include "wgDecisionLog.h"
#include "wgDirectory.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"

namespace wg {

/** \class HallProber
 * \brief Keeps what this box believes of halls and of its path to endpoints:
 * it takes in what connections met, and tries to connect to what is taken to
 * be cut off.
 */
class HallProber
{
public:
  /** \brief Told once a hall is taken to be cut off. */
  using OnCut = std::function<void(const std::string& hall)>;

  HallProber(EventLoop& loop, Directory& directory, DecisionLog& log,
             OnCut onCut);

  /** \brief Told when this box takes its path to endpoints to be gone, or to
   * be there again.
   */
  using OnPath = std::function<void(bool hasPath)>;
  void SetOnPath(OnPath onPath) { onPath_ = std::move(onPath); }

  /** \brief Told of endpoints that this box could not connect to, which may
   * have ended.
   */
  using OnEndpoint = std::function<void(const std::string& endpoint)>;
  void SetOnUnreached(OnEndpoint told) { onUnreached_ = std::move(told); }
  /** \brief Told of endpoints whose path was lost and is there again. */
  void SetOnRegained(OnEndpoint told) { onRegained_ = std::move(told); }
  /** \brief Told of endpoints whose path is lost and did not answer a second
   * connection either: those that are open hang as well.
   */
  void SetOnHanging(OnEndpoint told) { onHanging_ = std::move(told); }

  /** \brief Another box reaches the endpoint, and this one does not. */
  void WatchLost(const std::string& endpoint);

  /** \brief What came of a new connection of a call. */
  void Tried(const DirectoryEndpoint& endpoint, ConnectResult result);
  /** \brief An endpoint has answered, over whatever connection. */
  void Reached(const DirectoryEndpoint& endpoint);
  void Unreached(const DirectoryEndpoint& endpoint);

  /** \brief Finds out whether this box reaches any endpoint, by connections to
   * some of all halls. `done` may be null.
   */
  void ConfirmPath(OnPath done);

  /** \brief Whether the last trial met silence alone: connections that are
   * open hang as well.
   */
  bool ConnectionsHang() const
  {
    return trial_.unanswered > 0 && trial_.refused == 0;
  }

  /** \brief Another box has lost the hall: finds out at once, by connections
   * to two of its endpoints, whether it is cut off from here too.
   */
  void Suspect(const std::string& hall);

private:
  void Arm();
  void Probe();
  void Connect(const DirectoryEndpoint& endpoint);
  void TakeSuspected(const std::string& endpoint, ConnectResult result);
  std::vector<const DirectoryEndpoint*> Sample(std::size_t most);
  void TakeTried(ConnectResult result);
  void SettleTrial(bool hasPath);
  void ProbeIsolated();
  bool ProbeLostEndpoints();
  void ProbeLost(const std::string& endpoint);
  void NoteRegained(const DirectoryEndpoint& endpoint);
  void NotePath();

  EventLoop& loop_;
  Directory& directory_;
  DecisionLog& log_;
  OnCut onCut_;
  absl::BitGen random_;
  LoopTimer timer_;
  bool armed_ = false;
  std::map<std::string, Elapsed> suspected_; // halls, when last
  OnPath onPath_;
  OnEndpoint onUnreached_;
  OnEndpoint onRegained_;
  OnEndpoint onHanging_;
  PathTrial trial_;   // that is under way
  int trialOpen_ = 0; // its connections without a result
  std::uint64_t trialNumber_ = 0;
  std::vector<OnPath> awaitTrial_;
};

} // namespace wg
