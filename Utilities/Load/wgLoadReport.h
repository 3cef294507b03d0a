// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/types/span.h"

#include "wgLoadCall.h"

namespace wg {

/** \brief Counts, shares and quantiles of a run, by account and in all. */
nlohmann::json MakeLoadReport(absl::Span<const LoadResult> results,
                              double seconds);

/** \brief The report as a table for people. */
std::string PrintLoadReport(const nlohmann::json& report);

} // namespace wg
