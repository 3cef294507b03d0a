// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>

#include <nlohmann/json.hpp>

#include "absl/time/time.h"

namespace wg {

/** \class StandinCache
 * \brief Prompt prefixes that an engine holds, in limited memory, and what it
 * tells of them. Not safe to share: its engine locks it.
 */
class StandinCache
{
public:
  /** \brief Uses the prefix of a prompt, and holds it from now on; true when
   * it was held.
   */
  bool Use(const std::string& prompt, absl::Time now);
  /** \brief The name under which a prompt's prefix can be taken elsewhere. */
  static std::string HandleOf(const std::string& prompt);
  bool Holds(const std::string& handle) const;
  /** \brief Holds what was taken from another engine. */
  void Insert(const std::string& handle, absl::Time now);

  /** \brief What was stored and dropped, as JSON, after a number. It is told
   * late, and every so often one is never told.
   */
  nlohmann::json EventsAfter(std::uint64_t number, absl::Time now) const;
  void SetEventLag(absl::Duration lag) { eventLag_ = lag; }

private:
  struct CacheEvent
  {
    std::uint64_t number = 0;
    std::string handle;
    bool stored = true; // else dropped
    absl::Time at;
  };

  void Note(const std::string& handle, bool stored, absl::Time now);

  std::list<std::string> held_; // newest first
  std::deque<CacheEvent> events_;
  std::uint64_t lastEvent_ = 0;
  absl::Duration eventLag_ = absl::Milliseconds(300);
};

} // namespace wg
