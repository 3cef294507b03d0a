// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "wgCutAttempts.h"
#include "wgDecisionLog.h"
#include "wgDirectory.h"
#include "wgGatewayMetrics.h"
#include "wgHttpMessage.h"

namespace wg {

/** \class CrashWatch
 * \brief Finds out whether an endpoint at which attempts were cut off has
 * ended: it tries to connect, and heeds what is told of the endpoint.
 */
class CrashWatch
{
public:
  using OnEnded = std::function<void(const EndedEndpoint&)>;

  CrashWatch(EventLoop& loop, Directory& directory, DecisionLog& log,
             GatewayMetrics& metrics, OnEnded onEnded);

  using OnConfirmed = std::function<void(bool hasPath)>;
  using ConfirmPath =
    std::function<void(const std::string& endpoint, OnConfirmed)>;
  /** \brief How it is found out whether this box has a path to an endpoint
   * that refused a connection; without it, it has.
   */
  void SetConfirmPath(ConfirmPath confirm)
  {
    confirmPath_ = std::move(confirm);
  }

  /** \brief An attempt was cut off after it was sent. */
  void Cut(absl::string_view endpoint,
           absl::Span<const CrashSuspect> suspects);
  void Alive(absl::string_view endpoint) { NoteAlive(cuts_, endpoint); }
  /** \brief The directory has changed. */
  void NoteDirectory();

private:
  void ProbeSoon(const std::string& endpoint);
  void Probe(const std::string& endpoint);
  void ConfirmEnd(const std::string& endpoint);
  void Tell(const std::vector<EndedEndpoint>& ended);

  EventLoop& loop_;
  Directory& directory_;
  DecisionLog& log_;
  GatewayMetrics& metrics_;
  OnEnded onEnded_;
  ConfirmPath confirmPath_;
  CutAttempts cuts_;
};

} // namespace wg
