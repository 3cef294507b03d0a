// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "wgConfig.h"
#include "wgHallOrders.h"
#include "wgReplica.h"

namespace wg {

/** \brief What an entry box last said it has in force. */
struct FollowerBox
{
  std::string hall;
  std::uint64_t revision = 0;
  Elapsed heard;
  std::string address = {}; // empty: it shares no work
  Elapsed liveUntil = absl::ZeroDuration();
  std::uint32_t cpuMilli = 0; // share of a core, in thousandths; 0: not told
  Elapsed toldNews = -absl::InfiniteDuration(); // when it was last
  bool isOwed = false;    // more of it than one answer holds
  bool isControl = false; // another control box
};

absl::string_view Name(ReplicaRole role);

/** \brief What operators are shown of a replica: role, term, voters. */
nlohmann::json DescribeReplica(const Replica& replica, Elapsed now);

/** \brief A row for each entry box that has asked for configuration. */
nlohmann::json DescribeBoxes(const std::map<std::string, FollowerBox>& boxes,
                             Elapsed now);

/** \brief A row for each hall that operators have given orders on. */
nlohmann::json DescribeHalls(const HallOrders& orders);

/** \brief The configuration in force without the accounts' keys. */
std::string PrintPublicConfig(Config config);

} // namespace wg
