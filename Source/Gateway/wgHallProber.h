// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/random/random.h"

#include "wgConnectionProbe.h"
#include "wgDecisionLog.h"
#include "wgDirectory.h"
#include "wgHttpMessage.h"
#include "wgLoopTimer.h"

namespace wg {

/** \class HallProber
 * \brief Keeps what this box believes of other halls: it takes in what calls
 * met, and tries to connect to halls that are taken to be cut off.
 */
class HallProber
{
public:
  /** \brief Told once a hall is taken to be cut off. */
  using OnCut = std::function<void(const std::string& hall)>;

  HallProber(EventLoop& loop, Directory& directory, DecisionLog& log,
             OnCut onCut);

  void Reached(const DirectoryEndpoint& endpoint);
  void Unreached(const DirectoryEndpoint& endpoint);

  /** \brief Another box has lost the hall: finds out at once, by connections
   * to two of its endpoints, whether it is cut off from here too.
   */
  void Suspect(const std::string& hall);

private:
  void Arm();
  void Probe();
  void Connect(const DirectoryEndpoint& endpoint);
  void TakeSuspected(const std::string& endpoint, ProbeResult result);

  EventLoop& loop_;
  Directory& directory_;
  DecisionLog& log_;
  OnCut onCut_;
  absl::BitGen random_;
  LoopTimer timer_;
  bool armed_ = false;
  std::map<std::string, Elapsed> suspected_; // halls, when last
};

} // namespace wg
