// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace wg {

/** \brief A field of JSON from outside, or the fallback when it is missing or
 * of another type. nlohmann::json::value throws in the latter case.
 */
inline std::string TextOr(const nlohmann::json& json, const char* key,
                          const std::string& fallback)
{
  const bool sound =
    json.is_object() && json.contains(key) && json[key].is_string();
  return sound ? json[key].get<std::string>() : fallback;
}

inline std::int64_t IntOr(const nlohmann::json& json, const char* key,
                          std::int64_t fallback)
{
  const bool sound =
    json.is_object() && json.contains(key) && json[key].is_number_integer();
  return sound ? json[key].get<std::int64_t>() : fallback;
}

inline bool BoolOr(const nlohmann::json& json, const char* key, bool fallback)
{
  const bool sound =
    json.is_object() && json.contains(key) && json[key].is_boolean();
  return sound ? json[key].get<bool>() : fallback;
}

/** \brief JSON as text. Bytes that are no UTF-8 become U+FFFD, where
 * nlohmann::json::dump by itself throws.
 */
inline std::string PrintJson(const nlohmann::json& json)
{
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace wg
