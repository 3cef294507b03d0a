// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "wgLanguage.h"
#include "wgOutcome.h"

namespace wg {

/** \brief The rows that a `show` asks for, each with how old it is. */
Outcome<nlohmann::json> SelectRows(
  const ShowCommand& show, const std::vector<nlohmann::json>& statuses);

/** \brief Rows as a table for people; nested values are left out. */
std::string PrintTable(const nlohmann::json& rows);

/** \brief A request's decisions in sentences. */
std::string PrintExplanation(const nlohmann::json& request);

} // namespace wg
