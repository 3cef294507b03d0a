// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "wgOutcome.h"
#include "wgPeer.pb.h"
#include "wgPeerClient.h"

namespace wg {

/** \brief Whom the client asks, and as whom. */
struct ClientSettings
{
  std::vector<std::string> servers;
  std::string operatorName;
  std::string key;
  absl::Duration timeout = absl::Seconds(5);
};

/** \brief What each server that answers knows. */
std::vector<nlohmann::json> FetchStatuses(PeerClient& client,
                                          const ClientSettings& settings);

/** \brief Proposes a change to the control replica that leads. */
wire::ChangeResult SendChange(PeerClient& client,
                              const ClientSettings& settings,
                              const wire::Change& change);

/** \brief Makes the first server the first voter of a new cluster. */
wire::ChangeResult SendFound(PeerClient& client,
                             const ClientSettings& settings);

} // namespace wg
