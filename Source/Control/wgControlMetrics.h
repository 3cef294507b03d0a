// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "wgControlNode.h"
#include "wgCounters.h"
#include "wgHttpServer.h"

namespace wg {

/** \class ControlMetrics
 * \brief Serves a control box's counters and gauges as Prometheus text. On the
 * control node's loop.
 */
class ControlMetrics
{
public:
  ControlMetrics(ControlNode& node, const Counters& counters);
  /** \brief Listens; to be called before the node starts its loop. */
  Outcome<Done> Start(const std::string& address);

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& exchange) const;

  const ControlNode& node_;
  const Counters& counters_;
  HttpServer server_;
};

} // namespace wg
